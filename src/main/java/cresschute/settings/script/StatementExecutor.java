package cresschute.settings.script;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Executes statements in order by walking their syntax trees. Used by one run of a script, on its
 * thread.
 */
final class StatementExecutor {

    /** How a statement completed, which determines the statement to execute next. */
    enum Completion {
        NEXT,
        BREAK,
        CONTINUE,
        RETURN
    }

    private final Environment environment;
    private final ExpressionEvaluator expressions;
    private final AssignmentExecutor assignments;
    private final VariableBinder variables;
    private final CallStack calls;
    private final ResourceLimiter limiter;

    StatementExecutor(
            Environment environment,
            ExpressionEvaluator expressions,
            AssignmentExecutor assignments,
            VariableBinder variables,
            ResourceLimiter limiter) {
        this.environment = environment;
        this.expressions = expressions;
        this.assignments = assignments;
        this.variables = variables;
        this.limiter = limiter;
        calls = new CallStack(limiter.bounds().calls());
    }

    Completion execute(ScriptParser.StatementContext statement, Scope scope) throws ScriptError {
        limiter.countStep(Script.position(statement.start));
        if (statement.simpleLine() != null) {
            return executeLine(statement.simpleLine(), scope);
        } else if (statement.ifStatement() != null) {
            return executeIf(statement.ifStatement(), scope);
        } else if (statement.forStatement() != null) {
            return executeFor(statement.forStatement(), scope);
        }
        define(statement.defStatement(), scope);
        return Completion.NEXT;
    }

    Completion executeSuite(ScriptParser.SuiteContext suite, Scope scope) throws ScriptError {
        if (suite.simpleLine() != null) {
            return executeLine(suite.simpleLine(), scope);
        }
        for (final ScriptParser.StatementContext statement : suite.statement()) {
            final Completion completion = execute(statement, scope);
            if (completion != Completion.NEXT) {
                return completion;
            }
        }
        return Completion.NEXT;
    }

    private Completion executeLine(ScriptParser.SimpleLineContext line, Scope scope)
            throws ScriptError {
        for (final ScriptParser.SmallStatementContext small : line.smallStatement()) {
            if (small.BREAK() != null) {
                return Completion.BREAK;
            } else if (small.CONTINUE() != null) {
                return Completion.CONTINUE;
            } else if (small.RETURN() != null) {
                scope.setReturnValue(
                        small.expressionList() == null
                                ? Values.NONE
                                : expressions.evalList(small.expressionList(), scope));
                return Completion.RETURN;
            } else if (small.assignment() != null) {
                assignments.execute(small.assignment(), scope);
            }
        }
        return Completion.NEXT;
    }

    private Completion executeIf(ScriptParser.IfStatementContext branch, Scope scope)
            throws ScriptError {
        for (int i = 0; i < branch.test().size(); i++) {
            if (Values.isTruthy(expressions.eval(branch.test(i), scope))) {
                return executeSuite(branch.suite(i), scope);
            }
        }
        return branch.ELSE() == null
                ? Completion.NEXT
                : executeSuite(branch.suite(branch.test().size()), scope);
    }

    private Completion executeFor(ScriptParser.ForStatementContext loop, Scope scope)
            throws ScriptError {
        final Position at = Script.position(loop.test().start);
        final Object all = expressions.eval(loop.test(), scope);
        final Iterator<Object> elements = Sequences.iterator(all, at);
        Sequences.beginIteration(all);
        try {
            while (elements.hasNext()) {
                limiter.countStep(at);
                variables.bind(loop.targets().NAME(), elements.next(), at, scope);
                final Completion completion = executeSuite(loop.suite(), scope);
                if (completion == Completion.BREAK) {
                    break;
                } else if (completion == Completion.RETURN) {
                    return completion;
                }
            }
            return Completion.NEXT;
        } finally {
            Sequences.endIteration(all);
        }
    }

    private void define(ScriptParser.DefStatementContext def, Scope scope) throws ScriptError {
        final Position at = Script.position(def.start);
        if (scope != environment.globalScope()) {
            throw new ScriptError(at, "functions cannot be nested; define it at the top level");
        }
        final List<ScriptFunction.Parameter> parameters = parameters(def, scope);
        environment.set(
                def.NAME(),
                new ScriptFunction(def.NAME().getText(), parameters, def.suite(), this, calls),
                scope);
    }

    private List<ScriptFunction.Parameter> parameters(
            ScriptParser.DefStatementContext def, Scope scope) throws ScriptError {
        final List<ScriptFunction.Parameter> parameters = new ArrayList<>();
        final Set<String> names = new HashSet<>();
        for (final ScriptParser.ParameterContext parameter :
                def.parameters() == null
                        ? List.<ScriptParser.ParameterContext>of()
                        : def.parameters().parameter()) {
            final String name = parameter.NAME().getText();
            environment.requireNotBuiltin(parameter.NAME());
            if (!names.add(name)) {
                throw new ScriptError(
                        Script.position(parameter.start),
                        "'" + name + "' is the name of two parameters");
            }
            final Object defaultValue =
                    parameter.test() == null ? null : expressions.eval(parameter.test(), scope);
            if (defaultValue == null
                    && !parameters.isEmpty()
                    && parameters.get(parameters.size() - 1).defaultValue() != null) {
                throw new ScriptError(
                        Script.position(parameter.start),
                        "'" + name + "' has no default, but follows a parameter with one");
            }
            parameters.add(new ScriptFunction.Parameter(name, defaultValue));
        }
        return parameters;
    }
}
