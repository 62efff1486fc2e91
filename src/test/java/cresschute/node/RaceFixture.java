package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DispatcherActions;
import cresschute.settings.NodeSettings.Bodies;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;

/**
 * Base class of the race tests. Each race is forced, either by a worker that does not accept
 * connections yet, or by a peer that writes or closes while the node's event loop is blocked.
 */
abstract class RaceFixture {

    static final BiConsumer<DispatcherActions, Integer> SEND_NOTHING = (actions, request) -> {};

    static final BiConsumer<DispatcherActions, Integer> SEND_AT_ONCE =
            (actions, request) -> actions.send(request, 0, Long.MAX_VALUE);

    final List<Peer> peers = new ArrayList<>();

    @AfterEach
    void closePeers() throws IOException {
        for (final Peer peer : peers) {
            peer.close();
        }
    }

    static String done(String id) {
        return answer(
                "200 OK",
                "",
                "{\"id\":\""
                        + id
                        + "\",\"from\":\"s-1\",\"state\":\"done\","
                        + "\"result\":\"of "
                        + id
                        + "\"}\n");
    }

    /**
     * Starts a node with a connect timeout of 20 s, so that a connection to its worker stays
     * pending until the worker accepts it.
     */
    static TestNode withLongConnectTimeout(BiConsumer<DispatcherActions, Integer> onRequest)
            throws Exception {
        return withLongConnectTimeout(onRequest, null);
    }

    static TestNode withLongConnectTimeout(
            BiConsumer<DispatcherActions, Integer> onRequest, Bodies bodies) throws Exception {
        return TestNode.configured(
                text ->
                        text.replace(
                                "\"connectTimeoutUs\":250000", "\"connectTimeoutUs\":20000000"),
                onRequest,
                bodies);
    }

    /**
     * Fills a listener's accept backlog: further connections are established only once some of
     * these are accepted.
     */
    void fillBacklog(ServerSocket listener) throws IOException {
        for (int i = 0; i <= Peer.BACKLOG; i++) {
            peers.add(Peer.connect(listener.getLocalSocketAddress()));
        }
    }

    void acceptBacklog(ServerSocket listener) throws IOException {
        for (int i = 0; i <= Peer.BACKLOG; i++) {
            peers.add(Peer.accept(listener));
        }
    }

    /**
     * An action of a test that runs while the loop is blocked: nothing that it makes readable is
     * read before it ends.
     */
    @FunctionalInterface
    interface WhileLoopBlocked {
        void run(DispatcherActions actions) throws Exception;
    }

    /**
     * Blocks the loop while the action runs; the dispatcher actions that it requests run before
     * anything else is read.
     */
    static void whileLoopBlocked(TestNode node, WhileLoopBlocked then) throws Exception {
        final CompletableFuture<Void> over = new CompletableFuture<>();
        node.act(
                actions -> {
                    try {
                        then.run(actions);
                        over.complete(null);
                    } catch (Exception | AssertionError e) {
                        over.completeExceptionally(e);
                    }
                });
        over.get(8, TimeUnit.SECONDS);
    }

    /**
     * Reads an attempt and sends no answer. Keeps a reference to the peer, because an unreferenced
     * socket may be closed at any time.
     */
    void readWithoutAnswering(TestNode node) throws IOException {
        final Peer worker = node.worker();
        peers.add(worker);
        worker.read();
    }

    static String eventStarting(TestNode node, String start) throws InterruptedException {
        String event = node.event();
        while (event != null && !event.startsWith(start)) {
            event = node.event();
        }
        return event;
    }

    static final long DEADLINE_US = 5_000_000;

    static final long TIMER_DELAY_US = 400_000;

    /**
     * The part of a request's time that the node reserves for the transmission of the answer and
     * for rounding, us.
     */
    static final long MARGIN_US = 15_002;

    static final Pattern DEADLINE_HEADER = Pattern.compile("(?i)X-Deadline: ([0-9]+)u\r\n");

