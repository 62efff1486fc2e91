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
 * so a file that is read again and lacks a key of the first one is cut or broken, even where the
 * key has a default: it is refused. Immutable.
 *
 * @param keys the paths of all keys, objects followed down and arrays taken whole
 * @param classes the keys of each class, in the order of the file
 * @param names each class's name, in the same order, or an empty one
 */
record ConfigKeys(Set<String> keys, List<Set<String>> classes, List<String> names) {

    /** For a configuration that is not read from a platform's file: no keys are required. */
    static final ConfigKeys NONE = new ConfigKeys(Set.of(), List.of(), List.of());

    ConfigKeys {
        keys = Set.copyOf(keys);
        classes = classes.stream().map(Set::copyOf).toList();
        names = List.copyOf(names);
    }

    /** The keys of a file. */
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
     * The required keys that a later file lacks: all keys of this one; of a class that this one
     * names too, its keys here; of a new class, the keys that every class has here.
     *
     * @param later the keys of the later file
     * @return paths, with a class under its index in the later file; empty if it is complete
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
