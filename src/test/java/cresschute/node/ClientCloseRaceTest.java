package cresschute.node;

import static cresschute.node.TestNode.request;
import static org.assertj.core.api.Assertions.assertThat;

import cresschute.settings.ApplianceSettings.Bodies;
import cresschute.settings.ApplianceSettings.ClassBodies;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Events that cross with the close of a client. See docs/results/crossings.md. */
@Timeout(30)
class ClientCloseRaceTest extends RaceFixture {

    /**
     * The end came behind the request in one pass, and was read one pass later: the job was sent
     * for nobody.
     */
    @Test
    void sendsNothingForClientThatClosesRightAfterItsRequest() throws Exception {
        try (TestNode node = new TestNode()) {
            final Peer client = node.client().write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            final Peer worker = node.worker();
            worker.read();
            worker.write(done("r1"));
            client.read();
            assertThat(eventStarting(node, "ended")).contains("SERVED");
            whileLoopBlocked(node, actions -> client.write(request("r2", "", "")).disconnect());
            assertThat(eventStarting(node, "requested")).startsWith("requested 2");
            assertThat(node.event()).isEqualTo("left 2");
            assertThat(node.event()).startsWith("ended 2 0 NOT_SENT closed true");
            assertThat(worker.hasUnreadBytes()).isFalse();
        }
    }

    /**
     * The close lay in the socket while the loop was busy, and what the module chose was sent
     * before it.
     */
    @ParameterizedTest
    @EnumSource
    void sendsNothingOnIdleConnectionWhileCloseOfClientIsUnread(Close close) throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client();
                Peer next = node.client()) {
            final Peer worker = keepConnectionWithPendingRequest(node, client, next);
            whileLoopBlocked(
                    node,
                    actions -> {
                        close.by(next);
                        actions.send(2, 0, Long.MAX_VALUE);
                    });
            assertThat(eventStarting(node, "ended")).startsWith("ended 2 0 NOT_SENT closed true");
            client.write(request("r3", "", ""));
            assertThat(eventStarting(node, "requested")).startsWith("requested ");
            assertThat(worker.hasUnreadBytes()).isFalse();
        }
    }

    /** The same for a further attempt, chosen while the one before is out. */
    @Test
    void sendsNoFurtherAttemptWhileCloseOfClientIsUnread() throws Exception {
        try (TestNode node = new TestNode();
                Peer client = node.client()) {
            client.write(request("r1", "", ""));
            readWithoutAnswering(node);
            whileLoopBlocked(
                    node,
                    actions -> {
                        client.disconnect();
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
    void sendsNothingOnNewConnectionWhileCloseOfClientIsUnread(Close close) throws Exception {
        try (TestNode node = withLongConnectTimeout(SEND_AT_ONCE);
                Peer client = node.client()) {
            fillBacklog(node.worker);
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            awaitTurn(node);
            final List<Peer> accepted = new ArrayList<>();
            whileLoopBlocked(
                    node,
                    actions -> {
                        acceptBacklog(node.worker);
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
    void treatsHalfCloseAsCloseAndServesOtherClients() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer client = node.client();
                Peer other = node.client()) {
            client.write(request("r1", "", ""));
            assertThat(node.event()).startsWith("requested 1");
            other.write(request("r2", "", ""));
            assertThat(node.event()).startsWith("requested 2");
            client.shutdownOutput();
            assertThat(node.event()).isEqualTo("left 1");
            assertThat(client.isClosedByOther()).isTrue();
            node.act(actions -> actions.reject(2, 0));
            assertThat(other.read()).startsWith("HTTP/1.1 503");
        }
    }

    /** With 16 requests taken, reading was paused, and nobody saw that the client had left. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void noticesCloseOfClientWithQueuedRequests(boolean resets) throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING)) {
            final Peer client = node.client();
            for (int i = 1; i <= 16; i++) {
                client.write(request("r" + i, "", ""));
                assertThat(node.event()).startsWith("requested " + i + " ");
            }
            client.write(request("r17", "", "") + request("r18", "", ""));
            if (resets) {
                client.reset();
            } else {
                client.disconnect();
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
    void sendsNothingWhileReadingOfClientIsPausedForLackOfCapacity(boolean connecting)
            throws Exception {
        final Bodies bodies =
                LongBodyFixture.bodies(new ClassBodies(8L << 20, 1024, 20_000_000, false, false));
        try (TestNode node =
                        withLongConnectTimeout(connecting ? SEND_AT_ONCE : SEND_NOTHING, bodies);
                Peer other = node.client()) {
            if (connecting) {
                fillBacklog(node.worker);
            }
            final Peer client = node.client().write(LongBodyFixture.head("r1", 8L << 20, ""));
            client.writeBytes(0, LongBodyFixture.MAX_BYTES_PER_BODY);
            assertThat(eventStarting(node, "requested")).startsWith("requested 1");
            client.disconnect();
            // By the node's own clock; more than the time after which nobody can be taken to be
            // there.
            assertThat(RequestLifecycle.MAX_READ_PAUSE_US).isLessThan(100_000);
            node.act(actions -> actions.startTimer(5, 150_000));
            assertThat(eventStarting(node, "timer fired")).isEqualTo("timer fired 5");
            if (connecting) {
                acceptBacklog(node.worker);
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
    void submitsQueuedRequestsInOrderAsOthersComplete() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
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
    void closesConnectionWithTooManyUnansweredRequests() throws Exception {
        try (TestNode node = new TestNode(SEND_NOTHING);
                Peer flooding = node.client();
                Peer other = node.client()) {
            final StringBuilder requests = new StringBuilder();
            for (int i = 0; i <= 120; i++) {
                requests.append(request("f" + i, "", ""));
            }
            try {
                flooding.write(requests.toString());
            } catch (IOException e) {
                // Closed on before all of it was written.
            }
            assertThat(flooding.readToEnd())
                    .satisfiesAnyOf(
                            end -> assertThat(end).isNull(), end -> assertThat(end).isEmpty());
            other.write(request("r1", "", ""));
            assertThat(eventStarting(node, "requested 17")).startsWith("requested 17");
        }
    }
}
