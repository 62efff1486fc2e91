package cresschute.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

/** Results of the fleet model in virtual time: one row for each policy and size. */
final class FleetModelTable {

    private static final String RUN_PREFIX = "model-";
    private static final List<String> MEASURES =
            List.of(
                    "value_share",
                    "urgent_start_p50_seconds",
                    "urgent_start_p99_seconds",
                    "urgent_start_p999_seconds",
                    "probes_per_second_per_worker",
                    "probes_per_second_per_dispatcher",
                    "belief_age_p50_seconds",
                    "belief_age_p99_seconds");

    private record Fleet(String policy, double workers, double dispatchers) {}

    private FleetModelTable() {}

    /** The table as Markdown. */
    static String text(List<Measurement> measurements) {
        final MarkdownTable table =
                new MarkdownTable(
                        "policy",
                        "workers",
                        "dispatchers",
                        "value served",
                        "urgent start p50, s",
                        "p99, s",
                        "p99.9, s",
                        "probes a second, a worker",
                        "a dispatcher",
                        "age of what is believed p50, s",
                        "p99, s");
        final Map<Fleet, List<Measurement>> fleets =
                measurements.stream()
                        .filter(row -> row.role() == Role.MODEL)
                        .collect(
                                Collectors.groupingBy(
                                        FleetModelTable::fleet,
                                        LinkedHashMap::new,
                                        Collectors.toList()));
        fleets.forEach((fleet, rows) -> table.row(cells(fleet, rows)));
        return table.textOr("No fleet has been played in the model yet.");
    }

    private static Fleet fleet(Measurement row) {
        return new Fleet(
                row.run().replaceFirst(RUN_PREFIX, "").replace('_', ' '),
                row.sizes().on(Axis.WORKERS),
                row.sizes().on(Axis.DISPATCHERS));
    }

    private static String[] cells(Fleet fleet, List<Measurement> rows) {
        final String[] cells = new String[3 + MEASURES.size()];
        cells[0] = fleet.policy();
        cells[1] = Figures.number(fleet.workers());
        cells[2] = Figures.number(fleet.dispatchers());
        for (int i = 0; i < MEASURES.size(); i++) {
            final String measure = MEASURES.get(i);
            final OptionalDouble mean =
                    rows.stream()
                            .filter(row -> row.measure().equals(measure))
                            .mapToDouble(Measurement::value)
                            .average();
            cells[3 + i] =
                    mean.isPresent() ? Figures.number(mean.getAsDouble()) : Figures.NOT_MEASURED;
        }
        return cells;
    }
}
