package cresschute.scale;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Dispatcher;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Job;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The host of one dispatcher, driven by a test: time advances only in {@link #advance}, and
 * attempts end only in {@link #end}.
 */
final class ScriptedHost implements DispatcherActions {

    /** An attempt that has not ended. */
    record SentAttempt(int requestId, int attempt, int workerId) {}

    private static final int SLOTS = 10;

    /**
     * The dispatcher's interval between checks of its requests, for these classes, microseconds.
     */
    static final long TICK_US = 50_000;

    final Dispatcher module;
    final Deque<SentAttempt> inFlight = new ArrayDeque<>();
    private final Deque<Integer> queriedWorkers = new ArrayDeque<>();
    private final Map<Integer, Integer> attempts = new HashMap<>();
    private final Map<Integer, Integer> answers = new HashMap<>();
    private int timers;
    private long lastRequest;
    long nowUs = 1_000 * PlannedSize.SECOND_US;
    long sends;
    long loadQueries;
    long watches;
    long timerCalls;

    ScriptedHost(DispatchSettings settings, long seed) {
        module = new Dispatcher(settings, seed, this);
    }

    void list(EndpointListForm form, List<Worker> entries) {
        module.endpointListChanged(nowUs, form, entries);
    }

    int request(int requestClass, int tenant) {
        final int id = (int) ++lastRequest;
        module.requestArrived(
                nowUs,
                id,
                new Job(requestClass, tenant, 1, 0, 0, false),
                nowUs + PlannedSize.CLASSES.get(requestClass).deadlineUs());
        answerLoadQueries();
        return id;
    }

    /** Answers all load queries with free slots. */
    void answerLoadQueries() {
        while (!queriedWorkers.isEmpty()) {
            module.loadReported(
                    nowUs, queriedWorkers.poll(), Outcome.SERVED, new LoadReport(SLOTS, -1, 0));
        }
    }

    /** Ends the oldest attempt; if it was served, its request is answered. */
    void end(Outcome outcome) {
        final SentAttempt sent = inFlight.poll();
        final boolean served = outcome == Outcome.SERVED;
        if (served) {
            answered(sent.requestId());
        }
        module.attemptEnded(
                nowUs,
                sent.requestId(),
                sent.attempt(),
                sent.workerId(),
                outcome,
                PlannedSize.SECOND_US,
                served,
                served ? new LoadReport(SLOTS, -1, 0) : LoadReport.NONE);
        answerLoadQueries();
    }

    /** Advances time in steps of one dispatcher tick and fires the timers that are due. */
    void advance(long us) {
        final long untilUs = nowUs + us;
        while (nowUs < untilUs) {
            nowUs += TICK_US;
            for (int due = timers; due > 0; due--) {
                timers--;
                timerCalls++;
                module.timerFired(nowUs, 0);
                answerLoadQueries();
            }
        }
    }

    private void answered(int requestId) {
        answers.merge(requestId, 1, Integer::sum);
    }

    int answers(int requestId) {
        return answers.getOrDefault(requestId, 0);
    }

    @Override
    public void send(int requestId, int workerId, long deadlineUs) {
        sends++;
        inFlight.add(
                new SentAttempt(
                        requestId, attempts.merge(requestId, 1, Integer::sum) - 1, workerId));
    }

    @Override
    public void reject(int requestId, long retryAfterUs) {
        answered(requestId);
    }

    @Override
    public void fail(int requestId) {
        answered(requestId);
    }

    @Override
    public void startTimer(long token, long delayUs) {
        timers++;
    }

    @Override
    public void pollEndpointList() {
        watches++;
    }

    @Override
    public void queryLoad(int workerId) {
        loadQueries++;
        queriedWorkers.add(workerId);
    }

    @Override
    public void reportUnresponsive(int workerId, int requestClass) {
        throw new IllegalStateException("no peer messages in this test");
    }

    @Override
    public void closeIdleConnections(int workerId) {
        throw new IllegalStateException("no connections are closed on drain in this test");
    }
}
