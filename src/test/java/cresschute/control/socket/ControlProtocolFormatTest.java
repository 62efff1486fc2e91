package cresschute.control.socket;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import cresschute.TestConsole;
import cresschute.console.ControlLink;
import cresschute.control.ControlCommand;
import cresschute.control.ControlRequest;
import cresschute.control.DrainOperation;
import cresschute.control.DrainRegistry;
import cresschute.control.EventRing;
import cresschute.control.VersionedTable;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the format of the control protocol in both directions, so that consoles and nodes of
 * different versions understand each other. The literals are the lines that an earlier version
 * wrote; do not adapt them when names in the code change.
 */
@Timeout(30)
class ControlProtocolFormatTest {

    private static final String WORKERS = "{\"v\":1,\"id\":\"1\",\"do\":\"workers\"}";
    private static final String SUBSCRIBE =
            "{\"v\":1,\"id\":\"rows\",\"do\":\"subscribe\",\"from\":17,\"boot\":\"run-1\"}";
    private static final String EVENTS =
            "{\"v\":1,\"id\":\"events\",\"do\":\"events\",\"after\":2,\"boot\":\"run-1\"}";
    private static final String DRAIN =
            "{\"v\":1,\"id\":\"o1\",\"do\":\"drain\",\"op\":\"op-1\",\"worker\":\"w1\",\"who\":\"ann\",\"reason\":\"new"
                + " disk\",\"force\":true,\"for_ms\":7200000}";
    private static final String UNDRAIN =
            "{\"v\":1,\"id\":\"o2\",\"do\":\"undrain\",\"op\":\"op-2\","
                    + "\"worker\":\"w1\",\"who\":\"ann\"}";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final VersionedTable table = new VersionedTable();
    private final EventRing events = new EventRing();
    private DrainOperation executed;
    private ControlServer server;
    private Path socket;

    @TempDir private Path folder;

    private final class FixedHandler implements ControlHandler {

        @Override
        public String incarnation() {
            return "run-1";
        }

        @Override
        public VersionedTable table() {
            return table;
        }

        @Override
        public EventRing events() {
            return events;
        }

        @Override
        public void refresh() {
            // The test changes the rows itself.
        }

        @Override
        public void execute(DrainOperation operation, Consumer<JsonObject> answer) {
            executed = operation;
            answer.accept(
                    JsonParser.parseString("{\"ok\":true,\"outcome\":\"done\"}").getAsJsonObject());
        }

        @Override
        public void audit(long session, ControlRequest request) {
            // The log is not tested here.
        }
    }

    @BeforeEach
    void listen() throws Exception {
        socket = folder.resolve("s");
        table.put("w/w1", "{\"id\":\"w1\"}");
        table.put("w/w2", "{\"id\":\"w2\"}");
        table.remove("w/w2");
        events.add(1_700_000_000_123_456L, "drained", "w1", "w1 drained by ann");
        events.add(1_700_000_001_000_000L, "node_stopping", null, "the node is stopping");
        server = new ControlServer(loop, socket, new FixedHandler());
        server.listen();
    }

