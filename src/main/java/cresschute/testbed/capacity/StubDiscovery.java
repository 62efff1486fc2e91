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
 * Discovery service that lists the stub workers and changes the list: a worker that is selected at
 * random, by the seed, is drained and serves again 3 seconds later, every second time with a new
 * start time as if it had been restarted. Confined to one event loop.
 */
final class StubDiscovery {

    private static final long DRAIN_DURATION_US = 3_000_000;
    private static final double US_PER_SECOND = 1e6;

    private final EventLoop loop;
    private final Recorder recorder;
    private final List<Spec> specs;
    private final List<InetSocketAddress> addresses;
    private final UniformRandomProvider random;
    private final DiscoveryStandIn standIn;
    private final boolean[] draining;
    private final long[] startedMs;
    private final double changesPerSecond;
    private long handshakes;
    private long bytes;
    private long changes;

    StubDiscovery(
            EventLoop loop,
            Recorder recorder,
            CapacityPlan plan,
            List<InetSocketAddress> addresses) {
        this.loop = loop;
        this.recorder = recorder;
        this.addresses = List.copyOf(addresses);
        specs = new ExperimentSetup(plan).workers();
        random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed() + 3);
        draining = new boolean[specs.size()];
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

    /** Lists all workers and starts to listen. Must not be called on the event loop. */
    InetSocketAddress start() {
        loop.submit(
                        () -> {
                            for (int i = 0; i < specs.size(); i++) {
                                list(i, "SERVING");
                            }
                        })
                .syncUninterruptibly();
        return standIn.start(InetAddress.getLoopbackAddress());
    }

    /** Starts to change the list. Call on the event loop. */
    void beginChanges() {
        if (changesPerSecond > 0) {
            // The start and the end of a drain are a change each: one drain makes two changes.
            final long intervalUs = (long) (2 * US_PER_SECOND / changesPerSecond);
            loop.scheduleAtFixedRate(
                    this::drainOne, intervalUs / 2, intervalUs, TimeUnit.MICROSECONDS);
        }
    }

    private void drainOne() {
        final int number = random.nextInt(specs.size());
        if (draining[number]) {
            return;
        }
        draining[number] = true;
        changes++;
        list(number, "DRAINING");
        final boolean restarted = changes % 2 == 0;
        loop.schedule(
                () -> {
                    draining[number] = false;
                    startedMs[number] = restarted ? recorder.nowUs() / 1_000 : startedMs[number];
                    changes++;
                    list(number, "SERVING");
                },
                DRAIN_DURATION_US,
                TimeUnit.MICROSECONDS);
    }

    private void list(int number, String state) {
        standIn.setState(specs.get(number), addresses.get(number), state, startedMs[number]);
    }

    /** The counters so far. Call on the event loop. */
    JsonObject counts() {
        final Traffic traffic = new Traffic();
        traffic.addBytes(TrafficKind.LIST, bytes);
        for (long i = 0; i < handshakes; i++) {
            traffic.addHandshake();
        }
        final JsonObject counts = new JsonObject();
        counts.addProperty("calls", standIn.calls());
        counts.addProperty("watching", standIn.watching());
        counts.addProperty("changes", changes);
        counts.add("traffic", traffic.json());
        return counts;
    }
}
