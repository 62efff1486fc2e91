package cresschute.node;

import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Arrays;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Measures how late the event loop runs its timers, and what it did meanwhile.
 *
 * <p>Owns the times since its last tick, and the largest lag since the last status. Call from the
 * event loop.
 */
public final class LoopMonitor {

    /** The interval at which {@link #tick} is due, ms. */
    static final long TICK_MS = 100;

    /** A lag from which it is logged what the loop did, ms. */
    private static final long LOGGED_LAG_MS = 150;

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final long[] spentNs = new long[Activity.values().length];
    private final LongSupplier clockNs;
    private long lastTickNs;
    private long maxLagMs;

    /** What the loop spends time on; the rest is other handlers, garbage collection and waiting. */
    public enum Activity {
        /** Reading clients and handling their requests. */
        CLIENT_READS,
        /** Reading workers and handling their responses. */
        WORKER_READS,
        /** Turns of the dispatcher, and the actions that follow. */
        DISPATCHER_TURNS
    }

    /** Creates a monitor that measures nothing before {@link #begin}. */
    public LoopMonitor() {
        this(System::nanoTime);
    }

    /**
     * Creates a monitor with a clock of its own.
     *
     * @param clockNs a monotonic clock, ns
     */
    LoopMonitor(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

    /** Begins to measure: the first tick is due in {@value #TICK_MS} ms. */
    void begin() {
        Arrays.fill(spentNs, 0);
        lastTickNs = clockNs.getAsLong();
    }

    /** Adds time that was spent, ns. */
    public void spent(Activity activity, long ns) {
        spentNs[activity.ordinal()] += ns;
    }

    /** Notes that the timer that is due every {@value #TICK_MS} ms has run. */
    void tick() {
        final long nowNs = clockNs.getAsLong();
        final long lagMs = TimeUnit.NANOSECONDS.toMillis(nowNs - lastTickNs) - TICK_MS;
        maxLagMs = Math.max(maxLagMs, lagMs);
        if (lagMs >= LOGGED_LAG_MS) {
            LogEvent.of("loop_lag", "the event loop was held up for " + lagMs + " ms: " + spent())
                    .with("ms", lagMs)
                    .with("detail", spent())
                    .log(LOG, Level.WARNING);
        }
        Arrays.fill(spentNs, 0);
        lastTickNs = nowNs;
    }

    private String spent() {
        final StringJoiner text = new StringJoiner(", ");
        for (final Activity activity : Activity.values()) {
            text.add(
                    activity.name().toLowerCase(Locale.ROOT)
                            + " "
                            + TimeUnit.NANOSECONDS.toMillis(spentNs[activity.ordinal()])
                            + " ms");
        }
        return text.toString();
    }

    /** Returns the largest lag since the last call, ms, and begins anew. */
    long takeMaxLagMs() {
        final long lagMs = Math.max(0, maxLagMs);
        maxLagMs = 0;
        return lagMs;
    }
}
