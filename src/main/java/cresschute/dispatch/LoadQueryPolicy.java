package cresschute.dispatch;

import java.util.List;

/**
 * Decides when workers are queried for their load before an attempt is sent.
 *
 * <p>Inputs: the workers selected and the time of their last load reports in us, the mean running
 * time in us, the number of dispatchers, and the rounds of queries that the request has had.
 *
 * <p>Rule: a report is old after {@code }{@value #STALE_AFTER_RUNNING_TIMES}{@code * mean running
 * time / dispatchers}. Where there is a choice and the older report of the best two is old, the
 * best {@value #WORKERS_QUERIED} are queried; after {@value #MAX_ROUNDS} rounds the request is sent
 * as it is.
 *
 * <p>Reason: the sooner jobs end and the more dispatchers send, the sooner a report is wrong, and a
 * query takes less time than a job that waits behind others.
 *
 * <p>Never: it does not query where the host does not allow it, and a request waits for no more
 * than {@value #MAX_ROUNDS} rounds, answered or not.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class LoadQueryPolicy {

    /** Age at which a report is old, in mean running times over the dispatchers. */
    private static final double STALE_AFTER_RUNNING_TIMES = 6;

    private static final int WORKERS_QUERIED = 3;

    private static final int MAX_ROUNDS = 2;

    private final CurrentSettings settings;
    private final ServiceTimeEstimator serviceTimes;

    LoadQueryPolicy(CurrentSettings settings, ServiceTimeEstimator serviceTimes) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
    }

    /** How many workers to select for a round of queries. */
    int workersPerRound() {
        return WORKERS_QUERIED;
    }

    /** Whether workers may be queried at all. */
    boolean isAllowed() {
        return settings.get().canQueryLoad();
    }

    /** Whether a request may have another round of queries. */
    boolean allowsAnotherRound(PendingRequest request) {
        return request.queryRounds() < MAX_ROUNDS;
    }

    /** Whether to query workers before a request goes to the best of those selected. */
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

    /** Those of the workers selected that are queried. */
    List<WorkerInstance> toQuery(List<WorkerInstance> selected) {
        return selected.subList(0, Math.min(WORKERS_QUERIED, selected.size()));
    }

    /**
     * When workers may be queried again for a hedged request: after one mean running time, at once
     * where none could be.
     */
    long nextHedgeQueryUs(List<WorkerInstance> selected, long nowUs) {
        return selected.isEmpty() ? 0 : nowUs + (long) serviceTimes.meanRunningTimeUs();
    }
}
