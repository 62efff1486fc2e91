package cresschute.node;

import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts faults by kind and logs the first of each kind in an interval, with the count so far. Owns
 * the counts. Call from the event loop.
 */
public final class RateLimitedLog {

    /** Minimum time between two lines of the same kind, microseconds. */
    private static final long INTERVAL_US = 5_000_000;

    private final Logger log;
    private final Clock clock;
    private final Map<PeerFault, Counter> kinds = new EnumMap<>(PeerFault.class);

    /**
     * Creates a log with all counts at 0.
     *
     * @param log where lines are written
     * @param clock measures the intervals
     */
    public RateLimitedLog(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /**
     * Counts one fault, and logs it unless its kind was logged within the interval.
     *
     * @param kind the kind of fault
     * @param peer the address of the peer, or null if there is none
     * @param detail a description of the fault
     */
    public void fault(PeerFault kind, String peer, String detail) {
        final Counter counted = kinds.computeIfAbsent(kind, unseen -> new Counter());
        counted.count++;
        final long nowUs = clock.nowUs();
        if (counted.count == 1 || nowUs - counted.loggedUs >= INTERVAL_US) {
            counted.loggedUs = nowUs;
            final LogEvent event =
                    LogEvent.of(
                                    kind.event(),
                                    kind.text()
                                            + " ("
                                            + counted.count
                                            + " so far): "
                                            + (peer == null ? "" : peer + ": ")
                                            + detail)
                            .with("count", counted.count)
                            .with("detail", detail);
            (peer == null ? event : event.with("peer", peer)).log(log, Level.WARNING);
        }
    }

    private static final class Counter {
        private long count;
        private long loggedUs;
    }
}
