package cresschute.dispatch;

import java.util.List;

/**
 * Decides whether workers are queried for their load before an attempt is sent.
 *
 * <p>Inputs: the selected workers and the time of their last load reports in us, the mean running
 * time in us, the number of dispatchers, and the number of query rounds that the request has had.
 *
 * <p>Rule: a report is stale after {@code }{@value #STALE_AFTER_RUNNING_TIMES}{@code * mean running
 * time / dispatchers}. If at least two workers are selected and the older report of the best two is
 * stale, the best {@value #WORKERS_QUERIED} are queried. After {@value #MAX_ROUNDS} rounds the
 * request is sent without further queries.
 *
 * <p>Reason: a report becomes wrong sooner if jobs are shorter or more dispatchers send, and a
 * query takes less time than a wait behind other jobs.
 *
 * <p>Guarantees: it never queries if the host does not allow it, and a request waits for at most
 * {@value #MAX_ROUNDS} rounds, whether they are answered or not.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class LoadQueryPolicy {

    /**
     * Age from which a report is stale, in mean running times divided by the number of dispatchers.
     */
    private static final double STALE_AFTER_RUNNING_TIMES = 6;

    private static final int WORKERS_QUERIED = 3;

    private static final int MAX_ROUNDS = 2;

    private final CurrentSettings settings;
    private final ServiceTimeEstimator serviceTimes;

    LoadQueryPolicy(CurrentSettings settings, ServiceTimeEstimator serviceTimes) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
    }

    /** Number of workers to select for a round of queries. */
    int workersPerRound() {
        return WORKERS_QUERIED;
    }

    /** Returns whether workers may be queried at all. */
    boolean isAllowed() {
        return settings.get().canQueryLoad();
    }

    /** Returns whether a request may have another round of queries. */
    boolean allowsAnotherRound(PendingRequest request) {
        return request.queryRounds() < MAX_ROUNDS;
    }

    /**
     * Returns whether to query workers before a request is sent to the best of the selected
     * workers.
     */
    boolean shouldQuery(PendingRequest request, List<WorkerInstance> selected, long nowUs) {
        return isAllowed()
                && selected.size() > 1
                && allowsAnotherRound(request)
                && nowUs
                                - Math.min(
                                        selected.get(0).otherSlotsAtUs(),
                                        selected.get(1).otherSlotsAtUs())
                        > STALE_AFTER_RUNNING_TIMES
                                * serviceTimes.meanRunningTimeUs()
                                / settings.get().dispatchers();
    }

    /** Returns the selected workers that are queried. */
    List<WorkerInstance> toQuery(List<WorkerInstance> selected) {
        return selected.subList(0, Math.min(WORKERS_QUERIED, selected.size()));
    }

    /**
     * Returns when workers may be queried again for a hedged request, us: after one mean running
     * time, or at once if no worker was selected.
     */
    long nextHedgeQueryUs(List<WorkerInstance> selected, long nowUs) {
        return selected.isEmpty() ? 0 : nowUs + (long) serviceTimes.meanRunningTimeUs();
    }
}
