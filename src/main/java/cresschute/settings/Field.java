package cresschute.settings;

/**
 * One setting of a block.
 *
 * @param defaultValue what holds where a script does not give it; null where there is no such value
 * @param required whether it must be given
 * @param meaning one line for the reference
 */
record Field<T>(String name, FieldType<T> type, T defaultValue, boolean required, String meaning) {

    static <T> Field<T> required(String name, FieldType<T> kind, String meaning) {
        return new Field<>(name, kind, null, true, meaning);
    }

    static <T> Field<T> optional(String name, FieldType<T> kind, T otherwise, String meaning) {
        return new Field<>(name, kind, otherwise, false, meaning);
    }

    /** The value that a script gave, or null where it is not allowed; {@code None} is not given. */
    T read(Object given) {
        return type.read().apply(given);
    }

    /** What holds where it is not given, as a script would write it. */
    String shownDefault() {
        return defaultValue == null ? "" : type.show().apply(defaultValue);
    }

    @SuppressWarnings("unchecked")
    String show(Object value) {
        return type.show().apply((T) value);
    }
}
