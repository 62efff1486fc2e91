package cresschute.testbed.model;

import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Job;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * One simulated dispatcher: the decision module and the duties of the node around it. Sends, load
 * queries and responses take network time. When one attempt has succeeded, the others are
 * cancelled, as in the node.
 */
final class ModelDispatcher implements DispatcherActions {

    /** Receives the result of one client attempt. */
    interface ClientListener {
        /** A worker has started the job, for the first time or again. */
        void started();

        void served();

        void refused(long retryAfterUs);

        void failed();
    }

    private static final class OpenRequest {
        private final int requestClass;
        private final double workUs;
        private final int slots;
        private final ClientListener client;
        private final Map<Integer, Integer> inFlight = new HashMap<>();
        private int sent;
        private int starts;
        private boolean closed;

        OpenRequest(int requestClass, double workUs, int slots, ClientListener client) {
            this.requestClass = requestClass;
            this.workUs = workUs;
            this.slots = slots;
            this.client = client;
        }
    }

    private static final long CONNECT_TIMEOUT_US = 250_000;
    private static final long LOAD_QUERY_TIMEOUT_US = 350_000;

    /**
     * The one-way time between a dispatcher and a worker, processing and handshake included, us.
     */
    private static final long ONE_WAY_US = 2_000;

    /** The time that the response needs to reach the client, taken off the client's wait. */
    private static final long RESPONSE_MARGIN_US = 15_000;

    private final EventQueue eventQueue;
    private final Map<Integer, ModelWorker> workers;
    private final RegionLink link;
    final int zone;
    private final DispatcherEvents module;
    private final Map<Integer, OpenRequest> openRequests = new HashMap<>();
    private final DispatcherMeter meter = new DispatcherMeter();

    /** Jobs sent to cold workers by all dispatchers, by request class. */
    private final int[] coldSends;

    private int lastId;
    long sends;

    ModelDispatcher(
            EventQueue eventQueue,
            Map<Integer, ModelWorker> workers,
            RegionLink link,
            int zone,
            Function<DispatcherActions, DispatcherEvents> module,
            int[] coldSends) {
        this.eventQueue = eventQueue;
        this.workers = workers;
        this.link = link;
        this.zone = zone;
        this.coldSends = coldSends;
        this.module = module.apply(this);
    }

    void listed(EndpointListForm form, List<Worker> entries) {
        module.endpointListChanged(eventQueue.nowUs(), form, entries);
    }

    /** Returns whether the worker is up and the network to it is not cut. */
    private boolean canReach(ModelWorker worker) {
        return worker.isUp() && link.connects(zone, worker.zone);
    }

    /**
     * Ends the attempts whose worker is unreachable: their connections break, and the jobs may have
     * run.
     */
    void breakUnreachable() {
        List.copyOf(openRequests.keySet())
                .forEach(
                        requestId ->
                                List.copyOf(openRequests.get(requestId).inFlight.entrySet())
                                        .forEach(
                                                sent -> {
                                                    if (!canReach(workers.get(sent.getValue()))) {
                                                        end(
                                                                requestId,
                                                                sent.getKey(),
                                                                Outcome.BROKEN,
                                                                eventQueue.nowUs());
                                                    }
                                                }));
    }

    /** The counts of this dispatcher so far. */
    DispatcherMeter meter() {
        return meter;
    }

    void receive(
            int requestClass,
            int tenant,
            double workUs,
            int slots,
            long waitUs,
            ClientListener client) {
        final int id = ++lastId;
        openRequests.put(id, new OpenRequest(requestClass, workUs, slots, client));
        module.requestArrived(
                eventQueue.nowUs(),
                id,
                new Job(requestClass, tenant, slots, 0, 0, false),
                eventQueue.nowUs() + waitUs - RESPONSE_MARGIN_US);
    }

    @Override
    public void send(int requestId, int workerId, long deadlineUs) {
        eventQueue.scheduleAfter(0, () -> sendNow(requestId, workerId, deadlineUs));
    }

