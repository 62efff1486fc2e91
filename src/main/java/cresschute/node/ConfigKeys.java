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
 * The keys present in a configuration file. The platform writes all files of a node with the same
 * keys. A reloaded file that lacks a key of the initial file is therefore truncated or corrupt,
 * even if the key has a default, and is rejected. Immutable.
 *
 * @param keys the dotted paths of all keys; nested objects are descended into, arrays are not
 * @param classes the keys of each request class, in the file's order
 * @param names each request class's name, in the same order; empty if the file has none
 */
record ConfigKeys(Set<String> keys, List<Set<String>> classes, List<String> names) {

    /** Used where the configuration does not come from a platform file: no keys are required. */
    static final ConfigKeys NONE = new ConfigKeys(Set.of(), List.of(), List.of());

    ConfigKeys {
        keys = Set.copyOf(keys);
        classes = classes.stream().map(Set::copyOf).toList();
        names = List.copyOf(names);
    }

    /** Collects the keys of a parsed file. */
    static ConfigKeys of(JsonObject file) {
        final Set<String> keys = new HashSet<>();
        collectPaths("", file, keys);
        final List<Set<String>> classes = new ArrayList<>();
        final List<String> names = new ArrayList<>();
        final JsonElement settings = file.get("settings");
        final JsonElement classArray =
                settings != null && settings.isJsonObject()
                        ? settings.getAsJsonObject().get("classes")
                        : null;
        if (classArray != null && classArray.isJsonArray()) {
            for (final JsonElement each : classArray.getAsJsonArray()) {
                final JsonObject requestClass =
                        each.isJsonObject() ? each.getAsJsonObject() : new JsonObject();
                classes.add(requestClass.keySet());
                final JsonElement name = requestClass.get("name");
                names.add(name != null && name.isJsonPrimitive() ? name.getAsString() : "");
            }
        }
        return new ConfigKeys(keys, classes, names);
    }

    private static void collectPaths(String prefix, JsonObject object, Set<String> keys) {
        for (final Map.Entry<String, JsonElement> entry : object.entrySet()) {
            final String path = prefix + entry.getKey();
            keys.add(path);
            if (entry.getValue().isJsonObject()) {
                collectPaths(path + ".", entry.getValue().getAsJsonObject(), keys);
            }
        }
    }

    /**
     * Returns the required keys that a later file lacks. Required are all keys of this file. A
     * class that this file names too needs the same keys as here; a new class needs the keys that
     * all classes have in common here.
     *
     * @param later the keys of the later file
     * @return their paths, with classes by their index in the later file; empty if none is missing
     */
    List<String> missingIn(ConfigKeys later) {
        final List<String> missing =
                new ArrayList<>(
                        new TreeSet<>(keys)
                                .stream().filter(key -> !later.keys.contains(key)).toList());
        final Set<String> commonKeys = new TreeSet<>(classes.isEmpty() ? Set.of() : classes.get(0));
        classes.forEach(commonKeys::retainAll);
        for (int i = 0; i < later.classes.size(); i++) {
            final int index = names.indexOf(later.names.get(i));
            for (final String key : index < 0 ? commonKeys : new TreeSet<>(classes.get(index))) {
                if (!later.classes.get(i).contains(key)) {
                    missing.add("settings.classes." + i + "." + key);
                }
            }
        }
        return missing;
    }
}
