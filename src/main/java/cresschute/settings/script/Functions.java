package cresschute.settings.script;

import cresschute.settings.script.Values.DictValue;
import cresschute.settings.script.Values.ListValue;
import cresschute.settings.script.Values.RangeValue;
import cresschute.settings.script.Values.TupleValue;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.regex.Pattern;

/** The functions that every script has, and the methods of texts, lists and dicts. */
final class Functions {

    private final Operators operators;
    private final StepLimit meter;

    Functions(Operators operators, StepLimit meter) {
        this.operators = operators;
        this.meter = meter;
    }

    Map<String, Builtin> all() {
        final Map<String, Builtin> all = new HashMap<>();
        all.put("len", this::length);
        all.put("range", this::range);
        all.put("str", call -> Values.text(call.exactly(1, 1).get(0).value(), meter, call.at()));
        all.put("bool", call -> Values.truth(call.exactly(1, 1).get(0).value()));
        all.put("int", this::whole);
        all.put("float", this::real);
        all.put(
                "list",
                call ->
                        new ListValue(
                                call.exactly(0, 1).isEmpty() ? new ArrayList<>() : taken(call)));
        all.put(
                "tuple",
                call -> new TupleValue(call.exactly(0, 1).isEmpty() ? List.of() : taken(call)));
        all.put("sorted", call -> new ListValue(sorted(takenAlone(call), call.at())));
        all.put(
                "reversed",
                call -> {
                    final List<Object> elements = takenAlone(call);
                    Collections.reverse(elements);
                    return new ListValue(elements);
                });
        all.put("enumerate", this::enumerated);
        all.put("zip", this::zipped);
        all.put("min", call -> extreme(call, -1));
        all.put("max", call -> extreme(call, 1));
        all.put("any", call -> takenAlone(call).stream().anyMatch(Values::truth));
        all.put("all", call -> takenAlone(call).stream().allMatch(Values::truth));
        all.put("type", call -> Values.kind(call.exactly(1, 1).get(0).value()));
        all.put(
                "fail",
                call -> {
                    final StringBuilder text = new StringBuilder();
                    for (final Builtin.Argument argument : call.exactly(1, Integer.MAX_VALUE)) {
                        text.append(text.isEmpty() ? "" : " ")
                                .append(Values.text(argument.value(), meter, call.at()));
                    }
                    throw new ScriptError(call.at(), "fail: " + text);
                });
        return all;
    }

    private Object length(Builtin.Call call) throws ScriptError {
        final Object value = call.exactly(1, 1).get(0).value();
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
        throw call.wrong(0, "a text, a list, a tuple, a dict or a range");
    }

    private Object range(Builtin.Call call) throws ScriptError {
        final int given = call.exactly(1, 3).size();
        final long step = given == 3 ? call.whole(2) : 1;
        if (step == 0) {
            throw new ScriptError(call.positional().get(2).at(), "range cannot step by 0");
        }
        return given == 1
                ? new RangeValue(0, call.whole(0), 1)
                : new RangeValue(call.whole(0), call.whole(1), step);
    }

    private Object whole(Builtin.Call call) throws ScriptError {
        final Object value = call.exactly(1, 1).get(0).value();
        if (value instanceof Long || value instanceof Boolean) {
            return value instanceof Boolean truth ? (Long) (truth ? 1L : 0L) : value;
        } else if (value instanceof Double number && Math.abs(number) < 9e18) {
            return (long) (double) number;
        } else if (value instanceof String text && text.matches("[+-]?[0-9]{1,18}")) {
            return Long.parseLong(text);
        }
        throw call.wrong(0, "a number, a truth value, or a text of digits");
    }

    private Object real(Builtin.Call call) throws ScriptError {
        final Object value = call.exactly(1, 1).get(0).value();
        if (value instanceof Number number) {
            return number.doubleValue();
        } else if (value instanceof String text
                && text.matches("[+-]?[0-9]+([.][0-9]*)?([eE][+-]?[0-9]+)?")) {
            return Double.parseDouble(text);
        }
        throw call.wrong(0, "a number, or a text that is one");
    }

