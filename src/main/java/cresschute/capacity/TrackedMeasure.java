package cresschute.capacity;

import static cresschute.capacity.MeasureKind.MEMORY;
import static cresschute.capacity.MeasureKind.MESSAGES;
import static cresschute.capacity.MeasureKind.PROCESSOR;
import static cresschute.capacity.MeasureKind.PROCESSOR_WITHOUT_REQUESTS;
import static cresschute.capacity.MeasureKind.SERVICE;

import java.util.Optional;

/**
 * The measures on the capacity page: the role that bears the cost, the unit, the limit if one is
 * stated, and the class that causes or bounds the cost.
 */
public enum TrackedMeasure {

    /** Requests that clients send. */
    CLIENT_REQUESTS(
            Role.CLIENT, "requests_per_second", MESSAGES, "a second", null, "ClientListener"),
    /** Fraction of the requests that was rejected. */
    CLIENT_REJECTED_FRACTION(Role.CLIENT, "refused_share", SERVICE, "share", null, "Dispatcher"),
    /** Requests that got no answer. */
    CLIENT_UNANSWERED(
            Role.CLIENT,
            "unanswered",
            SERVICE,
            "requests",
            Limits.NONE_ALLOWED,
            "RequestLifecycle"),
    /** Time until an urgent request starts, median. */
    CLIENT_URGENT_P50(
            Role.CLIENT, "urgent_start_p50_ms", SERVICE, "ms", Limits.URGENT, "Dispatcher"),
    /** Time until an urgent request starts, 99th percentile. */
    CLIENT_URGENT_P99(
            Role.CLIENT, "urgent_start_p99_ms", SERVICE, "ms", Limits.URGENT, "Dispatcher"),
    /** Time until an urgent request starts, 99.9th percentile. */
    CLIENT_URGENT_P999(
            Role.CLIENT, "urgent_start_p999_ms", SERVICE, "ms", Limits.URGENT, "Dispatcher"),
    /** Gangs of which all requests were admitted. */
    CLIENT_GANGS_COMPLETE(Role.CLIENT, "gangs_whole", SERVICE, "gangs", null, Mechanism.MISSING),
    /** Gangs of which only some requests were admitted, whose work is useless. */
    CLIENT_GANGS_PARTIAL(
            Role.CLIENT, "gangs_partial", SERVICE, "gangs", Limits.NONE_ALLOWED, Mechanism.MISSING),
    /** Gangs of which no request was admitted. */
    CLIENT_GANGS_REJECTED(Role.CLIENT, "gangs_refused", SERVICE, "gangs", null, Mechanism.MISSING),
    /** Retries by clients. */
    CLIENT_RETRIES(
            Role.CLIENT, "retries_per_request", SERVICE, "a request", null, "RetryAfterHeader"),

