package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.entry;
import static cresschute.node.TestNode.list;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that the changes of a pushed endpoint list take effect although the dispatcher never polls:
 * with {@code membershipMode} set to {@code push}, what discovery has counts as notified from the
 * first moment of the process, whether or not a watch is open.
 */
@Timeout(60)
class PushedListTest extends RaceFixture {

    /** The grace of a drain, ms. */
    private static final long GRACE_MS = 400;

    /** How long a change may take if a watch has fallen silent, ms. */
    private static final long MAX_PROPAGATION_MS = 6_000;

    /** A grace that is shorter than the pauses made for the usual one, us. */
    private static final long SHORT_GRACE_US = 60_000;

    /** How many watches a test breaks before a pause has surely reached its limit. */
    private static final int BROKEN_WATCHES = 30;

    /** How long these take at least with the pauses made for the usual grace, ms. */
    private static final long USUAL_PAUSES_MS = 2_000;

    /** How long a node may take to start if discovery does not answer, ms. */
    private static final long SILENT_START_MS = 6_000;

    private ServerSocket agent;

    @BeforeEach
    void listen() throws IOException {
        agent = Peer.listen();
    }

    @AfterEach
    void closeAgent() throws IOException {
        agent.close();
    }

    private UnaryOperator<String> withAgent(String mode) {
        final int port = agent.getLocalPort();
        return text ->
                text.replaceFirst(
                                "\"discovery\":\"127.0.0.1:[0-9]+\"",
                                "\"discovery\":\"127.0.0.1:" + port + "\"")
                        .replace(
                                "\"membershipMode\":\"ask\"",
                                "\"membershipMode\":\"" + mode + "\"");
    }

    private String withShortGrace(String config) {
        return withAgent("push")
                .apply(config)
                .replace(
                        "\"membershipMode\"",
                        "\"rules\":{\"drainGraceUs\":" + SHORT_GRACE_US + "},\"membershipMode\"");
    }

    private static <T> CompletableFuture<T> async(Callable<T> task) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return task.call();
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private CompletableFuture<TestNode> startNode() {
        return async(() -> TestNode.configured(withAgent("push"), SEND_NOTHING));
    }

    /** Accepts the first call of a watch, which needs its response at once, and answers it. */
    private Peer acceptWatch(int since, String newList) throws IOException {
        final Peer discovery = Peer.accept(agent);
        peers.add(discovery);
        assertThat(discovery.read()).contains("?since=" + since + "&timeout_ms=1 ");
        discovery.write(answer("200 OK", "", newList));
        return discovery;
    }

    /** Starts a node whose watch is open, and returns discovery's end of it. */
    private Peer openWatch(CompletableFuture<TestNode> starting) throws Exception {
        final Peer discovery = acceptWatch(1, list(1, false, ""));
        assertThat(discovery.read()).contains("?since=1&timeout_ms=2000 ");
        final TestNode node = starting.get(8, TimeUnit.SECONDS);
        assertThat(node.event()).isEqualTo("listed CHANGES");
        return discovery;
    }

