package cresschute.settings.script;

import cresschute.settings.script.Builtin.Argument;
import cresschute.settings.script.Builtin.Call;
import cresschute.settings.script.Values.TupleValue;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * Evaluates expressions by walking their syntax trees. Expressions have access only to the names in
 * the environment. Used by one run of a script, on its thread.
 */
final class ExpressionEvaluator {

    /**
     * Maximum depth of nested expressions over all calls in progress; limits the stack use of a
     * run.
     */
    private static final int MAX_DEPTH = 300;

    private final Environment environment;
    private final Operators operators;
    private final ResourceLimiter limiter;
    private final Subscripts subscripts;
    private final BuiltinMethods methods;
    private final DisplayEvaluator displays;
    private int depth;

    ExpressionEvaluator(
            Environment environment,
            Operators operators,
            Subscripts subscripts,
            Sequences sequences,
            ResourceLimiter limiter) {
        this.environment = environment;
        this.operators = operators;
        this.subscripts = subscripts;
        this.limiter = limiter;
        methods = new BuiltinMethods(sequences, limiter);
        displays = new DisplayEvaluator(this, new VariableBinder(environment, sequences), limiter);
    }

    /** Evaluates a single expression, or several separated by commas, which make a tuple. */
    Object evalList(ScriptParser.ExpressionListContext list, Scope scope) throws ScriptError {
        if (list.test().size() == 1 && !SyntaxTrees.endsWithComma(list)) {
            return eval(list.test(0), scope);
        }
        return new TupleValue(evalAll(list.test(), Script.position(list.start), scope));
    }

    List<Object> evalAll(List<ScriptParser.TestContext> tests, Position at, Scope scope)
            throws ScriptError {
        limiter.allocateCells(tests.size(), at);
        final List<Object> values = new ArrayList<>();
        for (final ScriptParser.TestContext test : tests) {
            values.add(eval(test, scope));
        }
        return values;
    }

    Object eval(ParserRuleContext expression, Scope scope) throws ScriptError {
        ParseTree tree = expression;
        // Skips grammar rules with a single child: most levels of the grammar only hold the next
        // level.
        while (tree.getChildCount() == 1 && tree.getChild(0) instanceof ParserRuleContext) {
            tree = tree.getChild(0);
        }
        final ParserRuleContext context = (ParserRuleContext) tree;
        final Position at = Script.position(context.start);
        limiter.countStep(at);
        depth++;
        try {
            if (depth > MAX_DEPTH) {
                throw new ScriptError(at, "expressions are nested too deeply");
            }
            return evalNode(context, at, scope);
        } finally {
            depth--;
        }
    }

    private Object evalNode(ParserRuleContext context, Position at, Scope scope)
            throws ScriptError {
        if (context instanceof ScriptParser.PrimaryContext primary) {
            return evalPrimary(primary, primary.suffix().size(), scope);
        } else if (context instanceof ScriptParser.AtomContext atom) {
            return evalAtom(atom, at, scope);
        } else if (context instanceof ScriptParser.TestContext choice) {
            return eval(
                    Values.isTruthy(eval(choice.orTest(1), scope))
                            ? choice.orTest(0)
                            : choice.test(),
                    scope);
        } else if (context instanceof ScriptParser.OrTestContext or) {
            return evalUntil(or.andTest(), true, scope);
        } else if (context instanceof ScriptParser.AndTestContext and) {
            return evalUntil(and.notTest(), false, scope);
        } else if (context instanceof ScriptParser.NotTestContext not) {
            return !Values.isTruthy(eval(not.notTest(), scope));
        } else if (context instanceof ScriptParser.ComparisonContext comparison) {
            return operators.compare(
                    comparison.comparator().getText(),
                    eval(comparison.sum(0), scope),
                    eval(comparison.sum(1), scope),
                    at);
        } else if (context instanceof ScriptParser.UnaryContext unary) {
            final Object value = eval(unary.unary(), scope);
            final Object negated = operators.negate(value, at);
            return unary.getChild(0).getText().equals("-") ? negated : value;
        }
        Object value = eval((ParserRuleContext) context.getChild(0), scope);
        for (int i = 1; i < context.getChildCount(); i += 2) {
            final Object right = eval((ParserRuleContext) context.getChild(i + 1), scope);
            value = operators.apply(context.getChild(i).getText(), value, right, at);
        }
        return value;
    }

