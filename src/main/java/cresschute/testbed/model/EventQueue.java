package cresschute.testbed.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Events in virtual time, run in order of time. Events with the same time run in the order in which
 * they were scheduled.
 */
final class EventQueue {

    private record ScheduledEvent(long atUs, long sequence, Runnable event) {}

    private final PriorityQueue<ScheduledEvent> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledEvent::atUs)
                            .thenComparingLong(ScheduledEvent::sequence));
    private long scheduled;
    private long nowUs;

    EventQueue(long startUs) {
        nowUs = startUs;
    }

    long nowUs() {
        return nowUs;
    }

    /** Schedules an event; one whose time has passed runs next. */
    void scheduleAt(long atUs, Runnable event) {
        events.add(new ScheduledEvent(Math.max(atUs, nowUs), scheduled++, event));
    }

    void scheduleAfter(long delayUs, Runnable event) {
        scheduleAt(nowUs + delayUs, event);
    }

    /** Runs all events that are due up to this time, including those that they schedule. */
    void runUntil(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
            final ScheduledEvent next = events.poll();
            nowUs = next.atUs();
            next.event().run();
        }
        nowUs = untilUs;
    }
}
