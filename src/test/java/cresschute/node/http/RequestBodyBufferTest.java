package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A short body is collected up to the limit and returned once. */
class RequestBodyBufferTest {

    private final RequestBodyBuffer buffer = new RequestBodyBuffer();

    private void add(String text) {
        buffer.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Test
    void takeReturnsAllBytesAndEmptiesBuffer() {
        add("one ");
        add("body");
        assertThat(buffer.take()).isEqualTo("one body".getBytes(StandardCharsets.UTF_8));
        assertThat(buffer.take()).isEmpty();
    }

    @Test
    void clearDiscardsCollectedBytes() {
        add("the one before");
        buffer.clear();
        add("next");
        assertThat(buffer.takeBuffer().toString(StandardCharsets.UTF_8)).isEqualTo("next");
    }

    @Test
    void fitsUpToLimit() {
        buffer.add(Unpooled.wrappedBuffer(new byte[RequestBodyBuffer.MAX_BYTES - 1]));
        assertThat(buffer.fits(1)).isTrue();
        assertThat(buffer.fits(2)).isFalse();
    }
}
