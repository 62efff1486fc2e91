package cresschute.node;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The keys that a configuration file holds. The platform writes every file of a node in one form,
 * so a file read again that lacks a key of the first one is cut or broken, even where a default
 * would stand in for the key: it is refused rather than half taken. Pure.
 *
 * @param keys the paths of all keys, objects followed down and arrays taken whole
 * @param classes the keys of each class, in the order of the file
 * @param names each class's name, in the same order, or an empty one
 */
record ConfigKeys(Set<String> keys, List<Set<String>> classes, List<String> names) {

    /** Of what is not read from a platform's file: nothing is asked of a file read again. */
    static final ConfigKeys NONE = new ConfigKeys(Set.of(), List.of(), List.of());

    ConfigKeys {
        keys = Set.copyOf(keys);
        classes = classes.stream().map(Set::copyOf).toList();
        names = List.copyOf(names);
    }

    /** The shape of a whole file. */
    static ConfigKeys of(JsonObject file) {
        final Set<String> keys = new HashSet<>();
        walk("", file, keys);
        final List<Set<String>> classes = new ArrayList<>();
        final List<String> names = new ArrayList<>();
        final JsonElement settings = file.get("settings");
        final JsonElement listed =
                settings != null && settings.isJsonObject()
                        ? settings.getAsJsonObject().get("classes")
                        : null;
        if (listed != null && listed.isJsonArray()) {
            for (final JsonElement each : listed.getAsJsonArray()) {
                final JsonObject stated =
                        each.isJsonObject() ? each.getAsJsonObject() : new JsonObject();
                classes.add(stated.keySet());
                final JsonElement name = stated.get("name");
                names.add(name != null && name.isJsonPrimitive() ? name.getAsString() : "");
            }
        }
        return new ConfigKeys(keys, classes, names);
    }

    private static void walk(String prefix, JsonObject object, Set<String> keys) {
        for (final Map.Entry<String, JsonElement> entry : object.entrySet()) {
            final String path = prefix + entry.getKey();
            keys.add(path);
            if (entry.getValue().isJsonObject()) {
                walk(path + ".", entry.getValue().getAsJsonObject(), keys);
            }
        }
    }

    /**
     * The keys of this shape that a later file lacks: its own; of a class that is here under the
     * same name, those that it has here; and of a new class those that every class here has. Each
     * class's by its number in the later file. Empty where it is whole.
     */
    List<String> missingIn(ConfigKeys later) {
        final List<String> missing =
                new ArrayList<>(
                        new TreeSet<>(keys)
                                .stream().filter(key -> !later.keys.contains(key)).toList());
        final Set<String> common = new TreeSet<>(classes.isEmpty() ? Set.of() : classes.get(0));
        classes.forEach(common::retainAll);
        for (int i = 0; i < later.classes.size(); i++) {
            final int before = names.indexOf(later.names.get(i));
            for (final String key : before < 0 ? common : new TreeSet<>(classes.get(before))) {
                if (!later.classes.get(i).contains(key)) {
                    missing.add("settings.classes." + i + "." + key);
                }
            }
        }
        return missing;
    }
}
