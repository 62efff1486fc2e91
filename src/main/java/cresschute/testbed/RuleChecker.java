package cresschute.testbed;

import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.SlowStartSettings;
import cresschute.testbed.Observation.AttemptReceived;
import cresschute.testbed.Observation.AttemptRejected;
import cresschute.testbed.Observation.EffectApplied;
import cresschute.testbed.Observation.OperatorDrained;
import cresschute.testbed.Observation.RequestAnswered;
import cresschute.testbed.Observation.RequestLost;
import cresschute.testbed.Observation.RequestSent;
import cresschute.testbed.Observation.RequestUnanswered;
import cresschute.testbed.Observation.RunDone;
import cresschute.testbed.Observation.UnexpectedAnswer;
import cresschute.testbed.Observation.WorkerBooted;
import cresschute.testbed.Observation.WorkerListed;
import cresschute.testbed.Observation.WorkerOverloaded;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the observations of clients, workers and discovery against the four rules of a dispatcher:
 * one answer for each request, no effect twice, drains kept, cold starts kept. It uses no state of
 * the node and is pure: the same observations always give the same breaches.
 */
public final class RuleChecker {

    /**
     * The maximum time after the node was notified of a drain until it sends nothing new to the
     * worker, us; 50 ms of it are for the sockets.
     */
    static final long MAX_DRAIN_DELAY_US = 400_000 + 50_000;

    /**
     * Tolerated factor over the budget of a cold worker, because random arrivals are uneven over
     * short spans.
     */
    static final double COLD_START_TOLERANCE = 1.1;

    /** A rule of the protocol. */
    public enum Rule {
        ONE_ANSWER("one_answer"),
        NO_EFFECT_TWICE("no_effect_twice"),
        DRAINS_KEPT("drains_kept"),
        COLD_STARTS_KEPT("cold_starts_kept");

        private final String wireName;

        Rule(String wireName) {
            this.wireName = wireName;
        }

        /** The name of the rule in a report. */
        public String wireName() {
            return wireName;
        }
    }

    /** A violation of a rule. */
    public record Breach(Rule rule, long us, String what) {}

    private final Map<String, JobClass> classes = new HashMap<>();
    private final SlowStartSettings coldStart;
    private final List<Breach> breaches = new ArrayList<>();

    private RuleChecker(List<JobClass> classes, SlowStartSettings coldStart) {
        classes.forEach(each -> this.classes.put(each.name(), each));
        this.coldStart = coldStart;
    }

    /** Returns all breaches in the observations, in the order of the rules. */
    public static List<Breach> check(
            List<Observation> seen, List<JobClass> classes, SlowStartSettings coldStart) {
        final RuleChecker checker = new RuleChecker(classes, coldStart);
        checker.checkAnswers(seen);
        checker.checkRepeats(seen);
        checker.checkEffects(seen);
        checker.checkDrains(seen);
        checker.checkColdStarts(seen);
        return List.copyOf(checker.breaches);
    }

    private void report(Rule rule, long us, String what) {
        breaches.add(new Breach(rule, us, what));
    }

    // ---- One answer for each request ----

    private void checkAnswers(List<Observation> seen) {
        final Set<String> sent = new HashSet<>();
        final Set<String> answered = new HashSet<>();
        final Map<String, Set<String>> results = new HashMap<>();
        for (final Observation each : seen) {
            if (each instanceof RequestSent request) {
                sent.add(request.id());
            } else if (each instanceof RunDone done) {
                results.computeIfAbsent(done.id(), unseen -> new HashSet<>()).add(done.result());
            } else if (each instanceof RequestAnswered answer) {
                if (!sent.contains(answer.id())) {
                    report(
                            Rule.ONE_ANSWER,
                            answer.us(),
                            "an answer to " + answer.id() + ", which no client sent");
                } else if (!answered.add(answer.id())) {
                    report(Rule.ONE_ANSWER, answer.us(), "a second answer to " + answer.id());
                } else if (answer.status() == LoadClients.OK
                        && !results.getOrDefault(answer.id(), Set.of()).contains(answer.body())) {
                    report(
                            Rule.ONE_ANSWER,
                            answer.us(),
                            answer.id() + " was served with a result that no worker produced");
                }
            } else if (each instanceof UnexpectedAnswer answer) {
                report(Rule.ONE_ANSWER, answer.us(), "an unexpected answer: " + answer.what());
            } else if (each instanceof RequestLost lost) {
                report(
                        Rule.ONE_ANSWER,
                        lost.us(),
                        "the connection of " + lost.id() + " ended without an answer");
            } else if (each instanceof RequestUnanswered none) {
                report(Rule.ONE_ANSWER, none.us(), "no answer to " + none.id());
            }
        }
    }

