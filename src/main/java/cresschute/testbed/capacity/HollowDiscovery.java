package cresschute.testbed.capacity;

import com.google.gson.JsonObject;
import cresschute.testbed.DiscoveryStandIn;
import cresschute.testbed.Recorder;
import cresschute.testbed.WorkerStandIn.Spec;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The service that lists the hollow workers, and its changes: a worker drawn by the seed drains,
 * and serves again some seconds later, every second time as one that was started anew. All on one
 * loop.
 */
final class HollowDiscovery {

    private static final long DRAINED_US = 3_000_000;
    private static final double US_A_SECOND = 1e6;

    private final EventLoop loop;
    private final Recorder recorder;
    private final List<Spec> specs;
    private final List<InetSocketAddress> addresses;
    private final UniformRandomProvider chance;
    private final DiscoveryStandIn standIn;
    private final boolean[] drains;
    private final long[] startedMs;
    private final double changesPerSecond;
    private long handshakes;
    private long bytes;
    private long changes;

    HollowDiscovery(
            EventLoop loop,
            Recorder recorder,
            CapacityPlan plan,
            List<InetSocketAddress> addresses) {
        this.loop = loop;
        this.recorder = recorder;
        this.addresses = List.copyOf(addresses);
        specs = new Site(plan).workers();
        chance = RandomSource.XO_SHI_RO_256_PP.create(plan.seed() + 3);
        drains = new boolean[specs.size()];
        startedMs = new long[specs.size()];
        changesPerSecond = plan.listChangesPerSecond();
        standIn =
                new DiscoveryStandIn(
                        loop,
                        recorder,
                        () -> {
                            handshakes++;
                            return new ByteCounter(recorder::nowUs, size -> bytes += size);
                        });
    }

    /** Lists all workers and listens; not on the loop. */
    InetSocketAddress start() {
        loop.submit(
                        () -> {
                            for (int i = 0; i < specs.size(); i++) {
                                report(i, "SERVING");
                            }
                        })
                .syncUninterruptibly();
        return standIn.start(InetAddress.getLoopbackAddress());
    }

    /** Changes begin. On the loop. */
    void beginChanges() {
        if (changesPerSecond > 0) {
            // A change is a drain or its end: one drain for every two of them.
            final long everyUs = (long) (2 * US_A_SECOND / changesPerSecond);
            loop.scheduleAtFixedRate(this::drainOne, everyUs / 2, everyUs, TimeUnit.MICROSECONDS);
        }
    }

    private void drainOne() {
        final int number = chance.nextInt(specs.size());
        if (drains[number]) {
            return;
        }
        drains[number] = true;
        changes++;
        report(number, "DRAINING");
        final boolean anew = changes % 2 == 0;
        loop.schedule(
                () -> {
                    drains[number] = false;
                    startedMs[number] = anew ? recorder.nowUs() / 1_000 : startedMs[number];
                    changes++;
                    report(number, "SERVING");
                },
                DRAINED_US,
                TimeUnit.MICROSECONDS);
    }

    private void report(int number, String state) {
        standIn.set(specs.get(number), addresses.get(number), state, startedMs[number]);
    }

    /** What was counted so far. On the loop. */
    JsonObject counts() {
        final Traffic traffic = new Traffic();
        traffic.more(TrafficKind.LIST, bytes);
        for (long i = 0; i < handshakes; i++) {
            traffic.handshake();
        }
        final JsonObject counts = new JsonObject();
        counts.addProperty("calls", standIn.calls());
        counts.addProperty("watching", standIn.watching());
        counts.addProperty("changes", changes);
        counts.add("traffic", traffic.json());
        return counts;
    }
}
