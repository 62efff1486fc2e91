package cresschute.testbed.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Writes measurements to a CSV file in long format: one row for each point, role and measure,
 * flushed after each point. No field needs quoting.
 */
public final class MeasurementWriter implements AutoCloseable {

    /** The first line, which identifies the format. */
    public static final String VERSION_LINE = "# cresschute capacity measurements, version 1";

    /** The columns, in order. */
    public static final List<String> COLUMNS =
            List.of(
                    "run",
                    "commit",
                    "date",
                    "seed",
                    "axis",
                    "repetition",
                    "held_out",
                    "workers",
                    "running",
                    "starts_per_second",
                    "tenants",
                    "dispatchers",
                    "list_changes_per_second",
                    "settings_changes_per_second",
                    "role",
                    "measure",
                    "value",
                    "partial");

    private final Writer out;
    private final String commit;
    private int runs;

    /** Creates the file, or overwrites it if it exists. */
    public MeasurementWriter(Path file, String commit) throws IOException {
        this(Files.newBufferedWriter(file), commit);
    }

    MeasurementWriter(Writer out, String commit) throws IOException {
        this.out = out;
        this.commit = commit;
        out.write(VERSION_LINE + "\n" + String.join(",", COLUMNS) + "\n");
        out.flush();
    }

    /** Writes all rows of one point. */
    public void add(Sweep.Point point, CapacityResult result) throws IOException {
        runs++;
        final String date = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
        for (final Role role : Role.values()) {
            new TreeMap<>(result.measures().of(role))
                    .entrySet()
                    .forEach(each -> row(point, result, date, role, each));
        }
        out.flush();
    }

    private void row(
            Sweep.Point point,
            CapacityResult result,
            String date,
            Role role,
            Map.Entry<String, Double> measured) {
        final CapacityPlan plan = point.plan();
        try {
            print(
                    runs,
                    commit,
                    date,
                    plan.seed(),
                    point.axis(),
                    point.repetition(),
                    point.heldOut(),
                    plan.workers(),
                    plan.running(),
                    plan.startsPerSecond(),
                    plan.tenants(),
                    plan.dispatchers(),
                    plan.listChangesPerSecond(),
                    plan.settingsChangesPerSecond(),
                    role.label(),
                    measured.getKey(),
                    measured.getValue(),
                    result.partial() != null);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void print(Object... fields) throws IOException {
        out.write(Stream.of(fields).map(Object::toString).collect(Collectors.joining(",")) + "\n");
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
