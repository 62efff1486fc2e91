package cresschute.settings;

import cresschute.settings.script.Builtin.Argument;
import cresschute.settings.script.Builtin.Call;
import cresschute.settings.script.Position;
import cresschute.settings.script.Suggestion;
import cresschute.settings.script.Values;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One call of a block, as it was read: the values of its fields, and their positions. */
final class Statement {

    private final Block block;
    private final Position at;
    private final Map<String, Object> values = new LinkedHashMap<>();
    private final Map<String, Position> positions = new HashMap<>();
    private boolean valid = true;

    private Statement(Block block, Position at) {
        this.block = block;
        this.at = at;
        for (final Field<?> field : block.fields()) {
            if (field.defaultValue() != null) {
                values.put(field.name(), field.defaultValue());
            }
        }
    }

    /** What holds for a block that a script does not state. */
    static Statement unstated(Block block) {
        return new Statement(block, Position.START);
    }

    /**
     * Reads a call; what is wrong goes to the problems, all of it at once, and the rest is kept.
     */
    static Statement read(Block block, Call call, List<Problem> problems) {
        final Statement statement = new Statement(block, call.at());
        if (!call.positional().isEmpty()) {
            statement.problem(
                    problems,
                    call.positional().get(0).at(),
                    block.name() + ": an argument without a name; each is given as name = value");
        }
        for (final Map.Entry<String, Argument> given : call.named().entrySet()) {
            block.field(given.getKey())
                    .ifPresentOrElse(
                            field -> statement.take(field, given.getValue(), problems),
                            () ->
                                    statement.problem(
                                            problems,
                                            given.getValue().at(),
                                            block.name()
                                                    + " has no field '"
                                                    + given.getKey()
                                                    + "'"
                                                    + hint(block, given.getKey())));
        }
        for (final Field<?> field : block.fields()) {
            if (field.required() && !call.named().containsKey(field.name())) {
                statement.problem(
                        problems,
                        call.at(),
                        block.name()
                                + ": "
                                + field.name()
                                + " is missing; required: "
                                + field.type().allowed());
            }
        }
        return statement;
    }

    private static String hint(Block block, String name) {
        final String nearest = Suggestion.hint(name, block.fieldNames());
        return nearest.isEmpty() ? "; it has " + String.join(", ", block.fieldNames()) : nearest;
    }

    private void take(Field<?> field, Argument given, List<Problem> problems) {
        positions.put(field.name(), given.at());
        if (given.value() == Values.NONE && !field.required()) {
            return;
        }
        final Object value = field.read(given.value());
        if (value == null) {
            problem(
                    problems,
                    given.at(),
                    block.name()
                            + ": "
                            + field.name()
                            + " is "
                            + shown(given.value())
                            + "; allowed: "
                            + field.type().allowed());
        } else {
            values.put(field.name(), value);
        }
    }

    /** What was given, in short. */
    private static String shown(Object value) {
        final int maxChars = 40;
        if (value instanceof String text) {
            return Values.quoted(
                    text.length() > maxChars ? text.substring(0, maxChars) + "..." : text);
        } else if (value instanceof Values.Quantity quantity) {
            return Values.text(quantity);
        }
        return value instanceof Long || value instanceof Double
                ? value.toString()
                : value instanceof Boolean truth
                        ? truth ? "True" : "False"
                        : Values.typeName(value);
    }

    private void problem(List<Problem> problems, Position where, String message) {
        valid = false;
        problems.add(new Problem(where, message));
    }

    /** Whether nothing was wrong with it. */
    boolean isValid() {
        return valid;
    }

    Block block() {
        return block;
    }

    /** Where the call begins. */
    Position at() {
        return at;
    }

    /** Where a field is given, or else the call. */
    Position at(Field<?> field) {
        return positions.getOrDefault(field.name(), at);
    }

    boolean gives(Field<?> field) {
        return positions.containsKey(field.name());
    }

    /**
     * The value of a field, or null where it has none; the type of the field is that of its value.
     */
    @SuppressWarnings("unchecked")
    <T> T get(Field<T> field) {
        return (T) values.get(field.name());
    }

    Map<String, Object> values() {
        return values;
    }
}
