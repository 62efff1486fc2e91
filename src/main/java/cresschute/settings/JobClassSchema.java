package cresschute.settings;

import static cresschute.settings.Field.optional;
import static cresschute.settings.Field.required;
import static cresschute.settings.FieldType.ms;
import static cresschute.settings.FieldType.seconds;

import java.util.List;

/** Schema of the blocks for request classes and for the weights of the service objective. */
final class JobClassSchema {

    static final Field<String> CLASS_NAME =
            required("name", FieldType.name(), "the first segment of the path of its requests");
    static final Field<Double> PRIORITY_WEIGHT =
            required(
                    "worth",
                    FieldType.number(0, 1e6),
                    "priority weight of a request that is answered in time; only the proportions"
                            + " between classes matter");
    static final Field<Long> LATENCY_OBJECTIVE =
            required(
                    "aim",
                    FieldType.time(ms(1), Schema.HOUR_US),
                    "latency objective: an answer is in time within this plus `stretch` times the"
                            + " job's running time");
    static final Field<Double> STRETCH =
            optional("stretch", FieldType.number(0, 100), 0.0, "see `aim`");
    static final Field<Long> DEADLINE =
            required(
                    "deadline",
                    FieldType.time(ms(1), Schema.HOUR_US),
                    "the longest time that clients wait for an answer; at least `aim`");
    static final Field<String> IDEMPOTENCY =
            required(
                    "effect",
                    FieldType.oneOf("safe", "keyed", "unsafe"),
                    "idempotency, the effect of a duplicate request: none, none within a time"
                            + " window by its key, or harmful");
    static final Field<String> DEDUPLICATION_SCOPE =
            optional(
                    "repeat_scope",
                    FieldType.oneOf("all", "zone", "cell"),
                    "all",
                    "for keyed requests: the workers among which duplicates are dropped");
    static final Field<Long> DEDUPLICATION_WINDOW =
            optional(
                    "repeat_window",
                    FieldType.time(0, Schema.HOUR_US),
                    0L,
                    "for keyed requests, required: how long duplicates are dropped");
    static final Field<Long> CLASS_MAX_ATTEMPTS =
            optional(
                    "attempts",
                    FieldType.integer(1, Schema.MAX_ATTEMPTS_PER_REQUEST),
                    (long) Schema.MAX_ATTEMPTS_PER_REQUEST,
                    "maximum number of attempts for one request, hedged requests included; at most"
                            + " `attempts` of `limits`");
    static final Field<List<String>> CLASS_ZONES =
            optional(
                    "zones",
                    FieldType.names(),
                    List.of(),
                    "the zones that its requests may be sent to; all zones if empty");
    static final Field<List<String>> CLASS_KINDS =
            optional(
                    "kinds",
                    FieldType.names(),
                    List.of(),
                    "the kinds of worker that its requests may be sent to; all kinds if empty");
    static final Field<Long> MAX_BODY =
            optional(
                    "longest_body",
                    FieldType.size(64 * Schema.KIB, 1024 * Schema.GIB),
                    64 * Schema.KIB,
                    "the longest body of its requests; above 64 KiB, bodies are streamed, see"
                            + " `bodies`");
    static final Field<Long> MIN_RATE =
            optional(
                    "least_rate",
                    FieldType.size(1, Schema.GIB),
                    Schema.KIB,
                    "a streamed body is aborted if it transfers less than this per second, averaged"
                            + " over `stall`");
    static final Field<Long> MAX_STALL =
            optional(
                    "stall",
                    FieldType.time(ms(100), seconds(600)),
                    seconds(10),
                    "the longest time without progress after which a streamed body is aborted; at"
                            + " most `deadline`");
    static final Field<Boolean> LONG_RESULTS =
            optional(
                    "long_results",
                    FieldType.bool(),
                    false,
                    "whether workers may stream results, see `bodies`");
    static final Field<String> DEADLINE_BYTE =
            optional(
                    "deadline_to",
                    FieldType.oneOf("last", "first"),
                    "last",
                    "the byte of a streamed result that must arrive within `deadline`");
    static final Block JOB_CLASS =
            new Block(
                    "job_class",
                    1,
                    64,
                    "a class of requests",
                    List.of(
                            CLASS_NAME,
                            PRIORITY_WEIGHT,
                            LATENCY_OBJECTIVE,
                            STRETCH,
                            DEADLINE,
                            IDEMPOTENCY,
                            DEDUPLICATION_SCOPE,
                            DEDUPLICATION_WINDOW,
                            CLASS_MAX_ATTEMPTS,
                            CLASS_ZONES,
                            CLASS_KINDS,
                            MAX_BODY,
                            MIN_RATE,
                            MAX_STALL,
                            LONG_RESULTS,
                            DEADLINE_BYTE));

    static final Field<Double> ALL_REQUESTS_WEIGHT =
            optional(
                    "whole",
                    FieldType.number(0, 1e6),
                    0.65,
                    "weight of the service of all requests");
    static final Field<Double> WORST_WINDOW_WEIGHT =
            optional(
                    "worst_window",
                    FieldType.number(0, 1e6),
                    0.15,
                    "weight of the service in the worst ten seconds");
    static final Field<Double> WORST_CLASS_WEIGHT =
            optional(
                    "worst_class",
                    FieldType.number(0, 1e6),
                    0.2,
                    "weight of the service of the worst-served class");
    static final Block OBJECTIVE =
            new Block(
                    "goal",
                    0,
                    1,
                    "the service objective: the weights by which service is measured",
                    List.of(ALL_REQUESTS_WEIGHT, WORST_WINDOW_WEIGHT, WORST_CLASS_WEIGHT));

    private JobClassSchema() {}
}