    private void sendNow(int requestId, int workerId, long deadlineUs) {
        final OpenRequest request = openRequests.get(requestId);
        final int number = request.sent++;
        if (request.closed) {
            module.attemptEnded(
                    eventQueue.nowUs(),
                    requestId,
                    number,
                    workerId,
                    Outcome.NOT_SENT,
                    0,
                    true,
                    LoadReport.NONE);
            return;
        }
        sends++;
        final long sentUs = eventQueue.nowUs();
        meter.sent(sentUs, workerId);
        request.inFlight.put(number, workerId);
        final ModelWorker worker = workers.get(workerId);
        if (!canReach(worker)) {
            meter.unreachableCall();
            eventQueue.scheduleAfter(
                    CONNECT_TIMEOUT_US,
                    () -> end(requestId, number, Outcome.CONNECT_FAILED, sentUs));
            return;
        }
        coldSends[request.requestClass] += worker.isCold() ? 1 : 0;
        eventQueue.scheduleAt(deadlineUs, () -> end(requestId, number, Outcome.TIMED_OUT, sentUs));
        eventQueue.scheduleAfter(
                ONE_WAY_US,
                () ->
                        worker.receive(
                                request.workUs,
                                request.slots,
                                new ModelWorker.JobListener() {
                                    @Override
                                    public void started() {
                                        meter.started(request.requestClass, request.starts++);
                                        request.client.started();
                                        progressed(0);
                                    }

                                    @Override
                                    public void progressed(double fractionDone) {
                                        eventQueue.scheduleAfter(
                                                ONE_WAY_US,
                                                () -> {
                                                    if (link.connects(zone, worker.zone)
                                                            && request.inFlight.containsKey(
                                                                    number)) {
                                                        module.jobProgressed(
                                                                eventQueue.nowUs(),
                                                                requestId,
                                                                number,
                                                                workerId,
                                                                fractionDone);
                                                    }
                                                });
                                    }

                                    @Override
                                    public void ended(Outcome outcome) {
                                        eventQueue.scheduleAfter(
                                                ONE_WAY_US,
                                                () -> {
                                                    if (link.connects(zone, worker.zone)) {
                                                        end(requestId, number, outcome, sentUs);
                                                    }
                                                });
                                    }
                                }));
    }

    private void end(int requestId, int number, Outcome outcome, long sentUs) {
        final OpenRequest request = openRequests.get(requestId);
        final Integer workerId = request.inFlight.remove(number);
        if (workerId == null) {
            return;
        }
        final long nowUs = eventQueue.nowUs();
        final boolean answers = outcome == Outcome.SERVED && !request.closed;
        request.closed |= answers;
        final LoadReport report =
                outcome == Outcome.SERVED || outcome == Outcome.FULL || outcome == Outcome.ERROR
                        ? workers.get(workerId).visible()
                        : LoadReport.NONE;
        meter.ended(nowUs, workerId, outcome, report);
        module.attemptEnded(
                nowUs,
                requestId,
                number,
                workerId,
                outcome,
                nowUs - sentUs,
                request.closed,
                report);
        if (answers) {
            List.copyOf(request.inFlight.keySet())
                    .forEach(other -> end(requestId, other, Outcome.CANCELLED, sentUs));
            request.client.served();
        }
    }

    private void answer(int requestId, Runnable reported) {
        final OpenRequest request = openRequests.get(requestId);
        if (!request.closed) {
            request.closed = true;
            reported.run();
        }
    }

    @Override
    public void reject(int requestId, long retryAfterUs) {
        eventQueue.scheduleAfter(
                0,
                () ->
                        answer(
                                requestId,
                                () -> openRequests.get(requestId).client.refused(retryAfterUs)));
    }

    @Override
    public void fail(int requestId) {
        eventQueue.scheduleAfter(
                0, () -> answer(requestId, () -> openRequests.get(requestId).client.failed()));
    }

    @Override
    public void startTimer(long token, long delayUs) {
        eventQueue.scheduleAfter(delayUs, () -> module.timerFired(eventQueue.nowUs(), token));
    }

    @Override
    public void pollEndpointList() {
        // The model delivers each endpoint list change by itself.
    }

    @Override
    public void queryLoad(int workerId) {
        final ModelWorker worker = workers.get(workerId);
        final boolean up = canReach(worker);
        meter.loadQuerySent();
        if (!up) {
            meter.unreachableCall();
        }
        eventQueue.scheduleAfter(
                up ? 2 * ONE_WAY_US : LOAD_QUERY_TIMEOUT_US,
                () -> {
                    final LoadReport report = up ? worker.visible() : LoadReport.NONE;
                    meter.reported(eventQueue.nowUs(), workerId, report);
                    module.loadReported(
                            eventQueue.nowUs(),
                            workerId,
                            up ? Outcome.SERVED : Outcome.CONNECT_FAILED,
                            report);
                });
    }

    @Override
    public void reportUnresponsive(int workerId, int requestClass) {
        throw new IllegalStateException("the model does not support peer messages");
    }

    @Override
    public void closeIdleConnections(int workerId) {
        // Connections have no cost in this model.
    }
}
