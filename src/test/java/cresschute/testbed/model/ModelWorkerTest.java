package cresschute.testbed.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import cresschute.dispatch.Outcome;
import cresschute.dispatch.SlowStartSettings;
import org.junit.jupiter.api.Test;

/** Checks what the model counts at a cold worker against the figures of the slow-start rule. */
class ModelWorkerTest {

    private static final long SECOND = 1_000_000;
    private static final long MEAN_WORK_US = 100_000;

    private final EventQueue eventQueue = new EventQueue(SECOND);
    // Half of 2 slots for 1 s, doubled: 20 jobs of 0.1 s. The warm-up is so long that the worker
    // hardly warms during a test.
    private final SlowStartSettings rule =
            new SlowStartSettings(0.5, 1_000_000 * SECOND, 2, SECOND);
    private final ModelWorker worker =
            new ModelWorker(eventQueue, rule, 0, 0, 0, 0, 2, 1, MEAN_WORK_US);

    private void send(int jobs, long workUs) {
        for (int i = 0; i < jobs; i++) {
            worker.receive(
                    workUs,
                    1,
                    new ModelWorker.JobListener() {
                        @Override
                        public void started() {
                            // Ignored: the tests check only the counts of the worker.
                        }

                        @Override
                        public void progressed(double fractionDone) {
                            // Ignored: the tests check only the counts of the worker.
                        }

                        @Override
                        public void ended(Outcome outcome) {
                            // Ignored: the tests check only the counts of the worker.
                        }
                    });
        }
    }

    @Test
    void toleratesTwiceTheRootPlusTwoJobsBeyondExpectedCount() {
        assertThat(rule.toleratedJobs(0)).isEqualTo(2);
        assertThat(rule.toleratedJobs(4)).isEqualTo(10);
        assertThat(rule.toleratedJobs(100)).isEqualTo(122);
    }

    @Test
    void firstJobBeyondBoundOverloadsWorker() {
        worker.restart();
        // 20 + 2 x 4.47 + 2 = 30.9 jobs.
        send(30, MEAN_WORK_US);
        assertThat(worker.overloaded()).isFalse();
        assertThat(worker.maxColdCountRatio()).isCloseTo(30 / 30.944, within(0.001));
        send(1, MEAN_WORK_US);
        assertThat(worker.overloaded()).isTrue();
        assertThat(worker.isUp()).isFalse();
    }

    @Test
    void countsJobsAndWorkSeparately() {
        worker.restart();
        send(10, 2 * MEAN_WORK_US);
        assertThat(worker.maxColdWorkRatio()).isCloseTo(20 / 30.944, within(0.001));
        assertThat(worker.maxColdCountRatio()).isCloseTo(10 / 30.944, within(0.001));
    }

    @Test
    void countsOnlyJobsWithinWindow() {
        worker.restart();
        send(20, MEAN_WORK_US);
        eventQueue.runUntil(eventQueue.nowUs() + SECOND + 1);
        send(20, MEAN_WORK_US);
        assertThat(worker.overloaded()).isFalse();
        assertThat(worker.maxColdCountRatio()).isCloseTo(20 / 30.944, within(0.001));
    }

    @Test
    void warmWorkerToleratesAnyNumberOfJobs() {
        send(1000, MEAN_WORK_US);
        assertThat(worker.overloaded()).isFalse();
        assertThat(worker.maxColdCountRatio()).isZero();
    }
}