    /**
     * Evaluates operands of {@code and} or {@code or} up to the first one whose truth value decides
     * the result.
     */
    private Object evalUntil(List<? extends ParserRuleContext> parts, boolean wanted, Scope scope)
            throws ScriptError {
        Object value = null;
        for (final ParserRuleContext part : parts) {
            value = eval(part, scope);
            if (Values.isTruthy(value) == wanted) {
                break;
            }
        }
        return value;
    }

    /** Evaluates an atom and the given number of its suffixes. */
    Object evalPrimary(ScriptParser.PrimaryContext primary, int suffixes, Scope scope)
            throws ScriptError {
        Object value = eval(primary.atom(), scope);
        String name = primary.atom().getText();
        for (int i = 0; i < suffixes; i++) {
            final ScriptParser.SuffixContext suffix = primary.suffix(i);
            final Position at = Script.position(suffix.start);
            if (suffix instanceof ScriptParser.MemberContext member) {
                name = member.NAME().getText();
                final Builtin method = methods.method(value, name);
                if (method == null) {
                    throw new ScriptError(
                            Script.position(member.NAME().getSymbol()),
                            Values.typeName(value) + " has no method '" + name + "'");
                }
                value = method;
            } else if (suffix instanceof ScriptParser.CallContext call) {
                value = evalCall(value, name, call, Script.position(primary.start), scope);
            } else if (suffix instanceof ScriptParser.IndexContext index) {
                value = Subscripts.element(value, eval(index.test(), scope), at);
            } else if (suffix instanceof ScriptParser.SliceContext slice) {
                value =
                        subscripts.slice(
                                value,
                                slice.low == null ? null : eval(slice.low, scope),
                                slice.high == null ? null : eval(slice.high, scope),
                                at);
            }
        }
        return value;
    }

    private Object evalCall(
            Object function,
            String name,
            ScriptParser.CallContext context,
            Position at,
            Scope scope)
            throws ScriptError {
        if (!(function instanceof Builtin builtin)) {
            throw new ScriptError(at, Values.typeName(function) + " cannot be called");
        }
        final List<Argument> positional = new ArrayList<>();
        final Map<String, Argument> named = new LinkedHashMap<>();
        for (final ScriptParser.ArgumentContext argument : context.argument()) {
            final Argument value =
                    new Argument(
                            eval(argument.test(), scope), Script.position(argument.test().start));
            if (argument.NAME() != null) {
                if (named.put(argument.NAME().getText(), value) != null) {
                    throw new ScriptError(
                            Script.position(argument.start),
                            "'" + argument.NAME().getText() + "' is given twice");
                }
            } else if (named.isEmpty()) {
                positional.add(value);
            } else {
                throw new ScriptError(value.at(), "a positional argument follows a named argument");
            }
        }
        return builtin.call(new Call(name, at, positional, named, limiter));
    }

    private Object evalAtom(ScriptParser.AtomContext atom, Position at, Scope scope)
            throws ScriptError {
        if (atom instanceof ScriptParser.NameContext name) {
            return environment.lookup(name.getText(), at, scope);
        } else if (atom instanceof ScriptParser.IntegerContext integer) {
            return parseInteger(integer, at);
        } else if (atom instanceof ScriptParser.RealContext real) {
            return Double.parseDouble(real.getText());
        } else if (atom instanceof ScriptParser.TextContext text) {
            return concatenateLiterals(text, at);
        } else if (atom instanceof ScriptParser.GroupContext group) {
            return group.expressionList() == null
                    ? new TupleValue(List.of())
                    : evalList(group.expressionList(), scope);
        } else if (atom instanceof ScriptParser.ListDisplayContext display) {
            return displays.list(display, at, scope);
        } else if (atom instanceof ScriptParser.DictDisplayContext display) {
            return displays.dict(display, at, scope);
        } else if (atom instanceof ScriptParser.NothingContext) {
            return Values.NONE;
        }
        return atom instanceof ScriptParser.YesContext;
    }

    private static long parseInteger(ScriptParser.IntegerContext integer, Position at)
            throws ScriptError {
        try {
            return Long.parseLong(integer.getText());
        } catch (NumberFormatException e) {
            throw new ScriptError(at, "the whole number exceeds 64 bits");
        }
    }

    /** Concatenates adjacent string literals. */
    private String concatenateLiterals(ScriptParser.TextContext text, Position at)
            throws ScriptError {
        final StringBuilder joined = new StringBuilder();
        for (final TerminalNode part : text.STRING()) {
            joined.append(Strings.unquoted(part.getText(), Script.position(part.getSymbol())));
        }
        limiter.allocateText(joined.length(), at);
        return joined.toString();
    }
}
