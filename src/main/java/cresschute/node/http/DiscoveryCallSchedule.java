package cresschute.node.http;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * How long a call to discovery may take, and when one without a response is repeated. Pure: chance
 * is passed in, and the caller keeps the time. One per watch, used by one thread.
 *
 * <p>A change must be in force {@value #MAX_PROPAGATION_MS} ms after discovery had it and could be
 * reached. The table has the longest time, ms, from a change made just after a call was sent to the
 * start of the call that brings it. A response may then take up to {@value #RESPONSE_TIMEOUT_MS}
 * ms, of which all but the last row leave more than a second:
 *
 * <table>
 * <caption>Orders of calls without a response</caption>
 * <tr><th>calls that bring nothing</th><th>the next one begins</th></tr>
 * <tr><td>a watch is silent, or its response never ends</td><td>3,250</td></tr>
 * <tr><td>two in a row, or a silent one and a connection that is not established</td>
 * <td>4,500 to 4,700</td></tr>
 * <tr><td>no response with the whole list, twice in a row</td><td>3,750 to 3,950</td></tr>
 * <tr><td>a connection is not established, twice in a row</td><td>2,000 to 2,200</td></tr>
 * <tr><td>refused, reset or another status, n times: n pauses of the dispatcher's, 500 to
 * 1,550 each</td>
 * <td>1,550 n</td></tr>
 * <tr><td>a watch is silent, then discovery refuses once</td><td>4,800</td></tr>
 * <tr><td>three calls in a row are silent: reported as failed, then the dispatcher's pause</td>
 * <td>7,500</td></tr>
 * </table>
 *
 * <p>Three silences in a row are outside the limit: discovery could not be reached for as long.
 * Only silence is repeated at once. A service that refuses is called again after the dispatcher's
 * jittered pause, so that dispatchers do not all return at once to one that has just restarted or
 * is too busy to respond.
 */
final class DiscoveryCallSchedule {

    /** How long after discovery has a change it must be in force, ms. */
    static final long MAX_PROPAGATION_MS = 6_000;

    /** How long a watch may wait at discovery, ms: a silent one shows only after that. */
    static final long LONG_POLL_WAIT_MS = 2_000;

    /** The longest that a response may take beyond the wait that its call states, ms. */
    static final long RESPONSE_TIMEOUT_MS = 1_250;

    /**
     * The longest that the response with a whole list may take, ms: it is long, and many
     * dispatchers may call at once.
     */
    static final long FULL_LIST_TIMEOUT_MS = 2_500;

    /** The wait that a call states which needs its response at once, ms. */
    static final long MIN_LONG_POLL_WAIT_MS = 1;

    /** How often a call without a response is repeated before it counts as failed. */
    static final int MAX_RETRIES = 2;

    /**
     * The longest pause before the second repeat, ms: calls of many dispatchers that fell silent
     * together spread out.
     */
    static final long MAX_JITTER_MS = 200;

    private final RandomGenerator random;
    private int retries;

    /** A schedule whose next call is no repeat. */
    DiscoveryCallSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** The longest that the next call may take, its connection included, ms. */
    long timeoutMs(boolean fullList) {
        if (retries > 0) {
            return RESPONSE_TIMEOUT_MS;
        }
        return fullList ? FULL_LIST_TIMEOUT_MS : LONG_POLL_WAIT_MS + RESPONSE_TIMEOUT_MS;
    }

    /** How long discovery may wait for a change before it responds to the next call, ms. */
    long longPollWaitMs() {
        return retries > 0 ? MIN_LONG_POLL_WAIT_MS : LONG_POLL_WAIT_MS;
    }

    /**
     * Notes a call without a response.
     *
     * @return the pause before it is repeated, ms; empty where it has failed
     */
    OptionalLong recordTimeout() {
        if (retries == MAX_RETRIES) {
            return OptionalLong.empty();
        }
        retries++;
        return OptionalLong.of(retries == 1 ? 0 : random.nextLong(MAX_JITTER_MS + 1));
    }

    /** Notes a response, or the end of the watch: the next call is no repeat. */
    void reset() {
        retries = 0;
    }
}
