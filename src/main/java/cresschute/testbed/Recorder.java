package cresschute.testbed;

import cresschute.node.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Records the observations of the stand-ins of a fleet in the order in which they are made. */
public final class Recorder {

    private final Clock clock;
    private final List<Observation> seen = new ArrayList<>();
    private final Consumer<Observation> sink;

    /**
     * Creates a recorder that keeps observations in memory and whose clock starts at the system
     * time.
     */
    public Recorder() {
        clock = Clock.system();
        sink = seen::add;
    }

    /** Creates a recorder that passes each observation to a sink and keeps none in memory. */
    public Recorder(Clock clock, Consumer<Observation> sink) {
        this.clock = clock;
        this.sink = sink;
    }

    /** The time of the fleet's clock, Unix time in microseconds, which never goes back. */
    public long nowUs() {
        return clock.nowUs();
    }

    /** Adds an observation. May be called from any thread. */
    public synchronized void add(Observation observation) {
        sink.accept(observation);
    }

    /** Returns all observations so far. May be called from any thread. */
    public synchronized List<Observation> seen() {
        return List.copyOf(seen);
    }
}
