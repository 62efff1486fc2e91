package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import cresschute.control.DrainOperation;
import cresschute.control.DrainRegistry;
import cresschute.control.socket.ControlHandler;
import cresschute.dispatch.DispatcherEvents;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Pins the format of rows and answers for consoles, key by key, to that of earlier versions, so
 * that consoles of another version can read them. Never adapt the literals to a renaming in the
 * code.
 */
class ControlServiceFormatTest {

    private static final long NOW_US = 1_700_000_000_000_000L;

    private final EmbeddedChannel loop = new EmbeddedChannel();

    private ControlService service(ServerSocket workerServer) throws Exception {
        final NodeConfig config =
                NodeConfigParser.parse(
                        TestNode.config(
                                workerServer,
                                TestNode.list(
                                        1,
                                        true,
                                        TestNode.entry("s-1", workerServer, "SERVING")
                                                + ","
                                                + TestNode.entry("s-2", workerServer, "SERVING")
                                                + ","
                                                + TestNode.entry("s-3", workerServer, "DRAINING"))),
                        Map.of());
        final ControlService service = new ControlService(config, loop.eventLoop(), () -> NOW_US);
        final DispatcherEvents dispatcher =
                (DispatcherEvents)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {DispatcherEvents.class},
                                (proxy, method, args) -> null);
        final RequestLifecycle lifecycle =
                new RequestLifecycle(
                        config,
                        loop.eventLoop(),
                        () -> NOW_US,
                        new RateLimitedLog(System.getLogger("test"), () -> NOW_US),
                        service,
                        actions -> dispatcher);
        service.open(lifecycle);
        lifecycle.start(null, () -> {}, config.initialEndpoints());
        return service;
    }

    private static String execute(ControlHandler handler, DrainOperation operation) {
        final List<JsonObject> answers = new ArrayList<>();
        handler.execute(operation, answers::add);
        assertThat(answers).hasSize(1);
        return answers.get(0).toString();
    }

    private static DrainOperation drain(String id, String worker, long durationUs) {
        return new DrainOperation(id, true, worker, durationUs, "ann", "new disk", false);
    }

    @Test
    void operationAnswersKeepTheirFormat() throws Exception {
        try (ServerSocket workerServer = Peer.listen()) {
            final ControlHandler handler = service(workerServer).handler();
            assertThat(execute(handler, drain("op-1", "s-1", 7_200_000_000L)))
                    .isEqualTo(
                            "{\"ok\":true,\"outcome\":\"done\",\"why\":\"\",\"worker\":\"s-1\",\"in_flight\":0}");
            assertThat(execute(handler, drain("op-2", "s-1", DrainRegistry.NO_END_US)))
                    .isEqualTo(
                            "{\"ok\":true,\"outcome\":\"already\",\"why\":\"drained by ann: new"
                                    + " disk\",\"worker\":\"s-1\",\"in_flight\":0}");
            assertThat(execute(handler, drain("op-3", "s-9", DrainRegistry.NO_END_US)))
                    .isEqualTo(
                            "{\"ok\":true,\"outcome\":\"refused\",\"why\":\"no worker is called"
                                    + " s-9\",\"worker\":\"s-9\",\"in_flight\":0}");
        }
    }

    private static void assertRow(Map<String, String> rows, String key, String expected) {
        assertThat(JsonParser.parseString(rows.get(key))).as(key).hasToString(expected);
    }

    @Test
    void rowsKeepTheirFormat() throws Exception {
        try (ServerSocket workerServer = Peer.listen()) {
            final ControlHandler handler = service(workerServer).handler();
            execute(handler, drain("op-1", "s-1", 7_200_000_000L));
            handler.refresh();
            final Map<String, String> rows = handler.table().since(0).rows();
            assertThat(rows)
                    .containsOnlyKeys("w/s-1", "w/s-2", "w/s-3", "c/check", "c/file", "node");
            final String port = ":" + workerServer.getLocalPort();
            rows.replaceAll((key, row) -> row.replace(port, ":PORT"));
            assertRow(
                    rows,
                    "w/s-1",
                    """
                    {"id":"s-1","state":"draining",\
                    "why":"by an operator; nothing is out there","since_ms":1700000000000,\
                    "address":"127.0.0.1:PORT","kind":"m1","cell":0,"listed":"serving",\
                    "drain":{"who":"ann","reason":"new disk","since_ms":1700000000000,\
                    "until_ms":1700007200000},"in_flight":0,"in_flight_by_class":{},\
                    "rate":0.0,"failed":0,"p50_ms":-1,"p99_ms":-1,"p50_ms_10m":-1,\
                    "p99_ms_10m":-1,"sparks":[0,0,0,0,0,0,0,0,0,0,0,0],"queue":-1.0,\
                    "free":-1.0,"report_ms":0}\
                    """);
            assertRow(
                    rows,
                    "w/s-2",
                    """
                    {"id":"s-2","state":"taking","why":"","since_ms":1700000000000,\
                    "address":"127.0.0.1:PORT","kind":"m1","cell":0,"listed":"serving",\
                    "in_flight":0,"in_flight_by_class":{},"rate":0.0,"failed":0,\
                    "p50_ms":-1,"p99_ms":-1,"p50_ms_10m":-1,"p99_ms_10m":-1,"sparks":[0,0,\
                    0,0,0,0,0,0,0,0,0,0],"queue":-1.0,"free":-1.0,"report_ms":0}\
                    """);
            assertRow(
                    rows,
                    "w/s-3",
                    """
                    {"id":"s-3","state":"draining",\
                    "why":"by the list; nothing is out there","since_ms":1700000000000,\
                    "address":"127.0.0.1:PORT","kind":"m1","cell":0,"listed":"draining",\
                    "in_flight":0,"in_flight_by_class":{},"rate":0.0,"failed":0,\
                    "p50_ms":-1,"p99_ms":-1,"p50_ms_10m":-1,"p99_ms_10m":-1,"sparks":[0,0,\
                    0,0,0,0,0,0,0,0,0,0],"queue":-1.0,"free":-1.0,"report_ms":0}\
                    """);
            assertRow(
                    rows,
                    "c/check",
                    """
                    {"id":"check","asked":0,"admitted":-1.0,"served":0,"refused":0,\
                    "failed":0,"in_time":0,"in_flight":0,"p50_ms":-1,"p99_ms":-1,\
                    "p50_ms_10m":-1,"p99_ms_10m":-1}\
                    """);
            assertRow(
                    rows,
                    "node",
                    """
                    {"name":"n0","list_version":1,"list_ms":1700000000000,\
                    "fixed_list":false,"open":0,"worth_kept":-1.0,"stopping":false,\
                    "consoles":0,"broken":0}\
                    """);
        }
    }
}
