package cresschute.settings;

import java.util.List;
import java.util.Optional;

/**
 * A function of the settings script that states one part of the settings.
 *
 * @param min how often it must be called
 * @param max how often it may be
 * @param meaning one line for the reference
 */
record Block(String name, int min, int max, String meaning, List<Field<?>> fields) {

    Optional<Field<?>> field(String wanted) {
        return fields.stream().filter(field -> field.name().equals(wanted)).findFirst();
    }

    List<String> fieldNames() {
        return fields.stream().<String>map(Field::name).toList();
    }
}
