package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.entry;
import static cresschute.node.TestNode.list;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DispatcherActions;
import cresschute.settings.ApplianceSettings.Bodies;
import cresschute.settings.ApplianceSettings.ClassBodies;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two events that cross, each time forced: a worker that does not accept yet, or a peer that writes
 * or closes while the node's loop is held between the one and the other. See
 * docs/results/crossings.md.
 */
@Timeout(30)
class CrossingRulesTest {

    private static final BiConsumer<DispatcherActions, Integer> HOLDS = CrossingRulesTest::holds;
    private static final BiConsumer<DispatcherActions, Integer> SENDS = CrossingRulesTest::sends;

    private final List<Peer> held = new ArrayList<>();

    static void holds(DispatcherActions actions, int request) {}

    static void sends(DispatcherActions actions, int request) {
        actions.send(request, 0, Long.MAX_VALUE);
    }

    @AfterEach
    void letGo() throws IOException {
        for (final Peer peer : held) {
            peer.close();
        }
    }

    private static String done(String id) {
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
    private static TestNode patient(BiConsumer<DispatcherActions, Integer> onRequest)
            throws Exception {
        return patient(onRequest, null);
    }

    private static TestNode patient(BiConsumer<DispatcherActions, Integer> onRequest, Bodies bodies)
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
    private void fill(ServerSocket listener) throws IOException {
        for (int i = 0; i <= Peer.BACKLOG; i++) {
            held.add(Peer.connect(listener.getLocalSocketAddress()));
        }
    }

    private void acceptFilled(ServerSocket listener) throws IOException {
        for (int i = 0; i <= Peer.BACKLOG; i++) {
            held.add(Peer.accept(listener));
        }
    }

    /**
     * Something a test does while the loop is held: nothing that it makes ready is read before it
     * ends.
     */
    @FunctionalInterface
    private interface WhileHeld {
        void run(DispatcherActions actions) throws Exception;
    }

    /**
     * Holds the loop; what the module asks for meanwhile is carried out before anything else is
     * read.
     */
    private static void holding(TestNode node, WhileHeld then) throws Exception {
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
    private void hang(TestNode node) throws IOException {
        final Peer worker = node.worker();
        held.add(worker);
        worker.read();
    }

    private static String eventStarting(TestNode node, String start) throws InterruptedException {
        String event = node.event();
        while (event != null && !event.startsWith(start)) {
            event = node.event();
        }
        return event;
    }

    // ---- A connection that comes up ----

    /** Leaving did not stop the write: the job ran for nobody, up to the connect time-out later. */
    @Test
    void nothingIsSentForAClientThatLeftWhileTheConnectionCameUp() throws Exception {
        try (TestNode node = patient(SENDS);
                Peer other = node.client()) {
            fill(node.worker);
            final Peer client = node.client().write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            untilItHasTurned(node);
            client.leave();
            assertThat(node.event()).isEqualTo("left 1");
            assertThat(node.event()).startsWith("ended 1 0 CANCELLED closed true");
            acceptFilled(node.worker);
            other.write(request("r2", "", ""));
            assertThat(node.worker().read()).contains("X-Request-Id: r2");
        }
    }

    /** The same where the module gave the request up before its connection was there. */
    @Test
    void nothingIsSentForARequestThatWasRefusedWhileTheConnectionCameUp() throws Exception {
        try (TestNode node = patient(SENDS);
                Peer client = node.client()) {
            fill(node.worker);
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            node.act(actions -> actions.reject(1, 0));
            assertThat(client.read()).startsWith("HTTP/1.1 503");
            assertThat(eventStarting(node, "ended")).startsWith("ended 1 0 CANCELLED closed true");
        }
    }

    /**
     * Connecting may take longer than a drain's grace: what is told meanwhile ends the attempt,
     * unsent.
     */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone", "left out", "moved", "restarted"})
    void nothingIsSentToAWorkerOfWhichMoreWasToldWhileTheConnectionCameUp(String what)
            throws Exception {
        try (TestNode node = patient(SENDS);
                Peer client = node.client();
                ServerSocket moved = Peer.listen()) {
            fill(node.worker);
            node.act(DispatcherActions::pollEndpointList);
            final Peer discovery = node.discovery();
            discovery.read();
            client.write(request("r1", "", ""));
            assertThat(eventStarting(node, "requested")).startsWith("requested 1");
            discovery.write(
                    answer(
                            "200 OK",
                            "",
                            switch (what) {
                                case "draining" ->
                                        list(2, false, entry("s-1", node.worker, "DRAINING"));
                                case "gone" -> list(2, false, entry("s-1", node.worker, "DELETED"));
                                case "left out" -> list(2, true, "");
                                case "moved" -> list(2, false, entry("s-1", moved, "SERVING"));
                                default ->
                                        list(
                                                2,
                                                false,
                                                entry("s-1", node.worker, "SERVING")
                                                        .replace(":7}", ":8}"));
                            }));
            assertThat(eventStarting(node, "ended")).startsWith("ended 1 0 NOT_SENT closed false");
            assertThat(client.read()).startsWith("HTTP/1.1 503");
        }
    }

    @Test
    void nothingIsSentToAWorkerThatAnOperatorTookOutWhileTheConnectionCameUp(@TempDir Path shared)
            throws Exception {
        try (TestNode node = new TestNode(shared, null);
                Peer client = node.client()) {
            fill(node.worker);
            // The call is carried out within the connect time-out, which here is the usual one.
            try (Peer operator = Peer.connect(node.server.managementAddress())) {
                client.write(request("r1", "", ""));
                assertThat(node.event()).startsWith("requested 1");
                operator.write("disable-server s-1\n");
                assertThat(eventStarting(node, "ended"))
                        .startsWith("ended 1 0 NOT_SENT closed false");
                assertThat(operator.readLine()).startsWith("200");
            }
        }
    }

    /**
     * The client leaves and its worker drains, in this order and the other one: one end, nothing
     * sent.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void endsOnceWhereAClientLeavesAndItsWorkerDrains(boolean leavesFirst) throws Exception {
        try (TestNode node = patient(SENDS);
                Peer client = node.client()) {
            fill(node.worker);
            node.act(DispatcherActions::pollEndpointList);
            final Peer discovery = node.discovery();
            discovery.read();
            client.write(request("r1", "", ""));
            assertThat(eventStarting(node, "requested")).startsWith("requested 1");
            untilItHasTurned(node);
            final String news =
                    answer("200 OK", "", list(2, false, entry("s-1", node.worker, "DRAINING")));
            if (leavesFirst) {
                client.leave();
                assertThat(eventStarting(node, "left")).isEqualTo("left 1");
                assertThat(node.event()).startsWith("ended 1 0 CANCELLED closed true");
                discovery.write(news);
                assertThat(node.event()).startsWith("listed CHANGES 0DRAINING");
            } else {
                holding(
                        node,
                        actions -> {
                            discovery.write(news);
                            client.leave();
                        });
                assertThat(eventStarting(node, "ended")).startsWith("ended 1 0 ");
            }
            // A call after the news shows that the watch went on and that no further end came
            // before it.
            assertThat(discovery.read()).contains("since=2&");
            node.act(actions -> actions.startTimer(5, 0));
            assertThat(node.events.stream().filter(each -> each.startsWith("ended")).count())
                    .isZero();
        }
    }

    private static final long DEADLINE_US = 5_000_000;
    private static final long HELD_US = 400_000;

    /** What the node keeps of a request's time for the way of its answer, and for rounding, us. */
    private static final long MARGIN_US = 15_002;

    private static final Pattern TOLD = Pattern.compile("(?i)X-Deadline: ([0-9]+)u\r\n");

    /** Waits until the node's own timer has run for {@value #HELD_US} us. */
    private static void untilTimerRan(TestNode node) throws InterruptedException {
        node.act(actions -> actions.startTimer(5, HELD_US));
        assertThat(eventStarting(node, "woken")).isEqualTo("woken 5");
    }

    /** Waits until what the module asked for is carried out: connecting is a task of its own. */
    private static void untilItHasTurned(TestNode node) throws InterruptedException {
        node.act(actions -> actions.startTimer(6, 0));
        assertThat(eventStarting(node, "woken")).isEqualTo("woken 6");
    }

    /**
     * What an attempt told its worker: no more than is left, and no less than that and the margin.
     */
    private static void assertTellsWhatIsLeft(String head, long clientSentNs) {
        final Matcher told = TOLD.matcher(head);
        assertThat(told.find()).as(head).isTrue();
        assertThat(Long.parseLong(told.group(1)))
                .isLessThanOrEqualTo(DEADLINE_US - HELD_US)
                .isGreaterThanOrEqualTo(
                        DEADLINE_US - MARGIN_US - (System.nanoTime() - clientSentNs) / 1_000);
    }

    /**
     * The head was made when the attempt was chosen, and told the time that connecting took as
     * left.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void tellsWhatIsLeftWhenTheConnectionIsUp(boolean further) throws Exception {
        try (TestNode node = patient(further ? SENDS : HOLDS);
                Peer client = node.client()) {
            final long sentNs = System.nanoTime();
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            if (further) {
                hang(node);
            }
            fill(node.worker);
            node.act(actions -> actions.send(1, 0, Long.MAX_VALUE));
            untilTimerRan(node);
            acceptFilled(node.worker);
            assertTellsWhatIsLeft(node.worker().read(), sentNs);
        }
    }

    /** The same on a connection that was kept, for an attempt that the module held back. */
    @Test
    void tellsWhatIsLeftOnAKeptConnection() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final long sentNs = System.nanoTime();
            final Peer worker = keptWithRequestHeld(node, client, next);
            untilTimerRan(node);
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertTellsWhatIsLeft(worker.read(), sentNs);
        }
    }

