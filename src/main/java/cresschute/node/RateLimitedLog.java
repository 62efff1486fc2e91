package cresschute.node;

import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.Map;

/** Counts faults by kind and logs the first of each kind in an interval, with the count so far. */
public final class RateLimitedLog {

    private static final long INTERVAL_US = 5_000_000;

    private final Logger log;
    private final Clock clock;
    private final Map<PeerFault, Kind> kinds = new EnumMap<>(PeerFault.class);

    /** Writes to this logger. */
    public RateLimitedLog(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /**
     * Counts one fault; its detail is logged unless its kind was logged a short while ago. On the
     * loop.
     *
     * @param peer the address of the other side, or null where there is none
     */
    public void fault(PeerFault kind, String peer, String detail) {
        final Kind counted = kinds.computeIfAbsent(kind, unseen -> new Kind());
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

    private static final class Kind {
        private long count;
        private long loggedUs;
    }
}
