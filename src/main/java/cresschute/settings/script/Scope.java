package cresschute.settings.script;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The variables that a block of statements reads and sets: those of the script itself, or those of
 * one call of a function. Serves one run of a script, on its thread.
 */
final class Scope {

    private final Map<String, Object> variables;
    private final Set<String> locals;
    private Object returnValue = Values.NONE;

    /**
     * A scope over the given variables.
     *
     * @param locals names that a function assigns and that hence never mean a global one in it
     */
    Scope(Map<String, Object> variables, Set<String> locals) {
        this.variables = variables;
        this.locals = locals;
    }

    /** A scope that begins with this one's variables; what is set in it is not seen here. */
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