    @AfterEach
    void close() {
        loop.submit(server::close).syncUninterruptibly();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private String answer(String request) throws Exception {
        try (TestConsole console = new TestConsole(socket)) {
            return console.write(request + "\n").read().toString();
        }
    }

    // ---- Requests ----

    @Test
    void consoleRequestsKeepTheirFormat() {
        assertThat(ControlLink.request("1", "workers")).hasToString(WORKERS);
        final Map<String, Object> drain = new LinkedHashMap<>();
        drain.put("op", "op-1");
        drain.put("worker", "w1");
        drain.put("who", "ann");
        drain.put("reason", "new disk");
        drain.put("force", true);
        drain.put("for_ms", 7_200_000L);
        assertThat(ControlLink.request("o1", "drain", drain)).hasToString(DRAIN);
    }

    @Test
    void parsesRequestsOfAnEarlierConsole() throws Exception {
        assertThat(ControlRequest.parse(WORKERS))
                .isEqualTo(new ControlRequest("1", ControlCommand.WORKERS, 0, "", 0, null));
        assertThat(ControlRequest.parse(SUBSCRIBE))
                .isEqualTo(
                        new ControlRequest("rows", ControlCommand.SUBSCRIBE, 17, "run-1", 0, null));
        assertThat(ControlRequest.parse(EVENTS))
                .isEqualTo(
                        new ControlRequest("events", ControlCommand.EVENTS, 0, "run-1", 2, null));
        assertThat(ControlRequest.parse(DRAIN))
                .isEqualTo(
                        new ControlRequest(
                                "o1",
                                ControlCommand.DRAIN,
                                0,
                                "",
                                0,
                                new DrainOperation(
                                        "op-1",
                                        true,
                                        "w1",
                                        7_200_000_000L,
                                        "ann",
                                        "new disk",
                                        true)));
        assertThat(ControlRequest.parse(UNDRAIN))
                .isEqualTo(
                        new ControlRequest(
                                "o2",
                                ControlCommand.UNDRAIN,
                                0,
                                "",
                                0,
                                new DrainOperation(
                                        "op-2",
                                        false,
                                        "w1",
                                        DrainRegistry.NO_END_US,
                                        "ann",
                                        "",
                                        false)));
    }

    // ---- Answers and updates ----

    @Test
    void rowAnswersKeepTheirFormat() throws Exception {
        assertThat(answer(WORKERS))
                .isEqualTo(
                        "{\"re\":\"1\",\"ok\":true,\"boot\":\"run-1\",\"number\":3,"
                            + "\"whole\":true,\"rows\":{\"w/w1\":{\"id\":\"w1\"}},\"gone\":[]}");
        assertThat(
                        answer(
                                "{\"v\":1,\"id\":\"s\",\"do\":\"subscribe\",\"from\":2,\"boot\":\"run-1\"}"))
                .isEqualTo(
                        "{\"re\":\"s\",\"ok\":true,\"boot\":\"run-1\",\"number\":3,\"whole\":false,"
                                + "\"rows\":{},\"gone\":[\"w/w2\"]}");
    }

    @Test
    void eventAnswersKeepTheirFormat() throws Exception {
        assertThat(
                        answer(
                                "{\"v\":1,\"id\":\"e\",\"do\":\"events\",\"after\":0,\"boot\":\"run-1\"}"))
                .isEqualTo(
                        "{\"re\":\"e\",\"ok\":true,\"boot\":\"run-1\",\"missed\":0,\"events\":["
                            + "{\"n\":1,\"at_ms\":1700000000123,\"kind\":\"drained\",\"worker\":\"w1\",\"text\":\"w1"
                            + " drained by ann\"},"
                            + "{\"n\":2,\"at_ms\":1700000001000,\"kind\":\"node_stopping\",\"text\":\"the"
                            + " node is stopping\"}]}");
    }

    /** Updates have no {@code re}; their other fields are those of an answer. */
    @Test
    void updatesKeepTheirFormat() throws Exception {
        try (TestConsole console = new TestConsole(socket)) {
            console.ask("\"do\":\"subscribe\"");
            console.ask("\"do\":\"events\"");
            loop.submit(
                            () -> {
                                table.put("w/w1", "{\"id\":\"w1\",\"n\":2}");
                                events.add(
                                        1_700_000_002_000_000L,
                                        "undrained",
                                        "w1",
                                        "w1 no longer drained by ann");
                                server.publish(1);
                            })
                    .syncUninterruptibly();
            assertThat(console.read())
                    .hasToString(
                            "{\"boot\":\"run-1\",\"number\":4,\"whole\":false,"
                                + "\"rows\":{\"w/w1\":{\"id\":\"w1\",\"n\":2}},\"gone\":[],\"missed\":0,\"events\":["
                                + "{\"n\":3,\"at_ms\":1700000002000,\"kind\":\"undrained\",\"worker\":\"w1\",\"text\":\"w1"
                                + " no longer drained by ann\"}]}");
        }
    }

    @Test
    void operationAnswersKeepTheirFormat() throws Exception {
        assertThat(answer(DRAIN)).isEqualTo("{\"re\":\"o1\",\"ok\":true,\"outcome\":\"done\"}");
        assertThat(executed)
                .isEqualTo(
                        new DrainOperation(
                                "op-1", true, "w1", 7_200_000_000L, "ann", "new disk", true));
        assertThat(answer(UNDRAIN)).isEqualTo("{\"re\":\"o2\",\"ok\":true,\"outcome\":\"done\"}");
    }

    @Test
    void rejectionsKeepTheirFormat() throws Exception {
        assertThat(answer("{\"v\":1,\"id\":\"x\",\"do\":\"fly\"}"))
                .isEqualTo(
                        "{\"re\":\"x\",\"ok\":false,\"error\":\"do is 'fly'; there are workers,"
                                + " subscribe, events, drain, undrain\"}");
        assertThat(answer("{\"v\":1,\"do\":\"workers\"}"))
                .isEqualTo("{\"ok\":false,\"error\":\"id is missing: the answer would carry it\"}");
    }
}
