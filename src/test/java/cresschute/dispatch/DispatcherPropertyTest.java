package cresschute.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Delivers random valid sequences of events to a dispatcher and checks every action against the
 * policies. The dispatcher is a black box, and no worker behaviour is simulated.
 */
class DispatcherPropertyTest {

    private static final long SECOND = 1_000_000;
    private static final int STEPS = 1500;
    private static final EndpointListForm[] PUSHED = {
        EndpointListForm.CHANGES, EndpointListForm.FULL
    };

    private static final class Checker implements DispatcherActions {
        private final Random random;
        private final DispatchSettings settings;
        private final Dispatcher dispatcher;
        private final Map<Integer, Worker> listed = new LinkedHashMap<>();
        private final Map<Integer, OpenRequest> unanswered = new LinkedHashMap<>();
        private final Map<Integer, Map<Integer, Long>> sentAtUs = new LinkedHashMap<>();
        private final List<Integer> loadQueries = new ArrayList<>();
        private final Set<Integer> closed = new LinkedHashSet<>();
        private long nowUs = 5 * SECOND;
        private long timerAtUs = Long.MAX_VALUE;
        private int requests;

        Checker(long seed) {
            random = new Random(seed);
            settings = new RandomSettings(random).next();
            dispatcher = new Dispatcher(settings, seed, this);
        }

        private <T> T any(T[] values) {
            return values[random.nextInt(values.length)];
        }

        private Worker randomWorker(int id) {
            final int state = random.nextInt(6);
            return new Worker(
                    id,
                    id % 3,
                    id % 2,
                    id % 4,
                    state == 0
                            ? WorkerState.GONE
                            : state == 1 ? WorkerState.DRAINING : WorkerState.READY,
                    0.5f + random.nextInt(4),
                    random.nextInt(3) == 0 ? nowUs - random.nextInt(20_000_000) : 0);
        }

        private void list(EndpointListForm form) {
            final List<Worker> entries = new ArrayList<>();
            for (int id = 0; id < 12; id++) {
                if (random.nextInt(form == EndpointListForm.CHANGES ? 4 : 2) == 0) {
                    entries.add(randomWorker(id));
                }
            }
            if (form != EndpointListForm.FAILED) {
                if (form != EndpointListForm.CHANGES) {
                    listed.clear();
                }
                entries.forEach(worker -> listed.put(worker.id(), worker));
            }
            closed.clear();
            dispatcher.endpointListChanged(
                    nowUs, form, form == EndpointListForm.FAILED ? List.of() : entries);
            if (form != EndpointListForm.FAILED) {
                entries.forEach(
                        entry ->
                                assertIdleClosed(
                                        entry.id(), entry.state() == WorkerState.DRAINING));
            }
        }

        /**
         * Checks that the idle connections to a draining worker are closed within the event that
         * starts the drain or leaves a connection idle.
         */
        private void assertIdleClosed(int worker, boolean draining) {
            if (draining && settings.closeOnDrainWithinUs() < DispatchSettings.UNLIMITED) {
                assertThat(closed).as("idle connections to a draining worker").contains(worker);
            }
        }

        void run() {
            list(EndpointListForm.CACHED);
            for (int step = 0; step < STEPS; step++) {
                advanceTime(random.nextInt(40_000));
                switch (random.nextInt(20)) {
                    case 0 ->
                            list(
                                    any(
                                            settings.endpointListIsPolled()
                                                    ? EndpointListForm.values()
                                                    : PUSHED));
                    case 1 -> leave();
                    case 2 -> unknownAttemptEnds();
                    case 13 ->
                            dispatcher.workerReportedUnresponsive(
                                    nowUs, random.nextInt(14), random.nextInt(5) - 1);
                    case 3 -> progress();
                    case 4, 5, 6, 7 -> reportLoad();
                    case 8, 9, 10, 11, 12 -> request();
                    default -> end();
                }
            }
            advanceTime(20 * SECOND);
            assertThat(unanswered.values())
                    .as("requests without an answer")
                    .allMatch(request -> request.closed);
        }

        private void unknownAttemptEnds() {
            final int id = random.nextInt(requests + 1);
            dispatcher.attemptEnded(nowUs, id, 9, 3, Outcome.BROKEN, 1, false, LoadReport.NONE);
        }

        private void advanceTime(long us) {
            final long untilUs = nowUs + us;
            while (timerAtUs <= untilUs || nextDeadlineUs() <= untilUs) {
                nowUs = Math.max(nowUs, Math.min(timerAtUs, nextDeadlineUs()));
                if (timerAtUs <= nowUs) {
                    dispatcher.timerFired(nowUs, 0);
                }
                timeOut();
            }
            nowUs = untilUs;
        }

