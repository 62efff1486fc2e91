package cresschute.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Estimates from fits along several axes, and their validation at held-out points. */
class CapacityModelTest {

    private static final MeasureKey CPU = new MeasureKey(Role.DISPATCHER, "cpu_percent");
    private static final Sizes PLANNED = PlannedSize.OPERATORS.sizes();
    private static final MeasurementFileBuilder.Function LINEAR =
            sizes ->
                    3
                            + 0.01 * sizes.get(Axis.WORKERS)
                            + 0.2 * sizes.get(Axis.STARTS)
                            - 24.5 / sizes.get(Axis.DISPATCHERS);

    private static MeasurementFileBuilder linearSweep() {
        final MeasurementFileBuilder sweep = new MeasurementFileBuilder();
        List.of(50.0, 100.0, 200.0, 400.0)
                .forEach(
                        size ->
                                sweep.along(
                                        Axis.WORKERS, size, "dispatcher", "cpu_percent", LINEAR));
        List.of(10.0, 50.0, 100.0)
                .forEach(
                        size ->
                                sweep.along(
                                        Axis.STARTS, size, "dispatcher", "cpu_percent", LINEAR));
        List.of(1.0, 3.0, 5.0)
                .forEach(
                        size ->
                                sweep.along(
                                        Axis.DISPATCHERS,
                                        size,
                                        "dispatcher",
                                        "cpu_percent",
                                        LINEAR));
        return sweep;
    }

    @Test
    void estimatesExactLinearFunctionFromItsSlopes() throws CsvFormatException {
        final CapacityModel model = new CapacityModel(linearSweep().measurements());
        final Estimate estimate = model.estimate(CPU, PLANNED).orElseThrow();
        assertThat(estimate.value()).isCloseTo(3 + 14 + 60 - 3.5, within(1e-6));
        assertThat(estimate.halfWidth()).isCloseTo(0, within(1e-6));
        assertThat(estimate.extrapolated()).isTrue();
        assertThat(model.fits(CPU)).containsOnlyKeys(Axis.WORKERS, Axis.STARTS, Axis.DISPATCHERS);
        assertThat(model.fits(CPU).get(Axis.STARTS).slope()).isCloseTo(0.2, within(1e-9));
    }

    /** One of n dispatchers does an n-th of the work, but a worker gets the traffic of all. */
    @Test
    void workerMeasureIsLinearInNumberOfDispatchers() throws CsvFormatException {
        final MeasurementFileBuilder sweep = new MeasurementFileBuilder();
        List.of(1.0, 3.0, 5.0)
                .forEach(
                        size ->
                                sweep.along(
                                        Axis.DISPATCHERS,
                                        size,
                                        "worker",
                                        "probes_per_second",
                                        sizes -> 0.1 + 0.05 * sizes.get(Axis.DISPATCHERS)));
        final MeasureKey probes = new MeasureKey(Role.WORKER, "probes_per_second");
        assertThat(
                        new CapacityModel(sweep.measurements())
                                .estimate(probes, PLANNED)
                                .orElseThrow()
                                .value())
                .isCloseTo(0.45, within(1e-6));
    }

    @Test
    void excludesHeldOutAndPartialValuesFromFits() throws CsvFormatException {
        final MeasurementFileBuilder sweep =
                linearSweep().atFullSize("dispatcher", "cpu_percent", sizes -> 1e6);
        sweep.row(
                Axis.WORKERS.label(),
                false,
                Map.of(Axis.WORKERS, 400.0),
                "dispatcher",
                "cpu_percent",
                sizes -> 1e6,
                true);
        final CapacityModel model = new CapacityModel(sweep.measurements());
        assertThat(model.estimate(CPU, PLANNED))
                .map(Estimate::value)
                .get()
                .satisfies(value -> assertThat(value).isCloseTo(73.5, within(1e-6)));
    }

    @Test
    void reportsErrorOfFitsAtHeldOutPoint() throws CsvFormatException {
        final MeasurementFileBuilder sweep =
                linearSweep().atFullSize("dispatcher", "cpu_percent", sizes -> 70);
        sweep.atFullSize("dispatcher", "heap_mb", sizes -> 20);
        final List<HeldOutCheck> checks = HeldOutCheck.of(new CapacityModel(sweep.measurements()));
        assertThat(checks).hasSize(1);
        assertThat(checks.get(0).measured()).isEqualTo(70);
        assertThat(checks.get(0).errorPercent()).isCloseTo(5, within(1e-5));
        assertThat(checks.get(0).withinInterval()).isFalse();
        assertThat(checks.get(0).partial()).isFalse();
    }

