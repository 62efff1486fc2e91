package cresschute.settings.script;

import cresschute.settings.script.Builtin.Argument;
import cresschute.settings.script.Builtin.Call;
import cresschute.settings.script.Values.DictValue;
import cresschute.settings.script.Values.ListValue;
import cresschute.settings.script.Values.RangeValue;
import cresschute.settings.script.Values.TupleValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;

/**
 * Carries out a script by walking its tree. It reaches nothing but the values and functions it is
 * given.
 */
final class Interpreter {

    /**
     * Expressions within expressions, through all calls under way; bounds the stack that a run
     * takes.
     */
    private static final int MOST_DEPTH = 300;

    private enum Flow {
        NEXT,
        BREAK,
        CONTINUE,
        RETURN
    }

    private final StepLimit meter;
    private final Operators operators;
    private final Functions functions;
    private final Map<String, Object> given = new HashMap<>();
    private final Map<String, Object> globals = new HashMap<>();
    private final Set<Function> running = new HashSet<>();
    private int depth;

    Interpreter(Map<String, Builtin> builtins, Bounds bounds) {
        meter = new StepLimit(bounds);
        operators = new Operators(meter);
        functions = new Functions(operators, meter);
        given.putAll(functions.all());
        Units.addTo(given);
        given.putAll(builtins);
    }

    /** The names that a block reads and sets: the script's own, or those of a function's call. */
    private static final class Frame {
        private final Map<String, Object> values;
        private final Set<String> locals;
        private Object returned = Values.NONE;

        Frame(Map<String, Object> values, Set<String> locals) {
            this.values = values;
            this.locals = locals;
        }
    }

    private record Parameter(String name, Object otherwise) {}

    private final class Function implements Builtin {
        private final String name;
        private final List<Parameter> parameters;
        private final ScriptParser.SuiteContext body;
        private final Set<String> locals = new HashSet<>();

        Function(String name, List<Parameter> parameters, ScriptParser.SuiteContext body) {
            this.name = name;
            this.parameters = parameters;
            this.body = body;
            parameters.forEach(parameter -> locals.add(parameter.name()));
            collectLocals(body, locals);
        }

        @Override
        public Object call(Call call) throws ScriptError {
            if (running.size() == meter.bounds().calls()) {
                throw new ScriptError(
                        call.at(),
                        "too many calls within calls; at most "
                                + meter.bounds().calls()
                                + " are allowed");
            }
            if (!running.add(this)) {
                throw new ScriptError(
                        call.at(), "'" + name + "' calls itself; recursion is not allowed");
            }
            try {
                final Frame frame = new Frame(bind(call), locals);
                suite(body, frame);
                return frame.returned;
            } finally {
                running.remove(this);
            }
        }

        private Map<String, Object> bind(Call call) throws ScriptError {
            final Map<String, Object> values = new HashMap<>();
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
            for (final Parameter parameter : parameters) {
                if (!values.containsKey(parameter.name())) {
                    if (parameter.otherwise() == null) {
                        throw new ScriptError(
                                call.at(),
                                "'" + name + "' was given no '" + parameter.name() + "'");
                    }
                    values.put(parameter.name(), parameter.otherwise());
                }
            }
            return values;
        }
    }

    void run(ScriptParser.FileContext file) throws ScriptError {
        final Frame frame = new Frame(globals, Set.of());
        for (final ScriptParser.StatementContext statement : file.statement()) {
            final Flow flow = statement(statement, frame);
            if (flow != Flow.NEXT) {
                throw new ScriptError(
                        Script.position(statement.start),
                        flow == Flow.RETURN
                                ? "'return' stands outside a function"
                                : "'break' and 'continue' stand outside a loop");
            }
        }
    }

