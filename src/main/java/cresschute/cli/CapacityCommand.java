package cresschute.cli;

import cresschute.lab.capacity.CapacityExperiment;
import cresschute.lab.capacity.CapacityPlan;
import cresschute.lab.capacity.CapacityResult;
import cresschute.lab.capacity.MachineLimitException;
import cresschute.lab.capacity.UnusablePlanException;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** What dispatchers need at a given size. */
@Command(name = "capacity", mixinStandardHelpOptions = true,
    description = "Runs dispatcher processes between hollow workers, hollow clients and discovery, at a size "
        + "that is given, and prints what each of them uses.",
    footer = {"", "Example: cresschute lab capacity --quick --json"})
final class CapacityCommand implements Callable<Integer> {

    private static final int INTERRUPTED = 130;

    @Option(names = "--workers", paramLabel = "N", description = "listed workers (default: 1400)")
    private Integer workers;

    @Option(names = "--accelerators", paramLabel = "N", description = "accelerators among them (default: 1800)")
    private Integer accelerators;

    @Option(names = "--running", paramLabel = "N", description = "jobs that run at a time (default: 9100)")
    private Integer running;

    @Option(names = "--starts", paramLabel = "R", description = "requests a second (default: 300)")
    private Double starts;

    @Option(names = "--tenants", paramLabel = "N", description = "customers with quotas (default: 54)")
    private Integer tenants;

    @Option(names = "--dispatchers", paramLabel = "N", description = "dispatcher processes (default: 7)")
    private Integer dispatchers;

    @Option(names = "--zones", paramLabel = "N", defaultValue = "7",
        description = "zones, each in one region (default: ${DEFAULT-VALUE})")
    private int zones;

    @Option(names = "--regions", paramLabel = "N", defaultValue = "2",
        description = "regions (default: ${DEFAULT-VALUE})")
    private int regions;

    @Option(names = "--gang", paramLabel = "N",
        description = "requests of one tenant in one instant, at the most; 0: no gangs (default: 128)")
    private Integer gang;

    @Option(names = "--changes-a-day", paramLabel = "R", defaultValue = "1500",
        description = "changes of the settings, each read again on SIGHUP (default: ${DEFAULT-VALUE})")
    private double changesADay;

    @Option(names = "--list-changes", paramLabel = "R", defaultValue = "0.5",
        description = "changes of the workers' list a second (default: ${DEFAULT-VALUE})")
    private double listChanges;

    @Option(names = "--seconds", paramLabel = "S",
        description = "how long is measured, after the jobs run (default: 60)")
    private Double seconds;

    @Option(names = "--seed", paramLabel = "S", defaultValue = "1",
        description = "for all chance (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--memory-mb", paramLabel = "MB", defaultValue = "0",
        description = "memory of a dispatcher; 0: the bounds of the platform's run line "
            + "(default: ${DEFAULT-VALUE})")
    private int memoryMb;

    @Option(names = "--quick", description = "smaller sizes, where no others are given")
    private boolean quick;

    @Option(names = "--json", description = "print one JSON object")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        final CapacityPlan plan = plan();
        final CountDownLatch interrupted = new CountDownLatch(1);
        final CountDownLatch ended = new CountDownLatch(1);
        final Thread hook = new Thread(() -> {
            // Guards against processes that are left, and keeps what was measured until then.
            interrupted.countDown();
            awaitQuietly(ended);
        }, "capacity-interrupted");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            final CapacityResult result = new CapacityExperiment(plan, this::progress, interrupted).run();
            print(result);
            return interrupted.getCount() == 0 ? INTERRUPTED
                : result.isSound() ? ExitCodes.DONE : ExitCodes.FAILED;
        } catch (MachineLimitException e) {
            spec.commandLine().getErr().println("cresschute: " + e.getMessage());
            return ExitCodes.FAILED;
        } finally {
            ended.countDown();
            forget(hook);
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void forget(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The process is on its way out already, and the hook ends now.
        }
    }

    private CapacityPlan plan() {
        try {
            final int count = or(workers, 1_400, 200);
            return new CapacityPlan(count,
                accelerators != null ? accelerators : (int) Math.round(count * 1_800 / 1_400.0),
                or(running, 9_100, 400), or(starts, 300.0, 80.0), or(tenants, 54, 54), or(dispatchers, 7, 2),
                zones, regions, or(gang, 128, 32), changesADay, listChanges, or(seconds, 60.0, 12.0), seed,
                memoryMb);
        } catch (UnusablePlanException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private <T> T or(T given, T whole, T small) {
        return given != null ? given : quick ? small : whole;
    }

    private void progress(String what) {
        final PrintWriter err = spec.commandLine().getErr();
        err.println(what);
        err.flush();
    }

    private void print(CapacityResult result) {
        final PrintWriter out = spec.commandLine().getOut();
        out.println(result.json());
        out.flush();
    }
}
