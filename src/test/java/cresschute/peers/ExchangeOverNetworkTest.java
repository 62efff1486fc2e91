package cresschute.peers;

import static cresschute.peers.SimulatedNetwork.S;
import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests exchanges over a simulated network with loss, duplicates, reordering, partitions and
 * replayed messages.
 */
class ExchangeOverNetworkTest {

    private static final long CYCLE_US = 10 * S;

    private static SimulatedNetwork network(long seed, int dispatchers) {
        final SimulatedNetwork network =
                new SimulatedNetwork(seed, dispatchers, 40, 20_000, CYCLE_US);
        network.startsPerS = 30;
        network.meanRunS = 3;
        return network;
    }

    @Test
    void viewsAreCompleteSoonAfterAStartAndExactUnderConstantLoad() {
        final SimulatedNetwork network = network(1, 4);
        network.run(2);
        for (int i = 0; i < 4; i++) {
            assertThat(network.isComplete(i)).as("n" + i).isTrue();
        }
        network.run(30);
        network.freeze();
        network.run(2);
        assertThat(network.wrongCounts()).isZero();
        assertThat(network.seenCountOfOthers(0, 0)).isEqualTo(network.trueCountOfOthers(0, 0));
    }

    @Test
    void workersOfMessagesAreRefreshedWhileTheViewIsComplete() {
        final SimulatedNetwork network = new SimulatedNetwork(11, 3, 40, 20_000, CYCLE_US);
        final LoadExchange exchange = network.nodes.get(0).exchange;
        network.run(2);
        assertThat(exchange.takeRefreshed(network.nowUs)).isEmpty();
        network.start(1, 4);
        network.run(1);
        assertThat(exchange.takeRefreshed(network.nowUs))
                .containsExactly(SimulatedNetwork.worker(4));
        assertThat(exchange.takeRefreshed(network.nowUs)).as("once").isEmpty();
        network.end(1, 4);
        network.run(1);
        assertThat(exchange.takeRefreshed(network.nowUs))
                .containsExactly(SimulatedNetwork.worker(4));
        network.start(1, 5);
        network.run(1);
        network.crash(2);
        network.run(4);
        assertThat(exchange.takeRefreshed(network.nowUs)).as("a peer is suspect").isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void countsAreTrueWithinOneCycleAfterTheNetworkHeals(long seed) {
        final SimulatedNetwork network = network(seed, 4);
        network.loss = 0.3;
        network.duplication = 0.2;
        network.jitterUs = 400_000;
        network.run(60);
        network.freeze();
        network.loss = 0;
        network.duplication = 0;
        network.jitterUs = 0;
        // Time for messages in transit, the remainder of the current cycle, and one complete cycle.
        network.run(1 + 2.0 * CYCLE_US / S + 1);
        assertThat(network.wrongCounts()).as("seed " + seed).isZero();
        network.run(2.0 * CYCLE_US / S);
        for (int i = 0; i < 4; i++) {
            assertThat(network.isComplete(i)).as("n" + i + ", seed " + seed).isTrue();
        }
    }

    @Test
    void heavyLossMakesViewsIncomplete() {
        final SimulatedNetwork network = network(3, 4);
        network.loss = 0.3;
        network.run(60);
        for (int i = 0; i < 4; i++) {
            assertThat(network.isComplete(i)).as("n" + i).isFalse();
        }
    }

    @Test
    void duplicatesAndReorderingChangeNothing() {
        final SimulatedNetwork network = network(4, 3);
        network.duplication = 1;
        network.run(60);
        assertThat(network.isComplete(0)).isTrue();
        network.freeze();
        network.run(2);
        assertThat(network.wrongCounts()).isZero();
    }

    @Test
    void crashedPeerIsSuspectThenAbsentAndItsCountsAreDropped() {
        final SimulatedNetwork network = network(5, 4);
        network.start(1, 7);
        network.run(5);
        network.freeze();
        network.crash(1);
        network.run(2);
        assertThat(network.state(0, 1)).isEqualTo(PeerState.ALIVE);
        network.run(2.5);
        assertThat(network.state(0, 1)).isEqualTo(PeerState.SUSPECT);
        assertThat(network.isComplete(0)).isFalse();
        assertThat(network.seenCountOfOthers(0, 7)).isGreaterThan(network.trueCountOfOthers(0, 7));
        network.run(58);
        assertThat(network.state(0, 1)).isEqualTo(PeerState.ABSENT);
        assertThat(network.isComplete(0)).isTrue();
        assertThat(network.wrongCounts()).isZero();
    }

    @Test
    void stoppedPeerIsAbsentAtOnceAndItsNextIncarnationAliveAtOnce() {
        final SimulatedNetwork network = network(6, 4);
        network.run(5);
        network.leave(2);
        network.run(0.1);
        assertThat(network.state(0, 2)).isEqualTo(PeerState.ABSENT);
        assertThat(network.isComplete(0)).isTrue();
        network.restart(2);
        network.run(2);
        assertThat(network.state(0, 2)).isEqualTo(PeerState.ALIVE);
        assertThat(network.isComplete(0)).isTrue();
        // The new incarnation has to receive a complete cycle of the others.
        assertThat(network.isComplete(2)).isFalse();
        network.run(2.0 * CYCLE_US / S + 2);
        assertThat(network.isComplete(2)).isTrue();
    }

    @Test
    void restartDropsTheCountsOfThePreviousIncarnation() {
        final SimulatedNetwork network = network(7, 3);
        network.start(1, 3);
        network.start(1, 3);
        network.run(5);
        network.freeze();
        assertThat(network.seenCountOfOthers(0, 3))
                .isEqualTo(network.trueCountOfOthers(0, 3))
                .isPositive();
        network.crash(1);
        network.restart(1);
        network.run(2);
        assertThat(network.wrongCountsAt(0)).isZero();
        assertThat(network.wrongCountsAt(2)).isZero();
        // The new incarnation itself knows the counts of the others after a complete cycle.
        network.run(2.0 * CYCLE_US / S + 1);
        assertThat(network.wrongCounts()).isZero();
    }

    @Test
    void minorityOfAPartitionIsIncompleteAndTheMajorityCompleteOnceTheOthersAreAbsent() {
        final SimulatedNetwork network = network(8, 5);
        network.run(5);
        network.connected = (from, to) -> from < 3 == to < 3;
        network.run(4);
        for (int i = 0; i < 5; i++) {
            assertThat(network.isComplete(i)).as("n" + i + " at once").isFalse();
        }
        network.run(62);
        for (int i = 0; i < 5; i++) {
            assertThat(network.isComplete(i)).as("n" + i + " later").isEqualTo(i < 3);
        }
        network.connected = (from, to) -> true;
        network.run(2);
        assertThat(network.isComplete(0)).as("just healed").isFalse();
        network.run(2.0 * CYCLE_US / S + 2);
        for (int i = 0; i < 5; i++) {
            assertThat(network.isComplete(i)).as("n" + i + " healed").isTrue();
        }
        network.freeze();
        network.run(2.0 * CYCLE_US / S + 2);
        assertThat(network.wrongCounts()).isZero();
    }

    @Test
    void evenPartitionHasNoMajority() {
        final SimulatedNetwork network = network(9, 4);
        network.run(5);
        network.connected = (from, to) -> from < 2 == to < 2;
        network.run(70);
        for (int i = 0; i < 4; i++) {
            assertThat(network.isComplete(i)).as("n" + i).isFalse();
        }
    }

    @Test
    void replayedDatagramsChangeNothing() {
        final SimulatedNetwork network = network(10, 3);
        network.start(1, 5);
        final SimulatedNetwork.Node sender = network.nodes.get(1);
        network.nowUs += S;
        final byte[] recorded =
                sender.codec.encode(sender.exchange.poll(network.nowUs).orElseThrow());
        assertThat(network.inject(0, recorded)).isTrue();
        assertThat(network.inject(0, recorded)).isFalse();
        network.end(1, 5);
        network.run(2);
        assertThat(network.inject(0, recorded)).as("of an older sequence number").isFalse();
        network.restart(1);
        network.run(2);
        assertThat(network.inject(0, recorded)).as("of an older incarnation").isFalse();
        network.freeze();
        network.run(2.0 * CYCLE_US / S + 1);
        assertThat(network.wrongCounts()).isZero();
    }

    /**
     * The bytes that a dispatcher sends never exceed its rate, at any time and under constant load.
     */
    @Property(tries = 29, seed = "20261202")
    void bytesNeverExceedTheBudget(@ForAll @IntRange(min = 2, max = 30) int dispatchers) {
        final SimulatedNetwork network =
                new SimulatedNetwork(
                        dispatchers,
                        dispatchers,
                        300,
                        ExchangeSettings.DEFAULT_BYTES_PER_S,
                        ExchangeSettings.DEFAULT_REFRESH_US);
        network.startsPerS = 299;
        network.meanRunS = 3;
        for (int second = 1; second <= 20; second++) {
            final long[] before = network.nodes.stream().mapToLong(node -> node.bytes).toArray();
            network.run(1);
            for (int i = 0; i < dispatchers; i++) {
                final long bytes = network.nodes.get(i).bytes;
                assertThat(bytes)
                        .as("up to " + second + " s, " + dispatchers + " dispatchers")
                        .isLessThanOrEqualTo(second * ExchangeSettings.DEFAULT_BYTES_PER_S);
                assertThat(bytes - before[i])
                        .as("within a second")
                        .isLessThanOrEqualTo(2 * ExchangeSettings.DEFAULT_BYTES_PER_S);
            }
        }
        // A heartbeat per second even with the largest number of dispatchers.
        assertThat(network.nodes).allMatch(node -> node.messages >= 18);
        assertThat(network.isComplete(0)).isTrue();
    }
}
