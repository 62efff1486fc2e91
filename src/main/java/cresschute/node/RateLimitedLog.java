package cresschute.node;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/** Counts troubles by kind and logs the first of each kind in an interval, with the count so far. */
public final class RateLimitedLog {

    private static final long INTERVAL_US = 5_000_000;

    private final Logger log;
    private final Clock clock;
    private final Map<String, Kind> kinds = new HashMap<>();

    /** Writes to this logger. */
    public RateLimitedLog(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Counts one trouble; its detail is logged unless its kind was logged a short while ago. */
    public void trouble(String kind, String detail) {
        final Kind counted = kinds.computeIfAbsent(kind, unseen -> new Kind());
        counted.count++;
        final long nowUs = clock.nowUs();
        if (counted.count == 1 || nowUs - counted.loggedUs >= INTERVAL_US) {
            counted.loggedUs = nowUs;
            log.log(Level.WARNING, kind + " (" + counted.count + " so far): " + detail);
        }
    }

    private static final class Kind {
        private long count;
        private long loggedUs;
    }
}
