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
            required(
                    "name",
                    FieldType.name(),
                    "the node's name in logs; stays the same across restarts");
    static final Field<InetSocketAddress> NODE_LISTEN =
            required(
                    "listen",
                    FieldType.address(),
                    "the address on which clients connect; port 0 selects a free port");
    static final Field<Long> SEED =
            optional(
                    "seed",
                    FieldType.integer(0, Long.MAX_VALUE),
                    null,
                    "the seed of the random number generator; a new one at each start if not set");
    static final Field<Long> DISPATCHERS =
            optional(
                    "dispatchers",
                    FieldType.integer(1, Schema.MAX_ENTRIES),
                    1L,
                    "the number of nodes that serve the same workers, this one included");
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
                    "maximum number of attempts for one request of any class");
    static final Field<Boolean> HEDGED_REQUESTS =
            optional(
                    "second_copies",
                    FieldType.bool(),
                    false,
                    "whether hedged requests are allowed: a request may be in flight at two workers"
                            + " at a time");
    static final Field<Long> MAX_RETRY_AFTER =
            optional(
                    "retry_after",
                    FieldType.time(0, seconds(60)),
                    seconds(2),
                    "the longest Retry-After of a rejection; 0 * s sends none");
    static final Field<Long> MAX_SOCKETS =
            optional(
                    "sockets",
                    FieldType.integer(64, Schema.MAX_FILE_DESCRIPTORS),
                    1024L,
                    "maximum number of open file descriptors of the process");
    static final Field<Long> CONNECT_TIMEOUT =
            optional(
                    "connect_timeout",
                    FieldType.time(ms(1), seconds(60)),
                    ms(250),
                    "timeout for establishing a connection to a worker");
    static final Field<Long> IDLE_TIMEOUT =
            optional(
                    "idle_timeout",
                    FieldType.time(ms(100), Schema.HOUR_US),
                    seconds(10),
                    "the time after which workers close an idle connection");
    static final Field<Boolean> LOAD_QUERIES =
            optional("probes", FieldType.bool(), false, "whether workers answer `GET /stats`");
    static final Block LIMITS =
            new Block(
                    "limits",
                    0,
                    1,
                    "limits of the node",
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
                    "readable lines, or one JSON object per line");
    static final Field<String> LOG_LEVEL =
            optional(
                    "level",
                    FieldType.oneOf("debug", "info", "warning", "error"),
                    "info",
                    "the lowest level that is logged");
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
                    "the path of the control socket, in a folder that belongs only to the node's"
                            + " user");
    static final Block CONTROL =
            new Block(
                    "control",
                    0,
                    1,
                    "the socket on which consoles connect; without the block, there is none",
                    List.of(CONTROL_SOCKET));

    static final Field<String> STATE_FOLDER =
            required("folder", FieldType.path(), "the folder for state that outlives the process");
    static final Block STATE =
            new Block(
                    "state",
                    0,
                    1,
                    "where operators' drains are stored; without the block, they are lost when the"
                            + " process ends",
                    List.of(STATE_FOLDER));

    private NodeSchema() {}
}
