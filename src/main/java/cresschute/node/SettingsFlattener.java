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
     * Plain values are joined by commas. An array of objects becomes its count, and each object the
     * lines under its index.
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
     * A value as it stands in a line. Lines know no quoting, so blanks and commas, which would make
     * two values of one, become underscores.
     *
     * @param value any text
     * @return the word for it
     */
    public static String toToken(String value) {
        return value.replaceAll("[\\s,]", "_");
    }
}
