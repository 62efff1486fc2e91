package cresschute.settings;

/** Formats the schema as the reference in Markdown that {@code docs/settings.md} holds. */
final class SchemaReference {

    private SchemaReference() {}

    /** The reference in Markdown, one table a block. */
    static String markdown() {
        final StringBuilder out = new StringBuilder();
        for (final Block block : Schema.BLOCKS) {
            out.append("### `")
                    .append(block.name())
                    .append("`\n\n")
                    .append(capital(block.meaning()))
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
                                                : "`" + field.shownDefault() + "`")
                        .append(" | ")
                        .append(field.meaning())
                        .append(" |\n");
            }
            out.append('\n');
        }
        return out.toString();
    }

    private static String capital(String text) {
        return Character.toUpperCase(text.charAt(0)) + text.substring(1);
    }
}
