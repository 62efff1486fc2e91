package cresschute.settings;

import cresschute.dispatch.AttemptLimits;
import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.ObjectiveWeights;
import cresschute.dispatch.Placement;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.SlowStartSettings;
import cresschute.dispatch.WeightSource;
import cresschute.settings.ApplianceSettings.Bodies;
import cresschute.settings.ApplianceSettings.ClassBodies;
import cresschute.settings.ApplianceSettings.Peers;
import cresschute.settings.ApplianceSettings.WorkerEntry;
import cresschute.settings.script.Position;
import cresschute.settings.script.Values;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * What must hold between the parts of a script, and the settings that it makes where all of that
 * holds.
 */
final class SettingsChecks {

    /**
     * What a peer costs at the least, bytes a second: a message without entries, and room for a
     * few.
     */
    private static final long MIN_BYTES_PER_S_PER_PEER = 100;

    private final Map<String, List<Statement>> stated;
    private final List<Problem> problems;
    private final UnaryOperator<String> keyProblem;

    /**
     * Checks on what is stated; {@code keyProblem} tells what is wrong with a key file, or null.
     */
    SettingsChecks(
            Map<String, List<Statement>> stated,
            List<Problem> problems,
            UnaryOperator<String> keyProblem) {
        this.stated = stated;
        this.problems = problems;
        this.keyProblem = keyProblem;
    }

    /** Adds to the problems; {@code complete} where the script ran to its end. */
    void check(boolean complete) {
        if (complete) {
            for (final Block block : Schema.BLOCKS) {
                if (all(block).size() < block.least()) {
                    problem(
                            Position.START,
                            "no "
                                    + block.name()
                                    + " is stated; "
                                    + (block.most() == 1 ? "exactly one" : "at least one")
                                    + " is required");
                }
            }
            if (all(Schema.WORKER).isEmpty() && all(Schema.DIRECTOR).isEmpty()) {
                problem(
                        Position.START,
                        "neither a worker nor a director is stated; jobs would have nowhere to go");
            }
        }
        unique(all(Schema.JOB_CLASS), Schema.CLASS_NAME);
        unique(all(Schema.WORKER), Schema.WORKER_ID);
        unique(all(Schema.WORKER), Schema.WORKER_ADDRESS);
        all(Schema.JOB_CLASS).stream().filter(Statement::isWhole).forEach(this::jobClass);
        all(Schema.GOAL).stream().filter(Statement::isWhole).forEach(this::goal);
        all(Schema.BODIES).stream().filter(Statement::isWhole).forEach(this::bodies);
        all(Schema.PEERS).stream().filter(Statement::isWhole).forEach(this::peers);
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
        final String name = "job_class " + Values.quoted(stated.get(Schema.CLASS_NAME));
        if (stated.get(Schema.DEADLINE) < stated.get(Schema.AIM)) {
            problem(
                    stated.at(Schema.DEADLINE),
                    name
                            + ": deadline "
                            + Schema.DEADLINE.show(stated.get(Schema.DEADLINE))
                            + " is below aim "
                            + Schema.AIM.show(stated.get(Schema.AIM))
                            + "; clients would leave before an answer in time");
        }
        if (isLong(stated) && stated.get(Schema.STALL) > stated.get(Schema.DEADLINE)) {
            problem(
                    stated.at(Schema.STALL),
                    name
                            + ": stall "
                            + Schema.STALL.show(stated.get(Schema.STALL))
                            + " is above deadline "
                            + Schema.DEADLINE.show(stated.get(Schema.DEADLINE))
                            + "; it would never count");
        }
        final boolean keyed = stated.get(Schema.EFFECT).equals("keyed");
        if (keyed && stated.get(Schema.REPEAT_WINDOW) == 0) {
            problem(
                    stated.at(Schema.EFFECT),
                    name
                            + ": effect \"keyed\" needs repeat_window; allowed: "
                            + Schema.REPEAT_WINDOW.kind().allowed());
        }
        for (final Field<?> field : List.of(Schema.REPEAT_WINDOW, Schema.REPEAT_SCOPE)) {
            if (!keyed && !stated.get(field).equals(field.otherwise())) {
                problem(
                        stated.at(field),
                        name
                                + ": "
                                + field.name()
                                + " is for effect \"keyed\"; here effect is "
                                + Values.quoted(stated.get(Schema.EFFECT)));
            }
        }
        final Statement limits = one(Schema.LIMITS);
        if (stated.gives(Schema.CLASS_ATTEMPTS)
                && stated.get(Schema.CLASS_ATTEMPTS) > limits.get(Schema.ATTEMPTS)) {
            problem(
                    stated.at(Schema.CLASS_ATTEMPTS),
                    name
                            + ": attempts "
                            + stated.get(Schema.CLASS_ATTEMPTS)
                            + " is above the "
                            + limits.get(Schema.ATTEMPTS)
                            + " that limits allows");
        }
        if (all(Schema.DIRECTOR).isEmpty()) {
            held(stated, Schema.CLASS_ZONES, name, Schema.WORKER_ZONE);
            held(stated, Schema.CLASS_KINDS, name, Schema.WORKER_KIND);
        }
    }

