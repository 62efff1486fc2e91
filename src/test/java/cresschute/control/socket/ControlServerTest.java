package cresschute.control.socket;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.ControlPeer;
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

/** The control socket by itself, before a desk whose one row is large. */
@Timeout(30)
class ControlServerTest {

    private static final int ROW = 300_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicInteger asked = new AtomicInteger();
    private final VersionedTable board = new VersionedTable();
    private ControlServer server;
    private Path socket;

    @TempDir private Path folder;

    private final class LargeDesk implements ControlHandler {

        @Override
        public String incarnation() {
            return "b";
        }

        @Override
        public VersionedTable table() {
            return board;
        }

        @Override
        public EventRing events() {
            return new EventRing();
        }

        @Override
        public void refresh() {
            // Its one row does not change by itself.
        }

        @Override
        public void execute(DrainOperation operation, Consumer<JsonObject> answer) {
            answer.accept(new JsonObject());
        }

        @Override
        public void audit(long session, ControlRequest request) {
            asked.incrementAndGet();
        }
    }

    @BeforeEach
    void listen() throws Exception {
        socket = folder.resolve("s");
        board.put("w/w1", "{\"text\":\"" + "x".repeat(ROW) + "\"}");
        server = new ControlServer(loop, socket, new LargeDesk());
        server.listen();
    }

    @AfterEach
    void close() {
        loop.submit(server::close).syncUninterruptibly();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Guards the heap: a few hundred requests in one packet, none of whose answers is read, once
     * made the node hold every answer.
     */
    @Test
    void requestsAreAnsweredOnlyAsFastAsAnswersAreRead() throws Exception {
        final int requests = 300;
        try (ControlPeer peer = new ControlPeer(socket)) {
            final StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append("{\"v\":1,\"id\":\"").append(i).append("\",\"do\":\"workers\"}\n");
            }
            peer.write(all.toString());
            Awaitility.await().until(() -> asked.get() >= 2);
            // Another console is served meanwhile, after which the loop has been through all there
            // was.
            try (ControlPeer other = new ControlPeer(socket)) {
                other.ask("\"do\":\"events\"");
                other.ask("\"do\":\"events\"");
            }
            // What fits below the mark and in the kernel's buffers, and no more.
            assertThat(asked.get()).isLessThan(12);
            for (int i = 0; i < requests; i++) {
                assertThat(peer.read().get("re").getAsString()).isEqualTo(String.valueOf(i));
            }
            assertThat(asked.get()).isEqualTo(requests + 2);
        }
    }

    /**
     * News wait in the board and in no queue: whoever reads again is told the newest of each row,
     * once.
     */
    @Test
    void consoleThatReadsAgainIsToldTheNewestOnly() throws Exception {
        try (ControlPeer peer = new ControlPeer(socket)) {
            peer.ask("\"do\":\"subscribe\"");
            final int changes = 200;
            for (int i = 1; i <= changes; i++) {
                final int change = i;
                loop.submit(
                                () -> {
                                    board.put(
                                            "w/w1",
                                            "{\"n\":"
                                                    + change
                                                    + ",\"text\":\""
                                                    + "x".repeat(ROW)
                                                    + "\"}");
                                    server.publish(change);
                                })
                        .syncUninterruptibly();
            }
            int told = 0;
            int newest = 0;
            while (newest < changes) {
                final JsonObject news = peer.read();
                final int next =
                        news.getAsJsonObject("rows").getAsJsonObject("w/w1").get("n").getAsInt();
                assertThat(next).isGreaterThan(newest);
                newest = next;
                told++;
                loop.submit(() -> server.publish(changes)).syncUninterruptibly();
            }
            assertThat(told).isLessThan(20);
        }
    }

    /** It holds what was told and takes no more, for so long that it is let go. */
    @Test
    void consoleThatNeverReadsIsLetGo() throws Exception {
        try (ControlPeer peer = new ControlPeer(socket)) {
            peer.write("{\"v\":1,\"id\":\"1\",\"do\":\"subscribe\"}\n");
            Awaitility.await().until(() -> loop.submit(server::hasSubscribers).get());
            final long startUs = 1_000_000;
            for (int i = 0; i < 40; i++) {
                final int change = i;
                loop.submit(
                                () -> {
                                    board.put(
                                            "w/w1",
                                            "{\"n\":"
                                                    + change
                                                    + ",\"text\":\""
                                                    + "x".repeat(ROW)
                                                    + "\"}");
                                    server.publish(startUs);
                                })
                        .syncUninterruptibly();
            }
            loop.submit(() -> server.publish(startUs + ControlSession.STALL_TIMEOUT_US - 1))
                    .syncUninterruptibly();
            assertThat(loop.submit(server::sessions).get()).isEqualTo(1);
            loop.submit(() -> server.publish(startUs + ControlSession.STALL_TIMEOUT_US))
                    .syncUninterruptibly();
            Awaitility.await().until(() -> loop.submit(server::sessions).get() == 0);
        }
    }
}
