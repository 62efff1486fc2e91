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
 * The host of one module, turned by hand: time passes only by {@link #advance}, and nothing ends by
 * itself.
 */
final class ScriptedHost implements DispatcherActions {

    /** An attempt that has not ended. */
    record SentAttempt(int requestId, int attempt, int workerId) {}

    private static final int SLOTS = 10;

    /** The module's own pause between looks at its requests, for these classes. */
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

    /** Answers all probes with free slots. */
    void answerLoadQueries() {
        while (!queriedWorkers.isEmpty()) {
            module.loadReported(
                    nowUs,
                    queriedWorkers.poll(),
                    Outcome.SERVED,
                    new LoadReport(SLOTS, -1, 0));
        }
    }

    /** Ends the oldest attempt; a served one answers its request. */
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

    /** Lets time pass, a tick of the module's after the other. */
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
        throw new IllegalStateException("no peer messages here");
    }

    @Override
    public void closeIdleConnections(int workerId) {
        throw new IllegalStateException("nothing is stated of drains here");
    }
}