    /**
     * The same for a request that waited behind others of its connection until there was room for
     * it.
     */
    @Test
    void tellsWhatIsLeftAfterAWaitForRoom() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client()) {
            final long sentNs = System.nanoTime();
            for (int i = 1; i <= 17; i++) {
                client.write(request("r" + i, "", ""));
            }
            assertThat(eventStarting(node, "requested 16")).isNotNull();
            untilTimerRan(node);
            node.act(actions -> actions.reject(1, 0));
            assertThat(eventStarting(node, "requested 17")).isNotNull();
            node.act(actions -> actions.send(17, 0, Long.MAX_VALUE));
            assertTellsWhatIsLeft(node.worker().read(), sentNs);
        }
    }

    /**
     * A stalled loop handles the connection before the timer that ends its attempt: no byte goes
     * out.
     */
    @Test
    void beginsNoAttemptWhoseTimeIsUp() throws Exception {
        try (TestNode node = patient(HOLDS);
                Peer client = node.client()) {
            fill(node.worker);
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            node.act(actions -> actions.send(1, 0, System.currentTimeMillis() * 1_000 + HELD_US));
            untilItHasTurned(node);
            // Its SYN is sent again a second after the first, well after the time of the attempt is
            // up.
            final List<Peer> accepted = new ArrayList<>();
            holding(
                    node,
                    actions -> {
                        acceptFilled(node.worker);
                        accepted.add(node.worker());
                    });
            assertThat(accepted.get(0).isClosedByOther()).isTrue();
            assertThat(eventStarting(node, "ended"))
                    .startsWith("ended 1 0 CONNECT_FAILED closed false");
        }
    }

    // ---- Clients that leave ----

    /**
     * The end came behind the request in one pass, and was read one pass later: the job was sent
     * for nobody.
     */
    @Test
    void sendsNothingForAClientWhoseEndCameWithItsRequest() throws Exception {
        try (TestNode node = new TestNode()) {
            final Peer client = node.client().write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            final Peer worker = node.worker();
            worker.read();
            worker.write(done("r1"));
            client.read();
            assertThat(eventStarting(node, "ended")).contains("SERVED");
            holding(node, actions -> client.write(request("r2", "", "")).leave());
            assertThat(eventStarting(node, "requested")).startsWith("requested 2");
            assertThat(node.event()).isEqualTo("left 2");
            assertThat(node.event()).startsWith("ended 2 0 NOT_SENT closed true");
            assertThat(worker.hasNews()).isFalse();
        }
    }

    /** The ways in which a client's close comes to lie unread. */
    private enum Close {
        END,
        RESET,
        HALF,
        BEHIND_REQUESTS;

        void by(Peer client) throws IOException {
            switch (this) {
                case END -> client.leave();
                case RESET -> client.reset();
                case HALF -> client.endSending();
                default -> {
                    for (int i = 1; i <= 20; i++) {
                        client.write(request("behind" + i, "", "body"));
                    }
                    client.leave();
                }
            }
        }
    }

    /**
     * The close lay in the socket while the loop was busy, and what the module chose was sent
     * before it.
     */
    @ParameterizedTest
    @EnumSource
    void sendsNothingOnAKeptConnectionForAClientWhoseCloseIsUnread(Close close) throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            holding(
                    node,
                    actions -> {
                        close.by(next);
                        actions.send(2, 0, Long.MAX_VALUE);
                    });
            assertThat(eventStarting(node, "ended")).startsWith("ended 2 0 NOT_SENT closed true");
            client.write(request("r3", "", ""));
            assertThat(eventStarting(node, "requested")).startsWith("requested ");
            assertThat(worker.hasNews()).isFalse();
        }
    }

    /** The same for a further attempt, chosen while the one before is out. */
    @Test
    void sendsNoFurtherAttemptForAClientWhoseCloseIsUnread() throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client()) {
            client.write(request("r1", "", ""));
            hang(node);
            holding(
                    node,
                    actions -> {
                        client.leave();
                        actions.send(1, 0, Long.MAX_VALUE);
                    });
            assertThat(eventStarting(node, "ended")).startsWith("ended 1 1 NOT_SENT closed true");
        }
    }

    /**
     * The connection came up and the close came in one pass: the head went out before the close was
     * read.
     */
    @ParameterizedTest
    @EnumSource
    void sendsNothingOnANewConnectionForAClientWhoseCloseIsUnread(Close close) throws Exception {
        try (TestNode node = patient(SENDS);
                Peer client = node.client()) {
            fill(node.worker);
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            untilItHasTurned(node);
            final List<Peer> accepted = new ArrayList<>();
            holding(
                    node,
                    actions -> {
                        acceptFilled(node.worker);
                        accepted.add(node.worker());
                        close.by(client);
                    });
            assertThat(accepted.get(0).isClosedByOther()).isTrue();
            assertThat(eventStarting(node, "ended")).startsWith("ended 1 0 CANCELLED closed true");
        }
    }

    /**
     * The end of a client's sending is taken for its leaving: its own connection ends and nothing
     * else.
     */
    @Test
    void takesAHalfCloseForLeavingAndServesOthers() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer other = node.client()) {
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            other.write(request("r2", "", ""));
            assertThat(node.event()).startsWith("requested 2");
            client.endSending();
            assertThat(node.event()).isEqualTo("left 1");
            assertThat(client.isClosedByOther()).isTrue();
            node.act(actions -> actions.reject(2, 0));
            assertThat(other.read()).startsWith("HTTP/1.1 503");
        }
    }

    /** With 16 requests taken, reading was paused, and nobody saw that the client had left. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void seesAClientLeaveThatHasSentMoreThanIsTakenAhead(boolean resets) throws Exception {
        try (TestNode node = new TestNode(HOLDS)) {
            final Peer client = node.client();
            for (int i = 1; i <= 16; i++) {
                client.write(request("r" + i, "", ""));
                assertThat(node.event()).startsWith("requested " + i + " ");
            }
            client.write(request("r17", "", "") + request("r18", "", ""));
            if (resets) {
                client.reset();
            } else {
                client.leave();
            }
            for (int i = 1; i <= 16; i++) {
                assertThat(node.event()).isEqualTo("left " + i);
            }
        }
    }

    /**
     * With no room for the rest of a long body its client's end cannot be seen, as it stands behind
     * that: the request was sent whenever the module, or its connection, came to it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void sendsNothingForAClientWhoseReadingIsPausedForWantOfRoom(boolean connecting)
            throws Exception {
        final Bodies bodies =
                LongBodyNode.bodies(new ClassBodies(8L << 20, 1024, 20_000_000, false, false));
        try (TestNode node = patient(connecting ? SENDS : HOLDS, bodies);
                Peer other = node.client()) {
            if (connecting) {
                fill(node.worker);
            }
            final Peer client = node.client().write(LongBodyNode.head("r1", 8L << 20, ""));
            client.writeBytes(0, LongBodyNode.MAX_OF_ONE);
            assertThat(eventStarting(node, "requested")).startsWith("requested 1");
            client.leave();
            // By the node's own clock; more than the time after which nobody can be taken to be
            // there.
            assertThat(RequestLifecycle.MAX_READ_PAUSE_US).isLessThan(100_000);
            node.act(actions -> actions.startTimer(5, 150_000));
            assertThat(eventStarting(node, "woken")).isEqualTo("woken 5");
            if (connecting) {
                acceptFilled(node.worker);
                // Its connection came up, and ends without a byte.
                assertThat(node.worker().isClosedByOther()).isTrue();
                assertThat(eventStarting(node, "ended"))
                        .startsWith("ended 1 0 CANCELLED closed true");
            } else {
                node.act(actions -> actions.send(1, 0, Long.MAX_VALUE));
                assertThat(eventStarting(node, "ended"))
                        .startsWith("ended 1 0 NOT_SENT closed true");
                other.write(request("r2", "", ""));
                assertThat(eventStarting(node, "requested")).startsWith("requested 2");
                node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
                assertThat(node.worker().read()).contains("X-Request-Id: r2");
            }
        }
    }

    @Test
    void takesWhatWaitsBehindOthersInOrderOnceThereIsPlace() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client()) {
            for (int i = 1; i <= 18; i++) {
                client.write(request("r" + i, "", ""));
            }
            for (int i = 1; i <= 16; i++) {
                assertThat(node.event()).startsWith("requested " + i + " ");
            }
            node.act(actions -> actions.reject(2, 0));
            node.act(actions -> actions.reject(1, 0));
            assertThat(client.read()).startsWith("HTTP/1.1 503");
            assertThat(client.read()).startsWith("HTTP/1.1 503");
            assertThat(eventStarting(node, "requested")).startsWith("requested 17 ");
            assertThat(eventStarting(node, "requested")).startsWith("requested 18 ");
        }
    }

    /** One client's flood is rejected or closed on, and others are served. */
    @Test
    void endsAFloodOfRequestsWithoutAnswers() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer flood = node.client();
                Peer usual = node.client()) {
            final StringBuilder requests = new StringBuilder();
            for (int i = 0; i <= 120; i++) {
                requests.append(request("f" + i, "", ""));
            }
            try {
                flood.write(requests.toString());
            } catch (IOException e) {
                // Closed on before all of it was written.
            }
            assertThat(flood.readToEnd())
                    .satisfiesAnyOf(
                            end -> assertThat(end).isNull(), end -> assertThat(end).isEmpty());
            usual.write(request("r1", "", ""));
            assertThat(eventStarting(node, "requested 17")).startsWith("requested 17");
        }
    }

    // ---- Kept connections ----

    /** Serves r1, as the module sends it, on a connection to the worker that is kept. */
    private static Peer kept(TestNode node, Peer client) throws IOException {
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
    private static Peer keptWithRequestHeld(TestNode node, Peer client, Peer next)
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

    /**
     * Written to a connection whose end was in the buffer, the request ended as a reset and may
     * have run.
     */
    @Test
    void writesNoRequestToAKeptConnectionThatHasEnded() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            holding(
                    node,
                    actions -> {
                        worker.leave();
                        actions.send(2, 0, Long.MAX_VALUE);
                    });
            final Peer fresh = node.worker();
            assertThat(fresh.read()).contains("X-Request-Id: r2");
            fresh.write(done("r2"));
            assertThat(next.read()).endsWith("of r2");
        }
    }

    /**
     * A second answer that names no request was taken for the next request's: as proof that it
     * never ran.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    503 No | X-Not-Run: 1
                    500 No | X-Load: x0=1
                    200 OK | X-Load: x0=1
                    """)
    void takesNoAnswerThatWasThereBeforeTheRequest(String status, String header) throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            holding(
                    node,
                    actions -> {
                        worker.write(answer(status, header + "\r\n", ""));
                        actions.send(2, 0, Long.MAX_VALUE);
                    });
            final Peer fresh = node.worker();
            assertThat(fresh.read()).contains("X-Request-Id: r2");
            fresh.write(done("r2"));
            assertThat(next.read()).endsWith("of r2");
            assertThat(eventStarting(node, "ended 2")).startsWith("ended 2 0 SERVED");
        }
    }

    /**
     * The second answer comes after the next request was written; that one's own follows, and alone
     * counts.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    503 No | X-Not-Run: 1 | ''
                    500 No | X-Load: x0=1 | ''
                    200 OK | X-Load: x0=1 | {"id":"r1","from":"s-1","state":"returned"}
                    200 OK | X-Load: x0=1 | {"id":"r1","from":"s-1","state":"done","result":"again"}
                    """)
    void passesOverASecondAnswerToTheRequestBefore(String status, String header, String line)
            throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertThat(worker.read()).contains("X-Request-Id: r2");
            worker.write(answer(status, header + "\r\n", line) + done("r2"));
            assertThat(next.read()).endsWith("of r2");
            assertThat(eventStarting(node, "ended 2")).startsWith("ended 2 0 SERVED");
            assertThat(worker.isClosedByOther()).isTrue();
        }
    }

    /** Whether it was the next request's own answer is never known: it may have run. */
    @Test
    void takesNoSecondAnswerForProofWhereTheConnectionEndsBehindIt() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keptWithRequestHeld(node, client, next);
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertThat(worker.read()).contains("X-Request-Id: r2");
            worker.write(answer("503 No", "X-Not-Run: 1\r\n", "")).leave();
            assertThat(eventStarting(node, "ended 2")).startsWith("ended 2 0 BROKEN closed false");
        }
    }

    /** One worker's second answer had every kept connection to all others closed for 15 s. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "what is this\r\n\r\n", "x"})
    void closesAloneTheKeptConnectionOnWhichBytesCameUnasked(String bytes) throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client();
                Peer other = node.client()) {
            client.write(request("r1", "", ""));
            final Peer first = node.worker();
            first.read();
            other.write(request("r2", "", ""));
            final Peer second = node.worker();
            second.read();
            first.write(done("r1"));
            client.read();
            second.write(done("r2"));
            other.read();
            first.write(bytes.length() > 1 ? bytes : bytes + "\r\n\r\n");
            assertThat(first.isClosedByOther()).isTrue();
            client.write(request("r3", "", ""));
            assertThat(second.read()).contains("X-Request-Id: r3");
        }
    }

    // ---- Shutdown ----

    /** What waited to be accepted was reset with the listener. */
    @Test
    void acceptsWhoeverCameBeforeTheListenerCloses() throws Exception {
        try (TestNode node = new TestNode()) {
            holding(
                    node,
                    actions -> {
                        held.add(node.client().write(request("r1", "", "")));
                        held.add(node.client().write(request("r2", "", "")));
                        node.server.front().stopAccepting();
                    });
            final Peer first = node.worker();
            final Peer second = node.worker();
            for (final Peer worker : List.of(first, second)) {
                worker.write(done(worker.read().contains("X-Request-Id: r1") ? "r1" : "r2"));
            }
            assertThat(held.get(0).read()).endsWith("of r1");
            assertThat(held.get(1).read()).endsWith("of r2");
        }
    }

    /** A request that lay unread on an idle connection was reset by its closing. */
    @Test
    void takesWhatCameOnAnIdleConnectionBeforeItClosesIt() throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client()) {
            final Peer worker = kept(node, client);
            holding(
                    node,
                    actions -> {
                        client.write(request("r2", "", ""));
                        node.server.front().stopAccepting();
                    });
            worker.read();
            worker.write(done("r2"));
            assertThat(client.read()).endsWith("of r2").contains("\r\nconnection: close\r\n");
            assertThat(client.readToEnd()).isNotNull().isEmpty();
        }
    }

    /**
     * A close with the next request unread is a reset, and a reset can eat the answer just written.
     */
    @Test
    void endsAfterTheLastAnswerWithoutAReset() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client()) {
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            holding(
                    node,
                    actions -> {
                        node.server.front().stopAccepting();
                        client.write(request("r2", "", ""));
                        actions.reject(1, 0);
                    });
            assertThat(client.read())
                    .startsWith("HTTP/1.1 503")
                    .contains("\r\nconnection: close\r\n");
            assertThat(client.readToEnd()).isNotNull().isEmpty();
        }
    }

    /**
     * A request taken late in a stop, at a worker that hangs, had no answer when the platform
     * killed it.
     */
    @Test
    void answersAllBeforeThePlatformKillsIt() throws Exception {
        try (TestNode node = new TestNode();
                Peer early = node.client();
                Peer late = node.client()) {
            early.write(request("r1", "", ""));
            hang(node);
            final String request = request("r2", "", "body");
            late.write(request.substring(0, request.length() - 1));
            final CompletableFuture<Void> stopped = node.server.stop();
            final Future<?> killed =
                    node.server.loop().schedule(() -> {}, 3_700, TimeUnit.MILLISECONDS);
            assertThat(node.client().isClosedByOther()).isTrue();
            late.write(request.substring(request.length() - 1));
            hang(node);
            assertThat(early.read()).startsWith("HTTP/1.1 503");
            assertThat(late.read())
                    .startsWith("HTTP/1.1 503")
                    .contains("\r\nconnection: close\r\n");
            assertThat(killed.isDone()).isFalse();
            stopped.get(8, TimeUnit.SECONDS);
        }
    }

    /**
     * The signal comes while the node starts: whoever still gets in is let go, and the node ends.
     */
    @Test
    void endsWhereItIsToldToBeforeItListens() throws Exception {
        try (ServerSocket discovery = Peer.listen()) {
            final NodeServer node =
                    new NodeServer(
                            NodeConfigParser.parse(
                                    TestNode.config(discovery, list(1, true, "")),
                                    java.util.Map.of()));
            final CompletableFuture<Void> stopped = node.stop();
            try (Peer client = Peer.connect(node.start())) {
                assertThat(client.isClosedByOther()).isTrue();
            }
            stopped.get(8, TimeUnit.SECONDS);
        }
    }

    /** What may have had its effect is failed then, and not refused. */
    @Test
    void failsWhatMayHaveRunBeforeThePlatformKillsIt() throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client()) {
            client.write(
                    "POST /file HTTP/1.1\r\nX-Request-Id: r1\r\nIdempotency-Key: k\r\n"
                            + "Content-Length: 0\r\n\r\n");
            hang(node);
            final CompletableFuture<Void> stopped = node.server.stop();
            node.server.stop();
            assertThat(client.read()).startsWith("HTTP/1.1 500");
            stopped.get(8, TimeUnit.SECONDS);
        }
    }

    // ---- Settings that change ----

    /**
     * A head read under the old settings whose last byte comes under the new ones is of the new
     * ones.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    gone    | "name":"file"       | "name":"other"      | 404
                    shorter | "deadlineUs":5000000 | "deadlineUs":4000000 | requested 1 class 3
                    """)
    void takesARequestByTheSettingsAtItsLastByte(String what, String from, String to, String then)
            throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client()) {
            client.write(
                    "POST /file HTTP/1.1\r\nX-Request-Id: r1\r\nIdempotency-Key: k\r\n"
                            + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            assertThat(client.read()).as(what).startsWith("HTTP/1.1 100");
            final String text = node.configText().replace(from, to);
            node.server.reload(() -> NodeConfigParser.parse(text, java.util.Map.of()));
            assertThat(node.event()).startsWith("retuned");
            client.write("body");
            if (then.startsWith("requested")) {
                assertThat(node.event()).startsWith(then);
            } else {
                assertThat(client.read()).startsWith("HTTP/1.1 " + then);
            }
        }
    }

    /**
     * Of two requests on one connection, each has what the settings said when it was taken, and no
     * more.
     */
    @Test
    void takesNothingOverFromTheRequestBeforeOnItsConnection() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer client = node.client()) {
            client.write(
                    "POST /file?obj=2a HTTP/1.1\r\nX-Request-Id: r1\r\nIdempotency-Key: k\r\n"
                            + "X-Deadline: 900m\r\nContent-Length: 4\r\n\r\nbody");
            assertThat(node.event()).isEqualTo("requested 1 class 1 key 42");
            final String text =
                    node.configText()
                            .replace("\"idempotency\":\"pure\"", "\"idempotency\":\"side_effect\"");
            node.server.reload(() -> NodeConfigParser.parse(text, java.util.Map.of()));
            assertThat(node.event()).startsWith("retuned");
            client.write("POST /check HTTP/1.1\r\nX-Request-Id: r2\r\nContent-Length: 0\r\n\r\n");
            assertThat(node.event()).isEqualTo("requested 2 class 2 key 0");
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertThat(node.worker().read())
                    .doesNotContainIgnoringCase("Idempotency-Key")
                    .endsWith("\r\n\r\n")
                    .containsPattern("(?i)X-Deadline: 4[0-9]{6}u\r\n");
        }
    }

    private static final UnaryOperator<String> SHARED = CrossingRulesTest::withTenants;

    private static String withTenants(String text) {
        return text.replace(
                "\"zones\":",
                "\"tenants\":[{\"name\":\"alpha\",\"quotaPerS\":5},{\"name\":\"beta"
                        + " co\",\"quotaPerS\":7}],\"zones\":");
    }

    /** Every request counted against the first customer's share, whoever had sent it. */
    @Test
    void countsEachRequestAgainstTheShareOfItsOwnCustomer() throws Exception {
        try (TestNode node = TestNode.configured(SHARED, HOLDS);
                Peer client = node.client()) {
            client.write(
                    request("r1", "X-Tenant: beta co\r\n", "")
                            + request("r2", "X-Tenant: alpha\r\n", ""));
            assertThat(node.event()).isEqualTo("requested 1 class 0 key 42 tenant 1");
            assertThat(node.event()).isEqualTo("requested 2 class 0 key 42");
            // The same name has another place, and no other setting has changed its meaning.
            reload(node, text -> SHARED.apply(text).replace("alpha", "gamma"));
            assertThat(node.event()).startsWith("retuned");
            client.write(request("r3", "X-Tenant: gamma\r\n", ""));
            assertThat(node.event()).isEqualTo("requested 3 class 0 key 42");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "X-Tenant: \r\n",
                "X-Tenant: other\r\n",
                "X-Tenant: alpha\r\nX-Tenant: beta co\r\n"
            })
    void answers400WhereARequestNamesNoCustomer(String headers) throws Exception {
        try (TestNode node = TestNode.configured(SHARED, HOLDS);
                Peer client = node.client()) {
            client.write(request("r1", headers, ""));
            assertThat(client.read()).startsWith("HTTP/1.1 400").containsIgnoringCase("X-Tenant");
            client.write(request("r1", "X-Tenant: alpha\r\n", ""));
            assertThat(node.event()).startsWith("requested 1");
        }
    }

    /** Takes this configuration in place of the node's own; it is in force when this returns. */
    private static void reload(TestNode node, UnaryOperator<String> change) throws Exception {
        final String text = change.apply(node.configText());
        node.server.reload(() -> NodeConfigParser.parse(text, java.util.Map.of()));
        node.server.loop().submit(() -> {}).get(8, TimeUnit.SECONDS);
    }

    /** Both limits held until a restart; what waits here waits for less than the old ones. */
    @Test
    void closesIdleConnectionsThatTheNewSettingsKeepLessLong() throws Exception {
        try (TestNode node =
                        TestNode.configured(
                                text ->
                                        text.replace(
                                                "\"connIdleUs\":2000000",
                                                "\"connIdleUs\":60000000"),
                                SENDS);
                Peer client = node.client()) {
            final Peer worker = kept(node, client);
            reload(node, text -> text.replace("\"connIdleUs\":2000000", "\"connIdleUs\":50000000"));
            assertThat(worker.isClosedByOther()).isTrue();
        }
    }

    @Test
    void opensConnectionsByTheNewSettingsLimit() throws Exception {
        final UnaryOperator<String> patient =
                text -> text.replace("deadlineUs\":5000000", "deadlineUs\":60000000");
        try (TestNode node =
                        TestNode.configured(
                                text -> patient.apply(text).replace("250000", "40000000"), SENDS);
                Peer client = node.client()) {
            fill(node.worker);
            reload(node, patient);
            client.write(request("r1", "", ""));
            assertThat(eventStarting(node, "ended"))
                    .startsWith("ended 1 0 CONNECT_FAILED closed false");
        }
    }

    /**
     * The longest waiting made room for the next client though its request lay unread, and got no
     * answer.
     */
    @Test
    void makesNoRoomByAClientWhoseRequestLiesUnread() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                Peer early = node.client()) {
            // Of 200 descriptors 83 are for clients; the last of 82 is known to be accepted by its
            // request.
            for (int i = 2; i <= 82; i++) {
                held.add(node.client());
            }
            held.get(held.size() - 1).write(request("last", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            holding(
                    node,
                    actions -> {
                        held.add(node.client());
                        early.write(request("early", "", ""));
                    });
            assertThat(eventStarting(node, "requested")).startsWith("requested 2");
            assertThat(held.get(0).isClosedByOther()).isTrue();
        }
    }

    // ---- Discovery ----

    /** Begins a watch; the connection on which discovery has its first call, unanswered. */
    private static Peer watch(TestNode node) throws Exception {
        node.act(DispatcherActions::pollEndpointList);
        final Peer discovery = node.discovery();
        discovery.read();
        assertThat(node.event()).isEqualTo("listed FAILED");
        return discovery;
    }

    /**
     * The module's pause and a second call were to fit into the 6 s after which news counts as
     * told.
     */
    @Test
    void opensASilentWatchAnewAtOnce() throws Exception {
        try (TestNode node = new TestNode(HOLDS)) {
            final Peer silent = watch(node);
            final Peer again = node.discovery();
            assertThat(again.read()).contains("?since=1&timeout_ms=1 ");
            assertThat(silent.isClosedByOther()).isTrue();
            // What the silent one says now is not heard.
            again.write(
                    answer("200 OK", "", list(2, false, entry("s-1", node.worker, "DRAINING"))));
            assertThat(node.event()).isEqualTo("listed CHANGES 0DRAINING7000");
            assertThat(again.read()).contains("?since=2&timeout_ms=2000 ");
        }
    }

    /**
     * A second silence was told as a failure: with the module's pause, the third call came after
     * 7.05 s.
     */
    @Test
    void asksAThirdTimeAtOnceWhereTheRepeatIsSilentToo() throws Exception {
        try (TestNode node = new TestNode(HOLDS)) {
            watch(node);
            final Peer silentToo = node.discovery();
            assertThat(silentToo.read()).contains("?since=1&timeout_ms=1 ");
            final Peer third = node.discovery();
            assertThat(third.read()).contains("?since=1&timeout_ms=1 ");
            assertThat(silentToo.isClosedByOther()).isTrue();
            third.write(
                    answer("200 OK", "", list(2, false, entry("s-1", node.worker, "DRAINING"))));
            assertThat(node.event()).isEqualTo("listed CHANGES 0DRAINING7000");
            assertThat(third.read()).contains("?since=2&timeout_ms=2000 ");
        }
    }

    /** The first call of a whole list states no wait, and was waited for as long as a watch. */
    @Test
    void asksAgainForAWholeListThatDoesNotCome() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                ServerSocket next = Peer.listen()) {
            watch(node);
            reload(
                    node,
                    text ->
                            text.replace(
                                    ":" + node.discovery.getLocalPort() + "\"",
                                    ":" + next.getLocalPort() + "\""));
            final Peer silent = Peer.accept(next);
            assertThat(silent.read()).startsWith("GET /registry/instances HTTP/1.1");
            final Peer again = Peer.accept(next);
            assertThat(again.read()).startsWith("GET /registry/instances HTTP/1.1");
            again.write(answer("200 OK", "", list(4, true, entry("s-1", node.worker, "DRAINING"))));
            assertThat(eventStarting(node, "listed")).isEqualTo("listed FULL 0DRAINING7000");
        }
    }

    /** An answer that trickles and never ends is a silent one. */
    @Test
    void opensAWatchAnewWhoseAnswerNeverEnds() throws Exception {
        try (TestNode node = new TestNode(HOLDS)) {
            final Peer endless = watch(node);
            endless.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n");
            final Peer again = node.discovery();
            assertThat(again.read()).contains("?since=1&timeout_ms=1 ");
        }
    }

    /**
     * A stale list brought a drained worker back; a discovery service that counts anew is believed
     * in the end.
     */
    @Test
    void doubtsAnOlderListOnce() throws Exception {
        try (TestNode node = new TestNode(HOLDS)) {
            final Peer stale = watch(node);
            stale.write(answer("200 OK", "", list(0, true, entry("s-2", node.worker, "SERVING"))));
            assertThat(node.event()).isEqualTo("listed FAILED");
            node.act(DispatcherActions::pollEndpointList);
            final Peer again = node.discovery();
            assertThat(again.read()).startsWith("GET /registry/instances HTTP/1.1");
            assertThat(node.event()).isEqualTo("listed FAILED");
            again.write(answer("200 OK", "", list(0, true, entry("s-2", node.worker, "SERVING"))));
            assertThat(node.event()).startsWith("listed FULL 1READY");
            assertThat(again.read()).contains("?since=0&timeout_ms=2000 ");
        }
    }

    /**
     * The old discovery service's answer lies unread when the file names another one: it is not
     * taken.
     */
    @Test
    void hearsNothingOfTheOldDiscoveryAfterTheMove() throws Exception {
        try (TestNode node = new TestNode(HOLDS);
                ServerSocket next = Peer.listen()) {
            final Peer old = watch(node);
            final String text =
                    node.configText()
                            .replace(
                                    ":" + node.discovery.getLocalPort() + "\"",
                                    ":" + next.getLocalPort() + "\"");
            final NodeConfig moved = NodeConfigParser.parse(text, java.util.Map.of());
            holding(
                    node,
                    actions -> {
                        old.write(
                                answer(
                                        "200 OK",
                                        "",
                                        list(9, false, entry("s-1", node.worker, "DRAINING"))));
                        node.server.reload(() -> moved);
                        actions.pollEndpointList();
                    });
            final Peer discovery = Peer.accept(next);
            assertThat(discovery.read()).startsWith("GET /registry/instances HTTP/1.1");
            assertThat(eventStarting(node, "listed")).isEqualTo("listed FAILED");
            discovery.write(
                    answer("200 OK", "", list(4, true, entry("s-1", node.worker, "SERVING"))));
            assertThat(node.event()).isEqualTo("listed FULL 0READY7000");
            assertThat(discovery.read()).contains("?since=4&");
        }
    }
}
