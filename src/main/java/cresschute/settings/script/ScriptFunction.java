package cresschute.settings.script;

import cresschute.settings.script.Builtin.Argument;
import cresschute.settings.script.Builtin.Call;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A function that a script defines. */
final class ScriptFunction implements Builtin {

    /**
     * A parameter of a function.
     *
     * @param defaultValue value if a call does not pass the argument; null if every call must pass
     *     it
     */
    record Parameter(String name, Object defaultValue) {}

    private final String name;
    private final List<Parameter> parameters;
    private final ScriptParser.SuiteContext body;
    private final StatementExecutor statements;
    private final CallStack calls;
    private final Set<String> locals = new HashSet<>();

    ScriptFunction(
            String name,
            List<Parameter> parameters,
            ScriptParser.SuiteContext body,
            StatementExecutor statements,
            CallStack calls) {
        this.name = name;
        this.parameters = parameters;
        this.body = body;
        this.statements = statements;
        this.calls = calls;
        parameters.forEach(parameter -> locals.add(parameter.name()));
        SyntaxTrees.collectLocals(body, locals);
    }

    String name() {
        return name;
    }

    @Override
    public Object call(Call call) throws ScriptError {
        calls.enter(this, call.at());
        try {
            final Scope scope = new Scope(arguments(call), locals);
            statements.executeSuite(body, scope);
            return scope.returnValue();
        } finally {
            calls.leave(this);
        }
    }

    /** Returns the values of the parameters by name. */
    private Map<String, Object> arguments(Call call) throws ScriptError {
        final Map<String, Object> values = new HashMap<>();
        bindPositional(call, values);
        bindNamed(call, values);
        bindDefaults(call, values);
        return values;
    }

    private void bindPositional(Call call, Map<String, Object> values) throws ScriptError {
        for (int i = 0; i < call.positional().size(); i++) {
            if (i == parameters.size()) {
                throw new ScriptError(
                        call.positional().get(i).at(),
                        "'"
                                + name
                                + "' takes "
                                + parameters.size()
                                + " arguments; "
                                + call.positional().size()
                                + " are given");
            }
            values.put(parameters.get(i).name(), call.value(i));
        }
    }

    private void bindNamed(Call call, Map<String, Object> values) throws ScriptError {
        for (final Map.Entry<String, Argument> named : call.named().entrySet()) {
            if (parameters.stream()
                    .noneMatch(parameter -> parameter.name().equals(named.getKey()))) {
                throw new ScriptError(
                        named.getValue().at(),
                        "'" + name + "' has no argument '" + named.getKey() + "'");
            }
            if (values.put(named.getKey(), named.getValue().value()) != null) {
                throw new ScriptError(
                        named.getValue().at(), "'" + named.getKey() + "' is given twice");
            }
        }
    }

    private void bindDefaults(Call call, Map<String, Object> values) throws ScriptError {
        for (final Parameter parameter : parameters) {
            if (!values.containsKey(parameter.name())) {
                if (parameter.defaultValue() == null) {
                    throw new ScriptError(
                            call.at(),
                            "'" + name + "' is called without argument '" + parameter.name() + "'");
                }
                values.put(parameter.name(), parameter.defaultValue());
            }
        }
    }
}
