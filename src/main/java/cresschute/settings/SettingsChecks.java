package cresschute.settings;

import cresschute.settings.script.Position;
import cresschute.settings.script.Values;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/** Checks the consistency between the fields and blocks that a script declares. */
final class SettingsChecks {

    private final BlockDeclarations blocks;
    private final List<Problem> problems;
    private final PeersCheck peersCheck;

    /**
     * Creates checks that add the problems they find to the given list.
     *
     * @param keyFileProblem checks the key file at a path; returns what is wrong with it, or null
     *     if nothing is
     */
    SettingsChecks(
            BlockDeclarations blocks,
            List<Problem> problems,
            UnaryOperator<String> keyFileProblem) {
        this.blocks = blocks;
        this.problems = problems;
        peersCheck = new PeersCheck(blocks, problems, keyFileProblem);
    }

    /**
     * Runs all checks.
     *
     * @param complete whether the script ran to its end; only then are undeclared blocks reported
     *     as missing
     */
    void check(boolean complete) {
        if (complete) {
            checkRequired();
        }
        checkUnique(blocks.all(JobClassSchema.JOB_CLASS), JobClassSchema.CLASS_NAME);
        checkUnique(blocks.all(WorkerSchema.WORKER), WorkerSchema.WORKER_ID);
        checkUnique(blocks.all(WorkerSchema.WORKER), WorkerSchema.WORKER_ADDRESS);
        blocks.all(JobClassSchema.JOB_CLASS).stream()
                .filter(BlockDeclaration::isValid)
                .forEach(this::checkJobClass);
        blocks.all(JobClassSchema.OBJECTIVE).stream()
                .filter(BlockDeclaration::isValid)
                .forEach(this::checkObjective);
        blocks.all(BodiesSchema.BODIES).stream()
                .filter(BlockDeclaration::isValid)
                .forEach(this::checkBodies);
        blocks.all(PeersSchema.PEERS).stream()
                .filter(BlockDeclaration::isValid)
                .forEach(peersCheck::check);
    }

    private void checkRequired() {
        for (final Block block : Schema.BLOCKS) {
            if (blocks.all(block).size() < block.min()) {
                addProblem(
                        Position.START,
                        "no "
                                + block.name()
                                + " is declared; "
                                + (block.max() == 1 ? "exactly one" : "at least one")
                                + " is required");
            }
        }
        if (blocks.all(WorkerSchema.WORKER).isEmpty()
                && blocks.all(WorkerSchema.DISCOVERY).isEmpty()) {
            addProblem(
                    Position.START,
                    "neither a worker nor a director is declared; at least one is required");
        }
    }

    private void checkUnique(List<BlockDeclaration> declarations, Field<?> field) {
        final Map<Object, Position> seen = new HashMap<>();
        for (final BlockDeclaration declaration : declarations) {
            final Object value = declaration.get(field);
            final Position first =
                    value == null ? null : seen.putIfAbsent(value, declaration.at(field));
            if (first != null) {
                addProblem(
                        declaration.at(field),
                        declaration.block().name()
                                + ": "
                                + field.name()
                                + " "
                                + field.format(value)
                                + " is a duplicate of the one at "
                                + first
                                + "; values must be unique");
            }
        }
    }

    private void checkJobClass(BlockDeclaration declaration) {
        final String name =
                "job_class " + Values.quoted(declaration.get(JobClassSchema.CLASS_NAME));
        checkTimes(declaration, name);
        checkDeduplication(declaration, name);
        final BlockDeclaration limits = blocks.single(NodeSchema.LIMITS);
        if (declaration.isSet(JobClassSchema.CLASS_MAX_ATTEMPTS)
                && declaration.get(JobClassSchema.CLASS_MAX_ATTEMPTS)
                        > limits.get(NodeSchema.MAX_ATTEMPTS)) {
            addProblem(
                    declaration.at(JobClassSchema.CLASS_MAX_ATTEMPTS),
                    name
                            + ": attempts "
                            + declaration.get(JobClassSchema.CLASS_MAX_ATTEMPTS)
                            + " is above the maximum "
                            + limits.get(NodeSchema.MAX_ATTEMPTS)
                            + " in limits");
        }
        if (blocks.all(WorkerSchema.DISCOVERY).isEmpty()) {
            checkWorkersExist(
                    declaration, JobClassSchema.CLASS_ZONES, name, WorkerSchema.WORKER_ZONE);
            checkWorkersExist(
                    declaration, JobClassSchema.CLASS_KINDS, name, WorkerSchema.WORKER_KIND);
        }
    }

