package cresschute.simulator;

import cresschute.dispatch.Dispatcher;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Job;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Hosts one dispatcher for each instance and converts between their events and actions and the
 * simulator's wire protocol.
 *
 * <p>It runs on its caller's thread until the input ends. If a dispatcher throws, its instance is
 * removed and the exception is reported in the reply. Malformed input ends the run.
 */
final class SimulatorAdapter {

    private static final int MARK_HINTED = 1;
    private static final int MARK_CLIENT_RETRY = 2;
    private static final int EVERY_PEER = -1;

    /** Length of a peer message: a worker of four bytes and a class of two bytes. */
    private static final int UNRESPONSIVE_MESSAGE_BYTES = 6;

    private static final int SIGNAL_STARTED = 1;
    private static final int SIGNAL_PROGRESS = 2;

    private final FrameReader reader;
    private final OutputStream out;
    private final FrameWriter reply = new FrameWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Worker>> catalogs = new HashMap<>();

    SimulatorAdapter(InputStream in, OutputStream out) {
        this.reader = new FrameReader(in);
        this.out = out;
    }

    /**
     * Reads batches and writes a reply to each until the input ends.
     *
     * @throws MalformedInputException if the input violates the wire protocol
     * @throws IOException if reading the input or writing the output fails
     */
    void run() throws IOException {
        while (reader.nextBatch()) {
            while (reader.nextRecord()) {
                handleRecord();
            }
            reply.flushTo(out, reader.sequence());
        }
    }

    private void handleRecord() {
        final int code = reader.code();
        if (code == WireCodes.CATALOG) {
            catalogs.put(reader.u32(), readWorkers());
            return;
        }
        if (code < WireCodes.LAUNCH || code > WireCodes.SIGNAL) {
            return;
        }
        final int instance = reader.u32();
        try {
            if (code == WireCodes.LAUNCH) {
                launch(instance);
            } else if (code == WireCodes.EXIT) {
                instances.remove(instance);
            } else if (instances.get(instance) != null) {
                deliver(code, instances.get(instance), reader.clockUs());
            }
        } catch (MalformedInputException e) {
            throw e;
        } catch (RuntimeException e) {
            instances.remove(instance);
            reply.text(WireCodes.DIE, instance, describe(e));
        }
    }

