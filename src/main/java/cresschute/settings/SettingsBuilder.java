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

/** Builds the typed settings from the declarations of a script without problems. */
final class SettingsBuilder {

    private final BlockDeclarations blocks;

    SettingsBuilder(BlockDeclarations blocks) {
        this.blocks = blocks;
    }

    NodeSettings build() {
        final BlockDeclaration node = blocks.single(NodeSchema.NODE);
        final BlockDeclaration limits = blocks.single(NodeSchema.LIMITS);
        final BlockDeclaration discovery =
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
        final BlockDeclaration declaration = blocks.single(PeersSchema.PEERS);
        return new Peers(
                declaration.get(PeersSchema.PEERS_LISTEN),
                declaration.get(PeersSchema.PEERS_ADDRESSES),
                declaration.get(PeersSchema.PEERS_KEY_FILE),
                declaration.get(PeersSchema.PEERS_BYTES_PER_SECOND));
    }

    /** Whether a class allows streamed bodies or streamed results. */
    static boolean allowsStreaming(BlockDeclaration jobClass) {
        return jobClass.get(JobClassSchema.MAX_BODY) > JobClassSchema.MAX_BODY.defaultValue()
                || jobClass.get(JobClassSchema.LONG_RESULTS);
    }

    private Bodies bodies() {
        if (blocks.all(JobClassSchema.JOB_CLASS).stream()
                .noneMatch(SettingsBuilder::allowsStreaming)) {
            return null;
        }
        final BlockDeclaration declaration = blocks.single(BodiesSchema.BODIES);
        return new Bodies(
                declaration.get(BodiesSchema.BUDGET),
                declaration.get(BodiesSchema.WINDOW),
                declaration.get(BodiesSchema.MAX_LENT),
                declaration.get(BodiesSchema.MAX_SPOOL),
                declaration.get(BodiesSchema.MAX_PER_CLIENT),
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
     * All distinct names that the node, the workers and the request classes use, in that order, and
     * within each group in the order of the script.
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
            List<String> zones, List<String> kinds, BlockDeclaration discovery) {
        final BlockDeclaration limits = blocks.single(NodeSchema.LIMITS);
        final BlockDeclaration reports = blocks.single(WorkerSchema.REPORTS);
        final BlockDeclaration slowStart = blocks.single(WorkerSchema.COLD_START);
        final BlockDeclaration objective = blocks.single(JobClassSchema.OBJECTIVE);
        final List<RequestClass> classes = new ArrayList<>();
        for (final BlockDeclaration each : blocks.all(JobClassSchema.JOB_CLASS)) {
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

    /** The lower of the class's own limit and the limit for all classes. */
    private long maxAttempts(BlockDeclaration jobClass) {
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

    @SuppressWarnings("ReferenceEquality") // Each block is a single constant of the schema.
    private String formatted() {
        final StringBuilder out = new StringBuilder();
        for (final Block block : Schema.BLOCKS) {
            final boolean optional =
                    block.max() == 1 && block.fields().stream().noneMatch(Field::required);
            for (final BlockDeclaration declaration :
                    blocks.all(block).isEmpty() && optional
                            ? List.of(BlockDeclaration.ofDefaults(block))
                            : blocks.all(block)) {
                final Map<String, Object> values = new HashMap<>(declaration.values());
                values.computeIfPresent(
                        JobClassSchema.CLASS_MAX_ATTEMPTS.name(),
                        (name, own) ->
                                block == JobClassSchema.JOB_CLASS ? maxAttempts(declaration) : own);
                out.append(out.isEmpty() ? "" : "\n").append(Schema.formatBlock(block, values));
            }
        }
        return out.toString();
    }
}
