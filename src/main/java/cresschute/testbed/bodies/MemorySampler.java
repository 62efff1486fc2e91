package cresschute.testbed.bodies;

import cresschute.testbed.NodeProcess;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Samples the memory of a node over time on its own thread and draws the chart. */
final class MemorySampler implements AutoCloseable {

    private static final long SAMPLE_INTERVAL_MS = 100;
    private static final int MAX_POINTS = 400;
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final double MB = 1e6;
    private static final double NS_PER_S = 1e9;

    private record Sample(double s, NodeProcess.Memory memory) {}

    private final NodeProcess node;
    private final long startNs = System.nanoTime();
    private final long directAtStart;
    private final List<Sample> samples = new ArrayList<>();
    private volatile boolean closed;

    MemorySampler(NodeProcess node) {
        this.node = node;
        this.directAtStart = node.memoryHeld().direct();
        BodyWorker.daemon(this::sample);
    }

    private void sample() {
        while (!closed) {
            try {
                final NodeProcess.Memory memory = node.memory();
                synchronized (samples) {
                    samples.add(new Sample((System.nanoTime() - startNs) / NS_PER_S, memory));
                }
                Thread.sleep(SAMPLE_INTERVAL_MS);
            } catch (InterruptedException | RuntimeException e) {
                // The node is being stopped; sampling ends.
                return;
            }
        }
    }

    private List<Sample> samples() {
        synchronized (samples) {
            return List.copyOf(samples);
        }
    }

    /** The time since the start of sampling, s. */
    double elapsedS() {
        return (System.nanoTime() - startNs) / NS_PER_S;
    }

    /** The maximum memory in use since this time, s. */
    NodeProcess.Memory maxSince(double s) {
        final List<Sample> since = samples().stream().filter(each -> each.s() >= s).toList();
        return new NodeProcess.Memory(
                since.stream().mapToLong(each -> each.memory().heap()).max().orElse(0),
                since.stream().mapToLong(each -> each.memory().direct()).max().orElse(0));
    }

    long directAtStart() {
        return directAtStart;
    }

    /** Draws all samples, with this bound beside them, as PNG. */
    void draw(Path to, String boundName, long bound) throws IOException {
        final List<Sample> all = downsample(samples());
        final XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title("Memory of the node while long bodies pass")
                        .xAxisTitle("s")
                        .yAxisTitle("MB")
                        .build();
        final double[] at = all.stream().mapToDouble(Sample::s).toArray();
        series(
                chart,
                "heap, unused objects included",
                at,
                all.stream().mapToDouble(each -> each.memory().heap() / MB).toArray());
        series(
                chart,
                "direct buffers",
                at,
                all.stream().mapToDouble(each -> each.memory().direct() / MB).toArray());
        series(chart, boundName, at, all.stream().mapToDouble(each -> bound / MB).toArray());
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setLegendPosition(LegendPosition.OutsideS);
        BitmapEncoder.saveBitmap(chart, to.toString(), BitmapFormat.PNG);
    }

    /**
     * The maximum of each of a few hundred spans, so that no peak is lost and the chart stays
     * small.
     */
    private static List<Sample> downsample(List<Sample> all) {
        final List<Sample> kept = new ArrayList<>();
        final int each = Math.max(1, all.size() / MAX_POINTS);
        for (int i = 0; i < all.size(); i += each) {
            final List<Sample> span = all.subList(i, Math.min(all.size(), i + each));
            kept.add(
                    new Sample(
                            span.get(0).s(),
                            new NodeProcess.Memory(
                                    span.stream()
                                            .mapToLong(one -> one.memory().heap())
                                            .max()
                                            .orElse(0),
                                    span.stream()
                                            .mapToLong(one -> one.memory().direct())
                                            .max()
                                            .orElse(0))));
        }
        return kept;
    }

    private static void series(XYChart chart, String name, double[] at, double[] values) {
        final XYSeries series = chart.addSeries(name, at, values);
        series.setMarker(SeriesMarkers.NONE);
    }

    @Override
    public void close() {
        closed = true;
    }
}
