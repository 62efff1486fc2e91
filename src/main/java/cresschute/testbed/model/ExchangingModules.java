package cresschute.testbed.model;

import cresschute.dispatch.ClassChanges;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.DispatcherActions;
import cresschute.dispatch.DispatcherEvents;
import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Job;
import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.Worker;
import cresschute.peers.ExchangeListener;
import cresschute.peers.ExchangeSettings;
import cresschute.peers.LoadExchange;
import cresschute.peers.LoadGossiper;
import cresschute.peers.LoadMessage;
import cresschute.peers.LoadMessageCodec;
import cresschute.peers.RejectedMessageException;
import cresschute.testbed.model.FleetModel.ModuleMaker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;

/**
 * Creates modules whose dispatchers exchange in-flight counts, as nodes with peers do. A load query
 * that the exchanged counts answer is not sent to the worker, and the module receives changed loads
 * without a query. Messages between dispatchers arrive immediately and none is lost.
 */
public final class ExchangingModules implements ModuleMaker {

    private static final long POLL_US = 50_000;

    /** Tokens of this class's own timers; no module uses these values. */
    private static final long POLL_TOKEN = Long.MIN_VALUE;

    private static final long ANSWER_TOKEN = Long.MIN_VALUE + 1;

    private final ModuleMaker maker;
    private final long bytesPerS;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private long answeredFromPeers;
    private long loadQueries;
    private long bytes;

    /**
     * Creates an exchange among the modules of another factory.
     *
     * @param bytesPerS the most that each module sends, bytes per second
     */
    public ExchangingModules(ModuleMaker maker, long bytesPerS) {
        this.maker = maker;
        this.bytesPerS = bytesPerS;
    }

    @Override
    public DispatcherEvents make(DispatchSettings settings, long seed, DispatcherActions actions) {
        final Dispatcher dispatcher =
                new Dispatcher("n" + dispatchers.size(), settings.dispatchers() - 1, actions);
        dispatchers.add(dispatcher);
        dispatcher.module = maker.make(settings, seed, dispatcher);
        return dispatcher;
    }

    /** Resets the counts. */
    public void reset() {
        answeredFromPeers = 0;
        loadQueries = 0;
        bytes = 0;
    }

    /** The number of loads that the exchanged counts provided, with or without a query. */
    public long answeredFromPeers() {
        return answeredFromPeers;
    }

    /** The number of load queries sent to workers. */
    public long loadQueries() {
        return loadQueries;
    }

    /** The bytes sent by all dispatchers, including IP and UDP headers. */
    public long bytes() {
        return bytes;
    }

    private static String name(int workerId) {
        return Integer.toString(workerId);
    }

    private final class Dispatcher implements DispatcherEvents, DispatcherActions {

        private final String name;
        private final int peers;
        private final DispatcherActions actions;
        private final Deque<int[]> answers = new ArrayDeque<>();
        private DispatcherEvents module;
        private LoadExchange exchange;
        private long nowUs;

        Dispatcher(String name, int peers, DispatcherActions actions) {
            this.name = name;
            this.peers = peers;
            this.actions = actions;
        }

        private void start() {
            exchange =
                    new LoadExchange(
                            new ExchangeSettings(
                                    name, peers, bytesPerS, ExchangeSettings.DEFAULT_REFRESH_US),
                            nowUs,
                            new ExchangeListener() {
                                @Override
                                public void keyCollision(String worker, String other) {
                                    // The loads of these workers are queried; the model needs no
                                    // further reaction.
                                }

                                @Override
                                public void distrusted(int sender, long forUs) {
                                    // The loads that the sender reported are queried instead; no
                                    // further reaction is needed.
                                }
                            });
            actions.startTimer(POLL_TOKEN, POLL_US);
        }

        private void poll() {
            exchange.poll(nowUs)
                    .ifPresent(
                            message -> {
                                bytes +=
                                        (long) peers
                                                * (LoadMessageCodec.messageBytes(message)
                                                        + LoadGossiper.HEADER_BYTES);
                                dispatchers.stream()
                                        .filter(other -> other != this)
                                        .forEach(other -> other.receive(nowUs, message));
                            });
            exchange.takeRefreshed(nowUs).forEach(name -> queryLoad(Integer.parseInt(name)));
            actions.startTimer(POLL_TOKEN, POLL_US);
        }

