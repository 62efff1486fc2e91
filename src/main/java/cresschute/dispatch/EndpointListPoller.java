package cresschute.dispatch;

import java.util.SplittableRandom;

/**
 * Decides when to poll the endpoint list, if the host does not push its changes.
 *
 * <p>Inputs: the time of the first list and of each failed poll, in us, and the longest time
 * without a watch that the settings allow.
 *
 * <p>Rule: the backoff is {@value #RETRY_US} us, or half the longest time without a watch if that
 * is shorter. The first poll is due at a random time within one backoff after the first list. A
 * failed poll is repeated after one backoff with a jitter of half of it either way. A poll that has
 * not failed is never repeated.
 *
 * <p>Reason: all dispatchers see discovery fail at the same time, so jitter spreads their polls. A
 * dispatcher without a watch for longer than the settings allow counts as notified of the changes.
 *
 * <p>Guarantees: it never polls before the first list, nor again while a poll is unanswered.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class EndpointListPoller {

    /** Longest mean backoff after a failed poll, us. */
    private static final long RETRY_US = 1_000_000;

    /** Shortest mean backoff after a failed poll, us. */
    private static final long MIN_RETRY_US = 10_000;

    private static final long NOT_DUE = Long.MAX_VALUE;

    private final CurrentSettings settings;
    private final SplittableRandom random;
    private long pollAtUs = NOT_DUE;

    EndpointListPoller(CurrentSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Schedules the first poll, after the first list. */
    void started(long nowUs) {
        pollAtUs =
                settings.get().endpointListIsPolled()
                        ? nowUs + random.nextLong(backoffUs())
                        : NOT_DUE;
    }

    /** Schedules the next poll after a failed one. */
    void pollFailed(long nowUs) {
        final long backoffUs = backoffUs();
        pollAtUs = nowUs + backoffUs / 2 + random.nextLong(backoffUs);
    }

    /** The mean backoff; the settings state no longest time without a watch if it is 0. */
    private long backoffUs() {
        final long pollWithinUs = settings.get().pollWithinUs();
        return pollWithinUs == 0
                ? RETRY_US
                : Math.max(MIN_RETRY_US, Math.min(RETRY_US, pollWithinUs / 2));
    }

    /** Returns whether to poll now; true once for each poll that is due. */
    boolean takeDuePoll(long nowUs) {
        final boolean due = nowUs >= pollAtUs;
        if (due) {
            pollAtUs = NOT_DUE;
        }
        return due;
    }
}
