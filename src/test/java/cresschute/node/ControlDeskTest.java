package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.Events;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The operator's place in a node, on a clock that is turned by hand. */
class ControlDeskTest {

    private static final long TEN_MINUTES_US = 600_000_000;

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private long nowUs = 1_700_000_000_000_000L;

    /** Guards the screen and the heap: rows of workers that are long gone once stayed for good. */
    @Test
    void rowOfAForgottenWorkerGoes() throws Exception {
        final NodeConfig config;
        try (ServerSocket free = Peer.listen()) {
            config = NodeConfig.parse(TestNode.config(free, TestNode.list(1, true,
                TestNode.entry("s-1", free, "SERVING") + "," + TestNode.entry("s-2", free, "SERVING"))),
                Map.of());
        }
        final ControlDesk desk = new ControlDesk(config, loop.eventLoop(), () -> nowUs);
        final Events module = (Events) Proxy.newProxyInstance(getClass().getClassLoader(),
            new Class<?>[]{Events.class}, (proxy, method, args) -> null);
        final Core core = new Core(config, loop.eventLoop(), () -> nowUs,
            new RateLimitedLog(System.getLogger("test"), () -> nowUs), desk, actions -> module);
        desk.open(core);
        core.start(null, () -> {}, config.known());
        desk.look();
        assertThat(desk.board().since(0).rows()).containsKeys("w/s-1", "w/s-2");
        core.directorTold(new DirectorList(2, true, List.of(config.known().entries().get(0))));
        desk.look();
        assertThat(desk.board().since(0).rows().get("w/s-2")).contains("\"state\":\"gone\"");
        final long before = desk.board().number();
        nowUs += TEN_MINUTES_US;
        desk.look();
        assertThat(desk.board().since(0).rows()).containsKey("w/s-1").doesNotContainKey("w/s-2");
        assertThat(desk.board().since(before).gone()).containsExactly("w/s-2");
    }
}
