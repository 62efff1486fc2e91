package cresschute.node.http;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * How long a call to discovery may take, and when one without an answer is repeated. Pure: chance
 * is passed in, and the caller keeps the time.
 *
 * <p>A change counts as told 6 s after discovery had it and could be reached. The longest that it
 * stays unheard where it is made just after a call was, in ms, up to the start of the call that
 * brings it. An answer may then take up to {@value #ANSWER_MS} ms, of which all but the last row
 * leave more than a second:
 *
 * <table>
 * <caption>Orders of calls without an answer</caption>
 * <tr><th>calls that bring nothing</th><th>the next one begins</th></tr>
 * <tr><td>a watch is silent, or its answer never ends</td><td>3,250</td></tr>
 * <tr><td>two in a row, or a silent one and a connection that never comes up</td>
 * <td>4,500 to 4,700</td></tr>
 * <tr><td>the whole list is not answered, twice in a row</td><td>3,750 to 3,950</td></tr>
 * <tr><td>a connection never comes up, twice in a row</td><td>2,000 to 2,200</td></tr>
 * <tr><td>refused, reset or answered otherwise, n times: n pauses of the module's, 500 to
 * 1,550 each</td>
 * <td>1,550 n</td></tr>
 * <tr><td>a watch is silent, then discovery refuses once</td><td>4,800</td></tr>
 * <tr><td>three calls in a row are silent: told as failed, then the module's pause</td>
 * <td>7,500</td></tr>
 * </table>
 *
 * <p>Three silences in a row are outside the 6 s: discovery could not be reached for as long.
 * Repeats follow silence alone. What refuses is asked again after the module's jittered pause, so
 * that dispatchers do not all come back at once to a discovery that has just returned or is too
 * busy to answer.
 */
final class DiscoveryCallSchedule {

    /**
     * How long discovery may wait for news, ms: short, since a silent watch shows only after it.
     */
    static final long WAIT_MS = 2_000;

    /** The longest that an answer may take beyond the wait that its call states, ms. */
    static final long ANSWER_MS = 1_250;

    /**
     * The longest that the answer with a whole list may take, ms: it is long, and many may ask at
     * once.
     */
    static final long WHOLE_LIST_MS = 2_500;

    /** The wait that a call states which is to be answered at once, ms. */
    static final long NO_WAIT_MS = 1;

    /** How often a call without an answer is repeated before it counts as failed. */
    static final int MAX_REPEATS = 2;

    /**
     * The longest pause before the second repeat, ms: calls that fell silent together come apart.
     */
    static final long MAX_JITTER_MS = 200;

    private final RandomGenerator random;
    private int repeats;

    DiscoveryCallSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** The longest that the next call may take, its connection included, ms. */
    long limitMs(boolean wholeList) {
        if (repeats > 0) {
            return ANSWER_MS;
        }
        return wholeList ? WHOLE_LIST_MS : WAIT_MS + ANSWER_MS;
    }

    /** How long discovery may wait for news before it answers the next call, ms. */
    long waitMs() {
        return repeats > 0 ? NO_WAIT_MS : WAIT_MS;
    }

    /**
     * Notes a call without an answer: the pause before it is repeated, ms, or empty where it has
     * failed.
     */
    OptionalLong afterSilence() {
        if (repeats == MAX_REPEATS) {
            return OptionalLong.empty();
        }
        repeats++;
        return OptionalLong.of(repeats == 1 ? 0 : random.nextLong(MAX_JITTER_MS + 1));
    }

    /** Notes an answer, or the end of the watch: the next call is no repeat. */
    void restart() {
        repeats = 0;
    }
}