    private static String describe(RuntimeException e) {
        final StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length == 0 ? "" : " at " + trace[0]);
    }

    private void launch(int instance) {
        final long seed = reader.u64();
        final String text = new String(reader.bytes(reader.u32()), StandardCharsets.UTF_8);
        final InstanceActions actions = new InstanceActions(instance, reply);
        final Dispatcher dispatcher = new Dispatcher(SettingsParser.parse(text), seed, actions);
        instances.put(instance, new Instance(dispatcher, SettingsParser.reportLayout(text)));
    }

    private void deliver(int code, Instance instance, long nowUs) {
        final DispatcherEvents dispatcher = instance.dispatcher();
        switch (code) {
            case WireCodes.REGISTRY -> deliverList(dispatcher, nowUs);
            case WireCodes.INCOMING -> deliverRequest(dispatcher, nowUs);
            case WireCodes.OUTCOME -> deliverOutcome(instance, nowUs);
            case WireCodes.SIGNAL -> deliverProgress(dispatcher, nowUs);
            case WireCodes.PONG -> deliverLoadReport(instance, nowUs);
            case WireCodes.DATAGRAM -> deliverPeerMessage(dispatcher, nowUs);
            case WireCodes.VANISHED -> dispatcher.clientLeft(nowUs, reader.u32());
            case WireCodes.TIMER -> dispatcher.timerFired(nowUs, reader.u64());
            default -> {}
        }
    }

    private void deliverList(DispatcherEvents dispatcher, long nowUs) {
        final EndpointListForm form =
                switch (reader.u8()) {
                    case 0 -> EndpointListForm.CHANGES;
                    case 1 -> EndpointListForm.FULL;
                    case 2 -> EndpointListForm.CACHED;
                    case 3 -> EndpointListForm.FAILED;
                    default ->
                            throw new MalformedInputException(
                                    "registry record has an unknown form");
                };
        reader.u64();
        final int catalog = reader.u32();
        if (form == EndpointListForm.FAILED) {
            dispatcher.endpointListChanged(nowUs, form, List.of());
            return;
        }
        final List<Worker> workers = catalogs.get(catalog);
        if (workers == null) {
            throw new MalformedInputException(
                    "registry names catalog " + catalog + ", which was never sent");
        }
        dispatcher.endpointListChanged(nowUs, form, workers);
    }

    private List<Worker> readWorkers() {
        final int count = reader.u32();
        final List<Worker> workers = new ArrayList<>();
        for (int i = 0; i != count; i++) {
            final int id = reader.u32();
            final int zone = reader.u8();
            final int kind = reader.u16();
            final int cell = reader.u16();
            final WorkerState state =
                    switch (reader.u8()) {
                        case 0 -> WorkerState.GONE;
                        case 1 -> WorkerState.READY;
                        case 2 -> WorkerState.DRAINING;
                        default ->
                                throw new MalformedInputException(
                                        "catalog record has a worker of unknown state");
                    };
            workers.add(new Worker(id, zone, kind, cell, state, reader.f32(), reader.u64()));
        }
        return List.copyOf(workers);
    }

    private void deliverRequest(DispatcherEvents dispatcher, long nowUs) {
        final int request = reader.u32();
        final int requestClass = reader.u16();
        final long dataKey = reader.u64();
        final int marks = reader.u8();
        final double slots = reader.f32();
        final long costUs = Integer.toUnsignedLong(reader.u32());
        reader.f32();
        final int tenant = reader.u32();
        final Job job =
                new Job(
                        requestClass,
                        tenant,
                        slots,
                        (marks & MARK_HINTED) != 0 ? costUs : Job.NO_HINT,
                        dataKey,
                        (marks & MARK_CLIENT_RETRY) != 0);
        dispatcher.requestArrived(nowUs, request, job, reader.u64());
    }

    private void deliverOutcome(Instance instance, long nowUs) {
        final int request = reader.u32();
        final int attempt = reader.u8();
        final int worker = reader.u32();
        final Outcome outcome = outcome(reader.u8());
        final long elapsedUs = Integer.toUnsignedLong(reader.u32());
        final boolean closed = reader.u8() != 0;
        reader.u32();
        final LoadReport report = instance.reports().read(reader);
        instance.dispatcher()
                .attemptEnded(nowUs, request, attempt, worker, outcome, elapsedUs, closed, report);
    }

    private void deliverLoadReport(Instance instance, long nowUs) {
        final int worker = reader.u32();
        reader.u32();
        final Outcome outcome = outcome(reader.u8());
        instance.dispatcher().loadReported(nowUs, worker, outcome, instance.reports().read(reader));
    }

    /**
     * Reads a message that {@link InstanceActions#reportUnresponsive} of another instance wrote.
     * Messages of another length are ignored.
     */
    private void deliverPeerMessage(DispatcherEvents dispatcher, long nowUs) {
        reader.u32();
        if (reader.u16() == UNRESPONSIVE_MESSAGE_BYTES) {
            dispatcher.workerReportedUnresponsive(nowUs, reader.u32(), reader.u16());
        }
    }

    private static Outcome outcome(int code) {
        return switch (code) {
            case 0 -> Outcome.SERVED;
            case 13 -> Outcome.ERROR;
            case 8 -> Outcome.FULL;
            case 4 -> Outcome.TIMED_OUT;
            case 14 -> Outcome.CONNECT_FAILED;
            case 10 -> Outcome.BROKEN;
            case 1 -> Outcome.CANCELLED;
            case 9 -> Outcome.NOT_SENT;
            default -> throw new MalformedInputException("unknown outcome code " + code);
        };
    }

    private void deliverProgress(DispatcherEvents dispatcher, long nowUs) {
        final int request = reader.u32();
        final int worker = reader.u32();
        final int attempt = reader.u8();
        final int kind = reader.u8();
        if (kind == SIGNAL_STARTED) {
            dispatcher.jobProgressed(nowUs, request, attempt, worker, 0);
        } else if (kind == SIGNAL_PROGRESS) {
            dispatcher.jobProgressed(nowUs, request, attempt, worker, reader.f32());
        }
    }

    /** A dispatcher with the layout of its load reports. */
    private record Instance(DispatcherEvents dispatcher, ReportLayout reports) {}

    /** Writes the actions of one instance into the reply. */
    private record InstanceActions(int instance, FrameWriter reply) implements DispatcherActions {

        @Override
        public void send(int requestId, int workerId, long deadlineUs) {
            reply.record(WireCodes.PLACE, 20)
                    .u32(instance)
                    .u32(requestId)
                    .u64(deadlineUs)
                    .u32(workerId);
        }

        @Override
        public void reject(int requestId, long retryAfterUs) {
            reply.record(WireCodes.SHED, 12).u32(instance).u32(requestId).u32((int) retryAfterUs);
        }

        @Override
        public void fail(int requestId) {
            reply.record(WireCodes.LOSE, 8).u32(instance).u32(requestId);
        }

        @Override
        public void startTimer(long token, long delayUs) {
            reply.record(WireCodes.SLEEP, 16).u32(instance).u64(token).u32((int) delayUs);
        }

        @Override
        public void pollEndpointList() {
            reply.record(WireCodes.SUBSCRIBE, 5).u32(instance).u8(1);
        }

        @Override
        public void queryLoad(int workerId) {
            reply.record(WireCodes.HEALTH_CHECK, 8).u32(instance).u32(workerId);
        }

        @Override
        public void reportUnresponsive(int workerId, int requestClass) {
            reply.record(WireCodes.SAY, 10 + UNRESPONSIVE_MESSAGE_BYTES)
                    .u32(instance)
                    .u32(EVERY_PEER)
                    .u16(UNRESPONSIVE_MESSAGE_BYTES)
                    .u32(workerId)
                    .u16(requestClass);
        }

        @Override
        public void closeIdleConnections(int workerId) {
            reply.record(WireCodes.CLOSE, 8).u32(instance).u32(workerId);
        }
    }
}