    private Object enumerated(Builtin.Call call) throws ScriptError {
        final List<Object> pairs = new ArrayList<>();
        final List<Object> elements = takenAlone(call);
        meter.cells(3L * elements.size(), call.at());
        for (int i = 0; i < elements.size(); i++) {
            pairs.add(new TupleValue(List.of((long) i, elements.get(i))));
        }
        return new ListValue(pairs);
    }

    private Object zipped(Builtin.Call call) throws ScriptError {
        final List<List<Object>> columns = new ArrayList<>();
        int rows = Integer.MAX_VALUE;
        for (final Builtin.Argument argument : call.exactly(1, Integer.MAX_VALUE)) {
            columns.add(elements(argument.value(), argument.at()));
            rows = Math.min(rows, columns.get(columns.size() - 1).size());
        }
        meter.cells((long) rows * (columns.size() + 1), call.at());
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

    private Object extreme(Builtin.Call call, int sign) throws ScriptError {
        call.exactly(1, Integer.MAX_VALUE);
        final List<Object> all =
                call.positional().size() == 1
                        ? taken(call)
                        : new ArrayList<>(
                                call.positional().stream().map(Builtin.Argument::value).toList());
        if (all.isEmpty()) {
            throw new ScriptError(call.at(), call.name() + " was given nothing to choose from");
        }
        Object best = all.get(0);
        for (final Object each : all) {
            best = sign * operators.order(each, best, call.at()) > 0 ? each : best;
        }
        return best;
    }

    /** A merge sort, as an order that does not hold throws through it. */
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

    /** The elements of a call's first argument. */
    private List<Object> taken(Builtin.Call call) throws ScriptError {
        return elements(call.value(0), call.positional().get(0).at());
    }

    /** The same, where that argument must be the only one. */
    private List<Object> takenAlone(Builtin.Call call) throws ScriptError {
        call.exactly(1, 1);
        return taken(call);
    }

    /** The elements of a sequence, laid out anew. */
    List<Object> elements(Object value, Position at) throws ScriptError {
        final long size = size(value, at);
        meter.cells(size, at);
        meter.steps(size, at);
        final List<Object> elements = new ArrayList<>();
        iterator(value, at).forEachRemaining(elements::add);
        return elements;
    }

    private static long size(Object value, Position at) throws ScriptError {
        if (value instanceof RangeValue range) {
            return range.size();
        } else if (value instanceof ListValue list) {
            return list.elements().size();
        } else if (value instanceof TupleValue tuple) {
            return tuple.elements().size();
        } else if (value instanceof DictValue dict) {
            return dict.entries().size();
        }
        throw noSequence(value, at);
    }

    /** Goes through a sequence where it is; the keys of a dict. */
    static Iterator<Object> iterator(Object value, Position at) throws ScriptError {
        if (value instanceof ListValue list) {
            return list.elements().iterator();
        } else if (value instanceof TupleValue tuple) {
            return tuple.elements().iterator();
        } else if (value instanceof DictValue dict) {
            return dict.entries().keySet().iterator();
        } else if (value instanceof RangeValue range) {
            return walk(range.size(), range::at);
        }
        throw noSequence(value, at);
    }

    private static Iterator<Object> walk(long size, LongFunction<Object> at) {
        return new Iterator<>() {
            private long next;

            @Override
            public boolean hasNext() {
                return next < size;
            }

            @Override
            public Object next() {
                return at.apply(next++);
            }
        };
    }

    private static ScriptError noSequence(Object value, Position at) {
        return new ScriptError(
                at, Values.kind(value) + " is no sequence; a list, a tuple, a dict or a range is");
    }

    // ---- Methods ----

    /** The method of a value under a name, or null where it has none. */
    Builtin method(Object receiver, String name) {
        if (receiver instanceof String text) {
            return textMethod(text, name);
        } else if (receiver instanceof ListValue list) {
            return listMethod(list, name);
        }
        return receiver instanceof DictValue dict ? dictMethod(dict, name) : null;
    }

    private Builtin textMethod(String text, String name) {
        return switch (name) {
            case "format" -> call -> Texts.format(text, call);
            case "join" -> call -> join(text, call);
            case "split" ->
                    call -> {
                        final String by = call.onlyText();
                        if (by.isEmpty()) {
                            throw new ScriptError(
                                    call.at(), "split takes a text that is not empty");
                        }
                        meter.cells(text.length(), call.at());
                        return new ListValue(
                                new ArrayList<>(List.of(text.split(Pattern.quote(by), -1))));
                    };
            case "replace" -> call -> replace(text, call);
            case "strip" -> call -> counted(text.strip(), call);
            case "lower" -> call -> counted(text.toLowerCase(Locale.ROOT), call);
            case "upper" -> call -> counted(text.toUpperCase(Locale.ROOT), call);
            case "startswith" -> call -> text.startsWith(call.onlyText());
            case "endswith" -> call -> text.endsWith(call.onlyText());
            default -> null;
        };
    }

    /** What a method without arguments made of a text. */
    private String counted(String text, Builtin.Call call) throws ScriptError {
        call.exactly(0, 0);
        meter.text(text.length(), call.at());
        return text;
    }

    private String join(String gap, Builtin.Call call) throws ScriptError {
        long chars = 0;
        final List<String> parts = new ArrayList<>();
        for (final Object part : takenAlone(call)) {
            if (!(part instanceof String text)) {
                throw new ScriptError(
                        call.positional().get(0).at(),
                        "join takes a sequence of texts; here is " + Values.kind(part));
            }
            parts.add(text);
            chars += text.length() + gap.length();
        }
        meter.text(chars, call.at());
        return String.join(gap, parts);
    }

    private String replace(String text, Builtin.Call call) throws ScriptError {
        call.exactly(2, 2);
        final String from = call.text(0);
        final String to = call.text(1);
        if (from.isEmpty()) {
            throw new ScriptError(
                    call.positional().get(0).at(), "replace takes a text that is not empty");
        }
        // Counted as if every part matched, before any of it is built.
        meter.text(text.length() + (long) text.length() / from.length() * to.length(), call.at());
        return text.replace(from, to);
    }

    private Builtin listMethod(ListValue list, String name) {
        return switch (name) {
            case "append" ->
                    call -> {
                        call.exactly(1, 1);
                        meter.cells(1, call.at());
                        list.changeable(call.at()).add(call.value(0));
                        return Values.NONE;
                    };
            case "extend" ->
                    call -> {
                        list.changeable(call.at()).addAll(takenAlone(call));
                        return Values.NONE;
                    };
            case "index" ->
                    call -> {
                        call.exactly(1, 1);
                        for (int i = 0; i < list.elements().size(); i++) {
                            if (Values.equal(
                                    list.elements().get(i), call.value(0), 0, meter, call.at())) {
                                return (long) i;
                            }
                        }
                        throw new ScriptError(call.at(), "index: the list does not hold this");
                    };
            default -> null;
        };
    }

    private Builtin dictMethod(DictValue dict, String name) {
        return switch (name) {
            case "get" ->
                    call -> {
                        call.exactly(1, 2);
                        final Object found =
                                dict.entries().get(Operators.key(call.value(0), call.at()));
                        return found != null
                                ? found
                                : call.positional().size() == 2 ? call.value(1) : Values.NONE;
                    };
            case "keys" ->
                    call -> {
                        call.exactly(0, 0);
                        return new ListValue(elements(dict, call.at()));
                    };
            case "values" ->
                    call -> {
                        call.exactly(0, 0);
                        meter.cells(dict.entries().size(), call.at());
                        return new ListValue(new ArrayList<>(dict.entries().values()));
                    };
            case "items" ->
                    call -> {
                        call.exactly(0, 0);
                        meter.cells(3L * dict.entries().size(), call.at());
                        final List<Object> items = new ArrayList<>();
                        dict.entries()
                                .forEach(
                                        (key, value) ->
                                                items.add(new TupleValue(List.of(key, value))));
                        return new ListValue(items);
                    };
            case "update" ->
                    call -> {
                        call.exactly(1, 1);
                        if (!(call.value(0) instanceof DictValue other)) {
                            throw call.wrong(0, "a dict");
                        }
                        meter.cells(other.entries().size(), call.at());
                        dict.changeable(call.at()).putAll(new LinkedHashMap<>(other.entries()));
                        return Values.NONE;
                    };
            default -> null;
        };
    }
}
