package cresschute.node;

import static cresschute.node.LongBodyFixture.KIB;
import static cresschute.node.LongBodyFixture.LONG_STALL_TIMEOUT_US;
import static cresschute.node.LongBodyFixture.MAX_BYTES_PER_BODY;
import static cresschute.node.LongBodyFixture.MIB;
import static cresschute.node.LongBodyFixture.awaitNoBufferedBytes;
import static cresschute.node.LongBodyFixture.bodies;
import static cresschute.node.LongBodyFixture.bufferedBytes;
import static cresschute.node.LongBodyFixture.head;
import static cresschute.node.LongBodyFixture.runAsync;
import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.settings.ApplianceSettings.ClassBodies;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Long bodies over real sockets, one rule each: passed on as they arrive, within a bound. */
@Timeout(60)
class LongBodyRulesTest {

    private static final String DONE =
            answer("200 OK", "", "{\"id\":\"r1\",\"state\":\"done\",\"result\":\"yes\"}\n");

    private static TestNode node(int sends) throws Exception {
        return bodies(LONG_STALL_TIMEOUT_US, sends);
    }

    @Test
    void forwardsBodyBeforeItIsComplete() throws Exception {
        try (TestNode node = node(1);
                Peer client = node.client()) {
            client.write(head("r1", MIB, "")).writeBytes(0, MIB / 2);
            try (Peer worker = node.worker()) {
                assertThat(worker.readHead())
                        .startsWith("POST /check?obj=2a HTTP/1.1\r\n")
                        .containsIgnoringCase("Content-Length: " + MIB + "\r\n");
                worker.readBytes(0, MIB / 2 - 32 * KIB);
                // The worker's slot is held from here on, and the module is oversized so.
                assertThat(node.event()).startsWith("requested 1");
                assertThat(node.event()).startsWith("progressed 1 0 0.0");
                client.writeBytes(MIB / 2, MIB / 2);
                worker.readBytes(MIB / 2 - 32 * KIB, MIB / 2 + 32 * KIB);
                worker.write(DONE);
                assertThat(client.read()).startsWith("HTTP/1.1 200 OK\r\n").endsWith("yes");
                // The connection goes on with the next request, a short one, and so does the
                // worker's.
                client.write(request("r1", "", "short"));
                assertThat(worker.read()).endsWith("short");
                worker.write(DONE);
                assertThat(client.read()).startsWith("HTTP/1.1 200 OK\r\n");
            }
            awaitNoBufferedBytes(node);
        }
    }

    /** Its length is oversized by nobody: it becomes long on its way, and goes on in chunks. */
    @Test
    void streamsChunkedBodyThatOutgrowsBufferedLimit() throws Exception {
        try (TestNode node = node(1);
                Peer client = node.client()) {
            final int chunk = 10_000;
            client.write(head("r1", -1, ""));
            final CompletableFuture<Void> writing =
                    runAsync(
                            () -> {
                                for (int i = 0; i < 100; i++) {
                                    // Extensions and a trailer are read past.
                                    client.write(Integer.toHexString(chunk) + ";note=" + i + "\r\n")
                                            .writeBytes((long) i * chunk, chunk)
                                            .write("\r\n");
                                }
                                client.write("0\r\nX-Sum: 1\r\n\r\n");
                            });
            try (Peer worker = node.worker()) {
                assertThat(worker.readHead())
                        .containsIgnoringCase("Transfer-Encoding: chunked\r\n");
                worker.readChunks(100L * chunk);
                worker.write(DONE);
                assertThat(client.read()).startsWith("HTTP/1.1 200 OK\r\n");
            }
            writing.join();
        }
    }

