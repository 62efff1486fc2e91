package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What the view answers, and what a peer that lies can do. */
class PeerLoadViewTest {

    private static final long S = 1_000_000;
    private static final int LIAR = WorkerKeys.hash("liar");
    private static final int HONEST = WorkerKeys.hash("honest");

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

    /** Both peers state numbers at all workers. */
    private void receive(int liars, int honest, int workers) {
        sequence++;
        announce(LIAR, liars, workers);
        announce(HONEST, honest, workers);
    }

    private void announce(int sender, int count, int workers) {
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
    void workersOfOneKeyAreUnknownAndSaidOnce() {
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
    void keyIsTheBeginningOfTheHash() {
        // The beginning of the SHA-256 of "abc", as its standard gives it.
        assertThat(WorkerKeys.hash("abc")).isEqualTo(0xba78_16bf);
    }

    @Test
    void reportsWithinTheMarginDistrustNobody() {
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
    void contradictedWorkerIsAskedUntilAReportAgrees() {
        receive(50, 0, 2);
        view.loadReported(nowUs, worker(0), 1);
        assertThat(view.outstanding(nowUs, worker(0))).isEmpty();
        view.loadReported(nowUs, worker(0), 49);
        receive(50, 0, 2);
        assertThat(answeredOf(10)).isGreaterThan(0);
    }

    /** Answers among so many questions: some are verified at the worker. */
    private long answeredOf(int questions) {
        return IntStream.range(0, questions)
                .filter(i -> view.outstanding(nowUs, worker(0)).isPresent())
                .count();
    }

    /** A peer that claims much at every worker, as it lies or is stuck, is out after 16 reports. */
    @Test
    void liarIsDistrustedAndViewsAreIncompleteMeanwhile() {
        int reports = 0;
        while (distrusted.isEmpty()) {
            nowUs += S / 10;
            receive(30, 2, 40);
            view.loadReported(nowUs, worker(reports++ % 40), 2);
            assertThat(reports).isLessThanOrEqualTo(ClaimValidator.WINDOW_SIZE);
        }
        assertThat(distrusted).containsExactly(LIAR);
        assertThat(peers.isComplete(nowUs)).isFalse();
        for (int i = 0; i < 61; i++) {
            nowUs += S;
            receive(0, 2, 40);
        }
        assertThat(peers.isComplete(nowUs)).isTrue();
    }

    /** A worker that is avoided sends no reports, so it is asked itself. */
    @Test
    void unusualClaimIsVerifiedAtTheWorkerAtOnce() {
        receive(2, 2, 20);
        for (int i = 0; i < 200; i++) {
            nowUs += S / 10;
            receive(2, 2, 20);
            view.outstanding(nowUs, worker(1 + i % 19));
        }
        sequence++;
        announce(LIAR, 1_000, 1);
        announce(HONEST, 2, 1);
        nowUs += S;
        assertThat(view.outstanding(nowUs, worker(0))).isEmpty();
        view.loadReported(nowUs, worker(0), 3);
        nowUs += S;
        assertThat(view.outstanding(nowUs, worker(0))).as("contradicted").isEmpty();
    }

    @Test
    void fewQuestionsAreVerified() {
        int asked = 0;
        for (int i = 0; i < 6_000; i++) {
            nowUs += S / 100;
            if (i % 100 == 0) {
                receive(2, 2, 20);
            }
            asked += view.outstanding(nowUs, worker(i % 20)).isEmpty() ? 1 : 0;
        }
        // 60 s: one a second at the most.
        assertThat(asked).isBetween(1, 61);
    }
}
