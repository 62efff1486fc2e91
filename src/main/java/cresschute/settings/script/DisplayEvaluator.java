package cresschute.settings.script;

import cresschute.settings.script.Values.DictValue;
import cresschute.settings.script.Values.ListValue;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.antlr.v4.runtime.Token;

/** Evaluates list and dict displays: elements listed in brackets, and comprehensions. */
final class DisplayEvaluator {

    private final ExpressionEvaluator expressions;
    private final VariableBinder variables;
    private final ResourceLimiter limiter;

    DisplayEvaluator(
            ExpressionEvaluator expressions, VariableBinder variables, ResourceLimiter limiter) {
        this.expressions = expressions;
        this.variables = variables;
        this.limiter = limiter;
    }

    Object list(ScriptParser.ListDisplayContext display, Position at, Scope scope)
            throws ScriptError {
        if (display.comprehension() == null) {
            return new ListValue(expressions.evalAll(display.test(), at, scope));
        }
        final List<Object> elements = new ArrayList<>();
        runClauses(
                display.comprehension(),
                scope,
                inner -> {
                    limiter.allocateCells(1, at);
                    elements.add(expressions.eval(display.test(0), inner));
                });
        return new ListValue(elements);
    }

    Object dict(ScriptParser.DictDisplayContext display, Position at, Scope scope)
            throws ScriptError {
        final DictValue dict = new DictValue();
        if (display.comprehension() != null) {
            runClauses(
                    display.comprehension(),
                    scope,
                    inner -> addEntry(display.entry(0), dict, at, inner));
            return dict;
        }
        for (final ScriptParser.EntryContext entry : display.entry()) {
            if (!addEntry(entry, dict, at, scope)) {
                throw new ScriptError(Script.position(entry.start), "duplicate key in the dict");
            }
        }
        return dict;
    }

    private boolean addEntry(
            ScriptParser.EntryContext entry, DictValue dict, Position at, Scope scope)
            throws ScriptError {
        limiter.allocateCells(2, at);
        final Object key =
                Operators.dictKey(
                        expressions.eval(entry.test(0), scope), Script.position(entry.start));
        return dict.mutable(at).put(key, expressions.eval(entry.test(1), scope)) == null;
    }

    @FunctionalInterface
    private interface ComprehensionBody {
        void run(Scope scope) throws ScriptError;
    }

    /**
     * Runs the body for every combination of the clauses. The variables of the clauses are visible
     * only within the comprehension.
     */
    private void runClauses(
            ScriptParser.ComprehensionContext clauses, Scope scope, ComprehensionBody body)
            throws ScriptError {
        if (!(clauses.getChild(0) instanceof ScriptParser.ForClauseContext)) {
            throw new ScriptError(Script.position(clauses.start), "expected 'for' before 'if'");
        }
        final Scope inner = scope.nested();
        runClause(clauses, 0, inner, body);
    }

    private void runClause(
            ScriptParser.ComprehensionContext clauses,
            int next,
            Scope scope,
            ComprehensionBody body)
            throws ScriptError {
        if (next == clauses.getChildCount()) {
            body.run(scope);
            return;
        }
        if (clauses.getChild(next) instanceof ScriptParser.IfClauseContext condition) {
            if (Values.isTruthy(expressions.eval(condition.orTest(), scope))) {
                runClause(clauses, next + 1, scope, body);
            }
            return;
        }
        final ScriptParser.ForClauseContext loop =
                (ScriptParser.ForClauseContext) clauses.getChild(next);
        final Token start = loop.orTest().start;
        final Object all = expressions.eval(loop.orTest(), scope);
        Sequences.beginIteration(all);
        try {
            final Iterator<Object> elements = Sequences.iterator(all, Script.position(start));
            while (elements.hasNext()) {
                limiter.countStep(Script.position(start));
                variables.bind(
                        loop.targets().NAME(), elements.next(), Script.position(start), scope);
                runClause(clauses, next + 1, scope, body);
            }
        } finally {
            Sequences.endIteration(all);
        }
    }
}
