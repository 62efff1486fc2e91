package cresschute.settings;

/** Formats the schema as the Markdown reference that is part of {@code docs/settings.md}. */
final class SchemaReference {

    private SchemaReference() {}

    /** Returns the reference in Markdown, with one table for each block. */
    static String markdown() {
        final StringBuilder out = new StringBuilder();
        for (final Block block : Schema.BLOCKS) {
            out.append("### `")
                    .append(block.name())
                    .append("`\n\n")
                    .append(capitalize(block.description()))
                    .append(". ")
                    .append(
                            block.min() > 0
                                    ? block.max() > 1 ? "At least once" : "Exactly once"
                                    : block.max() > 1 ? "Any number of times" : "At most once")
                    .append(".\n\n")
                    .append(
                            "| field | allowed | without it | meaning |\n"
                                    + "| --- | --- | --- | --- |\n");
            for (final Field<?> field : block.fields()) {
                out.append("| `")
                        .append(field.name())
                        .append("` | ")
                        .append(field.type().allowed())
                        .append(" | ")
                        .append(
                                field.required()
                                        ? "required"
                                        : field.defaultValue() == null
                                                ? ""
                                                : "`" + field.formattedDefault() + "`")
                        .append(" | ")
                        .append(field.description())
                        .append(" |\n");
            }
            out.append('\n');
        }
        return out.toString();
    }

    private static String capitalize(String text) {
        return Character.toUpperCase(text.charAt(0)) + text.substring(1);
    }
}
