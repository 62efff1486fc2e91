package cresschute.settings;

import static cresschute.settings.Field.optional;
import static cresschute.settings.Field.required;
import static cresschute.settings.FieldType.seconds;

import java.net.InetSocketAddress;
import java.util.List;

/** Schema of the blocks for workers: the worker list, discovery, reports and slow start. */
final class WorkerSchema {

    static final Field<String> WORKER_ID = required("id", FieldType.name(), "the worker's name");
    static final Field<InetSocketAddress> WORKER_ADDRESS =
            required("address", FieldType.address(), "the address on which the worker listens");
    static final Field<String> WORKER_ZONE =
            optional("zone", FieldType.name(), "local", "the worker's zone");
    static final Field<String> WORKER_KIND =
            optional("kind", FieldType.name(), "worker", "the worker's kind of machine");
    static final Field<Long> WORKER_CELL =
            optional(
                    "cell",
                    FieldType.integer(0, 65_535),
                    0L,
                    "the cell: a group of workers that drop duplicates of each other's keyed"
                            + " requests");
    static final Field<Double> WORKER_WEIGHT =
            optional("weight", FieldType.number(0, 1000), 1.0, "the worker's nominal size");
    static final Block WORKER =
            new Block(
                    "worker",
                    0,
                    Schema.MAX_ENTRIES,
                    "a worker of the fixed list, or with a discovery service, of the initial list",
                    List.of(
                            WORKER_ID,
                            WORKER_ADDRESS,
                            WORKER_ZONE,
                            WORKER_KIND,
                            WORKER_CELL,
                            WORKER_WEIGHT));

    static final Field<InetSocketAddress> DISCOVERY_ADDRESS =
            required("address", FieldType.address(), "the address on which the service listens");
    static final Field<Long> POLL_WITHIN =
            optional(
                    "ask_within",
                    FieldType.time(seconds(1), seconds(600)),
                    seconds(6),
                    "the longest time without a watch on the service; changes of the list are"
                            + " assumed to be known within it");
    static final Block DISCOVERY =
            new Block(
                    "director",
                    0,
                    1,
                    "the discovery service, which lists the workers",
                    List.of(DISCOVERY_ADDRESS, POLL_WITHIN));

    static final Field<Boolean> REPORTS_LOAD =
            optional("load", FieldType.bool(), true, "whether answers contain load reports");
    static final Field<Boolean> REPORTS_JOB_START =
            optional("starts", FieldType.bool(), true, "whether workers report when a job starts");
    static final Field<Long> PROGRESS_INTERVAL =
            optional(
                    "progress",
                    FieldType.time(0, seconds(600)),
                    0L,
                    "the interval at which workers report progress of a running job; 0 * s if they"
                            + " do not");
    static final Block REPORTS =
            new Block(
                    "reports",
                    0,
                    1,
                    "what workers report",
                    List.of(REPORTS_LOAD, REPORTS_JOB_START, PROGRESS_INTERVAL));

    static final Field<Double> INITIAL_CAPACITY_FRACTION =
            optional(
                    "from_share",
                    FieldType.number(0.01, 1),
                    1.0,
                    "the fraction of its capacity that a worker has when it starts");
    static final Field<Long> WARM_UP_DURATION =
            optional(
                    "warm_within",
                    FieldType.time(0, Schema.HOUR_US),
                    0L,
                    "the time after its start until it has all of its capacity");
    static final Field<Double> OVERLOAD_FACTOR =
            optional(
                    "overload",
                    FieldType.number(0.1, 1000),
                    3.0,
                    "a worker that is sent more than this many times its current capacity");
    static final Field<Long> OVERLOAD_AFTER =
            optional(
                    "tip_after",
                    FieldType.time(0, Schema.HOUR_US),
                    seconds(1),
                    "for this long, fails");
    static final Block COLD_START =
            new Block(
                    "cold_start",
                    0,
                    1,
                    "how a worker behaves after its start",
                    List.of(
                            INITIAL_CAPACITY_FRACTION,
                            WARM_UP_DURATION,
                            OVERLOAD_FACTOR,
                            OVERLOAD_AFTER));

    private WorkerSchema() {}
}
