package cresschute.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.Outcome;
import cresschute.flow.MemoryAccount;
import cresschute.node.LoopMonitor;
import cresschute.node.NodeTimeouts;
import cresschute.node.RateLimitedLog;
import cresschute.node.RequestContent;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The timers of a connection after the outcome of an attempt is known. The test controls the clock.
 */
class WorkerConnectionTest {

    private static final long IDLE_US = 4_000_000;
    private static final InetSocketAddress ADDR = new InetSocketAddress("127.0.0.1", 9);

    private final RecordingAttemptListener recorded = new RecordingAttemptListener();
    private final RateLimitedLog faults = new RateLimitedLog(System.getLogger("test"), () -> 0);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final WorkerConnection connection =
            new WorkerConnection(
                    ADDR,
                    new WorkerConnectionPool(
                            channel.eventLoop(),
                            faults,
                            new NodeTimeouts(1_000, IDLE_US, NodeTimeouts.DEFAULT_DRAIN_GRACE_US),
                            10,
                            false,
                            new MemoryAccount(Integer.MAX_VALUE),
                            new LoopMonitor()));

    WorkerConnectionTest() {
        channel.freezeTime();
        channel.pipeline().addLast(connection);
        connection.start(
                new HttpAttempt(
                        "127.0.0.1:9",
                        new RequestContent("r1", "/check", null, new byte[0]),
                        recorded,
                        faults,
                        new LineMemory(new MemoryQuota(ProgressLineReader.MAX_BYTES))));
        channel.writeInbound(
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
                new DefaultHttpContent(
                        Unpooled.copiedBuffer(
                                "{\"id\":\"r1\",\"state\":\"done\",\"result\":\"yes\"}\n",
                                StandardCharsets.UTF_8)));
    }

    private long untilNextTimerMs() {
        final long ns = channel.runScheduledPendingTasks();
        return ns < 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(ns);
    }

    /** Only the timer of the idle connection remains, which does not reference the attempt. */
    @Test
    void completeResponseLeavesNoTimerOfItsAttempt() {
        assertThat(recorded.ends).containsExactly(Outcome.SERVED);
        channel.writeInbound(LastHttpContent.EMPTY_LAST_CONTENT);
        assertThat(untilNextTimerMs()).isEqualTo(3_000);
    }

    /**
     * The connection closes one second after the outcome if the worker does not end its response.
     */
    @Test
    void closesConnectionWhenResponseDoesNotEnd() {
        assertThat(untilNextTimerMs()).isEqualTo(1_000);
        channel.advanceTimeBy(1_000, TimeUnit.MILLISECONDS);
        assertThat(untilNextTimerMs()).isEqualTo(-1);
        assertThat(channel.isOpen()).isFalse();
    }
}
