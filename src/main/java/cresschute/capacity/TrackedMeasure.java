package cresschute.capacity;

import java.util.Optional;

/**
 * What the page says of each role: the measure, its limit where one is stated, and what carries it.
 */
public enum TrackedMeasure {

    /** Requests that clients send. */
    CLIENT_REQUESTS(
            Role.CLIENT, "requests_per_second", Kind.MESSAGES, "a second", null, "ClientListener"),
    /** Requests refused. */
    CLIENT_REFUSED(Role.CLIENT, "refused_share", Kind.SERVICE, "share", null, "Dispatcher"),
    /** Requests without any answer. */
    CLIENT_UNANSWERED(
            Role.CLIENT,
            "unanswered",
            Kind.SERVICE,
            "requests",
            Limits.NONE_MAY,
            "RequestLifecycle"),
    /** Median start of urgent requests. */
    CLIENT_URGENT_P50(
            Role.CLIENT, "urgent_start_p50_ms", Kind.SERVICE, "ms", Limits.URGENT, "Dispatcher"),
    /** Start of urgent requests, 99th percentile. */
    CLIENT_URGENT_P99(
            Role.CLIENT, "urgent_start_p99_ms", Kind.SERVICE, "ms", Limits.URGENT, "Dispatcher"),
    /** Start of urgent requests, 99.9th percentile. */
    CLIENT_URGENT_P999(
            Role.CLIENT, "urgent_start_p999_ms", Kind.SERVICE, "ms", Limits.URGENT, "Dispatcher"),
    /** Gangs of which all requests were admitted. */
    CLIENT_GANGS_WHOLE(Role.CLIENT, "gangs_whole", Kind.SERVICE, "gangs", null, Mechanism.MISSING),
    /** Gangs of which some requests were admitted, which are of no use. */
    CLIENT_GANGS_PARTIAL(
            Role.CLIENT,
            "gangs_partial",
            Kind.SERVICE,
            "gangs",
            Limits.NONE_MAY,
            Mechanism.MISSING),
    /** Gangs of which no request was admitted. */
    CLIENT_GANGS_REFUSED(
            Role.CLIENT, "gangs_refused", Kind.SERVICE, "gangs", null, Mechanism.MISSING),
    /** Retries by clients. */
    CLIENT_RETRIES(
            Role.CLIENT,
            "retries_per_request",
            Kind.SERVICE,
            "a request",
            null,
            "RetryAfterHeader"),