    /** Names that a function's body sets are its own throughout it. */
    private static void collectLocals(ParseTree tree, Set<String> locals) {
        if (tree instanceof ScriptParser.AssignmentContext assignment && assignment.op != null) {
            for (final ScriptParser.TestContext target : assignment.expressionList(0).test()) {
                final TerminalNode name = soleName(target);
                if (name != null) {
                    locals.add(name.getText());
                }
            }
        } else if (tree instanceof ScriptParser.ForStatementContext loop) {
            loop.targets().NAME().forEach(name -> locals.add(name.getText()));
        }
        for (int i = 0; i < tree.getChildCount(); i++) {
            collectLocals(tree.getChild(i), locals);
        }
    }

    /** The name that an expression consists of, or null where it is more or something else. */
    private static TerminalNode soleName(ParseTree expression) {
        ParseTree tree = expression;
        while (tree.getChildCount() == 1) {
            tree = tree.getChild(0);
        }
        return tree instanceof TerminalNode node && node.getSymbol().getType() == ScriptParser.NAME
                ? node
                : null;
    }

    // ---- Statements ----

    private Flow statement(ScriptParser.StatementContext statement, Frame frame)
            throws ScriptError {
        meter.step(Script.position(statement.start));
        if (statement.simpleLine() != null) {
            return simpleLine(statement.simpleLine(), frame);
        } else if (statement.ifStatement() != null) {
            return ifStatement(statement.ifStatement(), frame);
        } else if (statement.forStatement() != null) {
            return forStatement(statement.forStatement(), frame);
        }
        define(statement.defStatement(), frame);
        return Flow.NEXT;
    }

    private Flow suite(ScriptParser.SuiteContext suite, Frame frame) throws ScriptError {
        if (suite.simpleLine() != null) {
            return simpleLine(suite.simpleLine(), frame);
        }
        for (final ScriptParser.StatementContext statement : suite.statement()) {
            final Flow flow = statement(statement, frame);
            if (flow != Flow.NEXT) {
                return flow;
            }
        }
        return Flow.NEXT;
    }

    private Flow simpleLine(ScriptParser.SimpleLineContext line, Frame frame) throws ScriptError {
        for (final ScriptParser.SmallStatementContext small : line.smallStatement()) {
            if (small.BREAK() != null) {
                return Flow.BREAK;
            } else if (small.CONTINUE() != null) {
                return Flow.CONTINUE;
            } else if (small.RETURN() != null) {
                frame.returned =
                        small.expressionList() == null
                                ? Values.NONE
                                : list(small.expressionList(), frame);
                return Flow.RETURN;
            } else if (small.assignment() != null) {
                assignment(small.assignment(), frame);
            }
        }
        return Flow.NEXT;
    }

    private Flow ifStatement(ScriptParser.IfStatementContext branch, Frame frame)
            throws ScriptError {
        for (int i = 0; i < branch.test().size(); i++) {
            if (Values.truth(eval(branch.test(i), frame))) {
                return suite(branch.suite(i), frame);
            }
        }
        return branch.ELSE() == null ? Flow.NEXT : suite(branch.suite(branch.test().size()), frame);
    }

    private Flow forStatement(ScriptParser.ForStatementContext loop, Frame frame)
            throws ScriptError {
        final Position at = Script.position(loop.test().start);
        final Object all = eval(loop.test(), frame);
        final Iterator<Object> elements = Functions.iterator(all, at);
        walking(all, 1);
        try {
            while (elements.hasNext()) {
                meter.step(at);
                assign(loop.targets().NAME(), elements.next(), at, frame);
                final Flow flow = suite(loop.suite(), frame);
                if (flow == Flow.BREAK) {
                    break;
                } else if (flow == Flow.RETURN) {
                    return flow;
                }
            }
            return Flow.NEXT;
        } finally {
            walking(all, -1);
        }
    }

    /** Guards against a loop that feeds itself: what it goes through may not change meanwhile. */
    private static void walking(Object all, int change) {
        if (all instanceof ListValue list) {
            list.walk(change);
        } else if (all instanceof DictValue dict) {
            dict.walk(change);
        }
    }

