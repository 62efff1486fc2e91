package cresschute.node;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Flattens the nested settings of a configuration file to the {@code path=value} lines that {@link
 * cresschute.simulator.SettingsParser} parses. An instance holds the lines of one call; any thread.
 */
public final class SettingsFlattener {

    private final StringBuilder lines = new StringBuilder();

    private SettingsFlattener() {}

    /**
     * Flattens settings.
     *
     * @param settings the settings object of a configuration file
     * @return a line for each value, in the order of the object
     */
    static String flatten(JsonObject settings) {
        final SettingsFlattener flat = new SettingsFlattener();
        flat.object("", settings);
        return flat.lines.toString();
    }

    private void object(String prefix, JsonObject object) {
        for (final Map.Entry<String, JsonElement> entry : object.entrySet()) {
            value(prefix + entry.getKey(), entry.getValue());
        }
    }

    private void value(String path, JsonElement element) {
        if (element.isJsonObject()) {
            object(path + ".", element.getAsJsonObject());
        } else if (element.isJsonArray()) {
            array(path, element.getAsJsonArray());
        } else if (element.isJsonPrimitive()) {
            line(path, word(element));
        }
    }

    /**
     * Plain values are joined by commas. An array of objects becomes its count, and each object the
     * lines under its index.
     */
    private void array(String path, JsonArray array) {
        if (array.isEmpty() || array.get(0).isJsonPrimitive()) {
            final StringJoiner joined = new StringJoiner(",");
            array.forEach(element -> joined.add(element.isJsonPrimitive() ? word(element) : ""));
            line(path, joined.toString());
            return;
        }
        line(path + ".count", Integer.toString(array.size()));
        for (int i = 0; i < array.size(); i++) {
            value(path + "." + i, array.get(i));
        }
    }

    private void line(String path, String value) {
        lines.append(path).append('=').append(value).append('\n');
    }

    private static String word(JsonElement element) {
        return word(element.getAsString());
    }

    /**
     * A value as it stands in a line. Lines know no quoting, so blanks and commas, which would make
     * two values of one, become underscores.
     *
     * @param value any text
     * @return the word for it
     */
    public static String word(String value) {
        return value.replaceAll("[\\s,]", "_");
    }
}
