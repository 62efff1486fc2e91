package cresschute.dispatch;

import java.util.SplittableRandom;

/**
 * Decides when the endpoint list is polled, where the host does not send changes by itself.
 *
 * <p>Inputs: the start, and failed polls, each with the clock in us.
 *
 * <p>Rule: the first poll is due a random part of {@value #RETRY_US} us after the first list, and a
 * failed one is repeated {@value #RETRY_US} us later, give or take half. A poll that was made is
 * repeated only once it has failed.
 *
 * <p>Reason: all dispatchers see discovery fail at the same time, and jitter spreads their polls.
 *
 * <p>Never: it does not poll twice before an answer, nor before the first list.
 *
 * <p>Called on the dispatcher's thread alone.
 */
final class EndpointListPoller {

    /** Mean backoff before a failed poll is repeated, us. */
    private static final long RETRY_US = 1_000_000;

    private static final long NOT_DUE = Long.MAX_VALUE;

    private final CurrentSettings settings;
    private final SplittableRandom random;
    private long pollAtUs = NOT_DUE;

    EndpointListPoller(CurrentSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Takes in the first list. */
    void started(long nowUs) {
        pollAtUs =
                settings.get().endpointListIsPolled() ? nowUs + random.nextLong(RETRY_US) : NOT_DUE;
    }

    /** Takes in that a poll failed. */
    void pollFailed(long nowUs) {
        pollAtUs = nowUs + RETRY_US / 2 + random.nextLong(RETRY_US);
    }

    /** Whether to poll now; true once for each poll that is due. */
    boolean takeDuePoll(long nowUs) {
        final boolean due = nowUs >= pollAtUs;
        if (due) {
            pollAtUs = NOT_DUE;
        }
        return due;
    }
}