    private void define(ScriptParser.DefStatementContext def, Frame frame) throws ScriptError {
        final Position at = Script.position(def.start);
        if (frame.values != globals) {
            throw new ScriptError(at, "a function within a function; define it outside");
        }
        final List<Parameter> parameters = new ArrayList<>();
        final Set<String> names = new HashSet<>();
        for (final ScriptParser.ParameterContext parameter :
                def.parameters() == null
                        ? List.<ScriptParser.ParameterContext>of()
                        : def.parameters().parameter()) {
            final String name = parameter.NAME().getText();
            notGiven(parameter.NAME());
            if (!names.add(name)) {
                throw new ScriptError(
                        Script.position(parameter.start), "'" + name + "' is there twice");
            }
            final Object otherwise =
                    parameter.test() == null ? null : eval(parameter.test(), frame);
            if (otherwise == null
                    && !parameters.isEmpty()
                    && parameters.get(parameters.size() - 1).otherwise() != null) {
                throw new ScriptError(
                        Script.position(parameter.start),
                        "'" + name + "' has no default but follows one that has");
            }
            parameters.add(new Parameter(name, otherwise));
        }
        set(def.NAME(), new Function(def.NAME().getText(), parameters, def.suite()), frame);
    }

    // ---- Assignment ----

    private void assignment(ScriptParser.AssignmentContext assignment, Frame frame)
            throws ScriptError {
        if (assignment.op == null) {
            list(assignment.expressionList(0), frame);
            return;
        }
        final ScriptParser.ExpressionListContext targets = assignment.expressionList(0);
        final Object value = list(assignment.expressionList(1), frame);
        final String operator = assignment.op.getText();
        if (!operator.equals("=")) {
            augment(targets, operator.substring(0, 1), value, frame);
        } else if (targets.test().size() == 1 && !endsWithComma(targets)) {
            assignOne(targets.test(0), value, frame);
        } else {
            final List<Object> parts =
                    parts(value, targets.test().size(), Script.position(targets.start));
            for (int i = 0; i < parts.size(); i++) {
                assignOne(targets.test(i), parts.get(i), frame);
            }
        }
    }

    private static boolean endsWithComma(ParserRuleContext context) {
        return context.getChild(context.getChildCount() - 1).getText().equals(",");
    }

    private List<Object> parts(Object value, int count, Position at) throws ScriptError {
        final List<Object> parts = functions.elements(value, at);
        if (parts.size() != count) {
            throw new ScriptError(at, parts.size() + " values for " + count + " names");
        }
        return parts;
    }

    private void assign(List<TerminalNode> names, Object value, Position at, Frame frame)
            throws ScriptError {
        if (names.size() == 1) {
            set(names.get(0), value, frame);
            return;
        }
        final List<Object> parts = parts(value, names.size(), at);
        for (int i = 0; i < parts.size(); i++) {
            set(names.get(i), parts.get(i), frame);
        }
    }

    private void set(TerminalNode name, Object value, Frame frame) throws ScriptError {
        notGiven(name);
        frame.values.put(name.getText(), value);
    }

    /** Guards against a script that makes {@code ms} mean something else further down. */
    private void notGiven(TerminalNode name) throws ScriptError {
        if (given.containsKey(name.getText())) {
            throw new ScriptError(
                    Script.position(name.getSymbol()),
                    "'" + name.getText() + "' is a name of the language; choose another");
        }
    }

    private void assignOne(ScriptParser.TestContext target, Object value, Frame frame)
            throws ScriptError {
        final TerminalNode name = soleName(target);
        if (name != null) {
            set(name, value, frame);
            return;
        }
        final Place place = place(target, frame);
        store(place, value);
    }

    private record Place(Object container, Object key, Position at) {}

