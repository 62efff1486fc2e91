package cresschute.settings.script;

import cresschute.settings.script.Values.DictValue;
import cresschute.settings.script.Values.ListValue;
import cresschute.settings.script.Values.RangeValue;
import cresschute.settings.script.Values.TupleValue;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The builtin functions that the language provides to every script. */
final class BuiltinFunctions {

    private final Operators operators;
    private final Sequences sequences;
    private final ResourceLimiter limiter;

    BuiltinFunctions(Operators operators, Sequences sequences, ResourceLimiter limiter) {
        this.operators = operators;
        this.sequences = sequences;
        this.limiter = limiter;
    }

    Map<String, Builtin> all() {
        final Map<String, Builtin> all = new HashMap<>();
        all.put("len", this::length);
        all.put("range", this::range);
        all.put(
                "str",
                call ->
                        Values.text(
                                call.requirePositional(1, 1).get(0).value(), limiter, call.at()));
        all.put("bool", call -> Values.isTruthy(call.requirePositional(1, 1).get(0).value()));
        all.put("int", this::toInteger);
        all.put("float", this::toFloat);
        all.put(
                "list",
                call ->
                        new ListValue(
                                call.requirePositional(0, 1).isEmpty()
                                        ? new ArrayList<>()
                                        : sequences.elementsOfFirst(call)));
        all.put(
                "tuple",
                call ->
                        new TupleValue(
                                call.requirePositional(0, 1).isEmpty()
                                        ? List.of()
                                        : sequences.elementsOfFirst(call)));
        all.put("sorted", call -> new ListValue(sorted(sequences.elementsOfOnly(call), call.at())));
        all.put(
                "reversed",
                call -> {
                    final List<Object> elements = sequences.elementsOfOnly(call);
                    Collections.reverse(elements);
                    return new ListValue(elements);
                });
        all.put("enumerate", this::enumerate);
        all.put("zip", this::zip);
        all.put("min", call -> minOrMax(call, -1));
        all.put("max", call -> minOrMax(call, 1));
        all.put("any", call -> sequences.elementsOfOnly(call).stream().anyMatch(Values::isTruthy));
        all.put("all", call -> sequences.elementsOfOnly(call).stream().allMatch(Values::isTruthy));
        all.put("type", call -> Values.typeName(call.requirePositional(1, 1).get(0).value()));
        all.put(
                "fail",
                call -> {
                    final StringBuilder text = new StringBuilder();
                    for (final Builtin.Argument argument :
                            call.requirePositional(1, Integer.MAX_VALUE)) {
                        text.append(text.isEmpty() ? "" : " ")
                                .append(Values.text(argument.value(), limiter, call.at()));
                    }
                    throw new ScriptError(call.at(), "fail: " + text);
                });
        return all;
    }

    private Object length(Builtin.Call call) throws ScriptError {
        final Object value = call.requirePositional(1, 1).get(0).value();
        if (value instanceof String text) {
            return (long) text.length();
        } else if (value instanceof DictValue dict) {
            return (long) dict.entries().size();
        } else if (value instanceof RangeValue range) {
            return range.size();
        } else if (value instanceof ListValue list) {
            return (long) list.elements().size();
        } else if (value instanceof TupleValue tuple) {
            return (long) tuple.elements().size();
        }
        throw call.typeError(0, "a text, a list, a tuple, a dict or a range");
    }

    private Object range(Builtin.Call call) throws ScriptError {
        final int arguments = call.requirePositional(1, 3).size();
        final long step = arguments == 3 ? call.integer(2) : 1;
        if (step == 0) {
            throw new ScriptError(call.positional().get(2).at(), "the step of range must not be 0");
        }
        return arguments == 1
                ? new RangeValue(0, call.integer(0), 1)
                : new RangeValue(call.integer(0), call.integer(1), step);
    }

    private Object toInteger(Builtin.Call call) throws ScriptError {
        final Object value = call.requirePositional(1, 1).get(0).value();
        if (value instanceof Long || value instanceof Boolean) {
            return value instanceof Boolean truth ? (Long) (truth ? 1L : 0L) : value;
        } else if (value instanceof Double number && Math.abs(number) < 9e18) {
            return (long) (double) number;
        } else if (value instanceof String text && text.matches("[+-]?[0-9]{1,18}")) {
            return Long.parseLong(text);
        }
        throw call.typeError(0, "a number, a truth value, or a text of digits");
    }

    private Object toFloat(Builtin.Call call) throws ScriptError {
        final Object value = call.requirePositional(1, 1).get(0).value();
        if (value instanceof Number number) {
            return number.doubleValue();
        } else if (value instanceof String text
                && text.matches("[+-]?[0-9]+([.][0-9]*)?([eE][+-]?[0-9]+)?")) {
            return Double.parseDouble(text);
        }
        throw call.typeError(0, "a number, or a text that is one");
    }

    private Object enumerate(Builtin.Call call) throws ScriptError {
        final List<Object> pairs = new ArrayList<>();
        final List<Object> elements = sequences.elementsOfOnly(call);
        limiter.allocateCells(3L * elements.size(), call.at());
        for (int i = 0; i < elements.size(); i++) {
            pairs.add(new TupleValue(List.of((long) i, elements.get(i))));
        }
        return new ListValue(pairs);
    }

    private Object zip(Builtin.Call call) throws ScriptError {
        final List<List<Object>> columns = new ArrayList<>();
        int rows = Integer.MAX_VALUE;
        for (final Builtin.Argument argument : call.requirePositional(1, Integer.MAX_VALUE)) {
            columns.add(sequences.elements(argument.value(), argument.at()));
            rows = Math.min(rows, columns.get(columns.size() - 1).size());
        }
        limiter.allocateCells((long) rows * (columns.size() + 1), call.at());
        final List<Object> out = new ArrayList<>();
        for (int row = 0; row < rows; row++) {
            final List<Object> tuple = new ArrayList<>();
            for (final List<Object> column : columns) {
                tuple.add(column.get(row));
            }
            out.add(new TupleValue(tuple));
        }
        return new ListValue(out);
    }

    private Object minOrMax(Builtin.Call call, int sign) throws ScriptError {
        call.requirePositional(1, Integer.MAX_VALUE);
        final List<Object> all =
                call.positional().size() == 1
                        ? sequences.elementsOfFirst(call)
                        : new ArrayList<>(
                                call.positional().stream().map(Builtin.Argument::value).toList());
        if (all.isEmpty()) {
            throw new ScriptError(call.at(), call.name() + " needs at least one value");
        }
        Object best = all.get(0);
        for (final Object each : all) {
            best = sign * operators.order(each, best, call.at()) > 0 ? each : best;
        }
        return best;
    }

    /**
     * Sorts by merging. The sort of the JDK is not usable, because comparing values without an
     * order throws a checked exception.
     */
    private List<Object> sorted(List<Object> elements, Position at) throws ScriptError {
        if (elements.size() < 2) {
            return elements;
        }
        final int middle = elements.size() / 2;
        final List<Object> left = sorted(new ArrayList<>(elements.subList(0, middle)), at);
        final List<Object> right =
                sorted(new ArrayList<>(elements.subList(middle, elements.size())), at);
        final List<Object> merged = new ArrayList<>();
        int l = 0;
        int r = 0;
        while (l < left.size() || r < right.size()) {
            final boolean takeLeft =
                    r == right.size()
                            || (l < left.size()
                                    && operators.order(left.get(l), right.get(r), at) <= 0);
            merged.add(takeLeft ? left.get(l++) : right.get(r++));
        }
        return merged;
    }
}