    /** Processor time of a dispatcher. */
    DISPATCHER_CPU(
            Role.DISPATCHER,
            "cpu_percent",
            PROCESSOR,
            "% of a core",
            Limits.ONE_CORE,
            "NodeServer"),
    /** Processor time of a dispatcher without requests. */
    DISPATCHER_CONTROL_CPU(
            Role.DISPATCHER,
            "cpu_percent",
            PROCESSOR_WITHOUT_REQUESTS,
            "% of a core",
            Limits.CONTROL_CPU,
            "NodeServer"),
    /** Highest processor time of a dispatcher. */
    DISPATCHER_CPU_MAX(
            Role.DISPATCHER,
            "cpu_percent_max",
            PROCESSOR,
            "% of a core",
            Limits.ONE_CORE,
            "NodeServer"),
    /** Heap in use at a dispatcher. */
    DISPATCHER_HEAP(Role.DISPATCHER, "heap_mb", MEMORY, "MB", Limits.HEAP, "RequestLifecycle"),
    /** Resident memory of a dispatcher process. */
    DISPATCHER_RSS(Role.DISPATCHER, "rss_mb", MEMORY, "MB", Limits.CONTROL_MEMORY, "NodeServer"),
    /** Highest resident memory of a dispatcher. */
    DISPATCHER_RSS_MAX(
            Role.DISPATCHER, "rss_mb_max", MEMORY, "MB", Limits.CONTROL_MEMORY, "NodeServer"),
    /** Open descriptors of a dispatcher. */
    DISPATCHER_DESCRIPTORS(
            Role.DISPATCHER,
            "descriptors",
            MEMORY,
            "descriptors",
            Limits.DESCRIPTORS,
            "WorkerConnectionPool"),
    /** Bytes of control traffic: everything but requests, their progress lines and responses. */
    DISPATCHER_CONTROL_BYTES(
            Role.DISPATCHER,
            "control_bytes_per_second",
            MESSAGES,
            "bytes a second",
            Limits.CONTROL_BYTES,
            "WorkerConnectionPool"),
    /** Bytes of load queries and their responses. */
    DISPATCHER_LOAD_QUERY_BYTES(
            Role.DISPATCHER,
            "probe_bytes_per_second",
            MESSAGES,
            "bytes a second",
            null,
            "HttpLoadQuery"),
    /** Load queries sent. */
    DISPATCHER_LOAD_QUERIES(
            Role.DISPATCHER, "probes_per_second", MESSAGES, "a second", null, "HttpLoadQuery"),
    /** Connections that a dispatcher opens. */
    DISPATCHER_HANDSHAKES(
            Role.DISPATCHER,
            "handshake_per_second",
            MESSAGES,
            "a second",
            null,
            "WorkerConnectionPool"),
    /** Bytes of the endpoint list. */
    DISPATCHER_LIST_BYTES(
            Role.DISPATCHER,
            "list_bytes_per_second",
            MESSAGES,
            "bytes a second",
            null,
            "DiscoveryClient"),
    /** Bytes of load reports. */
    DISPATCHER_REPORT_BYTES(
            Role.DISPATCHER,
            "report_bytes_per_second",
            MESSAGES,
            "bytes a second",
            null,
            "LoadReportParser"),
    /** Attempts sent to workers. */
    DISPATCHER_ATTEMPTS(
            Role.DISPATCHER,
            "attempts_per_second",
            MESSAGES,
            "a second",
            null,
            "WorkerConnectionPool"),
    /** Bytes of requests to workers, head and body, and of the response heads. */
    DISPATCHER_REQUEST_BYTES(
            Role.DISPATCHER,
            "request_bytes_per_second",
            MESSAGES,
            "bytes a second",
            null,
            "WorkerConnectionPool"),
    /** Bytes of progress lines that report a start. */
    DISPATCHER_START_BYTES(
            Role.DISPATCHER,
            "start_line_bytes_per_second",
            MESSAGES,
            "bytes a second",
            null,
            "ProgressLine"),
    /** Bytes of progress lines that report progress. */
    DISPATCHER_PROGRESS_BYTES(
            Role.DISPATCHER,
            "progress_line_bytes_per_second",
            MESSAGES,
            "bytes a second",
            null,
            "ProgressLine"),
    /** Bytes of progress lines with a result. */
    DISPATCHER_RESULT_BYTES(
            Role.DISPATCHER,
            "result_line_bytes_per_second",
            MESSAGES,
            "bytes a second",
            null,
            "ProgressLine"),

    /** Load queries that a worker answers. */
    WORKER_LOAD_QUERIES(
            Role.WORKER, "probes_per_second", MESSAGES, "a second", null, "HttpLoadQuery"),
    /** Connections that a worker accepts. */
    WORKER_HANDSHAKES(
            Role.WORKER,
            "handshakes_per_second",
            MESSAGES,
            "a second",
            null,
            "WorkerConnectionPool"),
    /**
     * Bytes at a worker of load queries, request heads, handshakes and reports, all dispatchers.
     */
    WORKER_CONTROL_BYTES(
            Role.WORKER,
            "control_bytes_per_second",
            MESSAGES,
            "bytes a second",
            Limits.CONTROL_BYTES,
            "WorkerConnectionPool"),
    /** Processor time of the worker's side. */
    WORKER_CPU(
            Role.WORKER,
            "cpu_percent",
            PROCESSOR,
            "% of a core",
            Limits.CONTROL_CPU,
            Mechanism.MISSING),
    /** Memory of the worker's side. */
    WORKER_MEMORY(Role.WORKER, "rss_mb", MEMORY, "MB", Limits.CONTROL_MEMORY, Mechanism.MISSING),

    /** Calls of dispatchers for the endpoint list. */
    DISCOVERY_CALLS(
            Role.DISCOVERY, "calls_per_second", MESSAGES, "a second", null, "DiscoveryClient"),
    /** Bytes of these calls and their responses. */
    DISCOVERY_BYTES(
            Role.DISCOVERY,
            "bytes_per_second",
            MESSAGES,
            "bytes a second",
            null,
            "DiscoveryClient"),
    /** Processor time of the discovery service. */
    DISCOVERY_CPU(
            Role.DISCOVERY,
            "cpu_percent",
            PROCESSOR,
            "% of a core",
            Limits.CONTROL_CPU,
            Mechanism.MISSING),
    /** Memory of the discovery service. */
    DISCOVERY_MEMORY(
            Role.DISCOVERY, "rss_mb", MEMORY, "MB", Limits.CONTROL_MEMORY, Mechanism.MISSING),