    private Place place(ScriptParser.TestContext target, Frame frame) throws ScriptError {
        ParseTree tree = target;
        while (tree.getChildCount() == 1) {
            tree = tree.getChild(0);
        }
        if (tree instanceof ScriptParser.PrimaryContext primary
                && primary.suffix(primary.suffix().size() - 1)
                        instanceof ScriptParser.IndexContext index) {
            final Object container = primary(primary, primary.suffix().size() - 1, frame);
            return new Place(
                    container, eval(index.test(), frame), Script.position(index.test().start));
        }
        throw new ScriptError(
                Script.position(target.start),
                "a value cannot be given to this; it can to a name and to an element in brackets");
    }

    private void store(Place place, Object value) throws ScriptError {
        if (place.container() instanceof ListValue list) {
            list.changeable(place.at())
                    .set(index(place.key(), list.elements().size(), place.at()), value);
        } else if (place.container() instanceof DictValue dict) {
            meter.cells(2, place.at());
            dict.changeable(place.at()).put(Operators.key(place.key(), place.at()), value);
        } else {
            throw new ScriptError(
                    place.at(),
                    Values.kind(place.container())
                            + " has no elements that can be set; a list and a dict have");
        }
    }

    private void augment(
            ScriptParser.ExpressionListContext targets, String operator, Object value, Frame frame)
            throws ScriptError {
        final Position at = Script.position(targets.start);
        final ScriptParser.TestContext target = targets.test(0);
        if (targets.test().size() > 1 || endsWithComma(targets)) {
            throw new ScriptError(at, "'" + operator + "=' takes one name");
        }
        final TerminalNode name = soleName(target);
        final Place place = name == null ? place(target, frame) : null;
        final Object old =
                name == null
                        ? element(place.container(), place.key(), place.at())
                        : eval(target, frame);
        if (operator.equals("+")
                && old instanceof ListValue list
                && value instanceof ListValue more) {
            meter.cells(more.elements().size(), at);
            list.changeable(at).addAll(List.copyOf(more.elements()));
            return;
        }
        final Object result = operators.apply(operator, old, value, at);
        if (name == null) {
            store(place, result);
        } else {
            set(name, result, frame);
        }
    }

    // ---- Expressions ----

    private Object list(ScriptParser.ExpressionListContext list, Frame frame) throws ScriptError {
        if (list.test().size() == 1 && !endsWithComma(list)) {
            return eval(list.test(0), frame);
        }
        return new TupleValue(all(list.test(), Script.position(list.start), frame));
    }

    private List<Object> all(List<ScriptParser.TestContext> tests, Position at, Frame frame)
            throws ScriptError {
        meter.cells(tests.size(), at);
        final List<Object> values = new ArrayList<>();
        for (final ScriptParser.TestContext test : tests) {
            values.add(eval(test, frame));
        }
        return values;
    }

    private Object eval(ParserRuleContext expression, Frame frame) throws ScriptError {
        ParseTree tree = expression;
        // Most levels of the grammar hold just the next one.
        while (tree.getChildCount() == 1 && tree.getChild(0) instanceof ParserRuleContext) {
            tree = tree.getChild(0);
        }
        final ParserRuleContext context = (ParserRuleContext) tree;
        final Position at = Script.position(context.start);
        meter.step(at);
        depth++;
        try {
            if (depth > MOST_DEPTH) {
                throw new ScriptError(at, "expressions are nested too deeply");
            }
            return evalHere(context, at, frame);
        } finally {
            depth--;
        }
    }

