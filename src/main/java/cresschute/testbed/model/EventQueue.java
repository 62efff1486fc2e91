package cresschute.testbed.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * What is to happen in virtual time, one thing after the other; of the same moment, in order of
 * planning.
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

    /** Plans an event; what lies in the past happens next. */
    void scheduleAt(long atUs, Runnable event) {
        events.add(new ScheduledEvent(Math.max(atUs, nowUs), scheduled++, event));
    }

    void scheduleAfter(long delayUs, Runnable event) {
        scheduleAt(nowUs + delayUs, event);
    }

    /** Lets all happen that is planned up to this moment, and what that plans. */
    void runUntil(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
            final ScheduledEvent next = events.poll();
            nowUs = next.atUs();
            next.event().run();
        }
        nowUs = untilUs;
    }
}
