package cresschute.testbed;

import cresschute.node.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Keeps what the stand-ins of a fleet see, in the order in which they see it. */
public final class Recorder {

    private final Clock clock;
    private final List<Observation> seen = new ArrayList<>();
    private final Consumer<Observation> sink;

    /** Keeps observations in memory, by a clock that starts at the system's time. */
    public Recorder() {
        clock = Clock.system();
        sink = seen::add;
    }

    /** Hands every observation on to a sink and keeps none in memory. */
    public Recorder(Clock clock, Consumer<Observation> sink) {
        this.clock = clock;
        this.sink = sink;
    }

    /** The fleet's clock, Unix time in microseconds, which never goes back. */
    public long nowUs() {
        return clock.nowUs();
    }

    /** Adds what was just seen. Any thread. */
    public synchronized void add(Observation observation) {
        sink.accept(observation);
    }

    /** All that was seen so far. Any thread. */
    public synchronized List<Observation> seen() {
        return List.copyOf(seen);
    }
}