    /** With a fixed list, a class that is bound to what no worker is could never be served. */
    private void held(
            Statement stated, Field<List<String>> bound, String name, Field<String> ofWorker) {
        final Set<String> known = new LinkedHashSet<>();
        all(Schema.WORKER).forEach(worker -> known.add(worker.get(ofWorker)));
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

    private void goal(Statement goal) {
        if (goal.get(Schema.WHOLE) + goal.get(Schema.WORST_WINDOW) + goal.get(Schema.WORST_CLASS)
                <= 0) {
            problem(goal.at(), "goal: all weights are 0; at least one must be above 0");
        }
    }

    private void bodies(Statement bodies) {
        atMost(bodies, Schema.WINDOW, "budget", bodies.get(Schema.BUDGET));
        atMost(bodies, Schema.OF_A_CLIENT, "budget", bodies.get(Schema.BUDGET));
        atMost(bodies, Schema.WINDOW, "of_a_client", bodies.get(Schema.OF_A_CLIENT));
        atMost(
                bodies,
                Schema.SPOOL,
                "window + lent",
                bodies.get(Schema.WINDOW) + bodies.get(Schema.LENT));
    }

    private void atMost(Statement bodies, Field<Long> field, String bound, long most) {
        if (bodies.get(field) > most) {
            problem(
                    bodies.at(field),
                    "bodies: "
                            + field.name()
                            + " "
                            + field.show(bodies.get(field))
                            + " is above "
                            + bound
                            + ", which is "
                            + field.show(most));
        }
    }

    private void peers(Statement peers) {
        peerAddresses(peers, peers.get(Schema.PEERS_ADDRESSES));
        final int count = peers.get(Schema.PEERS_ADDRESSES).size();
        final long bytesPerS = peers.get(Schema.PEERS_BYTES_PER_SECOND);
        if (bytesPerS < MIN_BYTES_PER_S_PER_PEER * count) {
            problem(
                    peers.at(Schema.PEERS_BYTES_PER_SECOND),
                    "peers: bytes_per_second "
                            + bytesPerS
                            + " is below "
                            + MIN_BYTES_PER_S_PER_PEER
                            + " for each of "
                            + count
                            + " peers, which is "
                            + MIN_BYTES_PER_S_PER_PEER * count);
        }
        final String file = peers.get(Schema.PEERS_KEY_FILE);
        final String wrong = keyProblem.apply(file);
        if (wrong != null) {
            problem(
                    peers.at(Schema.PEERS_KEY_FILE),
                    "peers: key_file "
                            + Values.quoted(file)
                            + " "
                            + wrong
                            + "; it must hold at least "
                            + SettingsFile.MIN_KEY_BYTES
                            + " bytes");
        }
        if (!one(Schema.LIMITS).get(Schema.PROBES) || !one(Schema.REPORTS).get(Schema.LOAD)) {
            problem(
                    peers.at(),
                    "peers: needs limits(probes = True) and reports(load = True); a worker is "
                            + "asked itself wherever the peers' counts are not whole");
        }
        final long dispatchers = one(Schema.NODE).get(Schema.DISPATCHERS);
        if (dispatchers != count + 1) {
            problem(
                    peers.at(Schema.PEERS_ADDRESSES),
                    "peers: addresses names "
                            + count
                            + " peers, but node has dispatchers = "
                            + dispatchers
                            + "; with this one there are "
                            + (count + 1));
        }
    }

    private void peerAddresses(Statement peers, List<InetSocketAddress> addresses) {
        final Position at = peers.at(Schema.PEERS_ADDRESSES);
        if (addresses.isEmpty()) {
            problem(at, "peers: addresses is empty; leave the block out where there are no peers");
        }
        final InetSocketAddress own = peers.get(Schema.PEERS_LISTEN);
        if (addresses.contains(own)) {
            problem(
                    at,
                    "peers: addresses has "
                            + Values.quoted(IpAddress.format(own))
                            + ", which is this dispatcher's own listen; only the others belong"
                            + " there");
        }
        final Set<InetSocketAddress> seen = new HashSet<>();
        for (final InetSocketAddress each : addresses) {
            if (!seen.add(each)) {
                problem(
                        at,
                        "peers: addresses has " + Values.quoted(IpAddress.format(each)) + " twice");
            }
        }
        if (own.getPort() == 0 || addresses.stream().anyMatch(each -> each.getPort() == 0)) {
            problem(peers.at(), "peers: port 0 is no port that others could send to");
        }
    }

    private void problem(Position at, String message) {
        problems.add(new Problem(at, message));
    }

    private List<Statement> all(Block block) {
        return stated.get(block.name());
    }

    private Statement one(Block block) {
        return all(block).isEmpty() ? Statement.unstated(block) : all(block).get(0);
    }

    // ---- The settings ----

    ApplianceSettings settings() {
        final Statement node = one(Schema.NODE);
        final Statement limits = one(Schema.LIMITS);
        final Statement director = all(Schema.DIRECTOR).isEmpty() ? null : one(Schema.DIRECTOR);
        final List<String> zones =
                names(node.get(Schema.NODE_ZONE), Schema.WORKER_ZONE, Schema.CLASS_ZONES);
        final List<String> kinds = names(null, Schema.WORKER_KIND, Schema.CLASS_KINDS);
        final List<WorkerEntry> workers =
                all(Schema.WORKER).stream()
                        .map(
                                worker ->
                                        new WorkerEntry(
                                                worker.get(Schema.WORKER_ID),
                                                worker.get(Schema.WORKER_ADDRESS),
                                                worker.get(Schema.WORKER_ZONE),
                                                worker.get(Schema.WORKER_KIND),
                                                worker.get(Schema.WORKER_CELL).intValue(),
                                                worker.get(Schema.WORKER_WEIGHT)))
                        .toList();
        return new ApplianceSettings(
                node.get(Schema.NODE_NAME),
                node.get(Schema.LISTEN),
                node.get(Schema.SEED),
                module(zones, kinds, director),
                all(Schema.JOB_CLASS).stream().map(each -> each.get(Schema.CLASS_NAME)).toList(),
                zones,
                kinds,
                workers,
                director == null ? null : director.get(Schema.DIRECTOR_ADDRESS),
                limits.get(Schema.CONNECT_TIMEOUT),
                limits.get(Schema.IDLE_TIMEOUT),
                limits.get(Schema.SOCKETS).intValue(),
                one(Schema.LOGS).get(Schema.LOG_FORMAT),
                one(Schema.LOGS).get(Schema.LOG_LEVEL),
                one(Schema.CONTROL).get(Schema.SOCKET),
                one(Schema.STATE).get(Schema.FOLDER),
                bodies(),
                peers(),
                shown());
    }

    private Peers peers() {
        if (all(Schema.PEERS).isEmpty()) {
            return null;
        }
        final Statement stated = one(Schema.PEERS);
        return new Peers(
                stated.get(Schema.PEERS_LISTEN),
                stated.get(Schema.PEERS_ADDRESSES),
                stated.get(Schema.PEERS_KEY_FILE),
                stated.get(Schema.PEERS_BYTES_PER_SECOND));
    }

    private static boolean isLong(Statement jobClass) {
        return jobClass.get(Schema.LONGEST_BODY) > Schema.LONGEST_BODY.otherwise()
                || jobClass.get(Schema.LONG_RESULTS);
    }

    private Bodies bodies() {
        if (all(Schema.JOB_CLASS).stream().noneMatch(SettingsChecks::isLong)) {
            return null;
        }
        final Statement stated = one(Schema.BODIES);
        return new Bodies(
                stated.get(Schema.BUDGET),
                stated.get(Schema.WINDOW),
                stated.get(Schema.LENT),
                stated.get(Schema.SPOOL),
                stated.get(Schema.OF_A_CLIENT),
                all(Schema.JOB_CLASS).stream()
                        .map(
                                each ->
                                        new ClassBodies(
                                                each.get(Schema.LONGEST_BODY),
                                                each.get(Schema.LEAST_RATE),
                                                each.get(Schema.STALL),
                                                each.get(Schema.LONG_RESULTS),
                                                each.get(Schema.DEADLINE_TO).equals("first")))
                        .toList());
    }

    /**
     * All names that a node, its workers and its classes use, each once, in the order of the
     * script.
     */
    private List<String> names(
            String first, Field<String> ofWorkers, Field<List<String>> ofClasses) {
        final Collection<String> names = new LinkedHashSet<>();
        if (first != null) {
            names.add(first);
        }
        all(Schema.WORKER).forEach(worker -> names.add(worker.get(ofWorkers)));
        all(Schema.JOB_CLASS).forEach(each -> names.addAll(each.get(ofClasses)));
        return List.copyOf(names);
    }

    private DispatchSettings module(List<String> zones, List<String> kinds, Statement director) {
        final Statement limits = one(Schema.LIMITS);
        final Statement reports = one(Schema.REPORTS);
        final Statement cold = one(Schema.COLD_START);
        final Statement goal = one(Schema.GOAL);
        final List<RequestClass> classes = new ArrayList<>();
        for (final Statement each : all(Schema.JOB_CLASS)) {
            classes.add(
                    new RequestClass(
                            each.get(Schema.WORTH),
                            each.get(Schema.AIM),
                            each.get(Schema.STRETCH),
                            each.get(Schema.DEADLINE),
                            effect(each.get(Schema.EFFECT)),
                            repeatScope(each.get(Schema.REPEAT_SCOPE)),
                            each.get(Schema.REPEAT_WINDOW),
                            new Placement(
                                    numbers(each.get(Schema.CLASS_ZONES), zones),
                                    numbers(each.get(Schema.CLASS_KINDS), kinds)),
                            (int) attempts(each)));
        }
        return new DispatchSettings(
                one(Schema.NODE).get(Schema.DISPATCHERS).intValue(),
                zones.indexOf(one(Schema.NODE).get(Schema.NODE_ZONE)),
                zones.size(),
                Math.max(1, kinds.size()),
                classes,
                List.of(),
                1,
                false,
                new AttemptLimits(
                        limits.get(Schema.ATTEMPTS).intValue(),
                        limits.get(Schema.RETRY_AFTER),
                        limits.get(Schema.SECOND_COPIES)),
                new SlowStartSettings(
                        cold.get(Schema.FROM_SHARE),
                        cold.get(Schema.WARM_WITHIN),
                        cold.get(Schema.OVERLOAD),
                        cold.get(Schema.TIP_AFTER)),
                new ObjectiveWeights(
                        goal.get(Schema.WHOLE),
                        goal.get(Schema.WORST_WINDOW),
                        goal.get(Schema.WORST_CLASS),
                        0),
                director != null,
                director == null ? 0 : director.get(Schema.ASK_WITHIN),
                WeightSource.NONE,
                reports.get(Schema.LOAD),
                reports.get(Schema.STARTS),
                reports.get(Schema.PROGRESS),
                0,
                limits.get(Schema.PROBES),
                false,
                0,
                false,
                DispatchSettings.UNLIMITED);
    }

    /** Of a class's bound and that of all classes the lower one holds. */
    private long attempts(Statement jobClass) {
        return Math.min(
                jobClass.get(Schema.CLASS_ATTEMPTS), one(Schema.LIMITS).get(Schema.ATTEMPTS));
    }

    private static Idempotency effect(String word) {
        return switch (word) {
            case "safe" -> Idempotency.SAFE;
            case "keyed" -> Idempotency.KEYED;
            case "unsafe" -> Idempotency.UNSAFE;
            default -> throw new IllegalArgumentException("there is no effect '" + word + "'");
        };
    }

    private static DeduplicationScope repeatScope(String word) {
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default ->
                    throw new IllegalArgumentException("there is no repeat scope '" + word + "'");
        };
    }

    private static List<Integer> numbers(List<String> names, List<String> all) {
        return names.isEmpty() ? null : names.stream().map(all::indexOf).toList();
    }

    @SuppressWarnings("ReferenceEquality") // Each block is one constant of the schema.
    private String shown() {
        final StringBuilder out = new StringBuilder();
        for (final Block block : Schema.BLOCKS) {
            final boolean optional =
                    block.most() == 1 && block.fields().stream().noneMatch(Field::required);
            for (final Statement statement :
                    all(block).isEmpty() && optional
                            ? List.of(Statement.unstated(block))
                            : all(block)) {
                final Map<String, Object> values = new HashMap<>(statement.values());
                values.computeIfPresent(
                        Schema.CLASS_ATTEMPTS.name(),
                        (name, own) -> block == Schema.JOB_CLASS ? attempts(statement) : own);
                out.append(out.isEmpty() ? "" : "\n").append(Schema.show(block, values));
            }
        }
        return out.toString();
    }
}
