package cresschute.settings;

import java.util.List;
import java.util.Optional;

/**
 * A function of the settings script that declares one part of the settings.
 *
 * @param min minimum number of calls in a script
 * @param max maximum number of calls in a script
 * @param description one line for the settings reference
 */
record Block(String name, int min, int max, String description, List<Field<?>> fields) {

    Optional<Field<?>> field(String wanted) {
        return fields.stream().filter(field -> field.name().equals(wanted)).findFirst();
    }

    List<String> fieldNames() {
        return fields.stream().<String>map(Field::name).toList();
    }
}