        private long nextDeadlineUs() {
            return unanswered.values().stream()
                    .filter(request -> !request.closed || !request.attempts.isEmpty())
                    .mapToLong(request -> request.deadlineUs)
                    .min()
                    .orElse(Long.MAX_VALUE);
        }

        private void timeOut() {
            unanswered.forEach(
                    (id, request) -> {
                        if (request.deadlineUs <= nowUs) {
                            List.copyOf(request.attempts.keySet())
                                    .forEach(
                                            attempt ->
                                                    end(id, request, attempt, Outcome.TIMED_OUT));
                            assertThat(request.closed).as("answered by its deadline").isTrue();
                        }
                    });
        }

        private void request() {
            final int type = random.nextInt(settings.classes().size());
            final RequestClass requestClass = settings.classes().get(type);
            final int id = requests++;
            unanswered.put(id, new OpenRequest(requestClass, nowUs + requestClass.deadlineUs()));
            final Job job =
                    new Job(
                            type,
                            0,
                            1 + random.nextInt(4),
                            (long) random.nextInt(2) * random.nextInt(900_000),
                            random.nextInt(3),
                            false);
            dispatcher.requestArrived(nowUs, id, job, nowUs + requestClass.deadlineUs());
        }

        private Integer anyRequestInFlight() {
            final List<Integer> ids =
                    unanswered.entrySet().stream()
                            .filter(entry -> !entry.getValue().attempts.isEmpty())
                            .map(Map.Entry::getKey)
                            .toList();
            return ids.isEmpty() ? null : ids.get(random.nextInt(ids.size()));
        }

        private void end() {
            final Integer id = anyRequestInFlight();
            if (id != null) {
                end(
                        id,
                        unanswered.get(id),
                        unanswered.get(id).attempts.keySet().iterator().next(),
                        any(Outcome.values()));
            }
        }

        private void end(int id, OpenRequest request, int attempt, Outcome outcome) {
            final int worker = request.attempts.remove(attempt);
            final boolean neverRan =
                    outcome == Outcome.CONNECT_FAILED
                            || outcome == Outcome.NOT_SENT
                            || (outcome == Outcome.FULL && !settings.fullMayHaveRun());
            if (!neverRan && request.mayHaveRunAt == null) {
                request.mayHaveRunAt = workerOf(worker);
                request.mayHaveRunSinceUs = sentAtUs.get(id).get(attempt);
            }
            request.closed |= outcome == Outcome.SERVED;
            closed.remove(worker);
            dispatcher.attemptEnded(
                    nowUs, id, attempt, worker, outcome, 1000, request.closed, anyReport());
            final Worker now = listed.get(worker);
            assertIdleClosed(worker, now == null || now.state() != WorkerState.READY);
        }

        private LoadReport anyReport() {
            return new LoadReport(
                    random.nextInt(7) - 1, random.nextInt(10) - 1, random.nextInt(5) - 1);
        }

        private void reportLoad() {
            if (!loadQueries.isEmpty()) {
                final int worker = loadQueries.remove(random.nextInt(loadQueries.size()));
                dispatcher.loadReported(
                        nowUs,
                        worker,
                        random.nextInt(3) == 0 ? any(Outcome.values()) : Outcome.SERVED,
                        anyReport());
            }
        }

        private void progress() {
            final Integer id = anyRequestInFlight();
            if (id != null) {
                final Map.Entry<Integer, Integer> attempts =
                        unanswered.get(id).attempts.entrySet().iterator().next();
                dispatcher.jobProgressed(
                        nowUs, id, attempts.getKey(), attempts.getValue(), random.nextFloat());
            }
        }

        private void leave() {
            if (requests > 0) {
                final int id = random.nextInt(requests);
                unanswered.get(id).closed = true;
                dispatcher.clientLeft(nowUs, id);
            }
        }

