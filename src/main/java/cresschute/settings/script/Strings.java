package cresschute.settings.script;

import cresschute.settings.script.Values.TupleValue;
import java.util.List;

/** String literals and the two ways to format strings: {@code %} and {@code format}. */
final class Strings {

    private Strings() {}

    /** Returns the string of a literal: without its quotes, and with its escapes replaced. */
    static String unquoted(String literal, Position at) throws ScriptError {
        final StringBuilder out = new StringBuilder();
        int i = 1;
        while (i < literal.length() - 1) {
            final char next = literal.charAt(i);
            if (next == '\\') {
                final Position escape = new Position(at.line(), at.column() + i);
                out.append(escaped(literal.charAt(i + 1), escape));
                i += 2;
            } else {
                out.append(next);
                i++;
            }
        }
        return out.toString();
    }

    private static char escaped(char letter, Position at) throws ScriptError {
        return switch (letter) {
            case 'n' -> '\n';
            case 't' -> '\t';
            case 'r' -> '\r';
            case '\\', '"', '\'' -> letter;
            default ->
                    throw new ScriptError(
                            at,
                            "unknown escape '\\"
                                    + letter
                                    + "'; \\n, \\t, \\r, \\\\, \\\" and \\' are known");
        };
    }

    /** Formats values by a format string with {@code %s}, {@code %d}, {@code %r} and {@code %%}. */
    static String percent(String format, Object values, ResourceLimiter limiter, Position at)
            throws ScriptError {
        final List<Object> given =
                values instanceof TupleValue tuple ? tuple.elements() : List.of(values);
        final StringBuilder out = new StringBuilder();
        int used = 0;
        int i = 0;
        while (i < format.length()) {
            final char next = format.charAt(i++);
            if (next != '%') {
                out.append(next);
                continue;
            }
            final char kind = i < format.length() ? format.charAt(i++) : ' ';
            if (kind == '%') {
                out.append('%');
                continue;
            }
            if (kind != 's' && kind != 'd' && kind != 'r') {
                throw new ScriptError(
                        at,
                        "unknown format '%"
                                + (kind == ' ' ? "" : kind)
                                + "'; %s, %d, %r and %% are known");
            }
            if (used == given.size()) {
                throw new ScriptError(
                        at, "the format needs more values than the " + used + " given");
            }
            final Object value = given.get(used++);
            if (kind == 'd' && !(value instanceof Long)) {
                throw new ScriptError(at, "%d takes a whole number, not " + Values.typeName(value));
            }
            final String text = Values.text(value, limiter, at);
            out.append(kind == 'r' && value instanceof String ? Values.quoted(text) : text);
            limiter.allocateText(text.length(), at);
        }
        if (used < given.size()) {
            throw new ScriptError(
                    at, "the format uses " + used + " of the " + given.size() + " values given");
        }
        limiter.allocateText(out.length(), at);
        return out.toString();
    }

    /**
     * Formats a call's arguments by a format string with {@code {}}, {@code {0}} and {@code
     * {name}}.
     */
    static String format(String format, Builtin.Call call) throws ScriptError {
        final StringBuilder out = new StringBuilder();
        int next = 0;
        for (int i = 0; i < format.length(); i++) {
            final char character = format.charAt(i);
            final boolean doubled = i + 1 < format.length() && format.charAt(i + 1) == character;
            if (character == '{' && !doubled) {
                final int end = format.indexOf('}', i);
                if (end < 0) {
                    throw new ScriptError(
                            call.at(), "'{' without a matching '}'; write '{{' for a brace");
                }
                final String field = format.substring(i + 1, end);
                final Object value =
                        field(field.isEmpty() ? Integer.toString(next++) : field, call);
                final String text = Values.text(value, call.limiter(), call.at());
                call.limiter().allocateText(text.length(), call.at());
                out.append(text);
                i = end;
            } else if (character == '}' && !doubled) {
                throw new ScriptError(
                        call.at(), "'}' without a matching '{'; write '}}' for a brace");
            } else {
                out.append(character);
                i += character == '{' || character == '}' ? 1 : 0;
            }
        }
        call.limiter().allocateText(out.length(), call.at());
        return out.toString();
    }

    private static Object field(String field, Builtin.Call call) throws ScriptError {
        if (field.matches("[0-9]{1,6}")) {
            final int index = Integer.parseInt(field);
            if (index >= call.positional().size()) {
                throw new ScriptError(
                        call.at(),
                        "the format refers to value "
                                + index
                                + " of the "
                                + call.positional().size()
                                + " given, counted from 0");
            }
            return call.value(index);
        }
        if (!call.named().containsKey(field)) {
            throw new ScriptError(
                    call.at(), "the format refers to '" + field + "', which is not given");
        }
        return call.named().get(field).value();
    }
}
