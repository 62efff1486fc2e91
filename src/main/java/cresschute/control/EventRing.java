package cresschute.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The last {@value #MAX_EVENTS} events of a node, numbered in order; a new one replaces the oldest.
 * They live as long as the process and are not stored. A reader passes the number that it has read
 * up to, and learns how many events it missed.
 *
 * <p>Pure. Not thread-safe; it is used on the node's loop alone.
 */
public final class EventRing {

    /** Events that are held. */
    public static final int MAX_EVENTS = 1_000;

    private final Deque<OperatorEvent> events = new ArrayDeque<>();
    private long lastNumber;

    /** Adds an event under the next number; its parameters are those of {@link OperatorEvent}. */
    public void add(long atUs, String kind, String worker, String text) {
        events.addLast(new OperatorEvent(++lastNumber, atUs, kind, worker, text));
        if (events.size() > MAX_EVENTS) {
            events.pollFirst();
        }
    }

    /** The number of the newest event, or 0 before the first. */
    public long lastNumber() {
        return lastNumber;
    }

    /** The events after a number; none where the number is of the newest or of none yet. */
    public EventBatch after(long number) {
        if (number >= lastNumber) {
            return new EventBatch(List.of(), 0);
        }
        final List<OperatorEvent> newer =
                events.stream().filter(each -> each.number() > number).toList();
        return new EventBatch(newer, Math.max(0, newer.get(0).number() - 1 - Math.max(0, number)));
    }
}
