package cresschute.capacity;

import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The tables of the capacity page, by the names of their markers. */
public final class CapacityTables {

    private CapacityTables() {}

    /** All tables, from all measurements. */
    public static Map<String, String> of(
            List<Measurement> measurements, List<FaultMeasurement> faults) {
        final CapacityModel model = new CapacityModel(measurements);
        final Map<String, String> tables = new LinkedHashMap<>();
        tables.put("planned-size", PlannedSizeTable.text(PlannedSize.OPERATORS));
        tables.put(
                "runs",
                RunsTable.text(
                        measurements.stream().filter(row -> row.role() != Role.MODEL).toList()));
        tables.put("fleet-model", FleetModelTable.text(measurements));
        for (final Role role : EnumSet.complementOf(EnumSet.of(Role.MODEL))) {
            tables.put(role.label() + "-needs", RoleTables.needs(model, role));
            tables.put(role.label() + "-slopes", RoleTables.slopes(model, role));
        }
        tables.put("state", StateTable.text(model));
        tables.put("messages", MessagesTable.text(model));
        tables.put("held-out", HeldOutTable.text(model));
        tables.put("fault-measurements", FaultTable.text(faults));
        tables.put("worst-ratios", RatioTables.worst(model));
        tables.put("doubled-size", RatioTables.doubled(model));
        return tables;
    }
}
