package cresschute.settings;

import cresschute.settings.script.Position;
import cresschute.settings.script.Values;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/** Checks what must hold between the fields and blocks that a script states. */
final class SettingsChecks {

    private final StatedBlocks blocks;
    private final List<Problem> problems;
    private final PeersCheck peersCheck;

    /**
     * Checks that add to the problems.
     *
     * @param keyProblem what is wrong with a key file, by its path; null where nothing is
     */
    SettingsChecks(StatedBlocks blocks, List<Problem> problems, UnaryOperator<String> keyProblem) {
        this.blocks = blocks;
        this.problems = problems;
        peersCheck = new PeersCheck(blocks, problems, keyProblem);
    }

    /**
     * Adds to the problems.
     *
     * @param complete whether the script ran to its end, so that a block which is not stated is
     *     missing
     */
    void check(boolean complete) {
        if (complete) {
            checkRequired();
        }
        unique(blocks.all(JobClassSchema.JOB_CLASS), JobClassSchema.CLASS_NAME);
        unique(blocks.all(WorkerSchema.WORKER), WorkerSchema.WORKER_ID);
        unique(blocks.all(WorkerSchema.WORKER), WorkerSchema.WORKER_ADDRESS);
        blocks.all(JobClassSchema.JOB_CLASS).stream()
                .filter(Statement::isValid)
                .forEach(this::jobClass);
        blocks.all(JobClassSchema.OBJECTIVE).stream()
                .filter(Statement::isValid)
                .forEach(this::objective);
        blocks.all(BodiesSchema.BODIES).stream().filter(Statement::isValid).forEach(this::bodies);
        blocks.all(PeersSchema.PEERS).stream()
                .filter(Statement::isValid)
                .forEach(peersCheck::check);
    }

    private void checkRequired() {
        for (final Block block : Schema.BLOCKS) {
            if (blocks.all(block).size() < block.min()) {
                problem(
                        Position.START,
                        "no "
                                + block.name()
                                + " is stated; "
                                + (block.max() == 1 ? "exactly one" : "at least one")
                                + " is required");
            }
        }
        if (blocks.all(WorkerSchema.WORKER).isEmpty()
                && blocks.all(WorkerSchema.DISCOVERY).isEmpty()) {
            problem(
                    Position.START,
                    "neither a worker nor a director is stated; jobs would have nowhere to go");
        }
    }

    private void unique(List<Statement> statements, Field<?> field) {
        final Map<Object, Position> seen = new HashMap<>();
        for (final Statement statement : statements) {
            final Object value = statement.get(field);
            final Position first =
                    value == null ? null : seen.putIfAbsent(value, statement.at(field));
            if (first != null) {
                problem(
                        statement.at(field),
                        statement.block().name()
                                + ": "
                                + field.name()
                                + " "
                                + field.show(value)
                                + " is there already, at "
                                + first
                                + "; each must be another");
            }
        }
    }

    private void jobClass(Statement stated) {
        final String name = "job_class " + Values.quoted(stated.get(JobClassSchema.CLASS_NAME));
        checkTimes(stated, name);
        checkDeduplication(stated, name);
        final Statement limits = blocks.single(NodeSchema.LIMITS);
        if (stated.gives(JobClassSchema.CLASS_MAX_ATTEMPTS)
                && stated.get(JobClassSchema.CLASS_MAX_ATTEMPTS)
                        > limits.get(NodeSchema.MAX_ATTEMPTS)) {
            problem(
                    stated.at(JobClassSchema.CLASS_MAX_ATTEMPTS),
                    name
                            + ": attempts "
                            + stated.get(JobClassSchema.CLASS_MAX_ATTEMPTS)
                            + " is above the "
                            + limits.get(NodeSchema.MAX_ATTEMPTS)
                            + " that limits allows");
        }
        if (blocks.all(WorkerSchema.DISCOVERY).isEmpty()) {
            checkWorkersExist(stated, JobClassSchema.CLASS_ZONES, name, WorkerSchema.WORKER_ZONE);
            checkWorkersExist(stated, JobClassSchema.CLASS_KINDS, name, WorkerSchema.WORKER_KIND);
        }
    }

