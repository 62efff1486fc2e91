package cresschute.lab;

import cresschute.node.Clock;
import java.util.ArrayList;
import java.util.List;

/** Keeps what the stand-ins of a fleet see, in the order in which they see it. */
public final class Recorder {

    private final Clock clock = Clock.system();
    private final List<Observation> seen = new ArrayList<>();

    /** The fleet's clock, Unix time in microseconds, which never goes back. */
    public long nowUs() {
        return clock.nowUs();
    }

    /** Adds what was just seen. Any thread. */
    public synchronized void add(Observation observation) {
        seen.add(observation);
    }

    /** All that was seen so far. Any thread. */
    public synchronized List<Observation> seen() {
        return List.copyOf(seen);
    }
}
