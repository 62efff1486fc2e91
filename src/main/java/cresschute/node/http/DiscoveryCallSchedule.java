package cresschute.node.http;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * The timeouts of calls to discovery, and the delays before calls that timed out are retried. Pure:
 * the random generator is passed in, and the caller owns the timers. One per watch, used by one
 * thread.
 *
 * <p>A change must take effect within {@value #MAX_PROPAGATION_MS} ms after discovery has it and is
 * reachable. The table states the longest time, ms, from a change that is made just after a call
 * was sent until the start of the call that receives it. The response to that call may take up to
 * {@value #RESPONSE_TIMEOUT_MS} ms. All rows but the last leave more than a second for it:
 *
 * <table>
 * <caption>Sequences of failed calls</caption>
 * <tr><th>failed calls</th><th>the next call starts after</th></tr>
 * <tr><td>a long poll gets no response, or one that never ends</td><td>3,250</td></tr>
 * <tr><td>two of these in a row, or one and a connection that is not established</td>
 * <td>4,500 to 4,700</td></tr>
 * <tr><td>no response with the full list, twice in a row</td><td>3,750 to 3,950</td></tr>
 * <tr><td>a connection is not established, twice in a row</td><td>2,000 to 2,200</td></tr>
 * <tr><td>refused, reset or a status other than 200, n times: n pauses of the dispatcher, 500 to
 * 1,550 each</td>
 * <td>1,550 n</td></tr>
 * <tr><td>a long poll gets no response, then discovery refuses once</td><td>4,800</td></tr>
 * <tr><td>three calls in a row get no response: reported as failed, then the dispatcher's
 * pause</td>
 * <td>7,500</td></tr>
 * </table>
 *
 * <p>Three timeouts in a row exceed the limit, but discovery was then unreachable for that long.
 * Only timeouts are retried at once. A service that refuses is called again after the dispatcher's
 * jittered pause: it may have just restarted or be too busy to respond, and must not get the calls
 * of all dispatchers at the same time.
 */
final class DiscoveryCallSchedule {

    /** A change must take effect within this time after discovery has it, ms. */
    static final long MAX_PROPAGATION_MS = 6_000;

    /**
     * How long discovery may hold a long poll, ms. A discovery service that does not respond is
     * detected only after this time.
     */
    static final long LONG_POLL_WAIT_MS = 2_000;

    /** Response timeout in addition to the wait that the call states, ms. */
    static final long RESPONSE_TIMEOUT_MS = 1_250;

    /**
     * Response timeout for a full list, ms. It is longer because the response is large and many
     * dispatchers may call at once.
     */
    static final long FULL_LIST_TIMEOUT_MS = 2_500;

    /** The wait stated by a call that needs its response at once, ms. */
    static final long MIN_LONG_POLL_WAIT_MS = 1;

    /** How often a call that timed out is retried before it counts as failed. */
    static final int MAX_RETRIES = 2;

    /**
     * The longest delay before the second retry, ms. It spreads the retries of many dispatchers
     * whose calls timed out at the same time.
     */
    static final long MAX_JITTER_MS = 200;

    private final RandomGenerator random;
    private int retries;

    /** Whether the next call needs its response at once although it is no retry. */
    private boolean confirming;

    /** Creates a schedule whose next call is not a retry. */
    DiscoveryCallSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Timeout of the next call, including the time to establish its connection, ms. */
    long timeoutMs(boolean fullList) {
        if (fullList && retries == 0) {
            return FULL_LIST_TIMEOUT_MS;
        }
        return needsResponseAtOnce()
                ? RESPONSE_TIMEOUT_MS
                : LONG_POLL_WAIT_MS + RESPONSE_TIMEOUT_MS;
    }

    /** How long discovery may hold the next call while there is no change, ms. */
    long longPollWaitMs() {
        return needsResponseAtOnce() ? MIN_LONG_POLL_WAIT_MS : LONG_POLL_WAIT_MS;
    }

    private boolean needsResponseAtOnce() {
        return retries > 0 || confirming;
    }

    /**
     * Starts a watch whose first call needs its response at once, to confirm that the list held is
     * the current one.
     */
    void startConfirming() {
        confirming = true;
    }

    /**
     * Records that a call timed out.
     *
     * @return the delay before the retry, ms; empty if the retries are used up and the call has
     *     failed
     */
    OptionalLong recordTimeout() {
        if (retries == MAX_RETRIES) {
            return OptionalLong.empty();
        }
        retries++;
        return OptionalLong.of(retries == 1 ? 0 : random.nextLong(MAX_JITTER_MS + 1));
    }

    /** Makes the next call an ordinary one, after a response or at the end of the watch. */
    void reset() {
        retries = 0;
        confirming = false;
    }
}
