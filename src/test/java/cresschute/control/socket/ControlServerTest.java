package cresschute.control.socket;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.TestConsole;
import cresschute.control.ControlRequest;
import cresschute.control.DrainOperation;
import cresschute.control.EventRing;
import cresschute.control.VersionedTable;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the backpressure of the control server with a handler whose only row is large. */
@Timeout(30)
class ControlServerTest {

    private static final int ROW_LENGTH = 300_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicInteger requestsRead = new AtomicInteger();
    private final VersionedTable table = new VersionedTable();
    private ControlServer server;
    private Path socket;

    @TempDir private Path folder;

    private final class LargeRowHandler implements ControlHandler {

        @Override
        public String incarnation() {
            return "b";
        }

        @Override
        public VersionedTable table() {
            return table;
        }

        @Override
        public EventRing events() {
            return new EventRing();
        }

        @Override
        public void refresh() {
            // The test changes the row itself.
        }

        @Override
        public void execute(DrainOperation operation, Consumer<JsonObject> answer) {
            answer.accept(new JsonObject());
        }

        @Override
        public void audit(long session, ControlRequest request) {
            requestsRead.incrementAndGet();
        }
    }

    @BeforeEach
    void listen() throws Exception {
        socket = folder.resolve("s");
        table.put("w/w1", "{\"text\":\"" + "x".repeat(ROW_LENGTH) + "\"}");
        server = new ControlServer(loop, socket, new LargeRowHandler());
        server.listen();
    }

    @AfterEach
    void close() {
        loop.submit(server::close).syncUninterruptibly();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Guards against unbounded memory: a console sends hundreds of requests in one write and reads
     * no answer.
     */
    @Test
    void stopsReadingRequestsWhileAnswersAreUnread() throws Exception {
        final int requests = 300;
        try (TestConsole console = new TestConsole(socket)) {
            final StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append("{\"v\":1,\"id\":\"").append(i).append("\",\"do\":\"workers\"}\n");
            }
            console.write(all.toString());
            Awaitility.await().until(() -> requestsRead.get() >= 2);
            // Another console is served meanwhile. After its second answer the loop has processed
            // everything that was readable before.
            try (TestConsole otherConsole = new TestConsole(socket)) {
                otherConsole.ask("\"do\":\"events\"");
                otherConsole.ask("\"do\":\"events\"");
            }
            // Only the answers that fit below the high water mark and into the kernel's buffers.
            assertThat(requestsRead.get()).isLessThan(12);
            for (int i = 0; i < requests; i++) {
                assertThat(console.read().get("re").getAsString()).isEqualTo(String.valueOf(i));
            }
            assertThat(requestsRead.get()).isEqualTo(requests + 2);
        }
    }

    /**
     * Guards against a queue of updates per console: pending changes stay in the table, and a
     * console that resumes reading gets only the newest text of each row.
     */
    @Test
    void consoleThatResumesReadingGetsOnlyTheNewestRows() throws Exception {
        try (TestConsole console = new TestConsole(socket)) {
            console.ask("\"do\":\"subscribe\"");
            final int changes = 200;
            for (int i = 1; i <= changes; i++) {
                final int change = i;
                loop.submit(
                                () -> {
                                    table.put(
                                            "w/w1",
                                            "{\"n\":"
                                                    + change
                                                    + ",\"text\":\""
                                                    + "x".repeat(ROW_LENGTH)
                                                    + "\"}");
                                    server.publish(change);
                                })
                        .syncUninterruptibly();
            }
            int updates = 0;
            int newest = 0;
            while (newest < changes) {
                final JsonObject update = console.read();
                final int next =
                        update.getAsJsonObject("rows").getAsJsonObject("w/w1").get("n").getAsInt();
                assertThat(next).isGreaterThan(newest);
                newest = next;
                updates++;
                loop.submit(() -> server.publish(changes)).syncUninterruptibly();
            }
            assertThat(updates).isLessThan(20);
        }
    }

    /** A console that stops reading is closed after the stall timeout. */
    @Test
    void closesConsoleThatStopsReading() throws Exception {
        try (TestConsole console = new TestConsole(socket)) {
            console.write("{\"v\":1,\"id\":\"1\",\"do\":\"subscribe\"}\n");
            Awaitility.await().until(() -> loop.submit(server::hasSubscribers).get());
            final long startUs = 1_000_000;
            for (int i = 0; i < 40; i++) {
                final int change = i;
                loop.submit(
                                () -> {
                                    table.put(
                                            "w/w1",
                                            "{\"n\":"
                                                    + change
                                                    + ",\"text\":\""
                                                    + "x".repeat(ROW_LENGTH)
                                                    + "\"}");
                                    server.publish(startUs);
                                })
                        .syncUninterruptibly();
            }
            loop.submit(() -> server.publish(startUs + ControlSession.STALL_TIMEOUT_US - 1))
                    .syncUninterruptibly();
            assertThat(loop.submit(server::sessionCount).get()).isEqualTo(1);
            loop.submit(() -> server.publish(startUs + ControlSession.STALL_TIMEOUT_US))
                    .syncUninterruptibly();
            Awaitility.await().until(() -> loop.submit(server::sessionCount).get() == 0);
        }
    }
}
