package cresschute.settings;

/**
 * One field of a block.
 *
 * @param defaultValue value if a script does not set the field; null if there is none
 * @param required whether a script must set the field
 * @param description one line for the settings reference
 */
record Field<T>(
        String name, FieldType<T> type, T defaultValue, boolean required, String description) {

    static <T> Field<T> required(String name, FieldType<T> type, String description) {
        return new Field<>(name, type, null, true, description);
    }

    static <T> Field<T> optional(
            String name, FieldType<T> type, T defaultValue, String description) {
        return new Field<>(name, type, defaultValue, false, description);
    }

    /**
     * Converts the value from a script; returns null if the value is not allowed. {@code None}
     * leaves an optional field unset and is not passed here.
     */
    T read(Object given) {
        return type.read().apply(given);
    }

    /** The default value in script syntax; empty if there is none. */
    String formattedDefault() {
        return defaultValue == null ? "" : type.format().apply(defaultValue);
    }

    @SuppressWarnings("unchecked")
    String format(Object value) {
        return type.format().apply((T) value);
    }
}
