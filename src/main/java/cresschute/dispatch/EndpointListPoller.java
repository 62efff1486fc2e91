package cresschute.dispatch;

import java.util.SplittableRandom;

/**
 * Decides when to poll the endpoint list, if the host does not push its changes.
 *
 * <p>Inputs: the time of the first list and of each failed poll, in us.
 *
 * <p>Rule: the first poll is due at a random time within {@value #RETRY_US} us after the first
 * list. A failed poll is repeated after {@value #RETRY_US} us with a jitter of half that time
 * either way. A poll that has not failed is never repeated.
 *
 * <p>Reason: all dispatchers see discovery fail at the same time, so jitter spreads their polls.
 *
 * <p>Guarantees: it never polls before the first list, nor again while a poll is unanswered.
 *
 * <p>Called only on the dispatcher's thread.
 */
final class EndpointListPoller {

    /** Mean backoff after a failed poll, us. */
    private static final long RETRY_US = 1_000_000;

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
                settings.get().endpointListIsPolled() ? nowUs + random.nextLong(RETRY_US) : NOT_DUE;
    }

    /** Schedules the next poll after a failed one. */
    void pollFailed(long nowUs) {
        pollAtUs = nowUs + RETRY_US / 2 + random.nextLong(RETRY_US);
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
