package cresschute.settings;

import java.util.List;
import java.util.Optional;

/**
 * A function of the settings script that states one part of the settings.
 *
 * @param least how often it must be called
 * @param most how often it may be
 * @param meaning one line for the reference
 */
record Block(String name, int least, int most, String meaning, List<Field<?>> fields) {

    Optional<Field<?>> field(String wanted) {
        return fields.stream().filter(field -> field.name().equals(wanted)).findFirst();
    }

    List<String> fieldNames() {
        return fields.stream().<String>map(Field::name).toList();
    }
}
