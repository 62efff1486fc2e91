package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the state transitions of peers. */
class PeerTableTest {

    private static final long S = 1_000_000;
    private static final long START_US = 100 * S;
    private static final int A = WorkerKeys.hash("a");
    private static final int B = WorkerKeys.hash("b");

    private final PeerTable table = new PeerTable("self", 2, START_US);
    private long nowUs = START_US;

    private static LoadMessage message(
            int sender, long incarnation, long sequence, long cycle, LoadEntry... entries) {
        return new LoadMessage(
                sender, incarnation, sequence, cycle, false, KeyRange.EMPTY, List.of(entries));
    }

    /** Returns the reason for which the message is rejected, or null if it is accepted. */
    private RejectionReason receive(LoadMessage message) {
        try {
            table.receive(nowUs, message);
            return null;
        } catch (RejectedMessageException e) {
            return e.reason();
        }
    }

    private PeerState state(int sender) {
        return table.states(nowUs).get(sender);
    }

    @Test
    void peerReceivedFromItsFirstMessageIsAlive() {
        assertThat(receive(message(A, 1, 1, 1, new LoadEntry(5, 2)))).isNull();
        assertThat(state(A)).isEqualTo(PeerState.ALIVE);
        assertThat(table.isComplete(nowUs)).as("the other one is missing").isFalse();
        receive(message(B, 1, 1, 1, new LoadEntry(5, 3)));
        assertThat(table.isComplete(nowUs)).isTrue();
        assertThat(table.count(nowUs, 5)).isEqualTo(5);
    }

    @Test
    void missingPeerIsAbsentAfterAMinute() {
        for (int i = 1; i <= 61; i++) {
            nowUs = START_US + i * S;
            receive(message(A, 1, i, 1));
            assertThat(table.isComplete(nowUs)).as(i + " s").isEqualTo(i >= 60);
        }
    }

    @Test
    void peerReceivedFromTheMiddleIsAliveAfterACompleteCycle() {
        long sequence = 500;
        for (long cycle = 7; cycle < 9; cycle++) {
            for (int i = 0; i < 60; i++) {
                nowUs += S;
                receive(message(A, 1, sequence++, cycle));
                assertThat(state(A)).isEqualTo(PeerState.JOINING);
            }
        }
        receive(message(A, 1, sequence, 9));
        assertThat(state(A)).isEqualTo(PeerState.ALIVE);
    }

    @Test
    void cycleWithMoreThanFivePercentLossMakesItJoining() {
        receive(message(A, 1, 1, 1));
        long sequence = 2;
        for (int i = 0; i < 59; i++) {
            nowUs += S;
            // 3 of 60 missing: 5 %.
            sequence += i % 20 == 7 ? 1 : 0;
            receive(message(A, 1, sequence++, 1));
        }
        receive(message(A, 1, sequence++, 2));
        assertThat(state(A)).isEqualTo(PeerState.ALIVE);
        for (int i = 0; i < 59; i++) {
            nowUs += S;
            sequence += i % 10 == 7 ? 1 : 0;
            receive(message(A, 1, sequence++, 2));
        }
        receive(message(A, 1, sequence, 3));
        assertThat(state(A)).isEqualTo(PeerState.JOINING);
    }

    @Test
    void pauseWithoutLossKeepsItAliveAndWithLossItIsJoining() {
        receive(message(A, 1, 1, 1, new LoadEntry(5, 2)));
        nowUs += 4 * S;
        assertThat(state(A)).isEqualTo(PeerState.SUSPECT);
        assertThat(table.count(nowUs, 5)).isEqualTo(2);
        receive(message(A, 1, 2, 1));
        assertThat(state(A)).isEqualTo(PeerState.ALIVE);
        nowUs += 4 * S;
        receive(message(A, 1, 5, 1));
        assertThat(state(A)).isEqualTo(PeerState.JOINING);
    }

    @Test
    void absentPeersCountsAreDroppedAlsoWhenItSendsAgain() {
        receive(message(A, 1, 1, 1, new LoadEntry(5, 2)));
        nowUs += 60 * S;
        assertThat(state(A)).isEqualTo(PeerState.ABSENT);
        assertThat(table.count(nowUs, 5)).isZero();
        receive(message(A, 1, 2, 1));
        assertThat(state(A)).isEqualTo(PeerState.JOINING);
        assertThat(table.count(nowUs, 5)).isZero();
    }

    @Test
    void rangeDropsCountsThatTheMessageLeavesOut() {
        receive(
                message(
                        A,
                        1,
                        1,
                        1,
                        new LoadEntry(5, 2),
                        new LoadEntry(6, 1),
                        new LoadEntry(-2, 4)));
        receive(
                new LoadMessage(
                        A, 1, 2, 1, false, new KeyRange(0, 5), List.of(new LoadEntry(3, 1))));
        assertThat(table.count(nowUs, 5)).isZero();
        assertThat(table.count(nowUs, 3)).isEqualTo(1);
        assertThat(table.count(nowUs, 6)).isEqualTo(1);
        assertThat(table.count(nowUs, -2)).isEqualTo(4);
    }

    @Test
    void oldMessagesOwnOnesAndTooManySendersAreRejected() {
        assertThat(receive(message(WorkerKeys.hash("self"), 1, 1, 1)))
                .isEqualTo(RejectionReason.OWN_NAME);
        receive(message(A, 5, 3, 1));
        assertThat(receive(message(A, 5, 3, 1))).isEqualTo(RejectionReason.OLD_SEQUENCE);
        assertThat(receive(message(A, 5, 2, 1))).isEqualTo(RejectionReason.OLD_SEQUENCE);
        assertThat(receive(message(A, 4, 9, 1))).isEqualTo(RejectionReason.OLD_INCARNATION);
        receive(message(B, 1, 1, 1));
        assertThat(receive(message(77, 1, 1, 1))).isEqualTo(RejectionReason.TOO_MANY_SENDERS);
        nowUs += 60 * S;
        receive(message(A, 5, 4, 1));
        assertThat(receive(message(77, 1, 1, 1))).as("one is absent now").isNull();
        assertThat(table.states(nowUs)).containsOnlyKeys(A, 77);
    }

    @Test
    void entriesOfOnePeerAreBounded() {
        int sequence = 0;
        RejectionReason rejection = null;
        for (int from = 0; rejection == null; from += 200) {
            rejection =
                    receive(
                            message(
                                    A,
                                    1,
                                    ++sequence,
                                    1,
                                    IntStream.range(from, from + 200)
                                            .mapToObj(key -> new LoadEntry(key, 1))
                                            .toArray(LoadEntry[]::new)));
        }
        assertThat(rejection).isEqualTo(RejectionReason.TOO_MANY_ENTRIES);
        assertThat(200 * sequence).isLessThanOrEqualTo(PeerTable.MAX_ENTRIES_PER_PEER + 200);
    }

    @Test
    void distrustDoublesUpToAnHourAndRestartsAfterAnHour() {
        receive(message(A, 1, 1, 1));
        long expectedUs = 60 * S;
        for (int i = 0; i < 9; i++) {
            assertThat(table.distrust(nowUs, A)).isEqualTo(Math.min(expectedUs, 3_600 * S));
            assertThat(state(A)).isEqualTo(PeerState.DISTRUSTED);
            nowUs += Math.min(expectedUs, 3_600 * S) + S;
            assertThat(state(A)).isNotEqualTo(PeerState.DISTRUSTED);
            expectedUs *= 2;
        }
        nowUs += 3_601 * S;
        assertThat(table.distrust(nowUs, A)).isEqualTo(60 * S);
    }
}
