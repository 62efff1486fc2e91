package cresschute.testbed.capacity;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import cresschute.testbed.Observation;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The file of a process's observations, one JSON object per line. Flushed lines survive the death
 * of the process.
 */
final class ObservationFile implements Consumer<Observation>, AutoCloseable {

    private static final Gson GSON = new Gson();
    private static final String TYPE = "type";

    /** The types of observations by their names in the file. */
    private static final Map<String, Class<? extends Observation>> TYPES =
            Map.ofEntries(
                    Map.entry("ReqSent", Observation.RequestSent.class),
                    Map.entry("ReqAnswered", Observation.RequestAnswered.class),
                    Map.entry("ReqLost", Observation.RequestLost.class),
                    Map.entry("ReqUnanswered", Observation.RequestUnanswered.class),
                    Map.entry("AnswerTooMany", Observation.UnexpectedAnswer.class),
                    Map.entry("ReqUnfinished", Observation.RequestUnfinished.class),
                    Map.entry("SendCame", Observation.AttemptReceived.class),
                    Map.entry("SendTurnedAway", Observation.AttemptRejected.class),
                    Map.entry("RunStarted", Observation.RunStarted.class),
                    Map.entry("RunDone", Observation.RunDone.class),
                    Map.entry("EffectMade", Observation.EffectApplied.class),
                    Map.entry("WorkerBooted", Observation.WorkerBooted.class),
                    Map.entry("WorkerFell", Observation.WorkerOverloaded.class),
                    Map.entry("WorkerTold", Observation.WorkerListed.class),
                    Map.entry("OperatorDrained", Observation.OperatorDrained.class));

    private static final Map<Class<? extends Observation>, String> TYPE_NAMES =
            TYPES.entrySet().stream()
                    .collect(Collectors.toUnmodifiableMap(Map.Entry::getValue, Map.Entry::getKey));

    private final BufferedWriter out;

    ObservationFile(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    @Override
    public synchronized void accept(Observation observation) {
        final JsonObject json = GSON.toJsonTree(observation).getAsJsonObject();
        json.addProperty(TYPE, TYPE_NAMES.get(observation.getClass()));
        try {
            out.write(json.toString());
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes buffered observations to the file. */
    synchronized void flush() throws IOException {
        out.flush();
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }

    /**
     * Reads the observations of several files, sorted by time. Skips missing files, and lines that
     * were truncated when a process died.
     */
    static List<Observation> read(List<Path> files) throws IOException {
        final List<Observation> all = new ArrayList<>();
        for (final Path file : files) {
            if (Files.exists(file)) {
                for (final String line : Files.readAllLines(file)) {
                    final Observation read = parse(line);
                    if (read != null) {
                        all.add(read);
                    }
                }
            }
        }
        all.sort(Comparator.comparingLong(Observation::us));
        return all;
    }

    private static Observation parse(String line) {
        try {
            final JsonObject json = JsonParser.parseString(line).getAsJsonObject();
            return GSON.fromJson(json, TYPES.get(json.get(TYPE).getAsString()));
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }
}
