package cresschute.settings.script;

import java.util.List;
import java.util.Map;

/** A function that the language or the host program provides to scripts. */
@FunctionalInterface
public interface Builtin {

    /** Calls the function, on the thread that runs the script. */
    Object call(Call call) throws ScriptError;

    /** One argument and its position in the script. */
    record Argument(Object value, Position at) {}

    /**
     * A call with evaluated arguments.
     *
     * @param name name under which the script called the function
     * @param at position at which the call begins
     */
    record Call(
            String name,
            Position at,
            List<Argument> positional,
            Map<String, Argument> named,
            ResourceLimiter limiter) {

        /**
         * Returns the positional arguments.
         *
         * @throws ScriptError if their number is not from {@code min} to {@code max}, or if there
         *     are named arguments
         */
        List<Argument> requirePositional(int min, int max) throws ScriptError {
            if (!named.isEmpty()) {
                throw new ScriptError(
                        named.values().iterator().next().at(), name + " takes no named arguments");
            }
            if (positional.size() < min || positional.size() > max) {
                final String allowed =
                        min == max
                                ? "" + min
                                : max == Integer.MAX_VALUE ? "at least " + min : min + " to " + max;
                throw new ScriptError(
                        at,
                        name
                                + " was given "
                                + positional.size()
                                + (positional.size() == 1 ? " argument" : " arguments")
                                + "; it takes "
                                + allowed);
            }
            return positional;
        }

        Object value(int index) {
            return positional.get(index).value();
        }

        ScriptError typeError(int index, String allowed) {
            final Argument argument = positional.get(index);
            return new ScriptError(
                    argument.at(),
                    name
                            + " was given "
                            + Values.typeName(argument.value())
                            + "; it takes "
                            + allowed);
        }

        String string(int index) throws ScriptError {
            if (value(index) instanceof String text) {
                return text;
            }
            throw typeError(index, "a text");
        }

        /** Returns the only argument, which must be a text. */
        String onlyString() throws ScriptError {
            requirePositional(1, 1);
            return string(0);
        }

        long integer(int index) throws ScriptError {
            if (value(index) instanceof Long number) {
                return number;
            }
            throw typeError(index, "a whole number");
        }
    }
}