    // ---- No effect twice ----

    /**
     * Checks how often and to which workers a request was sent. A repeat that the class forbids is
     * a breach even if it did no harm.
     */
    private void checkRepeats(List<Observation> seen) {
        final Map<String, JobClass> classOf = new HashMap<>();
        final Map<String, List<AttemptReceived>> sends = new LinkedHashMap<>();
        final Set<String> turnedAway = new HashSet<>();
        for (final Observation each : seen) {
            if (each instanceof RequestSent request && classes.containsKey(request.className())) {
                classOf.put(request.id(), classes.get(request.className()));
            } else if (each instanceof AttemptReceived send) {
                sends.computeIfAbsent(send.id(), unseen -> new ArrayList<>()).add(send);
            } else if (each instanceof AttemptRejected rejected) {
                turnedAway.add(rejected.worker() + " " + rejected.id());
            }
        }
        sends.forEach(
                (id, all) -> {
                    final JobClass jobClass = classOf.get(id);
                    final AttemptReceived last = all.get(all.size() - 1);
                    if (jobClass == null) {
                        report(
                                Rule.NO_EFFECT_TWICE,
                                last.us(),
                                "workers were sent " + id + ", which no client sent");
                        return;
                    }
                    if (all.size() > jobClass.maxAttempts()) {
                        report(
                                Rule.NO_EFFECT_TWICE,
                                last.us(),
                                id
                                        + " was sent "
                                        + all.size()
                                        + " times; "
                                        + jobClass.maxAttempts()
                                        + " are allowed");
                    }
                    final List<AttemptReceived> mayRun =
                            all.stream()
                                    .filter(
                                            send ->
                                                    !turnedAway.contains(
                                                            send.worker() + " " + send.id()))
                                    .toList();
                    if (jobClass.effect() != Idempotency.SAFE && mayRun.size() > 1) {
                        checkRepeatAllowed(id, jobClass, mayRun);
                    }
                });
    }

    private void checkRepeatAllowed(String id, JobClass jobClass, List<AttemptReceived> mayRun) {
        final AttemptReceived first = mayRun.get(0);
        for (final AttemptReceived again : mayRun.subList(1, mayRun.size())) {
            if (jobClass.effect() == Idempotency.UNSAFE) {
                report(
                        Rule.NO_EFFECT_TWICE,
                        again.us(),
                        id + " is unsafe to repeat and was sent again");
            } else if (jobClass.scope() == DeduplicationScope.CELL
                    && again.cell() != first.cell()) {
                report(
                        Rule.NO_EFFECT_TWICE,
                        again.us(),
                        id
                                + " was sent to cell "
                                + first.cell()
                                + " and again to cell "
                                + again.cell());
            } else if (again.us() > first.us() + jobClass.repeatWindowUs()) {
                report(
                        Rule.NO_EFFECT_TWICE,
                        again.us(),
                        id + " was sent again after its deduplication window");
            }
        }
    }

    /** Checks that each key took effect once, over all retries of a client. */
    private void checkEffects(List<Observation> seen) {
        final Map<String, EffectApplied> first = new HashMap<>();
        for (final Observation each : seen) {
            if (each instanceof EffectApplied effect && effect.key() != null) {
                final EffectApplied before = first.putIfAbsent(effect.key(), effect);
                if (before != null) {
                    report(
                            Rule.NO_EFFECT_TWICE,
                            effect.us(),
                            "key "
                                    + effect.key()
                                    + " took effect at "
                                    + before.worker()
                                    + " and again at "
                                    + effect.worker());
                }
            }
        }
    }

    // ---- Drains ----

