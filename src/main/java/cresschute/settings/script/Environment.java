package cresschute.settings.script;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * Resolves and sets names: builtins, which a script cannot redefine, global variables of the
 * script, and variables of a scope. Used by one run of a script, on its thread.
 */
final class Environment {

    private final Map<String, Object> builtins;
    private final Map<String, Object> globals = new HashMap<>();
    private final Scope globalScope = new Scope(globals, Set.of());

    Environment(Map<String, Object> builtins) {
        this.builtins = Map.copyOf(builtins);
    }

    Scope globalScope() {
        return globalScope;
    }

    void set(TerminalNode name, Object value, Scope scope) throws ScriptError {
        requireNotBuiltin(name);
        scope.variables().put(name.getText(), value);
    }

    /**
     * Checks that a script may assign to a name.
     *
     * @throws ScriptError if the name is a builtin: builtins such as {@code ms} mean the same in
     *     every line
     */
    void requireNotBuiltin(TerminalNode name) throws ScriptError {
        if (builtins.containsKey(name.getText())) {
            throw new ScriptError(
                    Script.position(name.getSymbol()),
                    "'" + name.getText() + "' is a builtin name and cannot be redefined");
        }
    }

    /**
     * Returns the value of a name.
     *
     * @throws ScriptError if the name has no value
     */
    Object lookup(String name, Position at, Scope scope) throws ScriptError {
        Object value = scope.variables().get(name);
        if (value == null && scope.isLocal(name)) {
            throw new ScriptError(at, "'" + name + "' is used before it has a value");
        }
        value = value == null ? globals.get(name) : value;
        value = value == null ? builtins.get(name) : value;
        if (value == null) {
            final Set<String> known = new HashSet<>(builtins.keySet());
            known.addAll(globals.keySet());
            known.addAll(scope.variables().keySet());
            throw new ScriptError(at, "unknown name '" + name + "'" + Suggestion.hint(name, known));
        }
        return value;
    }
}
