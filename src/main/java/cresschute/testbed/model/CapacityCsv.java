package cresschute.testbed.model;

import cresschute.testbed.model.FleetCapacity.Point;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/**
 * Writes the measurements of {@link FleetCapacity} as lines of the capacity table, one line for
 * each measure.
 */
public final class CapacityCsv {

    private static final int[] WORKERS = {140, 350, 700, 1_400};
    private static final int[] DISPATCHERS = {2, 7, 15, 30};
    private static final int USUAL_DISPATCHERS = 7;
    private static final int PLANNED_WORKERS = 1_400;
    private static final String HEAD =
            "# cresschute capacity measurements, version 1\n"
                + "run,commit,date,seed,axis,repetition,held_out,workers,running,starts_per_second,tenants,dispatchers,list_changes_per_second,settings_changes_per_second,role,measure,value,partial\n";

    private final Function<Point, Map<String, Double>> model;
    private final PrintWriter out;
    private final String commit;
    private final String date;
    private final long seed;

    /** Creates a writer for runs of a model with one seed; commit and date are written as given. */
    public CapacityCsv(
            Function<Point, Map<String, Double>> model,
            PrintWriter out,
            String commit,
            String date,
            long seed) {
        this.model = model;
        this.out = out;
        this.commit = commit;
        this.date = date;
        this.seed = seed;
    }

    /** Writes all points up to this number of workers, each as soon as it has been measured. */
    public void write(int maxWorkers) {
        out.print(HEAD);
        for (final int workers : WORKERS) {
            if (workers <= maxWorkers) {
                writeAll("workers", workers, USUAL_DISPATCHERS);
            }
        }
        for (final int dispatchers : DISPATCHERS) {
            if (dispatchers != USUAL_DISPATCHERS) {
                writeAll("dispatchers", Math.min(maxWorkers, PLANNED_WORKERS), dispatchers);
            }
        }
        out.flush();
    }

    private void writeAll(String axis, int workers, int dispatchers) {
        write(axis, new Point(workers, dispatchers, FleetCapacity.MODULE, seed));
        FleetCapacity.BASELINES.forEach(
                policy -> write(axis, new Point(workers, dispatchers, policy, seed)));
        out.flush();
    }

    private void write(String axis, Point point) {
        model.apply(point)
                .forEach(
                        (measure, value) ->
                                out.print(
                                        String.format(
                                                Locale.ROOT,
                                                "model-%s,%s,%s,%d,%s,1,false,%d,%d,%.3f,%d,%d,0,0,model,%s,%s,false%n",
                                                point.policy(),
                                                commit,
                                                date,
                                                seed,
                                                axis,
                                                point.workers(),
                                                FleetCapacity.running(point.workers()),
                                                FleetCapacity.startsPerSecond(point.workers()),
                                                FleetCapacity.tenants(),
                                                point.dispatchers(),
                                                measure,
                                                value.isNaN()
                                                        ? ""
                                                        : String.format(
                                                                Locale.ROOT, "%.6f", value))));
    }
}
