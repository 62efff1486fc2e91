package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DispatcherActions;
import cresschute.settings.ApplianceSettings.Bodies;
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
 * What the tests of crossing events share: each crossing is forced, by a worker that does not
 * accept yet, or by a peer that writes or closes while the node's loop is held.
 */
abstract class CrossingFixture {

    static final BiConsumer<DispatcherActions, Integer> HOLDS = (actions, request) -> {};

    static final BiConsumer<DispatcherActions, Integer> SENDS =
            (actions, request) -> actions.send(request, 0, Long.MAX_VALUE);

    final List<Peer> held = new ArrayList<>();

    @AfterEach
    void letGo() throws IOException {
        for (final Peer peer : held) {
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
     * A node to whose worker connections do not come up until it accepts, which may take for ever.
     */
    static TestNode patient(BiConsumer<DispatcherActions, Integer> onRequest) throws Exception {
        return patient(onRequest, null);
    }

    static TestNode patient(BiConsumer<DispatcherActions, Integer> onRequest, Bodies bodies)
            throws Exception {
        return TestNode.configured(
                text ->
                        text.replace(
                                "\"connectTimeoutUs\":250000", "\"connectTimeoutUs\":20000000"),
                onRequest,
                bodies);
    }

    /**
     * Fills a listener's queue: further connections come up only once some of these are accepted.
     */
    void fill(ServerSocket listener) throws IOException {
        for (int i = 0; i <= Peer.BACKLOG; i++) {
            held.add(Peer.connect(listener.getLocalSocketAddress()));
        }
    }

    void acceptFilled(ServerSocket listener) throws IOException {
        for (int i = 0; i <= Peer.BACKLOG; i++) {
            held.add(Peer.accept(listener));
        }
    }

    /**
     * Something a test does while the loop is held: nothing that it makes ready is read before it
     * ends.
     */
    @FunctionalInterface
    interface WhileHeld {
        void run(DispatcherActions actions) throws Exception;
    }

    /**
     * Holds the loop; what the module asks for meanwhile is carried out before anything else is
     * read.
     */
    static void holding(TestNode node, WhileHeld then) throws Exception {
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
     * Takes an attempt and answers nothing. Held: a socket that nobody refers to may be closed at
     * any time.
     */
    void hang(TestNode node) throws IOException {
        final Peer worker = node.worker();
        held.add(worker);
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

    static final long HELD_US = 400_000;

    /** What the node keeps of a request's time for the way of its answer, and for rounding, us. */
    static final long MARGIN_US = 15_002;

    static final Pattern TOLD = Pattern.compile("(?i)X-Deadline: ([0-9]+)u\r\n");

    /** Waits until the node's own timer has run for {@value #HELD_US} us. */
    static void untilTimerRan(TestNode node) throws InterruptedException {
        node.act(actions -> actions.startTimer(5, HELD_US));
        assertThat(eventStarting(node, "timer fired")).isEqualTo("timer fired 5");
    }

    /** Waits until what the module asked for is carried out: connecting is a task of its own. */
    static void untilItHasTurned(TestNode node) throws InterruptedException {
        node.act(actions -> actions.startTimer(6, 0));
        assertThat(eventStarting(node, "timer fired")).isEqualTo("timer fired 6");
    }

    /**
     * What an attempt told its worker: no more than is left, and no less than that and the margin.
     */
    static void assertTellsWhatIsLeft(String head, long clientSentNs) {
        final Matcher told = TOLD.matcher(head);
        assertThat(told.find()).as(head).isTrue();
        assertThat(Long.parseLong(told.group(1)))
                .isLessThanOrEqualTo(DEADLINE_US - HELD_US)
                .isGreaterThanOrEqualTo(
                        DEADLINE_US - MARGIN_US - (System.nanoTime() - clientSentNs) / 1_000);
    }

    /** The ways in which a client's close comes to lie unread. */
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

    /** Serves r1, as the module sends it, on a connection to the worker that is kept. */
    static Peer kept(TestNode node, Peer client) throws IOException {
        client.write(request("r1", "", ""));
        final Peer worker = node.worker();
        worker.read();
        worker.write(done("r1"));
        client.read();
        return worker;
    }

    /**
     * Serves r1 on a connection to the worker that is kept, with r2 taken and held by the module.
     */
    static Peer keptWithRequestHeld(TestNode node, Peer client, Peer next) throws Exception {
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

    static final UnaryOperator<String> SHARED =
            text ->
                    text.replace(
                            "\"zones\":",
                            "\"tenants\":[{\"name\":\"alpha\",\"quotaPerS\":5},{\"name\":\"beta"
                                    + " co\",\"quotaPerS\":7}],\"zones\":");

    /** Takes this configuration in place of the node's own; it is in force when this returns. */
    static void reload(TestNode node, UnaryOperator<String> change) throws Exception {
        final String text = change.apply(node.configText());
        node.server.reload(() -> NodeConfigParser.parse(text, java.util.Map.of()));
        node.server.loop().submit(() -> {}).get(8, TimeUnit.SECONDS);
    }

    /** Begins a watch; the connection on which discovery has its first call, unanswered. */
    static Peer watch(TestNode node) throws Exception {
        node.act(DispatcherActions::pollEndpointList);
        final Peer discovery = node.discovery();
        discovery.read();
        assertThat(node.event()).isEqualTo("listed FAILED");
        return discovery;
    }
}
