package cresschute.node;

import cresschute.control.EventRing;
import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Records events for operators, both for consoles and in the log. Owns the {@link EventRing}, which
 * lives as long as the process. Used on the event loop only.
 */
final class OperatorEventLog {

    private static final Logger LOG = System.getLogger("cresschute.control");

    private final EventRing events = new EventRing();
    private final Clock clock;

    /** Creates an event log that takes timestamps from this clock. */
    OperatorEventLog(Clock clock) {
        this.clock = clock;
    }

    /** Records an event that concerns the whole node. */
    void record(OperatorEventKind kind, String text) {
        events.add(clock.nowUs(), kind.wireName(), null, text);
        logEvent(kind, text).log(LOG, Level.INFO);
    }

    /**
     * Records an event that concerns one worker.
     *
     * @param worker its id in the endpoint list
     */
    void record(OperatorEventKind kind, String worker, String text) {
        events.add(clock.nowUs(), kind.wireName(), worker, text);
        logEvent(kind, text).with("worker", worker).log(LOG, Level.INFO);
    }

    private static LogEvent logEvent(OperatorEventKind kind, String text) {
        return LogEvent.of("operator_event", text).with("kind", kind.wireName());
    }

    /** The most recent events, for consoles. */
    EventRing events() {
        return events;
    }
}
