package cresschute.testbed.capacity;

import com.google.gson.annotations.SerializedName;
import cresschute.node.Clock;

/**
 * One clock for all processes of an experiment: the Unix time that the first process read at the
 * start, advanced by the machine's monotonic clock, which all processes share.
 *
 * @param startUs Unix time at the start, us
 * @param startNs reading of the monotonic clock at the start, ns
 */
record SharedClock(@SerializedName("startUs") long startUs, @SerializedName("startNs") long startNs)
        implements Clock {

    private static final long NS_PER_US = 1_000;

    static SharedClock start() {
        return new SharedClock(System.currentTimeMillis() * 1_000, System.nanoTime());
    }

    @Override
    public long nowUs() {
        return startUs + (System.nanoTime() - startNs) / NS_PER_US;
    }
}