    /** What is held is within the budget, however fast the client and however slow the worker. */
    @Test
    void buffersWithinLimitWhileWorkerReadsNothing() throws Exception {
        final long length = 24L * MIB;
        try (TestNode node = node(1);
                Peer client = node.client()) {
            client.write(head("r1", length, ""));
            final CompletableFuture<Void> writing =
                    runAsync(
                            () -> {
                                client.writeBytes(0, length);
                            });
            try (Peer worker = node.worker()) {
                worker.readHead();
                long held = 0;
                // Its window and what it may be lent, as nobody else wants any: then reading has
                // stopped.
                while (held <= MAX_BYTES_PER_BODY - 64 * KIB) {
                    held = bufferedBytes(node);
                    assertThat(held).isLessThanOrEqualTo(MAX_BYTES_PER_BODY);
                }
                for (long at = 0; at < length; at += MIB) {
                    worker.readBytes(at, MIB);
                    assertThat(bufferedBytes(node)).isLessThanOrEqualTo(MAX_BYTES_PER_BODY);
                }
                worker.write(DONE);
                assertThat(client.read()).startsWith("HTTP/1.1 200 OK\r\n");
            }
            writing.join();
            awaitNoBufferedBytes(node);
        }
    }

    /** A body that is kept goes to a further attempt from its first byte. */
    @Test
    void retriesSpooledBodyFromFirstByteAfterReset() throws Exception {
        try (TestNode node = node(2);
                Peer client = node.client()) {
            client.write(head("r1", 100 * KIB, "")).writeBytes(0, 100 * KIB);
            try (Peer first = node.worker()) {
                first.readHead();
                first.readBytes(0, 50 * KIB);
                first.reset();
            }
            try (Peer second = node.worker()) {
                second.readHead();
                second.readBytes(0, 100 * KIB).write(DONE);
                assertThat(client.read()).startsWith("HTTP/1.1 200 OK\r\n");
            }
            awaitNoBufferedBytes(node);
        }
    }

    /** A hedged request has all of a body that is kept, beside the first, each at its own pace. */
    @Test
    void hedgedRequestSendsWholeSpooledBody() throws Exception {
        try (TestNode node = node(1);
                Peer client = node.client()) {
            client.write(head("r1", 100 * KIB, "")).writeBytes(0, 100 * KIB);
            assertThat(node.event()).startsWith("requested 1");
            try (Peer first = node.worker()) {
                first.readHead();
                first.readBytes(0, 30 * KIB);
                node.act(actions -> actions.send(1, 0, Long.MAX_VALUE));
                try (Peer second = node.worker()) {
                    second.readHead();
                    second.readBytes(0, 100 * KIB).write(DONE);
                    assertThat(client.read()).startsWith("HTTP/1.1 200 OK\r\n");
                    // The other one is not cut short by it.
                    first.readBytes(30 * KIB, 70 * KIB);
                }
            }
            awaitNoBufferedBytes(node);
        }
    }

    /** A body that is partly gone goes to no second worker, and that counts for no loss there. */
    @Test
    void doesNotStartHedgedRequestBeyondSpool() throws Exception {
        try (TestNode node = node(1);
                Peer client = node.client()) {
            client.write(head("r1", MIB, "")).writeBytes(0, MIB / 2);
            assertThat(node.event()).startsWith("requested 1");
            try (Peer worker = node.worker()) {
                worker.readHead();
                worker.readBytes(0, MIB / 2 - 32 * KIB);
                node.act(actions -> actions.send(1, 0, Long.MAX_VALUE));
                assertThat(node.eventExceptProgress()).isEqualTo("listed FAILED");
                assertThat(node.eventExceptProgress())
                        .startsWith("ended 1 1 CANCELLED closed false");
            }
        }
    }

    /**
     * Beyond the spool nothing is sent again; as the last byte never went out, it cannot have run.
     */
    @Test
    void rejectsRequestWhoseAttemptBreaksBeyondSpool() throws Exception {
        try (TestNode node = node(2);
                Peer client = node.client()) {
            client.write(head("r1", MIB, "")).writeBytes(0, MIB / 2);
            assertThat(node.eventExceptProgress()).startsWith("requested 1");
            try (Peer worker = node.worker()) {
                worker.readHead();
                worker.readBytes(0, MIB / 2 - 32 * KIB);
                worker.reset();
            }
            assertThat(node.eventExceptProgress())
                    .startsWith("ended 1 0 CONNECT_FAILED closed true");
            assertThat(client.read())
                    .startsWith("HTTP/1.1 503 ")
                    .containsIgnoringCase("Retry-After: 1\r\n")
                    .containsIgnoringCase("Connection: close\r\n");
            awaitNoBufferedBytes(node);
        }
    }

