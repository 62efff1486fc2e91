package cresschute.settings.script;

import cresschute.settings.script.Values.ListValue;
import java.util.List;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * Executes assignments: to names, to elements, to several targets at once, and augmented ones such
 * as {@code +=}.
 */
final class AssignmentExecutor {

    private final Environment environment;
    private final ExpressionEvaluator expressions;
    private final VariableBinder variables;
    private final Subscripts subscripts;
    private final Operators operators;
    private final ResourceLimiter limiter;

    AssignmentExecutor(
            Environment environment,
            ExpressionEvaluator expressions,
            VariableBinder variables,
            Subscripts subscripts,
            Operators operators,
            ResourceLimiter limiter) {
        this.environment = environment;
        this.expressions = expressions;
        this.variables = variables;
        this.subscripts = subscripts;
        this.operators = operators;
        this.limiter = limiter;
    }

    void execute(ScriptParser.AssignmentContext assignment, Scope scope) throws ScriptError {
        if (assignment.op == null) {
            expressions.evalList(assignment.expressionList(0), scope);
            return;
        }
        final ScriptParser.ExpressionListContext targets = assignment.expressionList(0);
        final Object value = expressions.evalList(assignment.expressionList(1), scope);
        final String operator = assignment.op.getText();
        if (!operator.equals("=")) {
            augment(targets, operator.substring(0, 1), value, scope);
        } else if (targets.test().size() == 1 && !SyntaxTrees.endsWithComma(targets)) {
            assign(targets.test(0), value, scope);
        } else {
            final List<Object> parts =
                    variables.unpack(value, targets.test().size(), Script.position(targets.start));
            for (int i = 0; i < parts.size(); i++) {
                assign(targets.test(i), parts.get(i), scope);
            }
        }
    }

    private void assign(ScriptParser.TestContext target, Object value, Scope scope)
            throws ScriptError {
        final TerminalNode name = SyntaxTrees.soleName(target);
        if (name != null) {
            environment.set(name, value, scope);
            return;
        }
        setElement(elementTarget(target, scope), value);
    }

    private record ElementTarget(Object container, Object key, Position at) {}

    private ElementTarget elementTarget(ScriptParser.TestContext target, Scope scope)
            throws ScriptError {
        final ParseTree tree = SyntaxTrees.unwrapped(target);
        if (tree instanceof ScriptParser.PrimaryContext primary
                && primary.suffix(primary.suffix().size() - 1)
                        instanceof ScriptParser.IndexContext index) {
            final Object container =
                    expressions.evalPrimary(primary, primary.suffix().size() - 1, scope);
            return new ElementTarget(
                    container,
                    expressions.eval(index.test(), scope),
                    Script.position(index.test().start));
        }
        throw new ScriptError(
                Script.position(target.start),
                "cannot assign to this expression; assign to a name or to an element in brackets");
    }

    private void augment(
            ScriptParser.ExpressionListContext targets, String operator, Object value, Scope scope)
            throws ScriptError {
        final Position at = Script.position(targets.start);
        final ScriptParser.TestContext target = targets.test(0);
        if (targets.test().size() > 1 || SyntaxTrees.endsWithComma(targets)) {
            throw new ScriptError(at, "'" + operator + "=' takes a single target");
        }
        final TerminalNode name = SyntaxTrees.soleName(target);
        final ElementTarget element = name == null ? elementTarget(target, scope) : null;
        final Object old =
                name == null
                        ? Subscripts.element(element.container(), element.key(), element.at())
                        : expressions.eval(target, scope);
        if (operator.equals("+")
                && old instanceof ListValue list
                && value instanceof ListValue more) {
            limiter.allocateCells(more.elements().size(), at);
            list.mutable(at).addAll(List.copyOf(more.elements()));
            return;
        }
        final Object result = operators.apply(operator, old, value, at);
        if (name == null) {
            setElement(element, result);
        } else {
            environment.set(name, result, scope);
        }
    }

    private void setElement(ElementTarget element, Object value) throws ScriptError {
        subscripts.setElement(element.container(), element.key(), value, element.at());
    }
}
