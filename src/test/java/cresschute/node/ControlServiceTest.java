package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.control.socket.ControlHandler;
import cresschute.dispatch.DispatcherEvents;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the control service as a whole, on a clock that the test advances. */
class ControlServiceTest {

    private static final long TEN_MINUTES_US = 600_000_000;

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private long nowUs = 1_700_000_000_000_000L;

    /** Otherwise workers that were removed long ago would fill the screen and the memory. */
    @Test
    void removesRowOfForgottenWorker() throws Exception {
        final NodeConfig config;
        try (ServerSocket unusedServer = Peer.listen()) {
            config =
                    NodeConfigParser.parse(
                            TestNode.config(
                                    unusedServer,
                                    TestNode.list(
                                            1,
                                            true,
                                            TestNode.entry("s-1", unusedServer, "SERVING")
                                                    + ","
                                                    + TestNode.entry(
                                                            "s-2", unusedServer, "SERVING"))),
                            Map.of());
        }
        final ControlService service = new ControlService(config, loop.eventLoop(), () -> nowUs);
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
                        () -> nowUs,
                        new RateLimitedLog(System.getLogger("test"), () -> nowUs),
                        service,
                        actions -> dispatcher);
        service.open(lifecycle);
        lifecycle.start(null, () -> {}, config.initialEndpoints());
        final ControlHandler handler = service.handler();
        handler.refresh();
        assertThat(handler.table().since(0).rows()).containsKeys("w/s-1", "w/s-2");
        lifecycle.endpointListReceived(
                new EndpointList(2, true, List.of(config.initialEndpoints().entries().get(0))));
        handler.refresh();
        assertThat(handler.table().since(0).rows().get("w/s-2")).contains("\"state\":\"gone\"");
        final long before = handler.table().version();
        nowUs += TEN_MINUTES_US;
        handler.refresh();
        assertThat(handler.table().since(0).rows()).containsKey("w/s-1").doesNotContainKey("w/s-2");
        assertThat(handler.table().since(before).removed()).containsExactly("w/s-2");
    }
}