    /** Processor time that a console costs a dispatcher. */
    CONSOLE_CPU(
            Role.CONSOLE,
            "cpu_percent",
            PROCESSOR,
            "% of a core",
            Limits.CONTROL_CPU,
            "ControlServer"),
    /** Memory that a console costs a dispatcher. */
    CONSOLE_MEMORY(Role.CONSOLE, "heap_mb", MEMORY, "MB", Limits.CONTROL_MEMORY, "HealthTracker"),
    /** Bytes sent to a console. */
    CONSOLE_BYTES(
            Role.CONSOLE,
            "bytes_per_second",
            MESSAGES,
            "bytes a second",
            Limits.CONTROL_BYTES,
            "VersionedTable");

    private static final class Limits {
        private static final ControlLimits CONTROL = ControlLimits.OPERATORS;
        private static final Limit NONE_ALLOWED = new Limit(0, "none may");
        private static final Limit URGENT =
                new Limit(PlannedSize.OPERATORS.urgentStartMs(), "operators: urgent start");
        private static final Limit ONE_CORE = new Limit(100, "one event loop");
        private static final Limit CONTROL_CPU =
                new Limit(CONTROL.cpuPercent(), "operators: control");
        private static final Limit CONTROL_MEMORY =
                new Limit(CONTROL.memoryMb(), "operators: control");
        private static final Limit CONTROL_BYTES =
                new Limit(CONTROL.bytesPerSecond(), "operators: control");
        private static final Limit HEAP = new Limit(64, "`-Xmx64m` of the run line");
        private static final Limit DESCRIPTORS = new Limit(1_024, "default of `limits.sockets`");
    }

    private final Role role;
    private final String measure;
    private final MeasureKind kind;
    private final String unit;

    @SuppressWarnings("ImmutableEnumChecker") // A record of a number and a text is immutable.
    private final Limit limit;

    private final String mechanism;

    TrackedMeasure(
            Role role,
            String measure,
            MeasureKind kind,
            String unit,
            Limit limit,
            String mechanism) {
        this.role = role;
        this.measure = measure;
        this.kind = kind;
        this.unit = unit;
        this.limit = limit;
        this.mechanism = mechanism;
    }

    /** The role that bears the cost. */
    public Role role() {
        return role;
    }

    /** The name in the column {@code measure} of a measurement file. */
    public String measure() {
        return measure;
    }

    /** The kind of cost. */
    public MeasureKind kind() {
        return kind;
    }

    /** The unit of the values, in words. */
    public String unit() {
        return unit;
    }

    /** The limit; empty if none is stated. */
    public Optional<Limit> limit() {
        return Optional.ofNullable(limit);
    }

    /** The class that causes or bounds it, or {@link Mechanism#MISSING}. */
    public String mechanism() {
        return mechanism;
    }

    /** The estimate for an installation of these sizes; empty if the measure has no fit. */
    Optional<Estimate> estimate(CapacityModel model, Sizes sizes) {
        return isMeasuredAtStandIn()
                ? Optional.empty()
                : model.estimate(new MeasureKey(role, measure), evaluatedAt(sizes));
    }

    /**
     * The sizes at which this measure is evaluated for an installation of these sizes: without
     * requests for the processor time that is spent on none.
     */
    public Sizes evaluatedAt(Sizes sizes) {
        return kind == PROCESSOR_WITHOUT_REQUESTS
                ? sizes.with(Axis.STARTS, 0).with(Axis.RUNNING, 0)
                : sizes;
    }

    /**
     * Returns whether the sweep measures this at a stand-in for the role, so that its processor
     * time and memory are not those of the real program.
     */
    public boolean isMeasuredAtStandIn() {
        return (role == Role.WORKER || role == Role.DISCOVERY)
                && (kind == PROCESSOR || kind == MEMORY);
    }

    /** The reason for the missing figure of a measure that the sweep did not take. */
    public String reasonNotMeasured() {
        return switch (role) {
            case WORKER -> "the sweep's workers are stand-ins";
            case DISCOVERY -> "the sweep's discovery service is a stand-in";
            case CONSOLE -> "the sweep opens no console; see the results of the console";
            default -> "the sweep gave no such measure";
        };
    }
}
