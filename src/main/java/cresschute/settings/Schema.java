package cresschute.settings;

import static cresschute.settings.Field.optional;
import static cresschute.settings.Field.required;
import static cresschute.settings.FieldType.ms;
import static cresschute.settings.FieldType.seconds;

import cresschute.settings.script.Values;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * Every block and field that a settings script may state, with its bounds and what holds without
 * it.
 */
final class Schema {

    private static final int MOST_ATTEMPTS = 5;
    private static final int MANY = 10_000;
    private static final long MOST_SOCKETS = 1_000_000;
    private static final long KIB = 1024;
    private static final long MIB = KIB * KIB;
    private static final long GIB = KIB * MIB;
    private static final long HOUR_US = seconds(3600);

    static final Field<String> NODE_NAME =
            required("name", FieldType.name(), "its name in logs, the same after a restart");
    static final Field<InetSocketAddress> LISTEN =
            required(
                    "listen",
                    FieldType.address(),
                    "where clients connect; port 0 takes a free one");
    static final Field<Long> SEED =
            optional(
                    "seed",
                    FieldType.whole(0, Long.MAX_VALUE),
                    null,
                    "for random choices; without it, a new one at each start");
    static final Field<Long> DISPATCHERS =
            optional(
                    "dispatchers",
                    FieldType.whole(1, MANY),
                    1L,
                    "nodes that serve the same workers, this one included");
    static final Field<String> NODE_ZONE =
            optional("zone", FieldType.name(), "local", "the zone it is in");
    static final Block NODE =
            new Block(
                    "node",
                    1,
                    1,
                    "this node",
                    List.of(NODE_NAME, LISTEN, SEED, DISPATCHERS, NODE_ZONE));

