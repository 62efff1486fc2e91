package cresschute.node;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Flattens the nested settings of a configuration file to the {@code path=value} lines that {@link
 * cresschute.simulator.SettingsParser} parses. Each call uses its own instance; any thread.
 */
public final class SettingsFlattener {

    private final StringBuilder lines = new StringBuilder();

    private SettingsFlattener() {}

    /**
     * Flattens settings.
     *
     * @param settings the settings object of a configuration file
     * @return one line per value, in the order of the object
     */
    static String flatten(JsonObject settings) {
        final SettingsFlattener flattener = new SettingsFlattener();
        flattener.addObject("", settings);
        return flattener.lines.toString();
    }

    private void addObject(String prefix, JsonObject object) {
        for (final Map.Entry<String, JsonElement> entry : object.entrySet()) {
            addValue(prefix + entry.getKey(), entry.getValue());
        }
    }

    private void addValue(String path, JsonElement element) {
        if (element.isJsonObject()) {
            addObject(path + ".", element.getAsJsonObject());
        } else if (element.isJsonArray()) {
            addArray(path, element.getAsJsonArray());
        } else if (element.isJsonPrimitive()) {
            addLine(path, toToken(element));
        }
    }

    /**
     * Joins primitive values by commas. An array of objects becomes a {@code .count} line, followed
     * by the lines of each object under its index.
     */
    private void addArray(String path, JsonArray array) {
        if (array.isEmpty() || array.get(0).isJsonPrimitive()) {
            final StringJoiner joined = new StringJoiner(",");
            array.forEach(element -> joined.add(element.isJsonPrimitive() ? toToken(element) : ""));
            addLine(path, joined.toString());
            return;
        }
        addLine(path + ".count", Integer.toString(array.size()));
        for (int i = 0; i < array.size(); i++) {
            addValue(path + "." + i, array.get(i));
        }
    }

    private void addLine(String path, String value) {
        lines.append(path).append('=').append(value).append('\n');
    }

    private static String toToken(JsonElement element) {
        return toToken(element.getAsString());
    }

    /**
     * Converts a value to the form used in a line. Lines have no quoting, so whitespace and commas,
     * which would split a value in two, are replaced by underscores.
     *
     * @param value any text
     * @return the value without whitespace and commas
     */
    public static String toToken(String value) {
        return value.replaceAll("[\\s,]", "_");
    }
}