    private Object evalHere(ParserRuleContext context, Position at, Frame frame)
            throws ScriptError {
        if (context instanceof ScriptParser.PrimaryContext primary) {
            return primary(primary, primary.suffix().size(), frame);
        } else if (context instanceof ScriptParser.AtomContext atom) {
            return atom(atom, at, frame);
        } else if (context instanceof ScriptParser.TestContext choice) {
            return eval(
                    Values.truth(eval(choice.orTest(1), frame)) ? choice.orTest(0) : choice.test(),
                    frame);
        } else if (context instanceof ScriptParser.OrTestContext or) {
            return firstThat(or.andTest(), true, frame);
        } else if (context instanceof ScriptParser.AndTestContext and) {
            return firstThat(and.notTest(), false, frame);
        } else if (context instanceof ScriptParser.NotTestContext not) {
            return !Values.truth(eval(not.notTest(), frame));
        } else if (context instanceof ScriptParser.ComparisonContext comparison) {
            return operators.compare(
                    comparison.comparator().getText(),
                    eval(comparison.sum(0), frame),
                    eval(comparison.sum(1), frame),
                    at);
        } else if (context instanceof ScriptParser.UnaryContext unary) {
            final Object value = eval(unary.unary(), frame);
            final Object negated = operators.negated(value, at);
            return unary.getChild(0).getText().equals("-") ? negated : value;
        }
        Object value = eval((ParserRuleContext) context.getChild(0), frame);
        for (int i = 1; i < context.getChildCount(); i += 2) {
            final Object right = eval((ParserRuleContext) context.getChild(i + 1), frame);
            value = operators.apply(context.getChild(i).getText(), value, right, at);
        }
        return value;
    }

    private Object firstThat(List<? extends ParserRuleContext> parts, boolean wanted, Frame frame)
            throws ScriptError {
        Object value = null;
        for (final ParserRuleContext part : parts) {
            value = eval(part, frame);
            if (Values.truth(value) == wanted) {
                break;
            }
        }
        return value;
    }

    private Object primary(ScriptParser.PrimaryContext primary, int suffixes, Frame frame)
            throws ScriptError {
        Object value = eval(primary.atom(), frame);
        String name = primary.atom().getText();
        for (int i = 0; i < suffixes; i++) {
            final ScriptParser.SuffixContext suffix = primary.suffix(i);
            final Position at = Script.position(suffix.start);
            if (suffix instanceof ScriptParser.MemberContext member) {
                name = member.NAME().getText();
                final Builtin method = functions.method(value, name);
                if (method == null) {
                    throw new ScriptError(
                            Script.position(member.NAME().getSymbol()),
                            Values.kind(value) + " has no method '" + name + "'");
                }
                value = method;
            } else if (suffix instanceof ScriptParser.CallContext call) {
                value = call(value, name, call, Script.position(primary.start), frame);
            } else if (suffix instanceof ScriptParser.IndexContext index) {
                value = element(value, eval(index.test(), frame), at);
            } else if (suffix instanceof ScriptParser.SliceContext slice) {
                value =
                        slice(
                                value,
                                slice.low == null ? null : eval(slice.low, frame),
                                slice.high == null ? null : eval(slice.high, frame),
                                at);
            }
        }
        return value;
    }

    private Object call(
            Object function,
            String name,
            ScriptParser.CallContext context,
            Position at,
            Frame frame)
            throws ScriptError {
        if (!(function instanceof Builtin builtin)) {
            throw new ScriptError(at, Values.kind(function) + " cannot be called");
        }
        final List<Argument> positional = new ArrayList<>();
        final Map<String, Argument> named = new LinkedHashMap<>();
        for (final ScriptParser.ArgumentContext argument : context.argument()) {
            final Argument value =
                    new Argument(
                            eval(argument.test(), frame), Script.position(argument.test().start));
            if (argument.NAME() != null) {
                if (named.put(argument.NAME().getText(), value) != null) {
                    throw new ScriptError(
                            Script.position(argument.start),
                            "'" + argument.NAME().getText() + "' is given twice");
                }
            } else if (named.isEmpty()) {
                positional.add(value);
            } else {
                throw new ScriptError(
                        value.at(), "an argument without a name follows one with a name");
            }
        }
        return builtin.call(new Call(name, at, positional, named, meter));
    }

