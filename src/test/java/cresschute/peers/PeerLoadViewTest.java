package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the answers of the view, and the limited effect of a faulty peer on it. */
class PeerLoadViewTest {

    private static final long S = 1_000_000;
    private static final int FAULTY = WorkerKeys.hash("faulty");
    private static final int CORRECT = WorkerKeys.hash("correct");

    private final List<String> collisions = new ArrayList<>();
    private final List<Integer> distrusted = new ArrayList<>();
    private final WorkerKeys keys =
            new WorkerKeys((worker, other) -> collisions.add(worker + "=" + other));
    private final InFlightCounts own = new InFlightCounts();
    private long nowUs = 100 * S;
    private final PeerTable peers = new PeerTable("self", 2, nowUs);
    private final PeerLoadView view =
            new PeerLoadView(keys, own, peers, (sender, forUs) -> distrusted.add(sender));
    private long sequence;

    private static String worker(int number) {
        return "w-" + number;
    }

    /** Receives claims of both peers at all workers. */
    private void receive(int faulty, int correct, int workers) {
        sequence++;
        receiveFrom(FAULTY, faulty, workers);
        receiveFrom(CORRECT, correct, workers);
    }

    private void receiveFrom(int sender, int count, int workers) {
        try {
            peers.receive(
                    nowUs,
                    new LoadMessage(
                            sender,
                            1,
                            sequence,
                            1,
                            false,
                            KeyRange.EMPTY,
                            IntStream.range(0, workers)
                                    .mapToObj(i -> new LoadEntry(keys.register(worker(i)), count))
                                    .toList()));
        } catch (RejectedMessageException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void ownAndPeersCountsAreSummed() {
        receive(1, 2, 1);
        own.attemptStarted(keys.register(worker(0)));
        assertThat(view.outstanding(nowUs, worker(0))).hasValue(4);
        assertThat(view.outstanding(nowUs, "never listed")).isEmpty();
        nowUs += 3 * S;
        assertThat(view.outstanding(nowUs, worker(0))).as("peers are suspect").isEmpty();
    }

    @Test
    void workersWithTheSameKeyAreUnknownAndReportedOnce() {
        receive(0, 0, 0);
        keys.register("x", 42);
        assertThat(view.outstanding(nowUs, "x")).hasValue(0);
        keys.register("y", 42);
        keys.register("y", 42);
        assertThat(view.outstanding(nowUs, "x")).isEmpty();
        assertThat(view.outstanding(nowUs, "y")).isEmpty();
        assertThat(collisions).containsExactly("x=y");
    }

    @Test
    void keyIsThePrefixOfTheHash() {
        // The first four bytes of the SHA-256 of "abc", as given in the standard.
        assertThat(WorkerKeys.hash("abc")).isEqualTo(0xba78_16bf);
    }

    @Test
    void reportsWithinTheMarginDistrustNoPeer() {
        receive(4, 3, 10);
        for (int i = 0; i < 100; i++) {
            nowUs += S / 10;
            receive(4, 3, 10);
            view.loadReported(nowUs, worker(i % 10), 5);
        }
        assertThat(distrusted).isEmpty();
        assertThat(view.outstanding(nowUs, worker(0))).as("an unusual claim is verified").isEmpty();
        assertThat(view.outstanding(nowUs, worker(0))).as("once in a while").hasValue(7);
    }

    @Test
    void contradictedWorkerIsQueriedUntilAReportAgrees() {
        receive(50, 0, 2);
        view.loadReported(nowUs, worker(0), 1);
        assertThat(view.outstanding(nowUs, worker(0))).isEmpty();
        view.loadReported(nowUs, worker(0), 49);
        receive(50, 0, 2);
        assertThat(answersAmong(10)).isGreaterThan(0);
    }

    /**
     * Returns how many of the given number of lookups are answered; the others are verified by a
     * load query.
     */
    private long answersAmong(int lookups) {
        return IntStream.range(0, lookups)
                .filter(i -> view.outstanding(nowUs, worker(0)).isPresent())
                .count();
    }

    /** A peer that claims too much at every worker is distrusted after 16 reports. */
    @Test
    void faultyPeerIsDistrustedAndTheViewIncompleteMeanwhile() {
        int reports = 0;
        while (distrusted.isEmpty()) {
            nowUs += S / 10;
            receive(30, 2, 40);
            view.loadReported(nowUs, worker(reports++ % 40), 2);
            assertThat(reports).isLessThanOrEqualTo(ClaimValidator.WINDOW_SIZE);
        }
        assertThat(distrusted).containsExactly(FAULTY);
        assertThat(peers.isComplete(nowUs)).isFalse();
        for (int i = 0; i < 61; i++) {
            nowUs += S;
            receive(0, 2, 40);
        }
        assertThat(peers.isComplete(nowUs)).isTrue();
    }

    /** A worker that gets no requests sends no reports, so its load is queried. */
    @Test
    void unusualClaimIsVerifiedAtTheWorkerAtOnce() {
        receive(2, 2, 20);
        for (int i = 0; i < 200; i++) {
            nowUs += S / 10;
            receive(2, 2, 20);
            view.outstanding(nowUs, worker(1 + i % 19));
        }
        sequence++;
        receiveFrom(FAULTY, 1_000, 1);
        receiveFrom(CORRECT, 2, 1);
        nowUs += S;
        assertThat(view.outstanding(nowUs, worker(0))).isEmpty();
        view.loadReported(nowUs, worker(0), 3);
        nowUs += S;
        assertThat(view.outstanding(nowUs, worker(0))).as("contradicted").isEmpty();
    }

    @Test
    void fewLookupsAreVerified() {
        int queried = 0;
        for (int i = 0; i < 6_000; i++) {
            nowUs += S / 100;
            if (i % 100 == 0) {
                receive(2, 2, 20);
            }
            queried += view.outstanding(nowUs, worker(i % 20)).isEmpty() ? 1 : 0;
        }
        // 60 s: one per second at most.
        assertThat(queried).isBetween(1, 61);
    }
}