    /** All processor time of a dispatcher. */
    DISPATCHER_CPU(
            Role.DISPATCHER,
            "cpu_percent",
            Kind.PROCESSOR,
            "% of a core",
            Limits.ONE_CORE,
            "NodeServer"),
    /** Processor time of a dispatcher without any request. */
    DISPATCHER_CONTROL_CPU(
            Role.DISPATCHER,
            "cpu_percent",
            Kind.PROCESSOR_WITHOUT_REQUESTS,
            "% of a core",
            Limits.CONTROL_CPU,
            "NodeServer"),
    /** Processor time of the dispatcher that takes most. */
    DISPATCHER_CPU_MAX(
            Role.DISPATCHER,
            "cpu_percent_max",
            Kind.PROCESSOR,
            "% of a core",
            Limits.ONE_CORE,
            "NodeServer"),
    /** Heap in use. */
    DISPATCHER_HEAP(Role.DISPATCHER, "heap_mb", Kind.MEMORY, "MB", Limits.HEAP, "RequestLifecycle"),
    /** Resident memory of the process. */
    DISPATCHER_RSS(
            Role.DISPATCHER, "rss_mb", Kind.MEMORY, "MB", Limits.CONTROL_MEMORY, "NodeServer"),
    /** Resident memory of the dispatcher that takes most. */
    DISPATCHER_RSS_MAX(
            Role.DISPATCHER, "rss_mb_max", Kind.MEMORY, "MB", Limits.CONTROL_MEMORY, "NodeServer"),
    /** Open descriptors. */
    DISPATCHER_DESCRIPTORS(
            Role.DISPATCHER,
            "descriptors",
            Kind.MEMORY,
            "descriptors",
            Limits.DESCRIPTORS,
            "WorkerConnectionPool"),
    /** Bytes of everything but requests, their answers and what belongs to these. */
    DISPATCHER_CONTROL_BYTES(
            Role.DISPATCHER,
            "control_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            Limits.CONTROL_BYTES,
            "WorkerConnectionPool"),
    /** Bytes of probes and their answers. */
    DISPATCHER_PROBE_BYTES(
            Role.DISPATCHER,
            "probe_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            null,
            "HttpLoadQuery"),
    /** Probes sent. */
    DISPATCHER_PROBES(
            Role.DISPATCHER, "probes_per_second", Kind.MESSAGES, "a second", null, "HttpLoadQuery"),
    /** Connections opened. */
    DISPATCHER_HANDSHAKES(
            Role.DISPATCHER,
            "handshake_per_second",
            Kind.MESSAGES,
            "a second",
            null,
            "WorkerConnectionPool"),
    /** Bytes of the worker list. */
    DISPATCHER_LIST_BYTES(
            Role.DISPATCHER,
            "list_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            null,
            "DiscoveryClient"),
    /** Bytes of load reports. */
    DISPATCHER_REPORT_BYTES(
            Role.DISPATCHER,
            "report_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            null,
            "LoadReportParser"),
    /** Attempts sent to workers. */
    DISPATCHER_ATTEMPTS(
            Role.DISPATCHER,
            "attempts_per_second",
            Kind.MESSAGES,
            "a second",
            null,
            "WorkerConnectionPool"),
    /** Bytes of requests to workers, head and body, and of the heads of their answers. */
    DISPATCHER_REQUEST_BYTES(
            Role.DISPATCHER,
            "request_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            null,
            "WorkerConnectionPool"),
    /** Bytes of lines that tell of a start. */
    DISPATCHER_START_BYTES(
            Role.DISPATCHER,
            "start_line_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            null,
            "ProgressLine"),
    /** Bytes of lines that tell of progress. */
    DISPATCHER_PROGRESS_BYTES(
            Role.DISPATCHER,
            "progress_line_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            null,
            "ProgressLine"),
    /** Bytes of lines with a result. */
    DISPATCHER_RESULT_BYTES(
            Role.DISPATCHER,
            "result_line_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            null,
            "ProgressLine"),

    /** Probes that a worker answers. */
    WORKER_PROBES(
            Role.WORKER, "probes_per_second", Kind.MESSAGES, "a second", null, "HttpLoadQuery"),
    /** Connections that a worker accepts. */
    WORKER_HANDSHAKES(
            Role.WORKER,
            "handshakes_per_second",
            Kind.MESSAGES,
            "a second",
            null,
            "WorkerConnectionPool"),
    /** Bytes at a worker of probes, request heads, handshakes and reports, of all dispatchers. */
    WORKER_CONTROL_BYTES(
            Role.WORKER,
            "control_bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            Limits.CONTROL_BYTES,
            "WorkerConnectionPool"),
    /** Processor time of the worker's side. */
    WORKER_CPU(
            Role.WORKER,
            "cpu_percent",
            Kind.PROCESSOR,
            "% of a core",
            Limits.CONTROL_CPU,
            Mechanism.MISSING),
    /** Memory of the worker's side. */
    WORKER_MEMORY(
            Role.WORKER, "rss_mb", Kind.MEMORY, "MB", Limits.CONTROL_MEMORY, Mechanism.MISSING),

    /** Calls of dispatchers for the list. */
    DISCOVERY_CALLS(
            Role.DISCOVERY, "calls_per_second", Kind.MESSAGES, "a second", null, "DiscoveryClient"),
    /** Bytes of these calls and their answers. */
    DISCOVERY_BYTES(
            Role.DISCOVERY,
            "bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            null,
            "DiscoveryClient"),
    /** Processor time of the discovery service. */
    DISCOVERY_CPU(
            Role.DISCOVERY,
            "cpu_percent",
            Kind.PROCESSOR,
            "% of a core",
            Limits.CONTROL_CPU,
            Mechanism.MISSING),
    /** Memory of the discovery service. */
    DISCOVERY_MEMORY(
            Role.DISCOVERY, "rss_mb", Kind.MEMORY, "MB", Limits.CONTROL_MEMORY, Mechanism.MISSING),

