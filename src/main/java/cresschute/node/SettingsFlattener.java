package cresschute.node;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.StringJoiner;

/** Flattens nested settings to the path=value lines that the settings parser reads. */
public final class SettingsFlattener {

    private final StringBuilder lines = new StringBuilder();

    private SettingsFlattener() {}

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
     * Plain values are joined with commas; of objects the count is told and each has its number as
     * a key.
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
     * A value as the lines have it. Guards against values that would read as two: they know no
     * quoting.
     */
    public static String word(String value) {
        return value.replaceAll("[\\s,]", "_");
    }
}