        @Override
        public void send(int requestId, int workerId, long deadlineUs) {
            final OpenRequest request = unanswered.get(requestId);
            final RequestClass requestClass = request.requestClass;
            assertThat(request.closed).as("sent after the final answer").isFalse();
            assertThat(request.attempts)
                    .as("attempts in flight")
                    .hasSizeLessThanOrEqualTo(settings.limits().allowsHedging() ? 1 : 0);
            final Worker worker = listed.get(workerId);
            assertThat(worker).as("sent to a worker not listed").isNotNull();
            assertThat(worker.state())
                    .as("sent to a draining or gone worker")
                    .isEqualTo(WorkerState.READY);
            final List<Integer> zones = requestClass.placement().zones();
            final List<Integer> kinds = requestClass.placement().kinds();
            assertThat(zones == null || zones.contains(worker.zone()))
                    .as("zone open to the class")
                    .isTrue();
            assertThat(kinds == null || kinds.contains(worker.kind()))
                    .as("kind open to the class")
                    .isTrue();
            assertThat(request.sent).isLessThan(settings.limits().maxAttempts());
            final Map.Entry<Integer, Integer> inFlight =
                    request.attempts.entrySet().stream().findFirst().orElse(null);
            final Integer inFlightAt = inFlight == null ? null : inFlight.getValue();
            if (inFlightAt != null && requestClass.idempotency() == Idempotency.KEYED) {
                assertThat(group(requestClass, worker))
                        .isEqualTo(group(requestClass, workerOf(inFlightAt)));
                // The window starts at the attempt in flight, because no earlier attempt ran.
                assertThat(nowUs)
                        .as("a keyed request is hedged within the window of its attempt in flight")
                        .isLessThanOrEqualTo(
                                sentAtUs.get(requestId).get(inFlight.getKey())
                                        + requestClass.deduplicationWindowUs());
            }
            if (request.mayHaveRunAt != null || inFlightAt != null) {
                assertThat(requestClass.idempotency())
                        .as("an effect may be doubled")
                        .isNotEqualTo(Idempotency.UNSAFE);
                if (requestClass.idempotency() == Idempotency.KEYED
                        && request.mayHaveRunAt != null) {
                    assertThat(nowUs)
                            .isLessThanOrEqualTo(
                                    request.mayHaveRunSinceUs
                                            + requestClass.deduplicationWindowUs());
                    assertThat(group(requestClass, worker))
                            .isEqualTo(group(requestClass, request.mayHaveRunAt));
                }
            }
            sentAtUs.computeIfAbsent(requestId, id -> new LinkedHashMap<>())
                    .put(request.sent, nowUs);
            request.attempts.put(request.sent++, workerId);
        }

        private static Worker workerOf(int worker) {
            return new Worker(worker, worker % 3, worker % 2, worker % 4, WorkerState.READY, 1, 0);
        }

        private static int group(RequestClass requestClass, Worker worker) {
            return switch (requestClass.deduplicationScope()) {
                case ALL -> 0;
                case ZONE -> worker.zone();
                case CELL -> worker.cell();
            };
        }

        private void answer(int requestId) {
            final OpenRequest request = unanswered.get(requestId);
            assertThat(request.closed).as("answered twice").isFalse();
            assertThat(nowUs)
                    .as("answered after the deadline")
                    .isLessThanOrEqualTo(request.deadlineUs);
            request.closed = true;
        }

        @Override
        public void reject(int requestId, long retryAfterUs) {
            answer(requestId);
            final OpenRequest request = unanswered.get(requestId);
            final boolean mayRun = request.mayHaveRunAt != null || !request.attempts.isEmpty();
            final boolean dropped =
                    request.requestClass.idempotency() == Idempotency.KEYED
                            && request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
            assertThat(request.requestClass.idempotency() == Idempotency.SAFE || dropped || !mayRun)
                    .as("a rejection promises that a retry does no harm")
                    .isTrue();
            assertThat(retryAfterUs).isBetween(0L, settings.limits().maxRetryAfterUs());
        }

        @Override
        public void fail(int requestId) {
            answer(requestId);
        }

        @Override
        public void startTimer(long token, long delayUs) {
            assertThat(delayUs).isPositive();
            timerAtUs = nowUs + delayUs;
        }

        @Override
        public void queryLoad(int workerId) {
            assertThat(settings.allowsLoadQueries()).as("load queries only if allowed").isTrue();
            assertThat(listed).as("load queries only of listed workers").containsKey(workerId);
            loadQueries.add(workerId);
        }

        @Override
        public void reportUnresponsive(int workerId, int requestClass) {
            assertThat(settings.allowsPeerMessages()).as("peer messages only if allowed").isTrue();
        }

        @Override
        public void closeIdleConnections(int workerId) {
            assertThat(settings.closeOnDrainWithinUs())
                    .as("closes idle connections only if a time is set")
                    .isLessThan(DispatchSettings.UNLIMITED);
            closed.add(workerId);
        }

        @Override
        public void pollEndpointList() {
            assertThat(settings.endpointListIsPolled()).isTrue();
        }
    }

    @Property(seed = "31", tries = 150)
    void followsPoliciesForAnyOrderOfEvents(@ForAll long seed) {
        new Checker(seed).run();
    }
}