    @Test
    void excludesRunWithoutAxisFromFits() throws CsvFormatException {
        final MeasurementFileBuilder sweep = linearSweep();
        sweep.row(
                Axis.NONE,
                false,
                PLANNED.values(),
                "dispatcher",
                "cpu_percent",
                sizes -> 1e6,
                false);
        final CapacityModel model = new CapacityModel(sweep.measurements());
        assertThat(model.estimate(CPU, PLANNED).orElseThrow().value())
                .isCloseTo(73.5, within(1e-6));
        sweep.row(
                Axis.NONE, true, PLANNED.values(), "dispatcher", "cpu_percent", sizes -> 70, false);
        assertThat(HeldOutCheck.of(new CapacityModel(sweep.measurements()))).hasSize(1);
        assertThat(CapacityTables.of(sweep.measurements(), List.of()).get("runs"))
                .contains("| none | ", "| full | ");
    }

    @Test
    void usesPartialHeldOutPointOnlyWithoutCompleteOne() throws CsvFormatException {
        final MeasurementFileBuilder sweep = linearSweep();
        final Map<Axis, Double> size = PLANNED.values();
        sweep.row(Axis.FULL, true, size, "dispatcher", "cpu_percent", sizes -> 10, true);
        assertThat(HeldOutCheck.of(new CapacityModel(sweep.measurements())).get(0))
                .matches(HeldOutCheck::partial)
                .matches(check -> check.measured() == 10);
        sweep.row(Axis.FULL, true, size, "dispatcher", "cpu_percent", sizes -> 70, false);
        final List<HeldOutCheck> checks = HeldOutCheck.of(new CapacityModel(sweep.measurements()));
        assertThat(checks).hasSize(1);
        assertThat(checks.get(0))
                .matches(check -> !check.partial())
                .matches(check -> check.measured() == 70);
    }

    @Test
    void givesNoEstimateWithoutFit() throws CsvFormatException {
        final MeasurementFileBuilder sweep =
                new MeasurementFileBuilder()
                        .along(Axis.WORKERS, 100, "dispatcher", "heap_mb", sizes -> 1)
                        .along(Axis.WORKERS, 200, "dispatcher", "heap_mb", sizes -> 2);
        final CapacityModel model = new CapacityModel(sweep.measurements());
        assertThat(model.estimate(new MeasureKey(Role.DISPATCHER, "heap_mb"), PLANNED)).isEmpty();
        assertThat(model.keys()).isEmpty();
        assertThat(new CapacityModel(List.of()).estimate(CPU, PLANNED)).isEmpty();
    }

    @Test
    void excludesRequestCostFromProcessorTimeWithoutRequests() throws CsvFormatException {
        final CapacityModel model = new CapacityModel(linearSweep().measurements());
        final Sizes wanted = TrackedMeasure.DISPATCHER_CONTROL_CPU.evaluatedAt(PLANNED);
        assertThat(wanted.on(Axis.STARTS)).isZero();
        assertThat(model.estimate(CPU, wanted).orElseThrow().value()).isCloseTo(13.5, within(1e-6));
    }

    @Test
    void plannedSizeMatchesOperatorsFigures() {
        assertThat(PlannedSize.OPERATORS.meanOpenSeconds()).isCloseTo(30.3, within(0.05));
        assertThat(PlannedSize.OPERATORS.listChangesPerSecond())
                .isCloseTo((1_500 + 2 * 98) / 86_400.0, within(1e-12));
        assertThat(PLANNED.on(Axis.DISPATCHERS)).isEqualTo(7);
        assertThat(PlannedSize.OPERATORS.doubled().sizes().on(Axis.WORKERS)).isEqualTo(2_800);
        assertThat(PlannedSize.OPERATORS.doubled().sizes().on(Axis.DISPATCHERS)).isEqualTo(7);
    }

    @Test
    void rejectsMissingNegativeOrNonFiniteSizes() {
        assertThatThrownBy(() -> PLANNED.with(Axis.WORKERS, -1))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> PLANNED.with(Axis.WORKERS, Double.NaN))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Sizes(Map.of())).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void ratioToZeroLimitIsInfiniteForAnyCost() {
        assertThat(new Limit(0, "none").ratio(0)).isZero();
        assertThat(new Limit(0, "none").ratio(1)).isInfinite();
        assertThat(new Limit(4, "four").ratio(1)).isEqualTo(0.25);
    }
}