    /** Waits until a timer of the node with a delay of {@value #TIMER_DELAY_US} us has fired. */
    static void awaitDelayedTimer(TestNode node) throws InterruptedException {
        node.act(actions -> actions.startTimer(5, TIMER_DELAY_US));
        assertThat(eventStarting(node, "timer fired")).isEqualTo("timer fired 5");
    }

    /**
     * Waits for the next turn, until the dispatcher's actions have run: connecting is a separate
     * task of the loop.
     */
    static void awaitTurn(TestNode node) throws InterruptedException {
        node.act(actions -> actions.startTimer(6, 0));
        assertThat(eventStarting(node, "timer fired")).isEqualTo("timer fired 6");
    }

    /**
     * Checks the deadline that an attempt stated to its worker: at most the remaining time, and at
     * least that minus the margin.
     */
    static void assertStatesRemainingTime(String head, long clientSentNs) {
        final Matcher stated = DEADLINE_HEADER.matcher(head);
        assertThat(stated.find()).as(head).isTrue();
        assertThat(Long.parseLong(stated.group(1)))
                .isLessThanOrEqualTo(DEADLINE_US - TIMER_DELAY_US)
                .isGreaterThanOrEqualTo(
                        DEADLINE_US - MARGIN_US - (System.nanoTime() - clientSentNs) / 1_000);
    }

    /** The ways in which a client closes its connection so that the close stays unread. */
    enum Close {
        END,
        RESET,
        HALF,
        BEHIND_REQUESTS;

        void by(Peer client) throws IOException {
            switch (this) {
                case END -> client.disconnect();
                case RESET -> client.reset();
                case HALF -> client.shutdownOutput();
                default -> {
                    for (int i = 1; i <= 20; i++) {
                        client.write(request("behind" + i, "", "body"));
                    }
                    client.disconnect();
                }
            }
        }
    }

    /**
     * Serves r1 as soon as the dispatcher sends it, and keeps the connection to the worker open.
     */
    static Peer keepConnection(TestNode node, Peer client) throws IOException {
        client.write(request("r1", "", ""));
        final Peer worker = node.worker();
        worker.read();
        worker.write(done("r1"));
        client.read();
        return worker;
    }

    /**
     * Serves r1, keeps the connection to the worker open, and submits r2, which the dispatcher does
     * not send yet.
     */
    static Peer keepConnectionWithPendingRequest(TestNode node, Peer client, Peer next)
            throws Exception {
        client.write(request("r1", "", ""));
        assertThat(node.event()).startsWith("requested 1");
        node.act(actions -> actions.send(1, 0, Long.MAX_VALUE));
        final Peer worker = node.worker();
        worker.read();
        worker.write(done("r1"));
        assertThat(client.read()).endsWith("of r1");
        next.write(request("r2", "", ""));
        assertThat(eventStarting(node, "requested")).startsWith("requested 2");
        return worker;
    }

    static final UnaryOperator<String> WITH_TENANTS =
            text ->
                    text.replace(
                            "\"zones\":",
                            "\"tenants\":[{\"name\":\"alpha\",\"quotaPerS\":5},{\"name\":\"beta"
                                    + " co\",\"quotaPerS\":7}],\"zones\":");

    /**
     * Reloads the node with a changed configuration, which is in force when this method returns.
     */
    static void reload(TestNode node, UnaryOperator<String> change) throws Exception {
        final String text = change.apply(node.configText());
        node.server.reload(() -> NodeConfigParser.parse(text, java.util.Map.of()));
        node.server.loop().submit(() -> {}).get(8, TimeUnit.SECONDS);
    }

    /**
     * Begins a watch. Returns discovery's end of the connection, with the first call still
     * unanswered.
     */
    static Peer watch(TestNode node) throws Exception {
        node.act(DispatcherActions::pollEndpointList);
        final Peer discovery = node.discovery();
        discovery.read();
        assertThat(node.event()).isEqualTo("listed FAILED");
        return discovery;
    }
}
