package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.DispatchApi.LoadReport;
import cresschute.DispatchApi.Outcome;
import cresschute.node.Backends.FetchListener;
import cresschute.node.RateLimitedLog;
import cresschute.node.ReqContent;
import cresschute.node.ResultStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whether a job may have run is decided by its last byte, which kernel buffers hide from a socket test. */
class HttpFetchTest implements FetchListener {

    private final List<Outcome> ends = new ArrayList<>();
    private final ReqContent content = new ReqContent("r1", "/check", null, new byte[0]);
    private final HttpFetch fetch = new HttpFetch("127.0.0.1:9", content, 1000, this,
        new RateLimitedLog(System.getLogger("test"), () -> 0));

    @Override
    public void progressed(double shareDone) {
        throw new AssertionError("nothing came back");
    }

    @Override
    public ResultStream resultBegins(String type, long length, LoadReport report) {
        throw new AssertionError("nothing of the kind came back");
    }

    @Override
    public void resultEnded(boolean whole) {
        throw new AssertionError("nothing of the kind came back");
    }

    @Override
    public void ended(Outcome outcome, LoadReport report, String result) {
        ends.add(outcome);
    }

    @ParameterizedTest
    @CsvSource({"false, CONNECT_FAILED", "true, BROKEN"})
    void tellsABreakByWhatWasWritten(boolean written, Outcome outcome) {
        fetch.written = written;
        fetch.broken();
        fetch.broken();
        assertThat(ends).containsExactly(outcome);
    }

    @ParameterizedTest
    @CsvSource({"false, CONNECT_FAILED", "true, TIMED_OUT"})
    void tellsAGiveUpByWhatWasWrittenAndNothingAfterIt(boolean written, Outcome outcome) {
        fetch.written = written;
        assertThat(fetch.giveUp()).isEqualTo(outcome);
        fetch.broken();
        assertThat(ends).isEmpty();
    }
}
