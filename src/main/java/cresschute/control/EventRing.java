package cresschute.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A ring buffer of the last {@value #MAX_EVENTS} events of a node, numbered in order. Events are
 * held in memory and are not stored. A reader passes the number of the last event that it has and
 * gets the later events and the number of events that it missed.
 *
 * <p>Pure. Not thread-safe; used only on the node's event loop.
 */
public final class EventRing {

    /** Maximum number of events that are kept. */
    public static final int MAX_EVENTS = 1_000;

    private final Deque<OperatorEvent> events = new ArrayDeque<>();
    private long lastNumber;

    /** Adds an event with the next number; the parameters are those of {@link OperatorEvent}. */
    public void add(long atUs, String kind, String worker, String text) {
        events.addLast(new OperatorEvent(++lastNumber, atUs, kind, worker, text));
        if (events.size() > MAX_EVENTS) {
            events.pollFirst();
        }
    }

    /** Returns the number of the newest event, or 0 before the first. */
    public long lastNumber() {
        return lastNumber;
    }

    /**
     * Returns the events after a number; none if it is the number of the newest event or higher.
     */
    public EventBatch after(long number) {
        if (number >= lastNumber) {
            return new EventBatch(List.of(), 0);
        }
        final List<OperatorEvent> newer =
                events.stream().filter(each -> each.number() > number).toList();
        return new EventBatch(newer, Math.max(0, newer.get(0).number() - 1 - Math.max(0, number)));
    }
}