    static final Field<String> CLASS_NAME =
            required("name", FieldType.name(), "the first part of the path of its requests");
    static final Field<Double> WORTH =
            required(
                    "worth",
                    FieldType.number(0, 1e6),
                    "what a request answered in time is worth; only proportions count");
    static final Field<Long> AIM =
            required(
                    "aim",
                    FieldType.time(ms(1), HOUR_US),
                    "an answer is in time within this, plus `stretch` times the job's running"
                            + " time");
    static final Field<Double> STRETCH =
            optional("stretch", FieldType.number(0, 100), 0.0, "see `aim`");
    static final Field<Long> DEADLINE =
            required(
                    "deadline",
                    FieldType.time(ms(1), HOUR_US),
                    "the longest that its clients wait; must not be below `aim`");
    static final Field<String> EFFECT =
            required(
                    "effect",
                    FieldType.choice("safe", "keyed", "unsafe"),
                    "what a repeat does: nothing, nothing within a window by its key, or harm");
    static final Field<String> REPEAT_SCOPE =
            optional(
                    "repeat_scope",
                    FieldType.choice("all", "zone", "cell"),
                    "all",
                    "keyed: the workers among which a repeat is dropped");
    static final Field<Long> REPEAT_WINDOW =
            optional(
                    "repeat_window",
                    FieldType.time(0, HOUR_US),
                    0L,
                    "keyed, where it must be given: how long a repeat is dropped");
    static final Field<Long> CLASS_ATTEMPTS =
            optional(
                    "attempts",
                    FieldType.whole(1, MOST_ATTEMPTS),
                    (long) MOST_ATTEMPTS,
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
    static final Field<Long> LONGEST_BODY =
            optional(
                    "longest_body",
                    FieldType.size(64 * KIB, 1024 * GIB),
                    64 * KIB,
                    "the longest body of its requests; one beyond 64 KiB is passed on as it"
                            + " arrives, see `bodies`");
    static final Field<Long> LEAST_RATE =
            optional(
                    "least_rate",
                    FieldType.size(1, GIB),
                    KIB,
                    "a long body that moves less than this in a second, over `stall`, is given up");
    static final Field<Long> STALL =
            optional(
                    "stall",
                    FieldType.time(ms(100), seconds(600)),
                    seconds(10),
                    "a long body of which nothing moves for so long is given up; must not be above"
                            + " `deadline`");
    static final Field<Boolean> LONG_RESULTS =
            optional(
                    "long_results",
                    FieldType.truth(),
                    false,
                    "whether workers may pass results on as they make them, see `bodies`");
    static final Field<String> DEADLINE_TO =
            optional(
                    "deadline_to",
                    FieldType.choice("last", "first"),
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
                            WORTH,
                            AIM,
                            STRETCH,
                            DEADLINE,
                            EFFECT,
                            REPEAT_SCOPE,
                            REPEAT_WINDOW,
                            CLASS_ATTEMPTS,
                            CLASS_ZONES,
                            CLASS_KINDS,
                            LONGEST_BODY,
                            LEAST_RATE,
                            STALL,
                            LONG_RESULTS,
                            DEADLINE_TO));

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
                    FieldType.whole(0, 65_535),
                    0L,
                    "the group within which it drops repeats of keyed requests");
    static final Field<Double> WORKER_WEIGHT =
            optional("weight", FieldType.number(0, 1000), 1.0, "its nominal size");
    static final Block WORKER =
            new Block(
                    "worker",
                    0,
                    MANY,
                    "a worker: the fixed list, or with a discovery service the list to begin with",
                    List.of(
                            WORKER_ID,
                            WORKER_ADDRESS,
                            WORKER_ZONE,
                            WORKER_KIND,
                            WORKER_CELL,
                            WORKER_WEIGHT));

    static final Field<InetSocketAddress> DIRECTOR_ADDRESS =
            required("address", FieldType.address(), "where it listens");
    static final Field<Long> ASK_WITHIN =
            optional(
                    "ask_within",
                    FieldType.time(seconds(1), seconds(600)),
                    seconds(6),
                    "the longest time without a watch before changes count as told");
    static final Block DIRECTOR =
            new Block(
                    "director",
                    0,
                    1,
                    "the service that tells of the workers",
                    List.of(DIRECTOR_ADDRESS, ASK_WITHIN));

    static final Field<Long> ATTEMPTS =
            optional(
                    "attempts",
                    FieldType.whole(1, MOST_ATTEMPTS),
                    (long) MOST_ATTEMPTS,
                    "attempts for one request, of any class");
    static final Field<Boolean> SECOND_COPIES =
            optional(
                    "second_copies",
                    FieldType.truth(),
                    false,
                    "whether a request may be out at two workers at a time");
    static final Field<Long> RETRY_AFTER =
            optional(
                    "retry_after",
                    FieldType.time(0, seconds(60)),
                    seconds(2),
                    "the longest wait that a refusal advises; 0 * s gives no advice");
    static final Field<Long> SOCKETS =
            optional(
                    "sockets",
                    FieldType.whole(64, MOST_SOCKETS),
                    1024L,
                    "file descriptors that the process may hold");
    static final Field<Long> CONNECT_TIMEOUT =
            optional(
                    "connect_timeout",
                    FieldType.time(ms(1), seconds(60)),
                    ms(250),
                    "the longest that a connection to a worker may take to come up");
    static final Field<Long> IDLE_TIMEOUT =
            optional(
                    "idle_timeout",
                    FieldType.time(ms(100), HOUR_US),
                    seconds(10),
                    "when workers close a connection that stands idle");
    static final Field<Boolean> PROBES =
            optional("probes", FieldType.truth(), false, "whether workers answer `GET /stats`");
    static final Block LIMITS =
            new Block(
                    "limits",
                    0,
                    1,
                    "what the node may do",
                    List.of(
                            ATTEMPTS,
                            SECOND_COPIES,
                            RETRY_AFTER,
                            SOCKETS,
                            CONNECT_TIMEOUT,
                            IDLE_TIMEOUT,
                            PROBES));

    static final Field<Boolean> LOAD =
            optional("load", FieldType.truth(), true, "whether answers bring load reports");
    static final Field<Boolean> STARTS =
            optional("starts", FieldType.truth(), true, "whether workers tell when a job starts");
    static final Field<Long> PROGRESS =
            optional(
                    "progress",
                    FieldType.time(0, seconds(600)),
                    0L,
                    "how often workers tell of a running job's progress; 0 * s is never");
    static final Field<Long> BUDGET =
            optional(
                    "budget",
                    FieldType.size(128 * KIB, 64 * GIB),
                    32 * MIB,
                    "memory of all long bodies and results together");
    static final Field<Long> WINDOW =
            optional(
                    "window",
                    FieldType.size(128 * KIB, GIB),
                    128 * KIB,
                    "memory that each owns while its request is open; without room for it, the"
                            + " request is refused");
    static final Field<Long> LENT =
            optional(
                    "lent",
                    FieldType.size(0, GIB),
                    512 * KIB,
                    "memory beyond `window` that one may be lent; never more than a 64th of what is"
                            + " free");
    static final Field<Long> SPOOL =
            optional(
                    "spool",
                    FieldType.size(0, GIB),
                    256 * KIB,
                    "a body is kept up to this, so that it can be sent to a further worker; not"
                            + " above `window` + `lent`");
    static final Field<Long> OF_A_CLIENT =
            optional(
                    "of_a_client",
                    FieldType.size(128 * KIB, 64 * GIB),
                    8 * MIB,
                    "memory that the requests from one address may own so; not above `budget`");
    static final Block BODIES =
            new Block(
                    "bodies",
                    0,
                    1,
                    "memory for long bodies and long results, where a class has such",
                    List.of(BUDGET, WINDOW, LENT, SPOOL, OF_A_CLIENT));

    static final Block REPORTS =
            new Block("reports", 0, 1, "what workers tell", List.of(LOAD, STARTS, PROGRESS));

    static final Field<Double> FROM_SHARE =
            optional(
                    "from_share",
                    FieldType.number(0.01, 1),
                    1.0,
                    "the share of its capacity that a worker has when it starts");
    static final Field<Long> WARM_WITHIN =
            optional("warm_within", FieldType.time(0, HOUR_US), 0L, "when it has all of it");
    static final Field<Double> OVERLOAD =
            optional(
                    "overload",
                    FieldType.number(0.1, 1000),
                    3.0,
                    "sent more than so many times its capacity of the moment");
    static final Field<Long> TIP_AFTER =
            optional(
                    "tip_after",
                    FieldType.time(0, HOUR_US),
                    seconds(1),
                    "for so long, it falls over");
    static final Block COLD_START =
            new Block(
                    "cold_start",
                    0,
                    1,
                    "how a worker behaves after its start",
                    List.of(FROM_SHARE, WARM_WITHIN, OVERLOAD, TIP_AFTER));

    static final Field<Double> WHOLE =
            optional("whole", FieldType.number(0, 1e6), 0.65, "weight of all requests");
    static final Field<Double> WORST_WINDOW =
            optional(
                    "worst_window",
                    FieldType.number(0, 1e6),
                    0.15,
                    "weight of the worst ten seconds");
    static final Field<Double> WORST_CLASS =
            optional(
                    "worst_class",
                    FieldType.number(0, 1e6),
                    0.2,
                    "weight of the worst-served class");
    static final Block GOAL =
            new Block(
                    "goal",
                    0,
                    1,
                    "what service is judged by",
                    List.of(WHOLE, WORST_WINDOW, WORST_CLASS));

    static final Field<String> LOG_FORMAT =
            optional(
                    "format",
                    FieldType.choice("text", "json"),
                    "text",
                    "lines for people, or one JSON object a line");
    static final Field<String> LOG_LEVEL =
            optional(
                    "level",
                    FieldType.choice("debug", "info", "warning", "error"),
                    "info",
                    "the least that is logged");
    static final Block LOGS =
            new Block(
                    "logs",
                    0,
                    1,
                    "the log, which goes to standard error",
                    List.of(LOG_FORMAT, LOG_LEVEL));

    static final Field<String> SOCKET =
            required(
                    "socket",
                    FieldType.socketPath(),
                    "the file of the control socket, in a folder that is nobody else's");
    static final Block CONTROL =
            new Block(
                    "control",
                    0,
                    1,
                    "where consoles connect; without it, nowhere",
                    List.of(SOCKET));

    static final Field<String> FOLDER =
            required("folder", FieldType.path(), "the folder for what outlives the process");
    static final Block STATE =
            new Block(
                    "state",
                    0,
                    1,
                    "where the operators' drains are kept; without it, they end with the process",
                    List.of(FOLDER));

    static final Field<InetSocketAddress> PEERS_LISTEN =
            required(
                    "listen",
                    FieldType.address(),
                    "where this dispatcher takes the others' datagrams (UDP), and where it sends"
                            + " from");
    static final Field<List<InetSocketAddress>> PEERS_ADDRESSES =
            required(
                    "addresses",
                    FieldType.addresses(),
                    "where each of the other dispatchers listens; `dispatchers` of `node` is one"
                            + " more than these");
    static final Field<String> PEERS_KEY_FILE =
            required(
                    "key_file",
                    FieldType.path(),
                    "a file of 16 bytes or more, the same at every dispatcher, that messages are"
                            + " authenticated with");
    static final Field<Long> PEERS_BYTES_PER_SECOND =
            optional(
                    "bytes_per_second",
                    FieldType.whole(100, 1_000_000),
                    3_000L,
                    "bytes a second that it sends at the most, to all others together; at least 100"
                            + " for each of them");
    static final Block PEERS =
            new Block(
                    "peers",
                    0,
                    1,
                    "the other dispatchers, with which this one exchanges in-flight counts; without"
                            + " it, it does not",
                    List.of(PEERS_LISTEN, PEERS_ADDRESSES, PEERS_KEY_FILE, PEERS_BYTES_PER_SECOND));

    static final List<Block> BLOCKS =
            List.of(
                    NODE,
                    JOB_CLASS,
                    WORKER,
                    DIRECTOR,
                    LIMITS,
                    BODIES,
                    REPORTS,
                    COLD_START,
                    GOAL,
                    LOGS,
                    CONTROL,
                    STATE,
                    PEERS);

    private Schema() {}

    /** The reference in Markdown, one table a block. */
    static String reference() {
        final StringBuilder out = new StringBuilder();
        for (final Block block : BLOCKS) {
            out.append("### `")
                    .append(block.name())
                    .append("`\n\n")
                    .append(capital(block.meaning()))
                    .append(". ")
                    .append(
                            block.least() > 0
                                    ? block.most() > 1 ? "At least once" : "Exactly once"
                                    : block.most() > 1 ? "Any number of times" : "At most once")
                    .append(".\n\n")
                    .append(
                            "| field | allowed | without it | meaning |\n"
                                    + "| --- | --- | --- | --- |\n");
            for (final Field<?> field : block.fields()) {
                out.append("| `")
                        .append(field.name())
                        .append("` | ")
                        .append(field.kind().allowed())
                        .append(" | ")
                        .append(
                                field.required()
                                        ? "required"
                                        : field.otherwise() == null
                                                ? ""
                                                : "`" + field.shownDefault() + "`")
                        .append(" | ")
                        .append(field.meaning())
                        .append(" |\n");
            }
            out.append('\n');
        }
        return out.toString();
    }

    private static String capital(String text) {
        return Character.toUpperCase(text.charAt(0)) + text.substring(1);
    }

    /** The form of a block, with its values, that a script would give. */
    static String show(Block block, Map<String, Object> values) {
        final StringBuilder out = new StringBuilder(block.name()).append("(\n");
        for (final Field<?> field : block.fields()) {
            final Object value = values.get(field.name());
            if (value != null) {
                out.append("    ")
                        .append(field.name())
                        .append(" = ")
                        .append(field.show(value))
                        .append(",\n");
            }
        }
        return out.append(")\n").toString();
    }

    /** Names as errors list them. */
    static String listed(List<String> names) {
        return String.join(", ", names.stream().map(Values::quoted).toList());
    }
}
