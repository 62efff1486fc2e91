package cresschute.node;

import static cresschute.node.TestNode.answer;
import static cresschute.node.TestNode.entry;
import static cresschute.node.TestNode.list;
import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.DispatcherActions;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Events that cross with a connection to a worker being established. See docs/results/crossings.md.
 */
@Timeout(30)
class ConnectCrossingRulesTest extends CrossingFixture {

    /** Leaving did not stop the write: the job ran for nobody, up to the connect time-out later. */
    @Test
    void nothingIsSentForAClientThatLeftWhileTheConnectionCameUp() throws Exception {
        try (TestNode node = patient(SENDS);
                Peer other = node.client()) {
            fill(node.worker);
            final Peer client = node.client().write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            untilItHasTurned(node);
            client.disconnect();
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
                client.disconnect();
                assertThat(eventStarting(node, "left")).isEqualTo("left 1");
                assertThat(node.event()).startsWith("ended 1 0 CANCELLED closed true");
                discovery.write(news);
                assertThat(node.event()).startsWith("listed CHANGES 0DRAINING");
            } else {
                holding(
                        node,
                        actions -> {
                            discovery.write(news);
                            client.disconnect();
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
}
