package cresschute.node;

import cresschute.control.DrainOperation;
import cresschute.dispatch.DispatcherEvents;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;

/**
 * A request life cycle with an endpoint list of two workers, a clock that the test advances and a
 * dispatcher that does nothing, together with the parts of the control service that use it. The
 * test calls all of it on its own thread.
 */
final class IdleLifecycle {

    final EmbeddedChannel loop = new EmbeddedChannel();
    final NodeConfig config;
    final RequestLifecycle lifecycle;
    final OperatorEventLog events = new OperatorEventLog(() -> this.nowUs);
    final DurableDrains drains = new DurableDrains(loop.eventLoop(), new NoOpDrainListener());
    final ControlContext node;
    final WorkerHealthMonitor health;
    long nowUs = 1_700_000_000_000_000L;

    private static final class NoOpDrainListener implements DrainListener {

        @Override
        public void drainChanged(DrainOperation operation) {
            // The test reads the drains themselves.
        }

        @Override
        public void drainsExpired(List<String> workers) {
            // The test reads the drains themselves.
        }
    }

    /** Workers {@code s-1} and {@code s-2} are listed as serving. */
    IdleLifecycle() throws IOException, ConfigException {
        config = config();
        final DispatcherEvents dispatcher =
                (DispatcherEvents)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {DispatcherEvents.class},
                                (proxy, method, args) -> null);
        lifecycle =
                new RequestLifecycle(
                        config,
                        loop.eventLoop(),
                        () -> nowUs,
                        new RateLimitedLog(System.getLogger("test"), () -> nowUs),
                        RequestListener.NONE,
                        actions -> dispatcher);
        node = new ControlContext(config, lifecycle, () -> nowUs, events);
        health = new WorkerHealthMonitor(node, drains);
    }

    private static NodeConfig config() throws IOException, ConfigException {
        try (ServerSocket free = Peer.listen()) {
            return NodeConfigParser.parse(
                    TestNode.config(
                            free,
                            TestNode.list(
                                    1,
                                    true,
                                    TestNode.entry("s-1", free, "SERVING")
                                            + ","
                                            + TestNode.entry("s-2", free, "SERVING"))),
                    Map.of());
        }
    }

    /** Publishes the endpoint list and notifies the health monitor of it. */
    IdleLifecycle started() {
        lifecycle.start(null, () -> {}, config.initialEndpoints());
        health.endpointListChanged(nowUs, lifecycle.registry().listed());
        return this;
    }
}
