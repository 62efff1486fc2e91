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
import cresschute.settings.NodeSettings.Bodies;
import cresschute.settings.NodeSettings.ClassBodies;
import cresschute.settings.NodeSettings.Peers;
import cresschute.settings.NodeSettings.WorkerEntry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** Builds the typed settings from the statements of a script in which nothing is wrong. */
final class SettingsBuilder {

    private final StatedBlocks blocks;

    SettingsBuilder(StatedBlocks blocks) {
        this.blocks = blocks;
    }

    NodeSettings build() {
        final Statement node = blocks.single(NodeSchema.NODE);
        final Statement limits = blocks.single(NodeSchema.LIMITS);
        final Statement discovery =
                blocks.all(WorkerSchema.DISCOVERY).isEmpty()
                        ? null
                        : blocks.single(WorkerSchema.DISCOVERY);
        final List<String> zones =
                names(
                        node.get(NodeSchema.NODE_ZONE),
                        WorkerSchema.WORKER_ZONE,
                        JobClassSchema.CLASS_ZONES);
        final List<String> kinds =
                names(null, WorkerSchema.WORKER_KIND, JobClassSchema.CLASS_KINDS);
        final List<WorkerEntry> workers =
                blocks.all(WorkerSchema.WORKER).stream()
                        .map(
                                worker ->
                                        new WorkerEntry(
                                                worker.get(WorkerSchema.WORKER_ID),
                                                worker.get(WorkerSchema.WORKER_ADDRESS),
                                                worker.get(WorkerSchema.WORKER_ZONE),
                                                worker.get(WorkerSchema.WORKER_KIND),
                                                worker.get(WorkerSchema.WORKER_CELL).intValue(),
                                                worker.get(WorkerSchema.WORKER_WEIGHT)))
                        .toList();
        return new NodeSettings(
                node.get(NodeSchema.NODE_NAME),
                node.get(NodeSchema.NODE_LISTEN),
                node.get(NodeSchema.SEED),
                dispatchSettings(zones, kinds, discovery),
                blocks.all(JobClassSchema.JOB_CLASS).stream()
                        .map(each -> each.get(JobClassSchema.CLASS_NAME))
                        .toList(),
                zones,
                kinds,
                workers,
                discovery == null ? null : discovery.get(WorkerSchema.DISCOVERY_ADDRESS),
                limits.get(NodeSchema.CONNECT_TIMEOUT),
                limits.get(NodeSchema.IDLE_TIMEOUT),
                limits.get(NodeSchema.MAX_SOCKETS).intValue(),
                blocks.single(NodeSchema.LOGS).get(NodeSchema.LOG_FORMAT),
                blocks.single(NodeSchema.LOGS).get(NodeSchema.LOG_LEVEL),
                blocks.single(NodeSchema.CONTROL).get(NodeSchema.CONTROL_SOCKET),
                blocks.single(NodeSchema.STATE).get(NodeSchema.STATE_FOLDER),
                bodies(),
                peers(),
                formatted());
    }

    private Peers peers() {
        if (blocks.all(PeersSchema.PEERS).isEmpty()) {
            return null;
        }
        final Statement stated = blocks.single(PeersSchema.PEERS);
        return new Peers(
                stated.get(PeersSchema.PEERS_LISTEN),
                stated.get(PeersSchema.PEERS_ADDRESSES),
                stated.get(PeersSchema.PEERS_KEY_FILE),
                stated.get(PeersSchema.PEERS_BYTES_PER_SECOND));
    }

    /** Whether a class allows bodies that are streamed, or such results. */
    static boolean isStreamed(Statement jobClass) {
        return jobClass.get(JobClassSchema.MAX_BODY) > JobClassSchema.MAX_BODY.defaultValue()
                || jobClass.get(JobClassSchema.LONG_RESULTS);
    }

