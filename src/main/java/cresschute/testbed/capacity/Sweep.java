package cresschute.testbed.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.Collectors;

/** Which sizes are measured: along an axis with the others fixed, or along all of them. Pure. */
public final class Sweep {

    /** What changes along a sweep. */
    public enum Axis {
        WORKERS,
        RUNNING,
        STARTS,
        TENANTS,
        DISPATCHERS,
        LIST_CHANGES,
        SETTINGS_CHANGES;

        /** Its name on the command line and in results. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Where a plan lies along it. */
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
     * @param axis the axis along which it lies, or the word for none
     * @param heldOut whether it is kept from fitting, to test a model by
     */
    public record Point(String axis, int repetition, boolean heldOut, CapacityPlan plan) {}

    /** The axis of a point that lies on none. */
    public static final String NO_AXIS = "none";

    private static final String ALL = "all";
    private static final int MAX_DISPATCHERS = 7;
    private static final double[] FRACTIONS = {0.25, 0.5, 0.75, 1};
    private static final double[] STARTS_FRACTIONS = {0.4, 0.6, 0.8, 1};

    /**
     * The starts are fixed nearer to the largest size: fewer of them would be jobs that run for
     * long.
     */
    private static final double FIXED_STARTS_FRACTION = 0.75;

    private static final double[] LIST_CHANGES_PER_SECOND = {0, 1, 4, 16};
    private static final double[] SETTINGS_CHANGES_PER_SECOND = {0, 0.1, 0.3, 1};

    private Sweep() {}

    /** A single point that is repeated. */
    public static List<Point> single(CapacityPlan plan, int repetitions) {
        final List<Point> points = new ArrayList<>();
        for (int i = 1; i <= repetitions; i++) {
            points.add(new Point(NO_AXIS, i, false, plan.withSeed(plan.seed() + i - 1)));
        }
        return points;
    }

    /**
     * The points along an axis, or along all, each repeated, in an order drawn by the seed; then
     * the largest size as a point that is held out.
     *
     * @param axis the word of an axis, or {@code all}
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
                            + "' is no axis; allowed: "
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

    /** Half the size, so that each axis has points below and above what the others are fixed at. */
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