    @Test
    void cancelsAttemptOfClientThatDisconnectsMidBody() throws Exception {
        try (TestNode node = node(2)) {
            final Peer client = node.client();
            client.write(head("r1", MIB, "")).writeBytes(0, MIB / 2);
            try (Peer worker = node.worker()) {
                worker.readHead();
                worker.readBytes(0, MIB / 4);
                client.close();
                assertThat(node.eventExceptProgress()).startsWith("requested 1");
                assertThat(node.eventExceptProgress()).isEqualTo("left 1");
                assertThat(node.eventExceptProgress())
                        .startsWith("ended 1 0 CANCELLED closed true");
                awaitNoBufferedBytes(node);
            }
        }
    }

    /** Before any of it is read, also where the client waits to be oversized to go on. */
    @Test
    void rejectsBodyAtOnceWhenBudgetIsExhausted() throws Exception {
        try (TestNode node = node(1);
                Peer first = node.client();
                Peer second = node.client();
                Peer third = node.client();
                Peer fourth = node.client()) {
            for (final Peer each : List.of(first, second, third)) {
                each.write(head("r" + each.hashCode(), MIB, "Expect: 100-continue\r\n"));
                assertThat(each.read()).startsWith("HTTP/1.1 100 ");
            }
            fourth.write(head("r4", MIB, "Expect: 100-continue\r\n"));
            assertThat(fourth.read())
                    .startsWith("HTTP/1.1 503 ")
                    .containsIgnoringCase("Retry-After: 1\r\n");
            assertThat(node.events).noneMatch(event -> event.startsWith("requested"));
            // Short bodies need none of that room.
            try (Peer other = node.client()) {
                other.write(request("r1", "", "short"));
                try (Peer worker = node.worker()) {
                    worker.read();
                    worker.write(DONE);
                    assertThat(other.read()).startsWith("HTTP/1.1 200 OK\r\n");
                }
            }
        }
    }

    @Test
    void rejectsBodyOverClassLimitAndCancelsItsAttempt() throws Exception {
        final ClassBodies small =
                new ClassBodies(300 * KIB, KIB, LONG_STALL_TIMEOUT_US, false, false);
        try (TestNode node = new TestNode(LongBodyFixture.bodies(small), 1);
                Peer client = node.client();
                Peer oversized = node.client()) {
            oversized.write(head("r2", 300 * KIB + 1, ""));
            assertThat(oversized.read())
                    .startsWith("HTTP/1.1 413 ")
                    .endsWith("body over 300 KiB\n");
            client.write(head("r1", -1, ""))
                    .write(Integer.toHexString(MIB) + "\r\n")
                    .writeBytes(0, 290 * KIB);
            try (Peer worker = node.worker()) {
                worker.readHead();
                client.writeBytes(290 * KIB, 11 * KIB);
                assertThat(client.read()).startsWith("HTTP/1.1 413 ");
                assertThat(node.eventExceptProgress()).startsWith("requested 1");
                assertThat(node.eventExceptProgress()).isEqualTo("left 1");
                assertThat(node.eventExceptProgress())
                        .startsWith("ended 1 0 CANCELLED closed true");
            }
            awaitNoBufferedBytes(node);
        }
    }

    /** What is no chunk ends the body, and with it a request that was taken. */
    @Test
    void rejectsUnterminatedChunkExtension() throws Exception {
        try (TestNode node = node(1);
                Peer client = node.client()) {
            client.write(head("r1", -1, "")).writeChunk(0, MIB / 2);
            assertThat(node.event()).startsWith("requested 1");
            try (Peer worker = node.worker()) {
                worker.readHead();
                client.write("5;" + "x".repeat(10_000));
                assertThat(client.read()).startsWith("HTTP/1.1 400 ");
                assertThat(node.eventExceptProgress()).isEqualTo("left 1");
                assertThat(node.eventExceptProgress())
                        .startsWith("ended 1 0 CANCELLED closed true");
            }
            awaitNoBufferedBytes(node);
        }
    }