    private Bodies bodies() {
        if (blocks.all(JobClassSchema.JOB_CLASS).stream().noneMatch(SettingsBuilder::isStreamed)) {
            return null;
        }
        final Statement stated = blocks.single(BodiesSchema.BODIES);
        return new Bodies(
                stated.get(BodiesSchema.BUDGET),
                stated.get(BodiesSchema.WINDOW),
                stated.get(BodiesSchema.MAX_LENT),
                stated.get(BodiesSchema.MAX_SPOOL),
                stated.get(BodiesSchema.MAX_PER_CLIENT),
                blocks.all(JobClassSchema.JOB_CLASS).stream()
                        .map(
                                each ->
                                        new ClassBodies(
                                                each.get(JobClassSchema.MAX_BODY),
                                                each.get(JobClassSchema.MIN_RATE),
                                                each.get(JobClassSchema.MAX_STALL),
                                                each.get(JobClassSchema.LONG_RESULTS),
                                                each.get(JobClassSchema.DEADLINE_BYTE)
                                                        .equals("first")))
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
        blocks.all(WorkerSchema.WORKER).forEach(worker -> names.add(worker.get(ofWorkers)));
        blocks.all(JobClassSchema.JOB_CLASS).forEach(each -> names.addAll(each.get(ofClasses)));
        return List.copyOf(names);
    }

    private DispatchSettings dispatchSettings(
            List<String> zones, List<String> kinds, Statement discovery) {
        final Statement limits = blocks.single(NodeSchema.LIMITS);
        final Statement reports = blocks.single(WorkerSchema.REPORTS);
        final Statement slowStart = blocks.single(WorkerSchema.COLD_START);
        final Statement objective = blocks.single(JobClassSchema.OBJECTIVE);
        final List<RequestClass> classes = new ArrayList<>();
        for (final Statement each : blocks.all(JobClassSchema.JOB_CLASS)) {
            classes.add(
                    new RequestClass(
                            each.get(JobClassSchema.PRIORITY_WEIGHT),
                            each.get(JobClassSchema.LATENCY_OBJECTIVE),
                            each.get(JobClassSchema.STRETCH),
                            each.get(JobClassSchema.DEADLINE),
                            idempotency(each.get(JobClassSchema.IDEMPOTENCY)),
                            deduplicationScope(each.get(JobClassSchema.DEDUPLICATION_SCOPE)),
                            each.get(JobClassSchema.DEDUPLICATION_WINDOW),
                            new Placement(
                                    indexes(each.get(JobClassSchema.CLASS_ZONES), zones),
                                    indexes(each.get(JobClassSchema.CLASS_KINDS), kinds)),
                            (int) maxAttempts(each)));
        }
        return new DispatchSettings(
                blocks.single(NodeSchema.NODE).get(NodeSchema.DISPATCHERS).intValue(),
                zones.indexOf(blocks.single(NodeSchema.NODE).get(NodeSchema.NODE_ZONE)),
                zones.size(),
                Math.max(1, kinds.size()),
                classes,
                List.of(),
                1,
                false,
                new AttemptLimits(
                        limits.get(NodeSchema.MAX_ATTEMPTS).intValue(),
                        limits.get(NodeSchema.MAX_RETRY_AFTER),
                        limits.get(NodeSchema.HEDGED_REQUESTS)),
                new SlowStartSettings(
                        slowStart.get(WorkerSchema.INITIAL_CAPACITY_FRACTION),
                        slowStart.get(WorkerSchema.WARM_UP_DURATION),
                        slowStart.get(WorkerSchema.OVERLOAD_FACTOR),
                        slowStart.get(WorkerSchema.OVERLOAD_AFTER)),
                new ObjectiveWeights(
                        objective.get(JobClassSchema.ALL_REQUESTS_WEIGHT),
                        objective.get(JobClassSchema.WORST_WINDOW_WEIGHT),
                        objective.get(JobClassSchema.WORST_CLASS_WEIGHT),
                        0),
                discovery != null,
                discovery == null ? 0 : discovery.get(WorkerSchema.POLL_WITHIN),
                WeightSource.NONE,
                reports.get(WorkerSchema.REPORTS_LOAD),
                reports.get(WorkerSchema.REPORTS_JOB_START),
                reports.get(WorkerSchema.PROGRESS_INTERVAL),
                0,
                limits.get(NodeSchema.LOAD_QUERIES),
                false,
                0,
                false,
                DispatchSettings.UNLIMITED);
    }

    /** Of a class's bound and that of all classes the lower one holds. */
    private long maxAttempts(Statement jobClass) {
        return Math.min(
                jobClass.get(JobClassSchema.CLASS_MAX_ATTEMPTS),
                blocks.single(NodeSchema.LIMITS).get(NodeSchema.MAX_ATTEMPTS));
    }

    private static Idempotency idempotency(String word) {
        return switch (word) {
            case "safe" -> Idempotency.SAFE;
            case "keyed" -> Idempotency.KEYED;
            case "unsafe" -> Idempotency.UNSAFE;
            default -> throw new IllegalArgumentException("there is no effect '" + word + "'");
        };
    }

    private static DeduplicationScope deduplicationScope(String word) {
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default ->
                    throw new IllegalArgumentException("there is no repeat scope '" + word + "'");
        };
    }

    private static List<Integer> indexes(List<String> names, List<String> all) {
        return names.isEmpty() ? null : names.stream().map(all::indexOf).toList();
    }

    @SuppressWarnings("ReferenceEquality") // Each block is one constant of the schema.
    private String formatted() {
        final StringBuilder out = new StringBuilder();
        for (final Block block : Schema.BLOCKS) {
            final boolean optional =
                    block.max() == 1 && block.fields().stream().noneMatch(Field::required);
            for (final Statement statement :
                    blocks.all(block).isEmpty() && optional
                            ? List.of(Statement.unstated(block))
                            : blocks.all(block)) {
                final Map<String, Object> values = new HashMap<>(statement.values());
                values.computeIfPresent(
                        JobClassSchema.CLASS_MAX_ATTEMPTS.name(),
                        (name, own) ->
                                block == JobClassSchema.JOB_CLASS ? maxAttempts(statement) : own);
                out.append(out.isEmpty() ? "" : "\n").append(Schema.show(block, values));
            }
        }
        return out.toString();
    }
}
