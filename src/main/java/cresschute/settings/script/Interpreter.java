package cresschute.settings.script;

import java.util.HashMap;
import java.util.Map;

/**
 * Runs a script by walking its syntax tree. The script has access only to the builtins and the host
 * functions. An instance is used for one run, on the caller's thread.
 */
final class Interpreter {

    private final Environment environment;
    private final StatementExecutor statements;

    Interpreter(Map<String, Builtin> hostFunctions, Bounds bounds) {
        final ResourceLimiter limiter = new ResourceLimiter(bounds);
        final Operators operators = new Operators(limiter);
        final Sequences sequences = new Sequences(limiter);
        final Subscripts subscripts = new Subscripts(limiter);
        environment = new Environment(builtins(hostFunctions, operators, sequences, limiter));
        final VariableBinder variables = new VariableBinder(environment, sequences);
        final ExpressionEvaluator expressions =
                new ExpressionEvaluator(environment, operators, subscripts, sequences, limiter);
        final AssignmentExecutor assignments =
                new AssignmentExecutor(
                        environment, expressions, variables, subscripts, operators, limiter);
        statements =
                new StatementExecutor(environment, expressions, assignments, variables, limiter);
    }

    private static Map<String, Object> builtins(
            Map<String, Builtin> hostFunctions,
            Operators operators,
            Sequences sequences,
            ResourceLimiter limiter) {
        final Map<String, Object> builtins = new HashMap<>();
        builtins.putAll(new BuiltinFunctions(operators, sequences, limiter).all());
        Units.addTo(builtins);
        builtins.putAll(hostFunctions);
        return builtins;
    }

    void run(ScriptParser.FileContext file) throws ScriptError {
        final Scope scope = environment.globalScope();
        for (final ScriptParser.StatementContext statement : file.statement()) {
            final StatementExecutor.Completion completion = statements.execute(statement, scope);
            if (completion != StatementExecutor.Completion.NEXT) {
                throw new ScriptError(
                        Script.position(statement.start),
                        completion == StatementExecutor.Completion.RETURN
                                ? "'return' outside a function"
                                : "'break' or 'continue' outside a loop");
            }
        }
    }
}
