package cresschute.testbed;

import cresschute.node.NodeConfig;
import cresschute.node.NodeServer;
import cresschute.settings.SettingsFile;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A node with very many workers and a discovery service whose list changes continuously, to measure
 * the cost of consoles at that size. No jobs are sent, so that the workers need not exist.
 */
public final class LargeFleet implements AutoCloseable {

    private static final long STEP_MS = 50;

    /** The maximum wait for a call on the loop or for the end of the node, s. */
    private static final long MAX_WAIT_S = 30;

    private static final InetSocketAddress UNUSED_ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final UniformRandomProvider random;
    private final DiscoveryStandIn discovery;
    private final List<WorkerStandIn.Spec> workers = new ArrayList<>();
    private final boolean[] drains;
    private final NodeServer node;

    /** Starts discovery and the node; the endpoint list is reported immediately. */
    public LargeFleet(int count, long seed, Path controlSocket) {
        random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        discovery = new DiscoveryStandIn(loop, new Recorder());
        drains = new boolean[count];
        final InetSocketAddress at = discovery.start();
        for (int i = 0; i < count; i++) {
            workers.add(new WorkerStandIn.Spec("w" + (i + 1), i % 10, "local", "std", 4, 1));
        }
        CompletableFuture.runAsync(
                        () ->
                                workers.forEach(
                                        each ->
                                                discovery.setState(
                                                        each, UNUSED_ADDRESS, "SERVING", 0)),
                        loop)
                .orTimeout(MAX_WAIT_S, TimeUnit.SECONDS)
                .join();
        node =
                new NodeServer(
                        NodeConfig.of(
                                SettingsFile.parse(
                                                """
                                                node(name = "wide", listen = "127.0.0.1:0", seed = 1)
                                                director(address = "127.0.0.1:%d")
                                                job_class(name = "lookup", worth = 1, aim = 1 * s, deadline = 5 * s, effect = "safe")
                                                control(socket = "%s")
                                                """
                                                        .formatted(at.getPort(), controlSocket))
                                        .settings(),
                                seed));
        node.start();
    }

    /**
     * Switches this many random workers per second between serving and draining from now on; the
     * seed determines which.
     */
    public void churn(int perS) {
        loop.scheduleAtFixedRate(
                () -> {
                    for (int i = 0; i < perS * STEP_MS / 1_000; i++) {
                        final int worker = random.nextInt(drains.length);
                        drains[worker] = !drains[worker];
                        discovery.setState(
                                workers.get(worker),
                                UNUSED_ADDRESS,
                                drains[worker] ? "DRAINING" : "SERVING",
                                0);
                    }
                },
                STEP_MS,
                STEP_MS,
                TimeUnit.MILLISECONDS);
    }

    /** CPU time of the node's event loop, ns. */
    public long nodeCpuNs() {
        return node.loopCpuNs();
    }

    @Override
    public void close() {
        node.stop().orTimeout(MAX_WAIT_S, TimeUnit.SECONDS).join();
        CompletableFuture.runAsync(discovery::close, loop)
                .orTimeout(MAX_WAIT_S, TimeUnit.SECONDS)
                .join();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
