package cresschute.testbed.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Charts of a sweep, and its rows in the measurement file. */
class CostChartTest {

    private static CapacityResult result(CapacityPlan plan, String partial) {
        final Measures measures = new Measures();
        for (final String need : List.of("cpu_percent", "rss_mb", "control_bytes_per_second")) {
            measures.put(Role.DISPATCHER, need, plan.workers() / 10.0);
        }
        measures.put(Role.CLIENT, "urgent_start_p50_ms", Double.NaN);
        return new CapacityResult(plan, measures, List.of(), partial);
    }

    @Test
    void drawsOneChartPerMeasuredAxisAndMeasure(@TempDir Path folder) throws Exception {
        System.setProperty("java.awt.headless", "true");
        final CostChart chart = new CostChart();
        Sweep.along("workers", CapacityPlanTest.FULL_SIZE, 1)
                .forEach(point -> chart.add(point, result(point.plan(), null)));
        Sweep.along("tenants", CapacityPlanTest.FULL_SIZE, 1)
                .forEach(point -> chart.add(point, result(point.plan(), "interrupted")));
        chart.draw(folder);
        try (Stream<Path> files = Files.list(folder)) {
            assertThat(files.map(each -> each.getFileName().toString()))
                    .containsExactlyInAnyOrder(
                            "cpu_percent-workers.png",
                            "rss_mb-workers.png",
                            "control_bytes_per_second-workers.png");
        }
    }

    /** A measure without value has no row; all rows of a partial point are marked. */
    @Test
    void writesRowPerMeasureWithItsPoint(@TempDir Path folder) throws Exception {
        final Path file = folder.resolve("rows.csv");
        final List<Sweep.Point> points = Sweep.along("workers", CapacityPlanTest.FULL_SIZE, 1);
        try (MeasurementWriter rows = new MeasurementWriter(file, "abc")) {
            rows.add(points.get(0), result(points.get(0).plan(), null));
            rows.add(points.get(4), result(points.get(4).plan(), "interrupted"));
        }
        final List<String> lines = Files.readAllLines(file);
        assertThat(lines).hasSize(2 + 3 + 3);
        assertThat(lines.get(2))
                .startsWith("1,abc,")
                .contains(",workers,1,false,")
                .endsWith(",false");
        assertThat(lines.get(7))
                .startsWith("2,abc,")
                .endsWith(
                        ",none,1,true,1400,9100,300.0,54,7,0.5,"
                                + 1_500 / 86_400.0
                                + ",dispatcher,rss_mb,140.0,true");
    }
}
