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
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** What a process of the experiment observes, one JSON object a line, kept even if the process dies. */
final class ObservationFile implements Consumer<Observation>, AutoCloseable {

    private static final Gson GSON = new Gson();
    private static final String TYPE = "type";
    private static final Map<String, Class<?>> TYPES = types();

    private final BufferedWriter out;

    ObservationFile(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    private static Map<String, Class<?>> types() {
        final Map<String, Class<?>> types = new HashMap<>();
        Arrays.stream(Observation.class.getPermittedSubclasses())
            .forEach(each -> types.put(each.getSimpleName(), each));
        return types;
    }

    @Override
    public synchronized void accept(Observation observation) {
        final JsonObject json = GSON.toJsonTree(observation).getAsJsonObject();
        json.addProperty(TYPE, observation.getClass().getSimpleName());
        try {
            out.write(json.toString());
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Hands what was observed so far to the file. */
    synchronized void flush() throws IOException {
        out.flush();
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }

    /** The observations of several files in the order of time; a line cut off by a death is left out. */
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
            return (Observation) GSON.fromJson(json, TYPES.get(json.get(TYPE).getAsString()));
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }
}