        private void receive(long atUs, LoadMessage message) {
            try {
                exchange.receive(atUs, message);
            } catch (RejectedMessageException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void endpointListChanged(long atUs, EndpointListForm form, List<Worker> entries) {
            nowUs = atUs;
            if (exchange == null) {
                start();
            }
            entries.forEach(each -> exchange.workerListed(name(each.id())));
            module.endpointListChanged(atUs, form, entries);
        }

        @Override
        public void requestArrived(long atUs, int requestId, Job job, long deadlineUs) {
            nowUs = atUs;
            module.requestArrived(atUs, requestId, job, deadlineUs);
        }

        @Override
        public void clientLeft(long atUs, int requestId) {
            nowUs = atUs;
            module.clientLeft(atUs, requestId);
        }

        @Override
        public void jobProgressed(
                long atUs, int requestId, int attempt, int workerId, double fractionDone) {
            nowUs = atUs;
            module.jobProgressed(atUs, requestId, attempt, workerId, fractionDone);
        }

        @Override
        public void attemptEnded(
                long atUs,
                int requestId,
                int attempt,
                int workerId,
                Outcome outcome,
                long elapsedUs,
                boolean requestClosed,
                LoadReport report) {
            nowUs = atUs;
            exchange.attemptEnded(name(workerId));
            exchange.loadReported(atUs, name(workerId), report.outstanding());
            module.attemptEnded(
                    atUs, requestId, attempt, workerId, outcome, elapsedUs, requestClosed, report);
        }

        @Override
        public void loadReported(long atUs, int workerId, Outcome outcome, LoadReport report) {
            nowUs = atUs;
            exchange.loadReported(atUs, name(workerId), report.outstanding());
            module.loadReported(atUs, workerId, outcome, report);
        }

        @Override
        public void workerReportedUnresponsive(long atUs, int workerId, int requestClass) {
            nowUs = atUs;
            module.workerReportedUnresponsive(atUs, workerId, requestClass);
        }

        @Override
        public void timerFired(long atUs, long token) {
            nowUs = atUs;
            if (token == POLL_TOKEN) {
                poll();
            } else if (token == ANSWER_TOKEN) {
                final int[] answer = answers.poll();
                module.loadReported(
                        atUs, answer[0], Outcome.SERVED, new LoadReport(-1, answer[1], -1));
            } else {
                module.timerFired(atUs, token);
            }
        }

        @Override
        public void settingsChanged(
                long atUs, DispatchSettings settings, ClassChanges classChanges) {
            nowUs = atUs;
            module.settingsChanged(atUs, settings, classChanges);
        }

        @Override
        public void send(int requestId, int workerId, long deadlineUs) {
            exchange.attemptStarted(name(workerId));
            actions.send(requestId, workerId, deadlineUs);
        }

        @Override
        public void queryLoad(int workerId) {
            final OptionalInt known = exchange.outstanding(nowUs, name(workerId));
            if (known.isPresent()) {
                answeredFromPeers++;
                answers.add(new int[] {workerId, known.getAsInt()});
                actions.startTimer(ANSWER_TOKEN, 0);
            } else {
                loadQueries++;
                actions.queryLoad(workerId);
            }
        }

        @Override
        public void reject(int requestId, long retryAfterUs) {
            actions.reject(requestId, retryAfterUs);
        }

        @Override
        public void fail(int requestId) {
            actions.fail(requestId);
        }

        @Override
        public void startTimer(long token, long delayUs) {
            actions.startTimer(token, delayUs);
        }

        @Override
        public void pollEndpointList() {
            actions.pollEndpointList();
        }

        @Override
        public void reportUnresponsive(int workerId, int requestClass) {
            actions.reportUnresponsive(workerId, requestClass);
        }

        @Override
        public void closeIdleConnections(int workerId) {
            actions.closeIdleConnections(workerId);
        }
    }
}
