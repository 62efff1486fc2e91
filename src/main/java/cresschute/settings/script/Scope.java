package cresschute.settings.script;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Variables that statements read and set: the global variables of a script, the variables of one
 * call of a function, or those of a comprehension. Used by one run of a script, on its thread.
 */
final class Scope {

    private final Map<String, Object> variables;
    private final Set<String> locals;
    private Object returnValue = Values.NONE;

    /**
     * Creates a scope with the given variables.
     *
     * @param locals names that a function assigns; within the function they never refer to global
     *     variables
     */
    Scope(Map<String, Object> variables, Set<String> locals) {
        this.variables = variables;
        this.locals = locals;
    }

    /**
     * Returns a scope with a copy of these variables; assignments in it do not affect this scope.
     */
    Scope nested() {
        return new Scope(new HashMap<>(variables), locals);
    }

    Map<String, Object> variables() {
        return variables;
    }

    boolean isLocal(String name) {
        return locals.contains(name);
    }

    Object returnValue() {
        return returnValue;
    }

    void setReturnValue(Object value) {
        returnValue = value;
    }
}
