package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A response without a request ID is held while it may be a duplicate of the previous one. */
class DuplicateResponseDetectorTest {

    private static final long DUPLICATE_WINDOW_NS =
            TimeUnit.MILLISECONDS.toNanos(DuplicateResponseDetector.DUPLICATE_WINDOW_MS);

    private final DuplicateResponseDetector duplicates = new DuplicateResponseDetector();
    private final HttpResponse unavailable = response(HttpResponseStatus.SERVICE_UNAVAILABLE);

    private static HttpResponse response(HttpResponseStatus status) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    }

    @Test
    void holdsNothingOnNewConnectionOrAfterDuplicateWindow() {
        assertThat(duplicates.holdIfSuspect(unavailable)).isFalse();
        duplicates.exchangeStarted(DUPLICATE_WINDOW_NS);
        assertThat(duplicates.holdIfSuspect(unavailable)).isFalse();
    }

    @Test
    void holdsStatusOtherThan200WithinDuplicateWindow() {
        duplicates.exchangeStarted(DUPLICATE_WINDOW_NS - 1);
        assertThat(duplicates.holdIfSuspect(response(HttpResponseStatus.OK))).isFalse();
        assertThat(duplicates.holdIfSuspect(unavailable)).isTrue();
        assertThat(duplicates.isHolding()).isTrue();
    }

    @Test
    void treatsHeldResponseAsDuplicateWhenAnotherFollows() {
        duplicates.exchangeStarted(0);
        duplicates.holdIfSuspect(unavailable);
        assertThat(duplicates.headReceived()).isTrue();
        assertThat(duplicates.hasSeenDuplicate()).isTrue();
        assertThat(duplicates.isHolding()).isFalse();
        assertThat(duplicates.isDuplicatePossible()).isFalse();
    }

    @Test
    void acceptsHeldResponseWhenNothingFollows() {
        duplicates.exchangeStarted(0);
        duplicates.holdIfSuspect(unavailable);
        assertThat(duplicates.accept()).isSameAs(unavailable);
        assertThat(duplicates.isHolding()).isFalse();
        assertThat(duplicates.hasSeenDuplicate()).isFalse();
        assertThat(duplicates.headReceived()).isFalse();
    }
}