    private void checkTimes(BlockDeclaration declaration, String name) {
        if (declaration.get(JobClassSchema.DEADLINE)
                < declaration.get(JobClassSchema.LATENCY_OBJECTIVE)) {
            addProblem(
                    declaration.at(JobClassSchema.DEADLINE),
                    name
                            + ": deadline "
                            + JobClassSchema.DEADLINE.format(
                                    declaration.get(JobClassSchema.DEADLINE))
                            + " is below aim "
                            + JobClassSchema.LATENCY_OBJECTIVE.format(
                                    declaration.get(JobClassSchema.LATENCY_OBJECTIVE))
                            + "; it must be at least aim");
        }
        if (SettingsBuilder.allowsStreaming(declaration)
                && declaration.get(JobClassSchema.MAX_STALL)
                        > declaration.get(JobClassSchema.DEADLINE)) {
            addProblem(
                    declaration.at(JobClassSchema.MAX_STALL),
                    name
                            + ": stall "
                            + JobClassSchema.MAX_STALL.format(
                                    declaration.get(JobClassSchema.MAX_STALL))
                            + " is above deadline "
                            + JobClassSchema.DEADLINE.format(
                                    declaration.get(JobClassSchema.DEADLINE))
                            + "; it must be at most deadline");
        }
    }

    private void checkDeduplication(BlockDeclaration declaration, String name) {
        final boolean keyed = declaration.get(JobClassSchema.IDEMPOTENCY).equals("keyed");
        if (keyed && declaration.get(JobClassSchema.DEDUPLICATION_WINDOW) == 0) {
            addProblem(
                    declaration.at(JobClassSchema.IDEMPOTENCY),
                    name
                            + ": effect \"keyed\" needs repeat_window; allowed: "
                            + JobClassSchema.DEDUPLICATION_WINDOW.type().allowed());
        }
        for (final Field<?> field :
                List.of(JobClassSchema.DEDUPLICATION_WINDOW, JobClassSchema.DEDUPLICATION_SCOPE)) {
            if (!keyed && !declaration.get(field).equals(field.defaultValue())) {
                addProblem(
                        declaration.at(field),
                        name
                                + ": "
                                + field.name()
                                + " requires effect \"keyed\", but effect is "
                                + Values.quoted(declaration.get(JobClassSchema.IDEMPOTENCY)));
            }
        }
    }

    /**
     * Checks that the zones or kinds to which a class is restricted have workers. Otherwise, with a
     * fixed worker list, no worker could ever serve its requests.
     */
    private void checkWorkersExist(
            BlockDeclaration declaration,
            Field<List<String>> bound,
            String name,
            Field<String> ofWorker) {
        final Set<String> known = new LinkedHashSet<>();
        blocks.all(WorkerSchema.WORKER).forEach(worker -> known.add(worker.get(ofWorker)));
        for (final String wanted : declaration.get(bound)) {
            if (!known.isEmpty() && !known.contains(wanted)) {
                addProblem(
                        declaration.at(bound),
                        name
                                + ": no worker has "
                                + ofWorker.name()
                                + " "
                                + Values.quoted(wanted)
                                + "; workers have "
                                + Schema.quotedList(List.copyOf(known)));
            }
        }
    }

    private void checkObjective(BlockDeclaration objective) {
        if (objective.get(JobClassSchema.ALL_REQUESTS_WEIGHT)
                        + objective.get(JobClassSchema.WORST_WINDOW_WEIGHT)
                        + objective.get(JobClassSchema.WORST_CLASS_WEIGHT)
                <= 0) {
            addProblem(objective.at(), "goal: all weights are 0; at least one must be above 0");
        }
    }

    private void checkBodies(BlockDeclaration bodies) {
        checkAtMost(bodies, BodiesSchema.WINDOW, "budget", bodies.get(BodiesSchema.BUDGET));
        checkAtMost(bodies, BodiesSchema.MAX_PER_CLIENT, "budget", bodies.get(BodiesSchema.BUDGET));
        checkAtMost(
                bodies,
                BodiesSchema.WINDOW,
                "of_a_client",
                bodies.get(BodiesSchema.MAX_PER_CLIENT));
        checkAtMost(
                bodies,
                BodiesSchema.MAX_SPOOL,
                "window + lent",
                bodies.get(BodiesSchema.WINDOW) + bodies.get(BodiesSchema.MAX_LENT));
    }

    private void checkAtMost(BlockDeclaration bodies, Field<Long> field, String bound, long max) {
        if (bodies.get(field) > max) {
            addProblem(
                    bodies.at(field),
                    "bodies: "
                            + field.name()
                            + " "
                            + field.format(bodies.get(field))
                            + " is above "
                            + bound
                            + ", which is "
                            + field.format(max));
        }
    }

    private void addProblem(Position at, String message) {
        problems.add(new Problem(at, message));
    }
}
