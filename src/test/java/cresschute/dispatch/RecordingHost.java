package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Host of a dispatcher under test: delivers events to it on a simulated clock and records its
 * actions.
 */
final class RecordingHost implements DispatcherActions {

    record Send(int request, int worker) {}

    static final long SECOND = 1_000_000;

    final List<Send> sends = new ArrayList<>();
    final List<Integer> rejected = new ArrayList<>();
    final List<Integer> failed = new ArrayList<>();
    final List<Integer> queried = new ArrayList<>();
    final List<Integer> reportedUnresponsive = new ArrayList<>();
    final List<Integer> idleClosed = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    int polls;
    final Dispatcher dispatcher;
    long nowUs = SECOND;
    private long timerAtUs = Long.MAX_VALUE;

    RecordingHost(DispatchSettings settings) {
        dispatcher = new Dispatcher(settings, 7, this);
    }

    static Worker worker(int id, int zone, int cell) {
        return new Worker(id, zone, 0, cell, WorkerState.READY, 1, 0);
    }

    static Worker workerIn(WorkerState state, int id, long startedAtUs) {
        return new Worker(id, 0, 0, 0, state, 1, startedAtUs);
    }

    RecordingHost list(EndpointListForm form, Worker... workers) {
        dispatcher.endpointListChanged(nowUs, form, List.of(workers));
        return this;
    }

    void request(int id, int requestClass) {
        request(id, requestClass, 1);
    }

    void request(int id, int requestClass, double slots) {
        request(id, new Job(requestClass, 0, slots, 0, 0, false));
    }

    void request(int id, Job job) {
        dispatcher.requestArrived(nowUs, id, job, nowUs + 5 * SECOND);
    }

    void end(int id, int attempt, int worker, Outcome outcome) {
        final boolean served = outcome == Outcome.SERVED;
        dispatcher.attemptEnded(
                nowUs, id, attempt, worker, outcome, 100_000, served, LoadReport.NONE);
    }

    /** Advances the clock and fires the dispatcher's timer when it is due. */
    void advanceTime(long us) {
        final long untilUs = nowUs + us;
        while (timerAtUs <= untilUs) {
            nowUs = timerAtUs;
            dispatcher.timerFired(nowUs, 0);
        }
        nowUs = untilUs;
    }

    Send lastSend() {
        return sends.get(sends.size() - 1);
    }

    @Override
    public void send(int requestId, int workerId, long deadlineUs) {
        sends.add(new Send(requestId, workerId));
        log.add("send " + requestId + " " + workerId + " " + deadlineUs);
    }

    @Override
    public void reject(int requestId, long retryAfterUs) {
        rejected.add(requestId);
        log.add("reject " + requestId);
    }

    @Override
    public void fail(int requestId) {
        failed.add(requestId);
        log.add("fail " + requestId);
    }

    @Override
    public void startTimer(long token, long delayUs) {
        timerAtUs = nowUs + delayUs;
    }

    @Override
    public void pollEndpointList() {
        polls++;
        log.add("poll");
    }

    @Override
    public void queryLoad(int workerId) {
        queried.add(workerId);
        log.add("query " + workerId);
    }

    @Override
    public void reportUnresponsive(int workerId, int requestClass) {
        reportedUnresponsive.add(workerId);
        log.add("unresponsive " + workerId + " " + requestClass);
    }

    @Override
    public void closeIdleConnections(int workerId) {
        idleClosed.add(workerId);
        log.add("close " + workerId);
    }
}