    /** Drains by the endpoint list and by operators are independent; each ends by itself. */
    private void checkDrains(List<Observation> seen) {
        final Map<String, Long> byList = new HashMap<>();
        final Map<String, Long> byOperator = new HashMap<>();
        // Attempts are recorded at their last byte, after notifications that arrived since their
        // first byte. Sorting by first byte restores the order.
        final List<Observation> ordered = new ArrayList<>(seen);
        ordered.sort((a, b) -> Long.compare(orderTime(a), orderTime(b)));
        for (final Observation each : ordered) {
            if (each instanceof WorkerListed reported) {
                if (reported.state().equals("SERVING")) {
                    byList.remove(reported.worker());
                } else {
                    byList.putIfAbsent(reported.worker(), reported.us());
                }
            } else if (each instanceof OperatorDrained drained) {
                if (drained.start()) {
                    byOperator.putIfAbsent(drained.worker(), drained.us());
                } else {
                    byOperator.remove(drained.worker());
                }
            } else if (each instanceof AttemptReceived send) {
                checkSentBeforeDrain(
                        send, byList.get(send.worker()), "the endpoint list reported its drain");
                checkSentBeforeDrain(
                        send, byOperator.get(send.worker()), "an operator's drain was confirmed");
            }
        }
    }

    private void checkSentBeforeDrain(AttemptReceived send, Long sinceUs, String what) {
        if (sinceUs != null && send.firstByteUs() > sinceUs + MAX_DRAIN_DELAY_US) {
            report(
                    Rule.DRAINS_KEPT,
                    send.us(),
                    send.worker()
                            + " was sent "
                            + send.id()
                            + " "
                            + (send.firstByteUs() - sinceUs) / 1000
                            + " ms after "
                            + what);
        }
    }

    private static long orderTime(Observation seen) {
        return seen instanceof AttemptReceived send ? send.firstByteUs() : seen.us();
    }

    // ---- Cold starts ----

    private void checkColdStarts(List<Observation> seen) {
        final Map<String, WorkerBooted> boots = new HashMap<>();
        final Map<String, List<AttemptReceived>> recent = new HashMap<>();
        final Set<String> reported = new HashSet<>();
        for (final Observation each : seen) {
            if (each instanceof WorkerBooted boot) {
                boots.put(boot.worker(), boot);
                recent.put(boot.worker(), new ArrayList<>());
                reported.remove(boot.worker());
            } else if (each instanceof WorkerListed notice && notice.startedMs() > 0) {
                reported.add(notice.worker());
            } else if (each instanceof WorkerOverloaded overload) {
                report(
                        Rule.COLD_STARTS_KEPT,
                        overload.us(),
                        overload.worker() + " crashed from overload");
            } else if (each instanceof AttemptReceived send
                    && boots.containsKey(send.worker())
                    && reported.contains(send.worker())) {
                checkColdStart(send, boots.get(send.worker()), recent.get(send.worker()));
            }
        }
    }

    private void checkColdStart(
            AttemptReceived send, WorkerBooted boot, List<AttemptReceived> recent) {
        final long age = send.us() - boot.us();
        if (age >= coldStart.warmUpDurationUs()) {
            return;
        }
        recent.add(send);
        recent.removeIf(old -> old.us() <= send.us() - coldStart.overloadAfterUs());
        final double sent = recent.stream().mapToDouble(AttemptReceived::work).sum();
        final double bound = coldStartBudget(coldStart, boot.capacity(), age);
        if (sent > bound * COLD_START_TOLERANCE) {
            report(
                    Rule.COLD_STARTS_KEPT,
                    send.us(),
                    send.worker()
                            + " was sent "
                            + Math.round(sent / 1000)
                            + " ms of work within "
                            + coldStart.overloadAfterUs() / 1000
                            + " ms, "
                            + age / 1000
                            + " ms after its start; it can take "
                            + Math.round(bound / 1000));
        }
    }

    /**
     * The work that a worker of this age may be sent within the overload window, slots times
     * microseconds.
     */
    static double coldStartBudget(SlowStartSettings coldStart, double capacity, long ageUs) {
        return coldStart.overloadFactor()
                * capacity
                * capacityFractionAt(coldStart, ageUs)
                * coldStart.overloadAfterUs();
    }

    /**
     * The fraction of its capacity that a worker of this age has; it grows linearly until the
     * worker is warm.
     */
    static double capacityFractionAt(SlowStartSettings coldStart, long ageUs) {
        return ageUs >= coldStart.warmUpDurationUs()
                ? 1
                : coldStart.initialCapacityFraction()
                        + (1 - coldStart.initialCapacityFraction())
                                * Math.max(0, ageUs)
                                / coldStart.warmUpDurationUs();
    }
}