    /** Processor time that a console costs a dispatcher. */
    CONSOLE_CPU(
            Role.CONSOLE,
            "cpu_percent",
            Kind.PROCESSOR,
            "% of a core",
            Limits.CONTROL_CPU,
            "ControlServer"),
    /** Memory that a console costs a dispatcher. */
    CONSOLE_MEMORY(
            Role.CONSOLE, "heap_mb", Kind.MEMORY, "MB", Limits.CONTROL_MEMORY, "HealthTracker"),
    /** Bytes that a console is sent. */
    CONSOLE_BYTES(
            Role.CONSOLE,
            "bytes_per_second",
            Kind.MESSAGES,
            "bytes a second",
            Limits.CONTROL_BYTES,
            "VersionedTable");

    /** What kind of need a measure tells of. */
    public enum Kind {
        /** Messages and their bytes. */
        MESSAGES("messages"),
        /** Processor time. */
        PROCESSOR("processor"),
        /** Processor time that is left where no request comes and none is open. */
        PROCESSOR_WITHOUT_REQUESTS("processor, no requests"),
        /** Memory and descriptors. */
        MEMORY("memory"),
        /** What clients get. */
        SERVICE("service");

        private final String label;

        Kind(String label) {
            this.label = label;
        }

        /** The kind in words. */
        public String label() {
            return label;
        }
    }

    private static final class Limits {
        private static final ControlLimits CONTROL = ControlLimits.OPERATORS;
        private static final Limit NONE_MAY = new Limit(0, "none may");
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
    private final Kind kind;
    private final String unit;
    private final Limit limit;
    private final String mechanism;

    TrackedMeasure(
            Role role, String measure, Kind kind, String unit, Limit limit, String mechanism) {
        this.role = role;
        this.measure = measure;
        this.kind = kind;
        this.unit = unit;
        this.limit = limit;
        this.mechanism = mechanism;
    }

    /** Whose need it is. */
    public Role role() {
        return role;
    }

    /** The name in the column {@code measure} of a measurement file. */
    public String measure() {
        return measure;
    }

    /** The kind of need. */
    public Kind kind() {
        return kind;
    }

    /** The unit of the values, in words. */
    public String unit() {
        return unit;
    }

    /** The bound that it is held against, where one is stated. */
    public Optional<Limit> limit() {
        return Optional.ofNullable(limit);
    }

    /** The class that carries it, or {@link Mechanism#MISSING}. */
    public String mechanism() {
        return mechanism;
    }

    /** What it comes to in an installation of these sizes; nothing where it is not measured. */
    Optional<Estimate> estimate(CapacityModel model, Sizes sizes) {
        return isOfAStandIn()
                ? Optional.empty()
                : model.estimate(new CapacityModel.Key(role, measure), wantedAt(sizes));
    }

    /** The sizes at which this measure is wanted for an installation of these sizes. */
    public Sizes wantedAt(Sizes sizes) {
        return kind == Kind.PROCESSOR_WITHOUT_REQUESTS
                ? sizes.with(Axis.STARTS, 0).with(Axis.RUNNING, 0)
                : sizes;
    }

    /**
     * Whether the sweep's peer in this role is a stand-in, so that its processor and memory say
     * nothing.
     */
    public boolean isOfAStandIn() {
        return (role == Role.WORKER || role == Role.DISCOVERY)
                && (kind == Kind.PROCESSOR || kind == Kind.MEMORY);
    }

    /** Why it has no figure, where the sweep brings none. */
    public String reasonNotMeasured() {
        return switch (role) {
            case WORKER -> "the sweep's workers are stand-ins";
            case DISCOVERY -> "the sweep's discovery service is a stand-in";
            case CONSOLE -> "the sweep opens no console; see the results of the console";
            default -> "the sweep gave no such measure";
        };
    }
}
