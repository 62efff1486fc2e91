package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A response without a request's name is held where the one before may come twice. */
class DuplicateResponseDetectorTest {

    private static final long SUSPECT_NS =
            TimeUnit.MILLISECONDS.toNanos(DuplicateResponseDetector.SUSPECT_WITHIN_MS);

    private final DuplicateResponseDetector duplicates = new DuplicateResponseDetector();
    private final HttpResponse unavailable = response(HttpResponseStatus.SERVICE_UNAVAILABLE);

    private static HttpResponse response(HttpResponseStatus status) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    }

    @Test
    void holdsNothingOnANewConnectionOrLongAfterTheResponseBefore() {
        assertThat(duplicates.hold(unavailable)).isFalse();
        duplicates.exchangeBegins(SUSPECT_NS);
        assertThat(duplicates.hold(unavailable)).isFalse();
    }

    @Test
    void holdsAnotherStatusThan200SoonAfterTheResponseBefore() {
        duplicates.exchangeBegins(SUSPECT_NS - 1);
        assertThat(duplicates.hold(response(HttpResponseStatus.OK))).isFalse();
        assertThat(duplicates.hold(unavailable)).isTrue();
        assertThat(duplicates.isHolding()).isTrue();
    }

    @Test
    void aHeldResponseIsADuplicateWhereAnotherFollows() {
        duplicates.exchangeBegins(0);
        duplicates.hold(unavailable);
        assertThat(duplicates.nextHead()).isTrue();
        assertThat(duplicates.hasSeenDuplicate()).isTrue();
        assertThat(duplicates.isHolding()).isFalse();
        assertThat(duplicates.isSuspicious()).isFalse();
    }

    @Test
    void aHeldResponseIsAcceptedOnceNothingFollows() {
        duplicates.exchangeBegins(0);
        duplicates.hold(unavailable);
        assertThat(duplicates.accept()).isSameAs(unavailable);
        assertThat(duplicates.isHolding()).isFalse();
        assertThat(duplicates.hasSeenDuplicate()).isFalse();
        assertThat(duplicates.nextHead()).isFalse();
    }
}
