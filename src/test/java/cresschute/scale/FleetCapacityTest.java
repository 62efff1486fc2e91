package cresschute.scale;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.testbed.model.CapacityCsv;
import cresschute.testbed.model.FleetCapacity;
import cresschute.testbed.model.FleetCapacity.Point;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Tests the capacity model: the same seed gives the same result, and the simple policies rank in
 * their known order.
 */
class FleetCapacityTest {

    private static final long SEED = 16;

    private static Map<String, Double> measured(String policy, long seed) {
        return FleetCapacity.measure(new Point(PlannedSize.TENTH_OF_WORKERS, 2, policy, seed));
    }

    @Test
    void sameSeedGivesIdenticalResult() {
        final String first = measured(FleetCapacity.MODULE, SEED).toString();
        assertThat(measured(FleetCapacity.MODULE, SEED).toString()).isEqualTo(first);
        assertThat(measured(FleetCapacity.MODULE, SEED + 1).toString()).isNotEqualTo(first);
    }

    @Test
    void tableHasOneLineForEachMeasureOfEachFleet() {
        final StringWriter text = new StringWriter();
        final Map<String, Double> measured =
                new TreeMap<>(Map.of("value_share", 0.5, "none", Double.NaN));
        new CapacityCsv(point -> measured, new PrintWriter(text), "c", "d", SEED)
                .write(PlannedSize.WORKERS);
        final List<String> lines = text.toString().lines().toList();
        assertThat(lines.get(0)).isEqualTo("# cresschute capacity measurements, version 1");
        assertThat(lines.get(1))
                .isEqualTo(
                        "run,commit,date,seed,axis,repetition,held_out,workers,running,"
                            + "starts_per_second,tenants,dispatchers,list_changes_per_second,settings_changes_per_second,"
                            + "role,measure,value,partial");
        assertThat(lines)
                .contains(
                        "model-module,c,d,16,workers,1,false,1400,9000,300.000,54,7,0,0,model,"
                                + "value_share,0.500000,false");
        assertThat(lines)
                .contains(
                        "model-random,c,d,16,dispatchers,1,false,1400,9000,300.000,54,30,0,0,"
                                + "model,none,,false");
        final int fleets = (4 + 3) * 4;
        assertThat(lines).as("lines with two measures of each fleet").hasSize(2 + 2 * fleets);
    }

    @Test
    void randomSelectionStartsUrgentWorkLaterThanTrueLeastOutstanding() {
        final String measure = "urgent_start_p99_seconds";
        final double random = measured("random", SEED).get(measure);
        final double leastOutstanding = measured("least_outstanding_true", SEED).get(measure);
        assertThat(random).as("random, seed %d", SEED).isGreaterThan(5);
        assertThat(leastOutstanding)
                .as("least outstanding by true state, seed %d", SEED)
                .isLessThan(0.1);
    }
}