    /** What comes beyond a stated length is no part of the body, and as a request it is none. */
    @Test
    void doesNotForwardBytesBeyondStatedLength() throws Exception {
        try (TestNode node = node(1);
                Peer client = node.client()) {
            client.write(head("r1", MIB / 2, "")).writeBytes(0, MIB / 2).write("more\r\n\r\n");
            try (Peer worker = node.worker()) {
                worker.readHead();
                worker.readBytes(0, MIB / 2);
                assertThat(client.isClosedByOther()).isTrue();
                assertThat(worker.hasUnreadBytes()).isFalse();
                // The job has its body whole and runs on, for nobody.
                worker.write(DONE);
                awaitNoBufferedBytes(node);
            }
        }
    }

    /** Nothing for the longest stall, while it is the client's turn. */
    @Test
    void timesOutClientThatStopsSending() throws Exception {
        try (TestNode node = bodies(300_000, 1);
                Peer client = node.client()) {
            client.write(head("r1", MIB, "")).writeBytes(0, MIB / 4);
            assertThat(client.read()).startsWith("HTTP/1.1 408 ");
            awaitNoBufferedBytes(node);
        }
    }

    /** A worker that takes nothing is at fault, its client is not. */
    @Test
    void abandonsWorkerThatStopsReading() throws Exception {
        final long length = 32L * MIB;
        try (TestNode node = bodies(2_000_000, 1);
                Peer client = node.client()) {
            client.write(head("r1", length, ""));
            final CompletableFuture<Void> writing = runAsync(() -> client.writeBytes(0, length));
            assertThat(node.eventExceptProgress()).startsWith("requested 1");
            try (Peer worker = node.worker()) {
                worker.readHead();
                assertThat(node.eventExceptProgress())
                        .startsWith("ended 1 0 CONNECT_FAILED closed true");
                awaitNoBufferedBytes(node);
            }
            // The node may have answered and closed before all was written.
            writing.exceptionally(closed -> null).join();
        }
    }

    /** Told to stop, the node carries what it took to its end. */
    @Test
    void stopWaitsForBodiesInTransit() throws Exception {
        try (TestNode node = node(1);
                Peer client = node.client()) {
            client.write(head("r1", MIB, "")).writeBytes(0, MIB / 2);
            try (Peer worker = node.worker()) {
                worker.readHead();
                final CompletableFuture<Void> stopped = node.server.stop();
                worker.readBytes(0, MIB / 4);
                // Until no more is accepted; the connection that is at work stays.
                while (!refuses(node)) {
                    Thread.onSpinWait();
                }
                assertThat(stopped).isNotDone();
                client.writeBytes(MIB / 2, MIB / 2);
                worker.readBytes(MIB / 4, 3 * MIB / 4);
                worker.write(DONE);
                assertThat(client.read())
                        .startsWith("HTTP/1.1 200 OK\r\n")
                        .containsIgnoringCase("Connection: close\r\n");
                stopped.get(8, TimeUnit.SECONDS);
            }
        }
    }

    private static boolean refuses(TestNode node) {
        try {
            node.client().close();
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Chunks of one byte: what is held for each of them is counted, not only its byte. */
    @Test
    void buffersWithinLimitForFloodOfOneByteChunks() throws Exception {
        final int thousands = 400;
        try (TestNode node = node(1);
                Peer client = node.client()) {
            client.write(head("r1", -1, ""));
            final CompletableFuture<Void> writing =
                    runAsync(
                            () -> {
                                for (int i = 0; i < thousands; i++) {
                                    client.write("1;x=y\r\na\r\n".repeat(1000));
                                }
                                client.write("0\r\n\r\n");
                            });
            try (Peer worker = node.worker()) {
                worker.readHead();
                while (bufferedBytes(node) <= MAX_BYTES_PER_BODY - 64 * KIB && !writing.isDone()) {
                    Thread.onSpinWait();
                }
                assertThat(bufferedBytes(node)).isLessThanOrEqualTo(MAX_BYTES_PER_BODY);
                worker.write(DONE);
                assertThat(client.read()).startsWith("HTTP/1.1 200 OK\r\n");
            }
            client.reset();
            writing.exceptionally(gone -> null).join();
        }
    }
}
