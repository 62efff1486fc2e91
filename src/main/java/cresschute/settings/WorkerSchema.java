package cresschute.settings;

import static cresschute.settings.Field.optional;
import static cresschute.settings.Field.required;
import static cresschute.settings.FieldType.seconds;

import java.net.InetSocketAddress;
import java.util.List;

/** Schema of the blocks for workers: the worker list, discovery, reports and slow start. */
final class WorkerSchema {

    static final Field<String> WORKER_ID = required("id", FieldType.name(), "its name");
    static final Field<InetSocketAddress> WORKER_ADDRESS =
            required("address", FieldType.address(), "where it listens");
    static final Field<String> WORKER_ZONE =
            optional("zone", FieldType.name(), "local", "the zone it is in");
    static final Field<String> WORKER_KIND =
            optional("kind", FieldType.name(), "worker", "its kind of machine");
    static final Field<Long> WORKER_CELL =
            optional(
                    "cell",
                    FieldType.integer(0, 65_535),
                    0L,
                    "the group within which it drops repeats of keyed requests");
    static final Field<Double> WORKER_WEIGHT =
            optional("weight", FieldType.number(0, 1000), 1.0, "its nominal size");
    static final Block WORKER =
            new Block(
                    "worker",
                    0,
                    Schema.MAX_ENTRIES,
                    "a worker: the fixed list, or with a discovery service the list to begin with",
                    List.of(
                            WORKER_ID,
                            WORKER_ADDRESS,
                            WORKER_ZONE,
                            WORKER_KIND,
                            WORKER_CELL,
                            WORKER_WEIGHT));

    static final Field<InetSocketAddress> DISCOVERY_ADDRESS =
            required("address", FieldType.address(), "where it listens");
    static final Field<Long> POLL_WITHIN =
            optional(
                    "ask_within",
                    FieldType.time(seconds(1), seconds(600)),
                    seconds(6),
                    "the longest time without a watch before changes count as told");
    static final Block DISCOVERY =
            new Block(
                    "director",
                    0,
                    1,
                    "the service that tells of the workers",
                    List.of(DISCOVERY_ADDRESS, POLL_WITHIN));

    static final Field<Boolean> REPORTS_LOAD =
            optional("load", FieldType.bool(), true, "whether answers bring load reports");
    static final Field<Boolean> REPORTS_JOB_START =
            optional("starts", FieldType.bool(), true, "whether workers tell when a job starts");
    static final Field<Long> PROGRESS_INTERVAL =
            optional(
                    "progress",
                    FieldType.time(0, seconds(600)),
                    0L,
                    "how often workers tell of a running job's progress; 0 * s is never");
    static final Block REPORTS =
            new Block(
                    "reports",
                    0,
                    1,
                    "what workers tell",
                    List.of(REPORTS_LOAD, REPORTS_JOB_START, PROGRESS_INTERVAL));

    static final Field<Double> INITIAL_CAPACITY_FRACTION =
            optional(
                    "from_share",
                    FieldType.number(0.01, 1),
                    1.0,
                    "the share of its capacity that a worker has when it starts");
    static final Field<Long> WARM_UP_DURATION =
            optional("warm_within", FieldType.time(0, Schema.HOUR_US), 0L, "when it has all of it");
    static final Field<Double> OVERLOAD_FACTOR =
            optional(
                    "overload",
                    FieldType.number(0.1, 1000),
                    3.0,
                    "sent more than so many times its capacity of the moment");
    static final Field<Long> OVERLOAD_AFTER =
            optional(
                    "tip_after",
                    FieldType.time(0, Schema.HOUR_US),
                    seconds(1),
                    "for so long, it falls over");
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
