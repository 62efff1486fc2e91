package cresschute.testbed.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.Collectors;

/** Plans the sizes to measure: along one axis with the others fixed, or along all of them. */
public final class Sweep {

    /** The size that a sweep varies. */
    public enum Axis {
        WORKERS,
        RUNNING,
        STARTS,
        TENANTS,
        DISPATCHERS,
        LIST_CHANGES,
        SETTINGS_CHANGES;

        /** The name on the command line and in results. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** The size of a plan along this axis. */
        double sizeIn(CapacityPlan plan) {
            return switch (this) {
                case WORKERS -> plan.workers();
                case RUNNING -> plan.running();
                case STARTS -> plan.startsPerSecond();
                case TENANTS -> plan.tenants();
                case DISPATCHERS -> plan.dispatchers();
                case LIST_CHANGES -> plan.listChangesPerSecond();
                case SETTINGS_CHANGES -> plan.settingsChangesPerSecond();
            };
        }
    }

    /**
     * One experiment of a sweep.
     *
     * @param axis the label of the axis, or {@link #NO_AXIS}
     * @param heldOut whether the point is kept out of fits, to validate a model
     */
    public record Point(String axis, int repetition, boolean heldOut, CapacityPlan plan) {}

    /** The axis label of a point that is on no axis. */
    public static final String NO_AXIS = "none";

    private static final String ALL = "all";
    private static final int MAX_DISPATCHERS = 7;
    private static final double[] FRACTIONS = {0.25, 0.5, 0.75, 1};
    private static final double[] STARTS_FRACTIONS = {0.4, 0.6, 0.8, 1};

    /**
     * The rate of starts is fixed at a larger fraction than the other sizes: with fewer starts, the
     * same number of running jobs would take long running times.
     */
    private static final double FIXED_STARTS_FRACTION = 0.75;

    private static final double[] LIST_CHANGES_PER_SECOND = {0, 1, 4, 16};
    private static final double[] SETTINGS_CHANGES_PER_SECOND = {0, 0.1, 0.3, 1};

    private Sweep() {}

    /** One size, repeated with successive seeds. */
    public static List<Point> single(CapacityPlan plan, int repetitions) {
        final List<Point> points = new ArrayList<>();
        for (int i = 1; i <= repetitions; i++) {
            points.add(new Point(NO_AXIS, i, false, plan.withSeed(plan.seed() + i - 1)));
        }
        return points;
    }

    /**
     * The points along one axis or all axes, each repeated, in a random order that the seed
     * determines; then the largest size as a held-out point.
     *
     * @param axis the label of an axis, or {@code all}
     */
    public static List<Point> along(String axis, CapacityPlan largest, int repetitions) {
        final List<Axis> axes =
                Arrays.stream(Axis.values())
                        .filter(each -> axis.equals(ALL) || each.label().equals(axis))
                        .toList();
        if (axes.isEmpty()) {
            throw new UnusablePlanException(
                    "--sweep: '"
                            + axis
                            + "' is not an axis; allowed: "
                            + Arrays.stream(Axis.values())
                                    .map(Axis::label)
                                    .collect(Collectors.joining(", "))
                            + ", all");
        }
        final List<Point> points = new ArrayList<>();
        final CapacityPlan fixed = fixedSizes(largest);
        for (int i = 1; i <= repetitions; i++) {
            for (final Axis each : axes) {
                for (final CapacityPlan plan : plans(each, fixed, largest)) {
                    points.add(
                            new Point(
                                    each.label(), i, false, plan.withSeed(largest.seed() + i - 1)));
                }
            }
        }
        Collections.shuffle(points, new Random(largest.seed()));
        points.add(new Point(NO_AXIS, 1, true, largest));
        return points;
    }

    /**
     * The fixed sizes: about half of the largest, so that each axis has points below and above the
     * size at which it is fixed along the others.
     */
    private static CapacityPlan fixedSizes(CapacityPlan largest) {
        return largest.withWorkers(Math.max(1, largest.workers() / 2))
                .withRunning(Math.max(1, largest.running() / 2))
                .withStarts(FIXED_STARTS_FRACTION * largest.startsPerSecond())
                .withDispatchers((largest.dispatchers() + 1) / 2);
    }

    private static List<CapacityPlan> plans(Axis axis, CapacityPlan fixed, CapacityPlan largest) {
        final double[] values =
                switch (axis) {
                    case LIST_CHANGES -> LIST_CHANGES_PER_SECOND;
                    case SETTINGS_CHANGES -> SETTINGS_CHANGES_PER_SECOND;
                    case DISPATCHERS -> new double[] {1, 3, 5, MAX_DISPATCHERS};
                    case STARTS -> STARTS_FRACTIONS;
                    default -> FRACTIONS;
                };
        return Arrays.stream(values)
                .mapToObj(
                        value ->
                                switch (axis) {
                                    case WORKERS ->
                                            fixed.withWorkers(fractionOf(value, largest.workers()));
                                    case RUNNING ->
                                            fixed.withRunning(fractionOf(value, largest.running()));
                                    case STARTS ->
                                            fixed.withStarts(value * largest.startsPerSecond());
                                    case TENANTS ->
                                            fixed.withTenants(fractionOf(value, largest.tenants()));
                                    case DISPATCHERS -> fixed.withDispatchers((int) value);
                                    case LIST_CHANGES -> fixed.withListChanges(value);
                                    case SETTINGS_CHANGES -> fixed.withSettingsChanges(value);
                                })
                .toList();
    }

    private static int fractionOf(double fraction, int whole) {
        return (int) Math.max(1, Math.round(fraction * whole));
    }
}