    private static int index(Object key, int size, Position at) throws ScriptError {
        if (!(key instanceof Long number)) {
            throw new ScriptError(at, "an index is a whole number, not " + Values.kind(key));
        }
        final long index = number < 0 ? number + size : number;
        if (index < 0 || index >= size) {
            throw new ScriptError(
                    at,
                    "index "
                            + number
                            + " is out of range; there are "
                            + size
                            + " elements, counted from 0");
        }
        return (int) index;
    }

    private static Object element(Object value, Object key, Position at) throws ScriptError {
        if (value instanceof ListValue list) {
            return list.elements().get(index(key, list.elements().size(), at));
        } else if (value instanceof TupleValue tuple) {
            return tuple.elements().get(index(key, tuple.elements().size(), at));
        } else if (value instanceof String text) {
            final int index = index(key, text.length(), at);
            return text.substring(index, index + 1);
        } else if (value instanceof RangeValue range) {
            return range.at(index(key, (int) Math.min(Integer.MAX_VALUE, range.size()), at));
        } else if (value instanceof DictValue dict) {
            final Object found = dict.entries().get(Operators.key(key, at));
            if (found == null) {
                throw new ScriptError(
                        at,
                        "the dict has no key "
                                + (key instanceof String text ? Values.quoted(text) : key));
            }
            return found;
        }
        throw new ScriptError(at, Values.kind(value) + " has no elements");
    }

    private Object slice(Object value, Object low, Object high, Position at) throws ScriptError {
        final int size =
                value instanceof String text
                        ? text.length()
                        : value instanceof ListValue list
                                ? list.elements().size()
                                : value instanceof TupleValue tuple ? tuple.elements().size() : -1;
        if (size < 0) {
            throw new ScriptError(
                    at, Values.kind(value) + " cannot be cut; a text, a list and a tuple can");
        }
        final int from = bound(low, 0, size, at);
        final int to = Math.max(from, bound(high, size, size, at));
        if (value instanceof String text) {
            meter.text(to - from, at);
            return text.substring(from, to);
        }
        meter.cells(to - from, at);
        final List<Object> elements =
                value instanceof ListValue list ? list.elements() : ((TupleValue) value).elements();
        final List<Object> part = new ArrayList<>(elements.subList(from, to));
        return value instanceof ListValue ? new ListValue(part) : new TupleValue(part);
    }

    private static int bound(Object bound, int otherwise, int size, Position at)
            throws ScriptError {
        if (bound == null || bound == Values.NONE) {
            return otherwise;
        }
        if (!(bound instanceof Long number)) {
            throw new ScriptError(at, "an index is a whole number, not " + Values.kind(bound));
        }
        return (int) Math.max(0, Math.min(size, number < 0 ? number + size : number));
    }

    private Object atom(ScriptParser.AtomContext atom, Position at, Frame frame)
            throws ScriptError {
        if (atom instanceof ScriptParser.NameContext name) {
            return named(name.getText(), at, frame);
        } else if (atom instanceof ScriptParser.IntegerContext integer) {
            try {
                return Long.parseLong(integer.getText());
            } catch (NumberFormatException e) {
                throw new ScriptError(at, "a whole number beyond 64 bits");
            }
        } else if (atom instanceof ScriptParser.RealContext real) {
            return Double.parseDouble(real.getText());
        } else if (atom instanceof ScriptParser.TextContext text) {
            final StringBuilder joined = new StringBuilder();
            for (final TerminalNode part : text.STRING()) {
                joined.append(Texts.unquoted(part.getText(), Script.position(part.getSymbol())));
            }
            meter.text(joined.length(), at);
            return joined.toString();
        } else if (atom instanceof ScriptParser.GroupContext group) {
            return group.expressionList() == null
                    ? new TupleValue(List.of())
                    : list(group.expressionList(), frame);
        } else if (atom instanceof ScriptParser.ListDisplayContext display) {
            return listDisplay(display, at, frame);
        } else if (atom instanceof ScriptParser.DictDisplayContext display) {
            return dictDisplay(display, at, frame);
        } else if (atom instanceof ScriptParser.NothingContext) {
            return Values.NONE;
        }
        return atom instanceof ScriptParser.YesContext;
    }

