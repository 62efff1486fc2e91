package cresschute.console;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import cresschute.console.ScreenView.ScreenFormat;
import java.time.ZoneOffset;
import org.HdrHistogram.Histogram;

/** Measures how long the console takes to apply changes and draw the screen of a large site. */
public final class ScreenBenchmark {

    private static final long MAX_NS = 10_000_000_000L;

    private ScreenBenchmark() {}

    /**
     * Repeatedly applies changes of some workers and draws the screen.
     *
     * @param workers number of workers
     * @param changed number of workers that change before each drawing
     * @return nanoseconds for each update with its drawing
     */
    public static Histogram measure(int workers, int changed, int drawings) {
        final SiteModel model = new SiteModel();
        final ScreenState state = new ScreenState();
        final long nowMs = 1_700_000_000_000L;
        model.connected(nowMs);
        model.apply(changes(true, 0, workers, 0), nowMs);
        final ScreenFormat format = new ScreenFormat(120, 50, true, true, ZoneOffset.UTC);
        final Histogram times = new Histogram(MAX_NS, 2);
        for (int i = 0; i < drawings; i++) {
            final JsonObject changes = changes(false, i * changed % workers, changed, i);
            final long startNs = System.nanoTime();
            model.apply(changes, nowMs);
            ScreenView.draw(model, state, format, nowMs);
            times.recordValue(Math.min(MAX_NS, System.nanoTime() - startNs));
        }
        return times;
    }

    private static JsonObject changes(boolean complete, int first, int count, int value) {
        final StringBuilder rows = new StringBuilder();
        for (int i = first; i < first + count; i++) {
            rows.append(i == first ? "" : ",")
                    .append("\"w/w")
                    .append(i)
                    .append("\":{\"id\":\"w")
                    .append(i)
                    .append(
                            "\",\"state\":\"taking\",\"why\":\"\",\"since_ms\":1,\"kind\":\"std\",\"in_flight\":")
                    .append(value % 9)
                    .append(
                            ",\"rate\":1.5,\"p50_ms\":400,\"p99_ms\":900,\"sparks\":[1,2,3,4,5,"
                                    + "6,7,8,9,10,11,12],\"queue\":1,\"free\":2,\"report_ms\":1}");
        }
        return JsonParser.parseString(
                        "{\"boot\":\"b\",\"number\":"
                                + (value + 1)
                                + ",\"whole\":"
                                + complete
                                + ",\"rows\":{"
                                + rows
                                + "},\"gone\":[]}")
                .getAsJsonObject();
    }
}
