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
 * One dispatcher of the model: the decision module with the host's duties around it. Sends, load
 * queries and news take the network's time; other attempts are given up once one has answered, as
 * the node's core does.
 */
final class ModelDispatcher implements DispatcherActions {

    /** How a try ended for its client. */
    interface Client {
        /** A worker has begun to run the job, for the first time or anew. */
        void started();

        void served();

        void refused(long retryAfterUs);

        void failed();
    }

    private static final class Open {
        private final int requestClass;
        private final double workUs;
        private final int slots;
        private final Client client;
        private final Map<Integer, Integer> out = new HashMap<>();
        private int sent;
        private int starts;
        private boolean closed;

        Open(int requestClass, double workUs, int slots, Client client) {
            this.requestClass = requestClass;
            this.workUs = workUs;
            this.slots = slots;
            this.client = client;
        }
    }

    private static final long CONNECT_TIMEOUT_US = 250_000;
    private static final long PROBE_TIMEOUT_US = 350_000;

    /** A way from a dispatcher to a worker or back, its turn and a handshake included, us. */
    private static final long WAY_US = 2_000;

    /** The answer's way, taken off what a client waits. */
    private static final long MARGIN_US = 15_000;

    private final EventQueue agenda;
    private final Map<Integer, ModelWorker> workers;
    private final RegionLink link;
    final int zone;
    private final DispatcherEvents module;
    private final Map<Integer, Open> open = new HashMap<>();
    private final DispatcherMeter meter = new DispatcherMeter();

    /** Jobs sent to cold workers by all dispatchers, by class. */
    private final int[] coldSends;

    private int lastId;
    long sends;

    ModelDispatcher(
            EventQueue agenda,
            Map<Integer, ModelWorker> workers,
            RegionLink link,
            int zone,
            Function<DispatcherActions, DispatcherEvents> module,
            int[] coldSends) {
        this.agenda = agenda;
        this.workers = workers;
        this.link = link;
        this.zone = zone;
        this.coldSends = coldSends;
        this.module = module.apply(this);
    }

    void listed(EndpointListForm form, List<Worker> entries) {
        module.endpointListChanged(agenda.nowUs(), form, entries);
    }

    /** Whether a worker's machine is up and the network leads there. */
    private boolean reaches(ModelWorker worker) {
        return worker.isUp() && link.connects(zone, worker.zone);
    }

    /**
     * Ends the attempts whose worker is not reached: their connections break, and the jobs may have
     * run.
     */
    void breakUnreachable() {
        List.copyOf(open.keySet())
                .forEach(
                        requestId ->
                                List.copyOf(open.get(requestId).out.entrySet())
                                        .forEach(
                                                sent -> {
                                                    if (!reaches(workers.get(sent.getValue()))) {
                                                        end(
                                                                requestId,
                                                                sent.getKey(),
                                                                Outcome.BROKEN,
                                                                agenda.nowUs());
                                                    }
                                                }));
    }

    /** What it has sent, asked and learned so far. */
    DispatcherMeter meter() {
        return meter;
    }

    void take(int requestClass, int tenant, double workUs, int slots, long waitUs, Client client) {
        final int id = ++lastId;
        open.put(id, new Open(requestClass, workUs, slots, client));
        module.requestArrived(
                agenda.nowUs(),
                id,
                new Job(requestClass, tenant, slots, 0, 0, false),
                agenda.nowUs() + waitUs - MARGIN_US);
    }

    @Override
    public void send(int requestId, int workerId, long deadlineUs) {
        agenda.after(0, () -> sendNow(requestId, workerId, deadlineUs));
    }

    private void sendNow(int requestId, int workerId, long deadlineUs) {
        final Open request = open.get(requestId);
        final int number = request.sent++;
        if (request.closed) {
            module.attemptEnded(
                    agenda.nowUs(),
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
        final long sentUs = agenda.nowUs();
        meter.sent(sentUs, workerId);
        request.out.put(number, workerId);
        final ModelWorker worker = workers.get(workerId);
        if (!reaches(worker)) {
            meter.inVain();
            agenda.after(
                    CONNECT_TIMEOUT_US,
                    () -> end(requestId, number, Outcome.CONNECT_FAILED, sentUs));
            return;
        }
        coldSends[request.requestClass] += worker.isCold() ? 1 : 0;
        agenda.at(deadlineUs, () -> end(requestId, number, Outcome.TIMED_OUT, sentUs));
        agenda.after(
                WAY_US,
                () ->
                        worker.take(
                                request.workUs,
                                request.slots,
                                new ModelWorker.Sender() {
                                    @Override
                                    public void started() {
                                        meter.started(request.requestClass, request.starts++);
                                        request.client.started();
                                        progressed(0);
                                    }

                                    @Override
                                    public void progressed(double fractionDone) {
                                        agenda.after(
                                                WAY_US,
                                                () -> {
                                                    if (link.connects(zone, worker.zone)
                                                            && request.out.containsKey(number)) {
                                                        module.jobProgressed(
                                                                agenda.nowUs(),
                                                                requestId,
                                                                number,
                                                                workerId,
                                                                fractionDone);
                                                    }
                                                });
                                    }

                                    @Override
                                    public void ended(Outcome outcome) {
                                        agenda.after(
                                                WAY_US,
                                                () -> {
                                                    if (link.connects(zone, worker.zone)) {
                                                        end(requestId, number, outcome, sentUs);
                                                    }
                                                });
                                    }
                                }));
    }

    private void end(int requestId, int number, Outcome outcome, long sentUs) {
        final Open request = open.get(requestId);
        final Integer workerId = request.out.remove(number);
        if (workerId == null) {
            return;
        }
        final long nowUs = agenda.nowUs();
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
            List.copyOf(request.out.keySet())
                    .forEach(other -> end(requestId, other, Outcome.CANCELLED, sentUs));
            request.client.served();
        }
    }

    private void answer(int requestId, Runnable reported) {
        final Open request = open.get(requestId);
        if (!request.closed) {
            request.closed = true;
            reported.run();
        }
    }

    @Override
    public void reject(int requestId, long retryAfterUs) {
        agenda.after(
                0, () -> answer(requestId, () -> open.get(requestId).client.refused(retryAfterUs)));
    }

    @Override
    public void fail(int requestId) {
        agenda.after(0, () -> answer(requestId, () -> open.get(requestId).client.failed()));
    }

    @Override
    public void startTimer(long token, long delayUs) {
        agenda.after(delayUs, () -> module.timerFired(agenda.nowUs(), token));
    }

    @Override
    public void pollEndpointList() {
        // The model tells each change by itself once it is known.
    }

    @Override
    public void queryLoad(int workerId) {
        final ModelWorker worker = workers.get(workerId);
        final boolean up = reaches(worker);
        meter.probed();
        if (!up) {
            meter.inVain();
        }
        agenda.after(
                up ? 2 * WAY_US : PROBE_TIMEOUT_US,
                () -> {
                    final LoadReport report = up ? worker.visible() : LoadReport.NONE;
                    meter.reported(agenda.nowUs(), workerId, report);
                    module.loadReported(
                            agenda.nowUs(),
                            workerId,
                            up ? Outcome.SERVED : Outcome.CONNECT_FAILED,
                            report);
                });
    }

    @Override
    public void reportUnresponsive(int workerId, int requestClass) {
        throw new IllegalStateException("no peer messages in this model");
    }

    @Override
    public void closeIdleConnections(int workerId) {
        // A connection costs nothing here.
    }
}
