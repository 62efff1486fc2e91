package cresschute.settings.script;

import java.util.List;
import org.antlr.v4.runtime.tree.TerminalNode;

/** Assigns a value to a name, or the elements of a value to several names. */
final class VariableBinder {

    private final Environment environment;
    private final Sequences sequences;

    VariableBinder(Environment environment, Sequences sequences) {
        this.environment = environment;
        this.sequences = sequences;
    }

    /**
     * Returns the elements of a value.
     *
     * @throws ScriptError if their number is not {@code count}
     */
    List<Object> unpack(Object value, int count, Position at) throws ScriptError {
        final List<Object> elements = sequences.elements(value, at);
        if (elements.size() != count) {
            throw new ScriptError(
                    at, elements.size() + " values cannot be assigned to " + count + " names");
        }
        return elements;
    }

    /** Assigns a value to one name, or its elements to several names. */
    void bind(List<TerminalNode> names, Object value, Position at, Scope scope) throws ScriptError {
        if (names.size() == 1) {
            environment.set(names.get(0), value, scope);
            return;
        }
        final List<Object> elements = unpack(value, names.size(), at);
        for (int i = 0; i < elements.size(); i++) {
            environment.set(names.get(i), elements.get(i), scope);
        }
    }
}
