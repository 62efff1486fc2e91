package cresschute.settings;

import static cresschute.settings.Field.optional;
import static cresschute.settings.Field.required;
import static cresschute.settings.FieldType.ms;
import static cresschute.settings.FieldType.seconds;

import java.util.List;

/** Schema of the blocks for request classes and for the weights of the service objective. */
final class JobClassSchema {

    static final Field<String> CLASS_NAME =
            required("name", FieldType.name(), "the first part of the path of its requests");
    static final Field<Double> PRIORITY_WEIGHT =
            required(
                    "worth",
                    FieldType.number(0, 1e6),
                    "what a request answered in time is worth; only proportions count");
    static final Field<Long> LATENCY_OBJECTIVE =
            required(
                    "aim",
                    FieldType.time(ms(1), Schema.HOUR_US),
                    "an answer is in time within this, plus `stretch` times the job's running"
                            + " time");
    static final Field<Double> STRETCH =
            optional("stretch", FieldType.number(0, 100), 0.0, "see `aim`");
    static final Field<Long> DEADLINE =
            required(
                    "deadline",
                    FieldType.time(ms(1), Schema.HOUR_US),
                    "the longest that its clients wait; must not be below `aim`");
    static final Field<String> IDEMPOTENCY =
            required(
                    "effect",
                    FieldType.oneOf("safe", "keyed", "unsafe"),
                    "what a repeat does: nothing, nothing within a window by its key, or harm");
    static final Field<String> DEDUPLICATION_SCOPE =
            optional(
                    "repeat_scope",
                    FieldType.oneOf("all", "zone", "cell"),
                    "all",
                    "keyed: the workers among which a repeat is dropped");
    static final Field<Long> DEDUPLICATION_WINDOW =
            optional(
                    "repeat_window",
                    FieldType.time(0, Schema.HOUR_US),
                    0L,
                    "keyed, where it must be given: how long a repeat is dropped");
    static final Field<Long> CLASS_MAX_ATTEMPTS =
            optional(
                    "attempts",
                    FieldType.integer(1, Schema.MAX_ATTEMPTS_PER_REQUEST),
                    (long) Schema.MAX_ATTEMPTS_PER_REQUEST,
                    "attempts for one request, hedged requests included; never more than `limits`"
                            + " allows");
    static final Field<List<String>> CLASS_ZONES =
            optional(
                    "zones",
                    FieldType.names(),
                    List.of(),
                    "the only zones that its requests are sent to; all of them if empty");
    static final Field<List<String>> CLASS_KINDS =
            optional(
                    "kinds",
                    FieldType.names(),
                    List.of(),
                    "the only kinds of worker that its requests are sent to; all of them if empty");
    static final Field<Long> MAX_BODY =
            optional(
                    "longest_body",
                    FieldType.size(64 * Schema.KIB, 1024 * Schema.GIB),
                    64 * Schema.KIB,
                    "the longest body of its requests; one beyond 64 KiB is passed on as it"
                            + " arrives, see `bodies`");
    static final Field<Long> MIN_RATE =
            optional(
                    "least_rate",
                    FieldType.size(1, Schema.GIB),
                    Schema.KIB,
                    "a long body that moves less than this in a second, over `stall`, is given up");
    static final Field<Long> MAX_STALL =
            optional(
                    "stall",
                    FieldType.time(ms(100), seconds(600)),
                    seconds(10),
                    "a long body of which nothing moves for so long is given up; must not be above"
                            + " `deadline`");
    static final Field<Boolean> LONG_RESULTS =
            optional(
                    "long_results",
                    FieldType.bool(),
                    false,
                    "whether workers may pass results on as they make them, see `bodies`");
    static final Field<String> DEADLINE_BYTE =
            optional(
                    "deadline_to",
                    FieldType.oneOf("last", "first"),
                    "last",
                    "the byte of a long result by which `deadline` must be met");
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
            optional("whole", FieldType.number(0, 1e6), 0.65, "weight of all requests");
    static final Field<Double> WORST_WINDOW_WEIGHT =
            optional(
                    "worst_window",
                    FieldType.number(0, 1e6),
                    0.15,
                    "weight of the worst ten seconds");
    static final Field<Double> WORST_CLASS_WEIGHT =
            optional(
                    "worst_class",
                    FieldType.number(0, 1e6),
                    0.2,
                    "weight of the worst-served class");
    static final Block OBJECTIVE =
            new Block(
                    "goal",
                    0,
                    1,
                    "what service is judged by",
                    List.of(ALL_REQUESTS_WEIGHT, WORST_WINDOW_WEIGHT, WORST_CLASS_WEIGHT));

    private JobClassSchema() {}
}
