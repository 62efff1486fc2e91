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
 * Races between events and the establishment of a connection to a worker. See
 * docs/results/crossings.md.
 */
@Timeout(30)
class ConnectRaceTest extends RaceFixture {

    /**
     * Guards against sending a request after its client has left: the job ran without a recipient,
     * up to the connect timeout later.
     */
    @Test
    void sendsNothingForClientThatLeftDuringConnect() throws Exception {
        try (TestNode node = withLongConnectTimeout(SEND_AT_ONCE);
                Peer other = node.client()) {
            fillBacklog(node.worker);
            final Peer client = node.client().write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            awaitTurn(node);
            client.disconnect();
            assertThat(node.event()).isEqualTo("left 1");
            assertThat(node.event()).startsWith("ended 1 0 CANCELLED closed true");
            acceptBacklog(node.worker);
            other.write(request("r2", "", ""));
            assertThat(node.worker().read()).contains("X-Request-Id: r2");
        }
    }

    /**
     * The same race if the dispatcher rejected the request before its connection was established.
     */
    @Test
    void sendsNothingForRequestRejectedDuringConnect() throws Exception {
        try (TestNode node = withLongConnectTimeout(SEND_AT_ONCE);
                Peer client = node.client()) {
            fillBacklog(node.worker);
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            node.act(actions -> actions.reject(1, 0));
            assertThat(client.read()).startsWith("HTTP/1.1 503");
            assertThat(eventStarting(node, "ended")).startsWith("ended 1 0 CANCELLED closed true");
        }
    }

    /**
     * Connecting may take longer than the grace period of a drain, so a change of the worker's list
     * entry during the connect ends the attempt unsent.
     */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone", "left out", "moved", "restarted"})
    void sendsNothingToWorkerWhoseListEntryChangedDuringConnect(String what) throws Exception {
        try (TestNode node = withLongConnectTimeout(SEND_AT_ONCE);
                Peer client = node.client();
                ServerSocket moved = Peer.listen()) {
            fillBacklog(node.worker);
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
    void sendsNothingToWorkerThatOperatorDisabledDuringConnect(@TempDir Path shared)
            throws Exception {
        try (TestNode node = new TestNode(shared, null);
                Peer client = node.client()) {
            fillBacklog(node.worker);
            // The operator's call is completed within the connect timeout, which has its default
            // here.
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
     * The client leaves and its worker drains, in either order: the attempt ends once and nothing
     * is sent.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void endsAttemptOnceIfClientLeavesAndWorkerDrains(boolean leavesFirst) throws Exception {
        try (TestNode node = withLongConnectTimeout(SEND_AT_ONCE);
                Peer client = node.client()) {
            fillBacklog(node.worker);
            node.act(DispatcherActions::pollEndpointList);
            final Peer discovery = node.discovery();
            discovery.read();
            client.write(request("r1", "", ""));
            assertThat(eventStarting(node, "requested")).startsWith("requested 1");
            awaitTurn(node);
            final String change =
                    answer("200 OK", "", list(2, false, entry("s-1", node.worker, "DRAINING")));
            if (leavesFirst) {
                client.disconnect();
                assertThat(eventStarting(node, "left")).isEqualTo("left 1");
                assertThat(node.event()).startsWith("ended 1 0 CANCELLED closed true");
                discovery.write(change);
                assertThat(node.event()).startsWith("listed CHANGES 0DRAINING");
            } else {
                whileLoopBlocked(
                        node,
                        actions -> {
                            discovery.write(change);
                            client.disconnect();
                        });
                assertThat(eventStarting(node, "ended")).startsWith("ended 1 0 ");
            }
            // A call after the change shows that the watch continued and that no second end was
            // reported before it.
            assertThat(discovery.read()).contains("since=2&");
            node.act(actions -> actions.startTimer(5, 0));
            assertThat(node.events.stream().filter(each -> each.startsWith("ended")).count())
                    .isZero();
        }
    }

    /**
     * Guards against a head that is built when the worker is chosen: it stated the time spent on
     * connecting as still remaining.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void statesRemainingTimeOnceConnected(boolean isHedge) throws Exception {
        try (TestNode node = withLongConnectTimeout(isHedge ? SEND_AT_ONCE : SEND_NOTHING);
                Peer client = node.client()) {
            final long sentNs = System.nanoTime();
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            if (isHedge) {
                readWithoutAnswering(node);
            }
            fillBacklog(node.worker);
            node.act(actions -> actions.send(1, 0, Long.MAX_VALUE));
            awaitDelayedTimer(node);
            acceptBacklog(node.worker);
            assertStatesRemainingTime(node.worker().read(), sentNs);
        }
    }

    /** The same on a kept connection, for an attempt that the dispatcher delayed. */
    @Test
    void statesRemainingTimeOnKeptConnection() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client();
                Peer next = node.client()) {
            final long sentNs = System.nanoTime();
            final Peer worker = keepConnectionWithPendingRequest(node, client, next);
            awaitDelayedTimer(node);
            node.act(actions -> actions.send(2, 0, Long.MAX_VALUE));
            assertStatesRemainingTime(worker.read(), sentNs);
        }
    }

    /**
     * The same for a request that waited behind others on its client connection until the pipeline
     * had room for it.
     */
    @Test
    void statesRemainingTimeAfterPipelineWait() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client()) {
            final long sentNs = System.nanoTime();
            for (int i = 1; i <= 17; i++) {
                client.write(request("r" + i, "", ""));
            }
            assertThat(eventStarting(node, "requested 16")).isNotNull();
            awaitDelayedTimer(node);
            node.act(actions -> actions.reject(1, 0));
            assertThat(eventStarting(node, "requested 17")).isNotNull();
            node.act(actions -> actions.send(17, 0, Long.MAX_VALUE));
            assertStatesRemainingTime(node.worker().read(), sentNs);
        }
    }

    /**
     * A stalled loop handles the new connection before the timer that ends the attempt: no byte is
     * sent.
     */
    @Test
    void sendsNothingForAttemptPastItsDeadline() throws Exception {
        try (TestNode node = withLongConnectTimeout(SEND_NOTHING);
                Peer client = node.client()) {
            fillBacklog(node.worker);
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            node.act(
                    actions ->
                            actions.send(
                                    1, 0, System.currentTimeMillis() * 1_000 + TIMER_DELAY_US));
            awaitTurn(node);
            // The SYN is retransmitted one second after the first, well after the attempt's
            // deadline.
            final List<Peer> accepted = new ArrayList<>();
            whileLoopBlocked(
                    node,
                    actions -> {
                        acceptBacklog(node.worker);
                        accepted.add(node.worker());
                    });
            assertThat(accepted.get(0).isClosedByOther()).isTrue();
            assertThat(eventStarting(node, "ended"))
                    .startsWith("ended 1 0 CONNECT_FAILED closed false");
        }
    }
}
