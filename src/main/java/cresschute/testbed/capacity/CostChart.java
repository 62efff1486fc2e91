package cresschute.testbed.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;

/** Charts of the cost of a dispatcher over the size, one for each axis and measure. */
public final class CostChart {

    private static final int WIDTH = 800;
    private static final int HEIGHT = 420;

    /** The measures, with the labels of their chart axes. */
    private static final Map<String, String> MEASURES =
            new TreeMap<>(
                    Map.of(
                            "cpu_percent",
                            "CPU of a dispatcher, % of a core",
                            "rss_mb",
                            "resident memory of a dispatcher, MB",
                            "control_bytes_per_second",
                            "control traffic of a dispatcher, B/s"));

    private record MeasuredPoint(Sweep.Point point, CapacityResult result) {}

    private final List<MeasuredPoint> measured = new ArrayList<>();

    /** Adds the result of one point. */
    public void add(Sweep.Point point, CapacityResult result) {
        measured.add(new MeasuredPoint(point, result));
    }

    /** Draws a chart for each axis with complete results, into an existing folder. */
    public void draw(Path folder) throws IOException {
        for (final Sweep.Axis axis : Sweep.Axis.values()) {
            final List<MeasuredPoint> along =
                    measured.stream()
                            .filter(
                                    each ->
                                            each.point().axis().equals(axis.label())
                                                    && each.result().partial() == null)
                            .toList();
            if (!along.isEmpty()) {
                for (final Map.Entry<String, String> measure : MEASURES.entrySet()) {
                    draw(folder, axis, measure.getKey(), measure.getValue(), along);
                }
            }
        }
    }

    private static void draw(
            Path folder, Sweep.Axis axis, String measure, String label, List<MeasuredPoint> along)
            throws IOException {
        final List<Double> sizes = new ArrayList<>();
        final List<Double> values = new ArrayList<>();
        for (final MeasuredPoint each : along) {
            each.result()
                    .measures()
                    .get(Role.DISPATCHER, measure)
                    .ifPresent(
                            value -> {
                                sizes.add(axis.sizeIn(each.point().plan()));
                                values.add(value);
                            });
        }
        final XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .xAxisTitle(axis.label())
                        .yAxisTitle(label)
                        .build();
        chart.getStyler()
                .setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Scatter)
                .setLegendVisible(false);
        chart.getStyler().setYAxisMin(0.0);
        chart.addSeries(measure, sizes, values);
        BitmapEncoder.saveBitmap(
                chart, folder.resolve(measure + "-" + axis.label()).toString(), BitmapFormat.PNG);
    }
}