    private static long millisSince(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    /** Guards against a node that with pushed lists sends to a draining worker for ever. */
    @Test
    void sendsNothingToWorkerThatBeginsToDrain() throws Exception {
        try (AnsweringWorker first = new AnsweringWorker(false);
                AnsweringWorker second = new AnsweringWorker(false)) {
            final String both =
                    entry("s-1", first.server, "SERVING")
                            + ","
                            + entry("s-2", second.server, "SERVING");
            final NodeServer node =
                    new NodeServer(
                            NodeConfigParser.parse(
                                    withAgent("push")
                                            .apply(TestNode.config(agent, list(1, true, both))),
                                    Map.of()));
            final CompletableFuture<SocketAddress> starting = async(node::start);
            try {
                final Peer discovery = acceptWatch(1, list(1, false, ""));
                assertThat(discovery.read()).contains("?since=1&");
                final SocketAddress address = starting.get(8, TimeUnit.SECONDS);
                serveJobs(address, "before");
                final boolean firstIsUsed = first.jobs() > 0;
                final AnsweringWorker draining = firstIsUsed ? first : second;
                final String id = firstIsUsed ? "s-1" : "s-2";
                discovery.write(
                        answer(
                                "200 OK",
                                "",
                                list(2, false, entry(id, draining.server, "DRAINING"))));
                // The next call shows that the node has the change.
                assertThat(discovery.read()).contains("?since=2&");
                final int before = draining.jobs();
                serveJobs(address, "after");
                assertThat(draining.jobs()).isEqualTo(before);
            } finally {
                node.halt();
            }
        }
    }

    private static void serveJobs(SocketAddress address, String name) throws IOException {
        try (Peer client = Peer.connect(address)) {
            for (int i = 0; i < 20; i++) {
                client.write(TestNode.request(name + i, "", ""));
                assertThat(client.read()).startsWith("HTTP/1.1 200");
            }
        }
    }

    /** Guards against a new process that sends to workers which its last known list names. */
    @Test
    void startsWithListOfDiscoveryInsteadOfLastKnownList() throws Exception {
        final CompletableFuture<TestNode> starting = startNode();
        final Peer discovery = Peer.accept(agent);
        peers.add(discovery);
        assertThat(discovery.read()).contains("?since=1&timeout_ms=1 ");
        assertThat(starting.isDone()).as("clients may connect").isFalse();
        discovery.write(answer("200 OK", "", list(2, true, entry("s-2", agent, "SERVING"))));
        try (TestNode node = starting.get(8, TimeUnit.SECONDS)) {
            assertThat(node.events.poll()).startsWith("listed CACHED 0READY");
            // In the same turn, before any request.
            assertThat(node.events.poll()).isEqualTo("listed FULL 1READY7000");
        }
    }

    /** Guards against a node that never starts because discovery says nothing. */
    @Test
    void startsWithLastKnownListIfDiscoveryIsSilent() throws Exception {
        final long startNs = System.nanoTime();
        try (TestNode node = startNode().get(SILENT_START_MS, TimeUnit.MILLISECONDS)) {
            assertThat(node.events.poll()).startsWith("listed CACHED 0READY");
            assertThat(millisSince(startNs)).isLessThan(SILENT_START_MS);
        }
    }

    /** Guards against a drain that is missed for as long as a polled watch stays closed. */
    @Test
    void reopensBrokenWatchWithinGrace() throws Exception {
        final CompletableFuture<TestNode> starting = startNode();
        final Peer discovery = openWatch(starting);
        try (TestNode node = starting.get()) {
            final long startNs = System.nanoTime();
            discovery.reset();
            assertDrainArrivesWithinGrace(node, startNs);
        }
    }

    /** Guards against a backoff that outlasts the grace once discovery is back. */
    @Test
    void reopensWatchWithinGraceAfterOutage() throws Exception {
        final CompletableFuture<TestNode> starting = startNode();
        final Peer discovery = openWatch(starting);
        try (TestNode node = starting.get()) {
            final int port = agent.getLocalPort();
            agent.close();
            discovery.reset();
            awaitDelayedTimer(node);
            awaitDelayedTimer(node);
            agent = Peer.listen(port);
            assertDrainArrivesWithinGrace(node, System.nanoTime());
        }
    }

    /** Guards against pauses that are longer than the grace of the settings. */
    @Test
    void reopensWatchSoonerIfGraceIsShort() throws Exception {
        final CompletableFuture<TestNode> starting =
                async(() -> TestNode.configured(this::withShortGrace, SEND_NOTHING));
        final Peer discovery = openWatch(starting);
        try (TestNode node = starting.get()) {
            assertWatchesReopenSooner(discovery);
            assertThat(node.server.invariantBreaches()).isZero();
        }
    }

    /** Guards against pauses that keep to the grace that the settings had at the start. */
    @Test
    void reopensWatchSoonerIfGraceBecomesShort() throws Exception {
        final CompletableFuture<TestNode> starting = startNode();
        final Peer discovery = openWatch(starting);
        try (TestNode node = starting.get()) {
            reload(node, this::withShortGrace);
            assertWatchesReopenSooner(discovery);
        }
    }

    private void assertWatchesReopenSooner(Peer openWatch) throws IOException {
        final long startNs = System.nanoTime();
        openWatch.reset();
        for (int i = 0; i < BROKEN_WATCHES; i++) {
            Peer.accept(agent).reset();
        }
        assertThat(millisSince(startNs)).isLessThan(USUAL_PAUSES_MS);
    }

    /** Answers the next watch with a drain, which must reach the dispatcher within the grace. */
    private void assertDrainArrivesWithinGrace(TestNode node, long startNs) throws Exception {
        acceptWatch(1, list(2, false, entry("s-1", node.worker, "DRAINING")));
        assertThat(node.event()).isEqualTo("listed CHANGES 0DRAINING7000");
        assertThat(millisSince(startNs)).isLessThan(GRACE_MS);
    }

    /** Guards against workers that are never used, or used for ever, although discovery knows. */
    @Test
    void followsWorkersThatJoinAndLeave() throws Exception {
        final CompletableFuture<TestNode> starting = startNode();
        final Peer discovery = openWatch(starting);
        try (TestNode node = starting.get()) {
            final String joined = entry("s-2", node.worker, "SERVING");
            discovery.write(answer("200 OK", "", list(2, false, joined)));
            assertThat(node.event()).isEqualTo("listed CHANGES 1READY7000");
            assertThat(discovery.read()).contains("?since=2&");
            final String left = entry("s-1", node.worker, "DELETED");
            discovery.write(answer("200 OK", "", list(3, false, left)));
            assertThat(node.event()).isEqualTo("listed CHANGES 0GONE7000");
        }
    }

    /** Guards against a node that never starts, or never calls again, if discovery is down. */
    @Test
    void startsWithLastKnownListIfDiscoveryIsDown() throws Exception {
        final int port = agent.getLocalPort();
        final UnaryOperator<String> config = withAgent("push");
        agent.close();
        final CompletableFuture<TestNode> starting =
                async(() -> TestNode.configured(config, SEND_NOTHING));
        try (TestNode node = starting.get(SILENT_START_MS, TimeUnit.MILLISECONDS)) {
            assertThat(node.events.poll()).startsWith("listed CACHED 0READY");
            agent = Peer.listen(port);
            assertDrainArrivesWithinGrace(node, System.nanoTime());
        }
    }

    /** Guards against a watch that stays silent for longer than a change may take. */
    @Test
    void reopensWatchThatFallsSilent() throws Exception {
        final CompletableFuture<TestNode> starting = startNode();
        openWatch(starting);
        try (TestNode node = starting.get()) {
            final long startNs = System.nanoTime();
            acceptWatch(1, list(2, false, entry("s-1", node.worker, "DRAINING")));
            assertThat(node.event()).isEqualTo("listed CHANGES 0DRAINING7000");
            assertThat(millisSince(startNs)).isLessThan(MAX_PROPAGATION_MS);
        }
    }

    /** Guards against a reload that leaves the list as the first configuration had it. */
    @Test
    void opensWatchWhenListBecomesPushed() throws Exception {
        try (TestNode node = TestNode.configured(withAgent("ask"), SEND_NOTHING)) {
            reloadMode(node, "push");
            acceptWatch(1, list(2, false, entry("s-1", node.worker, "DRAINING")));
            assertThat(eventStarting(node, "listed CHANGES")).endsWith(" 0DRAINING7000");
        }
    }

    /** Guards against a list that nobody watches after it was pushed. */
    @Test
    void reportsFailureOnceListIsPolled() throws Exception {
        final CompletableFuture<TestNode> starting = startNode();
        final Peer discovery = openWatch(starting);
        try (TestNode node = starting.get()) {
            reloadMode(node, "ask");
            assertThat(node.event()).startsWith("settings changed");
            discovery.reset();
            assertThat(node.event()).isEqualTo("listed FAILED");
        }
    }

    /** Guards against the same, if no watch is open when the list is no longer pushed. */
    @Test
    void reportsFailureIfNoWatchIsOpenWhenListBecomesPolled() throws Exception {
        final CompletableFuture<TestNode> starting = startNode();
        final Peer discovery = openWatch(starting);
        try (TestNode node = starting.get()) {
            agent.close();
            discovery.reset();
            awaitDelayedTimer(node);
            reloadMode(node, "ask");
            assertThat(eventStarting(node, "listed")).isEqualTo("listed FAILED");
        }
    }

    private void reloadMode(TestNode node, String mode) throws Exception {
        reload(node, withAgent(mode));
    }
}
