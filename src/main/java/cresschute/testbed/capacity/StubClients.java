package cresschute.testbed.capacity;

import com.google.gson.JsonObject;
import cresschute.testbed.JobClass;
import cresschute.testbed.LoadClients;
import cresschute.testbed.Recorder;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Clients of all tenants. They send single requests at random times, and gangs: many requests of
 * one tenant in one instant. During the ramp, until the planned number of requests is open,
 * requests arrive at a raised rate, and each runs until the expected end of the ramp plus the
 * remaining time of a job that is already running. Confined to one event loop.
 */
final class StubClients {

    /** Prefix of the id of each request of a gang; the gang's number follows. */
    static final String GANG_ID_PREFIX = "gang-";

    /** Fraction of the requests that are sent in gangs. */
    private static final double GANG_FRACTION = 0.1;

    /** Number of gang sizes: the largest one, halved once for each further size. */
    private static final int GANG_SIZES = 4;

    /** Rate of requests during the ramp, as a multiple of the planned rate. */
    private static final double RAMP_RATE_FACTOR = 1.6;

    /** Time in which the rate grows to that of the ramp. */
    private static final double RATE_GROWTH_SECONDS = 5;

    private static final long ARRIVAL_STEP_US = 2_000;
    private static final double US_PER_SECOND = 1e6;

    private final EventLoop loop;
    private final CapacityPlan plan;
    private final Recorder recorder;
    private final UniformRandomProvider random;
    private final List<JobClass> classes;
    private final RunTimes runTimes;
    private final LoadClients clients;
    private boolean arriving;
    private boolean ramping = true;
    private double remainingToNextSingle;
    private double nextGangUs;
    private long rampStartUs;
    private long lastStepUs;
    private long lastNumber;
    private long submitted;

    StubClients(EventLoop loop, Recorder recorder, CapacityPlan plan) {
        this.loop = loop;
        this.plan = plan;
        this.recorder = recorder;
        random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed());
        classes = new ExperimentSetup(plan).classes();
        runTimes =
                new RunTimes(
                        RandomSource.XO_SHI_RO_256_PP.create(plan.seed() + 1), plan.meanRunUs());
        clients =
                new LoadClients(
                        loop,
                        recorder,
                        RandomSource.XO_SHI_RO_256_PP.create(plan.seed() + 2),
                        classes,
                        plan.startsPerSecond());
    }

    /** Starts to send requests to these dispatchers. Call on the event loop. */
    void begin(List<SocketAddress> dispatchers) {
        clients.connectTo(dispatchers);
        arriving = true;
        rampStartUs = recorder.nowUs();
        lastStepUs = rampStartUs;
        remainingToNextSingle = drawExponential();
        step();
    }

    /** Ends the ramp: requests arrive at the planned rate, gangs among them. Call on the loop. */
    void endRamp() {
        ramping = false;
        nextGangUs = recorder.nowUs() + gangIntervalUs() * random.nextDouble();
    }

    /** Stops the arrival of new requests. Call on the event loop. */
    void stopArriving() {
        arriving = false;
        clients.stopArriving();
    }

    /** Stops at once and leaves open requests unfinished. Call on the event loop. */
    void abandon() {
        arriving = false;
        clients.abandon();
    }

    /** The counters so far. Call on the event loop. */
    JsonObject counts() {
        final JsonObject counts = new JsonObject();
        counts.addProperty("open", clients.waiting());
        counts.addProperty("submitted", submitted);
        counts.addProperty("sent", clients.sent());
        counts.addProperty("connects", clients.connects());
        return counts;
    }

    // ---- Arrivals ----

    private void step() {
        if (!arriving) {
            return;
        }
        final long nowUs = recorder.nowUs();
        final double elapsedSeconds = (nowUs - lastStepUs) / US_PER_SECOND;
        lastStepUs = nowUs;
        // Poisson arrivals: the rate integrated between two arrivals is exponential with mean 1.
        remainingToNextSingle -= rate() * elapsedSeconds;
        while (remainingToNextSingle <= 0 && (!ramping || clients.waiting() < plan.running())) {
            submitSingle();
            remainingToNextSingle += drawExponential();
        }
        if (!ramping && plan.gang() > 0 && nowUs >= nextGangUs) {
            submitGang();
            nextGangUs += gangIntervalUs();
        }
        loop.schedule(this::step, ARRIVAL_STEP_US, TimeUnit.MICROSECONDS);
    }

    private double drawExponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private double rate() {
        if (ramping) {
            // The rate grows, so that the JIT compiler and the connections warm up before the
            // measured window.
            final double growth = (lastStepUs - rampStartUs) / US_PER_SECOND / RATE_GROWTH_SECONDS;
            return RAMP_RATE_FACTOR * plan.startsPerSecond() * Math.min(1, Math.max(0.05, growth));
        }
        return plan.startsPerSecond() * (plan.gang() > 0 ? 1 - GANG_FRACTION : 1);
    }

    /** Maximum duration of the ramp, s: twice the expected one. */
    static double maxRampSeconds(CapacityPlan plan) {
        return 2
                * (RATE_GROWTH_SECONDS
                        + plan.running() / plan.startsPerSecond() / RAMP_RATE_FACTOR);
    }

    /** Time between two gangs, us, at which gangs make up their fraction of all requests. */
    private double gangIntervalUs() {
        double mean = 0;
        for (int i = 0; i < GANG_SIZES; i++) {
            mean += (double) gangSize(i) / GANG_SIZES;
        }
        return mean / (GANG_FRACTION * plan.startsPerSecond()) * US_PER_SECOND;
    }

    private int gangSize(int halvings) {
        return Math.max(1, plan.gang() >> halvings);
    }

    private void submitSingle() {
        final long remainingRampUs =
                ramping
                        ? (long) ((plan.running() - clients.waiting()) / rate() * US_PER_SECOND)
                        : 0;
        final long workUs = ramping ? remainingRampUs + runTimes.remainder() : runTimes.next();
        submit(drawClass(), "job-", workUs, ExperimentSetup.tenant(random.nextInt(plan.tenants())));
    }

    private void submitGang() {
        final long number = ++lastNumber;
        final String tenant = ExperimentSetup.tenant(random.nextInt(plan.tenants()));
        final JobClass jobClass = classes.get(1 + random.nextInt(classes.size() - 1));
        final int size = gangSize(random.nextInt(GANG_SIZES));
        for (int i = 0; i < size; i++) {
            submit(jobClass, GANG_ID_PREFIX + number + "-", runTimes.next(), tenant);
        }
    }

    private void submit(JobClass jobClass, String prefix, long workUs, String tenant) {
        submitted++;
        clients.submit(
                jobClass,
                prefix + ++lastNumber + "-" + Long.toHexString(random.nextLong()),
                workUs,
                tenant);
    }

    private JobClass drawClass() {
        double remaining = random.nextDouble();
        for (final JobClass each : classes) {
            remaining -= each.share();
            if (remaining < 0) {
                return each;
            }
        }
        return classes.get(classes.size() - 1);
    }
}
