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

/**
 * One call of a block function in a script: the values of the block's fields and their positions.
 */
final class BlockDeclaration {

    private final Block block;
    private final Position at;
    private final Map<String, Object> values = new LinkedHashMap<>();
    private final Map<String, Position> positions = new HashMap<>();
    private boolean valid = true;

    private BlockDeclaration(Block block, Position at) {
        this.block = block;
        this.at = at;
        for (final Field<?> field : block.fields()) {
            if (field.defaultValue() != null) {
                values.put(field.name(), field.defaultValue());
            }
        }
    }

    /** The default values of a block that a script does not declare. */
    static BlockDeclaration ofDefaults(Block block) {
        return new BlockDeclaration(block, Position.START);
    }

    /**
     * Reads a call. Adds a problem for every invalid or missing field, and keeps the values of the
     * valid fields.
     */
    static BlockDeclaration read(Block block, Call call, List<Problem> problems) {
        final BlockDeclaration declaration = new BlockDeclaration(block, call.at());
        if (!call.positional().isEmpty()) {
            declaration.addProblem(
                    problems,
                    call.positional().get(0).at(),
                    block.name() + ": positional arguments are not allowed; write name = value");
        }
        for (final Map.Entry<String, Argument> given : call.named().entrySet()) {
            block.field(given.getKey())
                    .ifPresentOrElse(
                            field -> declaration.readField(field, given.getValue(), problems),
                            () ->
                                    declaration.addProblem(
                                            problems,
                                            given.getValue().at(),
                                            block.name()
                                                    + " has no field '"
                                                    + given.getKey()
                                                    + "'"
                                                    + fieldHint(block, given.getKey())));
        }
        for (final Field<?> field : block.fields()) {
            if (field.required() && !call.named().containsKey(field.name())) {
                declaration.addProblem(
                        problems,
                        call.at(),
                        block.name()
                                + ": "
                                + field.name()
                                + " is missing; required: "
                                + field.type().allowed());
            }
        }
        return declaration;
    }

    private static String fieldHint(Block block, String name) {
        final String nearest = Suggestion.hint(name, block.fieldNames());
        return nearest.isEmpty() ? "; it has " + String.join(", ", block.fieldNames()) : nearest;
    }

    private void readField(Field<?> field, Argument given, List<Problem> problems) {
        positions.put(field.name(), given.at());
        if (given.value() == Values.NONE && !field.required()) {
            return;
        }
        final Object value = field.read(given.value());
        if (value == null) {
            addProblem(
                    problems,
                    given.at(),
                    block.name()
                            + ": "
                            + field.name()
                            + " is "
                            + abbreviate(given.value())
                            + "; allowed: "
                            + field.type().allowed());
        } else {
            values.put(field.name(), value);
        }
    }

    /** Formats a script value for an error message, shortened if it is a long text. */
    private static String abbreviate(Object value) {
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

    private void addProblem(List<Problem> problems, Position where, String message) {
        valid = false;
        problems.add(new Problem(where, message));
    }

    /** Whether all fields are valid and all required fields are set. */
    boolean isValid() {
        return valid;
    }

    Block block() {
        return block;
    }

    /** The position at which the call begins. */
    Position at() {
        return at;
    }

    /** The position of a field's value, or of the call if the field is not set. */
    Position at(Field<?> field) {
        return positions.getOrDefault(field.name(), at);
    }

    boolean isSet(Field<?> field) {
        return positions.containsKey(field.name());
    }

    /**
     * Returns the value of a field, or null if it has none. The unchecked cast is safe, because the
     * field's type produced the value.
     */
    @SuppressWarnings("unchecked")
    <T> T get(Field<T> field) {
        return (T) values.get(field.name());
    }

    Map<String, Object> values() {
        return values;
    }
}