    private void checkTimes(Statement stated, String name) {
        if (stated.get(JobClassSchema.DEADLINE) < stated.get(JobClassSchema.LATENCY_OBJECTIVE)) {
            problem(
                    stated.at(JobClassSchema.DEADLINE),
                    name
                            + ": deadline "
                            + JobClassSchema.DEADLINE.show(stated.get(JobClassSchema.DEADLINE))
                            + " is below aim "
                            + JobClassSchema.LATENCY_OBJECTIVE.show(
                                    stated.get(JobClassSchema.LATENCY_OBJECTIVE))
                            + "; clients would leave before an answer in time");
        }
        if (SettingsBuilder.isStreamed(stated)
                && stated.get(JobClassSchema.MAX_STALL) > stated.get(JobClassSchema.DEADLINE)) {
            problem(
                    stated.at(JobClassSchema.MAX_STALL),
                    name
                            + ": stall "
                            + JobClassSchema.MAX_STALL.show(stated.get(JobClassSchema.MAX_STALL))
                            + " is above deadline "
                            + JobClassSchema.DEADLINE.show(stated.get(JobClassSchema.DEADLINE))
                            + "; it would never count");
        }
    }

    private void checkDeduplication(Statement stated, String name) {
        final boolean keyed = stated.get(JobClassSchema.IDEMPOTENCY).equals("keyed");
        if (keyed && stated.get(JobClassSchema.DEDUPLICATION_WINDOW) == 0) {
            problem(
                    stated.at(JobClassSchema.IDEMPOTENCY),
                    name
                            + ": effect \"keyed\" needs repeat_window; allowed: "
                            + JobClassSchema.DEDUPLICATION_WINDOW.type().allowed());
        }
        for (final Field<?> field :
                List.of(JobClassSchema.DEDUPLICATION_WINDOW, JobClassSchema.DEDUPLICATION_SCOPE)) {
            if (!keyed && !stated.get(field).equals(field.defaultValue())) {
                problem(
                        stated.at(field),
                        name
                                + ": "
                                + field.name()
                                + " is for effect \"keyed\"; here effect is "
                                + Values.quoted(stated.get(JobClassSchema.IDEMPOTENCY)));
            }
        }
    }

    /**
     * With a fixed list, a class bound to zones or kinds that no worker has could never be served.
     */
    private void checkWorkersExist(
            Statement stated, Field<List<String>> bound, String name, Field<String> ofWorker) {
        final Set<String> known = new LinkedHashSet<>();
        blocks.all(WorkerSchema.WORKER).forEach(worker -> known.add(worker.get(ofWorker)));
        for (final String wanted : stated.get(bound)) {
            if (!known.isEmpty() && !known.contains(wanted)) {
                problem(
                        stated.at(bound),
                        name
                                + ": no worker has "
                                + ofWorker.name()
                                + " "
                                + Values.quoted(wanted)
                                + "; workers have "
                                + Schema.listed(List.copyOf(known)));
            }
        }
    }

    private void objective(Statement objective) {
        if (objective.get(JobClassSchema.ALL_REQUESTS_WEIGHT)
                        + objective.get(JobClassSchema.WORST_WINDOW_WEIGHT)
                        + objective.get(JobClassSchema.WORST_CLASS_WEIGHT)
                <= 0) {
            problem(objective.at(), "goal: all weights are 0; at least one must be above 0");
        }
    }

    private void bodies(Statement bodies) {
        atMost(bodies, BodiesSchema.WINDOW, "budget", bodies.get(BodiesSchema.BUDGET));
        atMost(bodies, BodiesSchema.MAX_PER_CLIENT, "budget", bodies.get(BodiesSchema.BUDGET));
        atMost(bodies, BodiesSchema.WINDOW, "of_a_client", bodies.get(BodiesSchema.MAX_PER_CLIENT));
        atMost(
                bodies,
                BodiesSchema.MAX_SPOOL,
                "window + lent",
                bodies.get(BodiesSchema.WINDOW) + bodies.get(BodiesSchema.MAX_LENT));
    }

    private void atMost(Statement bodies, Field<Long> field, String bound, long max) {
        if (bodies.get(field) > max) {
            problem(
                    bodies.at(field),
                    "bodies: "
                            + field.name()
                            + " "
                            + field.show(bodies.get(field))
                            + " is above "
                            + bound
                            + ", which is "
                            + field.show(max));
        }
    }

    private void problem(Position at, String message) {
        problems.add(new Problem(at, message));
    }
}
