package cresschute.settings.script;

import java.util.HashSet;
import java.util.Set;

/** The script functions whose calls are in progress. Used by one run of a script, on its thread. */
final class CallStack {

    private final int maxCalls;
    private final Set<ScriptFunction> running = new HashSet<>();

    CallStack(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /**
     * Records the start of a call.
     *
     * @throws ScriptError if the function is in progress already, or if too many functions are
     */
    void enter(ScriptFunction function, Position at) throws ScriptError {
        if (running.size() == maxCalls) {
            throw new ScriptError(
                    at, "too many nested calls; at most " + maxCalls + " are allowed");
        }
        if (!running.add(function)) {
            throw new ScriptError(
                    at, "'" + function.name() + "' calls itself; recursion is not allowed");
        }
    }

    void leave(ScriptFunction function) {
        running.remove(function);
    }
}
