package cresschute.settings;

import static cresschute.settings.Field.optional;
import static cresschute.settings.Field.required;
import static cresschute.settings.FieldType.ms;
import static cresschute.settings.FieldType.seconds;

import java.net.InetSocketAddress;
import java.util.List;

/** Schema of the blocks for the node: name, limits, log, control socket and stored state. */
final class NodeSchema {

    static final Field<String> NODE_NAME =
            required("name", FieldType.name(), "its name in logs, the same after a restart");
    static final Field<InetSocketAddress> NODE_LISTEN =
            required(
                    "listen",
                    FieldType.address(),
                    "where clients connect; port 0 takes a free one");
    static final Field<Long> SEED =
            optional(
                    "seed",
                    FieldType.integer(0, Long.MAX_VALUE),
                    null,
                    "for random choices; without it, a new one at each start");
    static final Field<Long> DISPATCHERS =
            optional(
                    "dispatchers",
                    FieldType.integer(1, Schema.MAX_ENTRIES),
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
                    List.of(NODE_NAME, NODE_LISTEN, SEED, DISPATCHERS, NODE_ZONE));

    static final Field<Long> MAX_ATTEMPTS =
            optional(
                    "attempts",
                    FieldType.integer(1, Schema.MAX_ATTEMPTS_PER_REQUEST),
                    (long) Schema.MAX_ATTEMPTS_PER_REQUEST,
                    "attempts for one request, of any class");
    static final Field<Boolean> HEDGED_REQUESTS =
            optional(
                    "second_copies",
                    FieldType.bool(),
                    false,
                    "whether a request may be out at two workers at a time");
    static final Field<Long> MAX_RETRY_AFTER =
            optional(
                    "retry_after",
                    FieldType.time(0, seconds(60)),
                    seconds(2),
                    "the longest wait that a refusal advises; 0 * s gives no advice");
    static final Field<Long> MAX_SOCKETS =
            optional(
                    "sockets",
                    FieldType.integer(64, Schema.MAX_FILE_DESCRIPTORS),
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
                    FieldType.time(ms(100), Schema.HOUR_US),
                    seconds(10),
                    "when workers close a connection that stands idle");
    static final Field<Boolean> LOAD_QUERIES =
            optional("probes", FieldType.bool(), false, "whether workers answer `GET /stats`");
    static final Block LIMITS =
            new Block(
                    "limits",
                    0,
                    1,
                    "what the node may do",
                    List.of(
                            MAX_ATTEMPTS,
                            HEDGED_REQUESTS,
                            MAX_RETRY_AFTER,
                            MAX_SOCKETS,
                            CONNECT_TIMEOUT,
                            IDLE_TIMEOUT,
                            LOAD_QUERIES));

    static final Field<String> LOG_FORMAT =
            optional(
                    "format",
                    FieldType.oneOf("text", "json"),
                    "text",
                    "lines for people, or one JSON object a line");
    static final Field<String> LOG_LEVEL =
            optional(
                    "level",
                    FieldType.oneOf("debug", "info", "warning", "error"),
                    "info",
                    "the least that is logged");
    static final Block LOGS =
            new Block(
                    "logs",
                    0,
                    1,
                    "the log, which goes to standard error",
                    List.of(LOG_FORMAT, LOG_LEVEL));

    static final Field<String> CONTROL_SOCKET =
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
                    List.of(CONTROL_SOCKET));

    static final Field<String> STATE_FOLDER =
            required("folder", FieldType.path(), "the folder for what outlives the process");
    static final Block STATE =
            new Block(
                    "state",
                    0,
                    1,
                    "where the operators' drains are kept; without it, they end with the process",
                    List.of(STATE_FOLDER));

    private NodeSchema() {}
}