    private Object named(String name, Position at, Frame frame) throws ScriptError {
        Object value = frame.values.get(name);
        if (value == null && frame.locals.contains(name)) {
            throw new ScriptError(at, "'" + name + "' is used before it has a value");
        }
        value = value == null ? globals.get(name) : value;
        value = value == null ? given.get(name) : value;
        if (value == null) {
            final Set<String> known = new HashSet<>(given.keySet());
            known.addAll(globals.keySet());
            known.addAll(frame.values.keySet());
            throw new ScriptError(at, "unknown name '" + name + "'" + Suggestion.hint(name, known));
        }
        return value;
    }

    // ---- Displays and comprehensions ----

    private Object listDisplay(ScriptParser.ListDisplayContext display, Position at, Frame frame)
            throws ScriptError {
        if (display.comprehension() == null) {
            return new ListValue(all(display.test(), at, frame));
        }
        final List<Object> elements = new ArrayList<>();
        comprehend(
                display.comprehension(),
                frame,
                inner -> {
                    meter.cells(1, at);
                    elements.add(eval(display.test(0), inner));
                });
        return new ListValue(elements);
    }

    private Object dictDisplay(ScriptParser.DictDisplayContext display, Position at, Frame frame)
            throws ScriptError {
        final DictValue dict = new DictValue();
        if (display.comprehension() != null) {
            comprehend(
                    display.comprehension(),
                    frame,
                    inner -> entry(display.entry(0), dict, at, inner));
            return dict;
        }
        for (final ScriptParser.EntryContext entry : display.entry()) {
            if (!entry(entry, dict, at, frame)) {
                throw new ScriptError(Script.position(entry.start), "this key is there twice");
            }
        }
        return dict;
    }

    private boolean entry(ScriptParser.EntryContext entry, DictValue dict, Position at, Frame frame)
            throws ScriptError {
        meter.cells(2, at);
        final Object key = Operators.key(eval(entry.test(0), frame), Script.position(entry.start));
        return dict.changeable(at).put(key, eval(entry.test(1), frame)) == null;
    }

    @FunctionalInterface
    private interface Body {
        void run(Frame frame) throws ScriptError;
    }

    /** Goes through the clauses; their names are known within them alone. */
    private void comprehend(ScriptParser.ComprehensionContext clauses, Frame frame, Body body)
            throws ScriptError {
        if (!(clauses.getChild(0) instanceof ScriptParser.ForClauseContext)) {
            throw new ScriptError(Script.position(clauses.start), "expected 'for' before 'if'");
        }
        final Frame inner = new Frame(new HashMap<>(frame.values), frame.locals);
        clause(clauses, 0, inner, body);
    }

    private void clause(ScriptParser.ComprehensionContext clauses, int next, Frame frame, Body body)
            throws ScriptError {
        if (next == clauses.getChildCount()) {
            body.run(frame);
            return;
        }
        if (clauses.getChild(next) instanceof ScriptParser.IfClauseContext condition) {
            if (Values.truth(eval(condition.orTest(), frame))) {
                clause(clauses, next + 1, frame, body);
            }
            return;
        }
        final ScriptParser.ForClauseContext loop =
                (ScriptParser.ForClauseContext) clauses.getChild(next);
        final Token start = loop.orTest().start;
        final Object all = eval(loop.orTest(), frame);
        walking(all, 1);
        try {
            final Iterator<Object> elements = Functions.iterator(all, Script.position(start));
            while (elements.hasNext()) {
                meter.step(Script.position(start));
                assign(loop.targets().NAME(), elements.next(), Script.position(start), frame);
                clause(clauses, next + 1, frame, body);
            }
        } finally {
            walking(all, -1);
        }
    }
}
