package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.Outcome;
import cresschute.node.RateLimitedLog;
import cresschute.node.RequestContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Whether a job may have run is decided by its last byte, which kernel buffers hide from a socket
 * test.
 */
class HttpAttemptTest {

    private final RecordingAttemptListener recorded = new RecordingAttemptListener();
    private final RequestContent content = new RequestContent("r1", "/check", null, new byte[0]);
    private final HttpAttempt attempt =
            new HttpAttempt(
                    "127.0.0.1:9",
                    content,
                    recorded,
                    new RateLimitedLog(System.getLogger("test"), () -> 0));

    private void markWrittenIf(boolean written) {
        if (written) {
            attempt.markWritten();
        }
    }

    @ParameterizedTest
    @CsvSource({"false, CONNECT_FAILED", "true, BROKEN"})
    void outcomeOfBrokenConnectionDependsOnLastByteWritten(boolean written, Outcome outcome) {
        markWrittenIf(written);
        attempt.connectionBroken();
        attempt.connectionBroken();
        assertThat(recorded.ends).containsExactly(outcome);
    }

    @ParameterizedTest
    @CsvSource({"false, CONNECT_FAILED", "true, TIMED_OUT"})
    void outcomeOfGiveUpDependsOnLastByteWritten(boolean written, Outcome outcome) {
        markWrittenIf(written);
        assertThat(attempt.abort()).isEqualTo(outcome);
        attempt.connectionBroken();
        assertThat(recorded.ends).isEmpty();
    }
}
