package cresschute.testbed.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * What is to happen in virtual time, one thing after the other; of the same moment, in order of
 * planning.
 */
final class EventQueue {

    private record Plan(long atUs, long number, Runnable event) {}

    private final PriorityQueue<Plan> plans =
            new PriorityQueue<>(
                    Comparator.comparingLong(Plan::atUs).thenComparingLong(Plan::number));
    private long planned;
    private long nowUs;

    EventQueue(long startUs) {
        nowUs = startUs;
    }

    long nowUs() {
        return nowUs;
    }

    /** Plans an event; what lies in the past happens next. */
    void at(long atUs, Runnable event) {
        plans.add(new Plan(Math.max(atUs, nowUs), planned++, event));
    }

    void after(long delayUs, Runnable event) {
        at(nowUs + delayUs, event);
    }

    /** Lets all happen that is planned up to this moment, and what that plans. */
    void runUntil(long untilUs) {
        while (!plans.isEmpty() && plans.peek().atUs() <= untilUs) {
            final Plan next = plans.poll();
            nowUs = next.atUs();
            next.event().run();
        }
        nowUs = untilUs;
    }
}
