package cresschute.settings.script;

import cresschute.settings.script.Values.DictValue;
import cresschute.settings.script.Values.ListValue;
import cresschute.settings.script.Values.TupleValue;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** The methods of texts, lists and dicts. */
final class BuiltinMethods {

    private final Sequences sequences;
    private final ResourceLimiter limiter;

    BuiltinMethods(Sequences sequences, ResourceLimiter limiter) {
        this.sequences = sequences;
        this.limiter = limiter;
    }

    /** Returns the method of a value with a name, or null if the value has no such method. */
    Builtin method(Object receiver, String name) {
        if (receiver instanceof String text) {
            return stringMethod(text, name);
        } else if (receiver instanceof ListValue list) {
            return listMethod(list, name);
        }
        return receiver instanceof DictValue dict ? dictMethod(dict, name) : null;
    }

    private Builtin stringMethod(String text, String name) {
        return switch (name) {
            case "format" -> call -> Strings.format(text, call);
            case "join" -> call -> join(text, call);
            case "split" ->
                    call -> {
                        final String by = call.onlyString();
                        if (by.isEmpty()) {
                            throw new ScriptError(
                                    call.at(), "split takes a text that is not empty");
                        }
                        limiter.allocateCells(text.length(), call.at());
                        return new ListValue(
                                new ArrayList<>(List.of(text.split(Pattern.quote(by), -1))));
                    };
            case "replace" -> call -> replace(text, call);
            case "strip" -> call -> allocated(text.strip(), call);
            case "lower" -> call -> allocated(text.toLowerCase(Locale.ROOT), call);
            case "upper" -> call -> allocated(text.toUpperCase(Locale.ROOT), call);
            case "startswith" -> call -> text.startsWith(call.onlyString());
            case "endswith" -> call -> text.endsWith(call.onlyString());
            default -> null;
        };
    }

    /** Counts the memory of the result of a method without arguments, and returns the result. */
    private String allocated(String text, Builtin.Call call) throws ScriptError {
        call.requirePositional(0, 0);
        limiter.allocateText(text.length(), call.at());
        return text;
    }

    private String join(String gap, Builtin.Call call) throws ScriptError {
        long chars = 0;
        final List<String> parts = new ArrayList<>();
        for (final Object part : sequences.elementsOfOnly(call)) {
            if (!(part instanceof String text)) {
                throw new ScriptError(
                        call.positional().get(0).at(),
                        "join takes a sequence of texts, but an element is "
                                + Values.typeName(part));
            }
            parts.add(text);
            chars += text.length() + gap.length();
        }
        limiter.allocateText(chars, call.at());
        return String.join(gap, parts);
    }

    private String replace(String text, Builtin.Call call) throws ScriptError {
        call.requirePositional(2, 2);
        final String from = call.string(0);
        final String to = call.string(1);
        if (from.isEmpty()) {
            throw new ScriptError(
                    call.positional().get(0).at(), "replace takes a text that is not empty");
        }
        // Counted before the result is built, as if every part of the text matched.
        limiter.allocateText(
                text.length() + (long) text.length() / from.length() * to.length(), call.at());
        return text.replace(from, to);
    }

    private Builtin listMethod(ListValue list, String name) {
        return switch (name) {
            case "append" ->
                    call -> {
                        call.requirePositional(1, 1);
                        limiter.allocateCells(1, call.at());
                        list.mutable(call.at()).add(call.value(0));
                        return Values.NONE;
                    };
            case "extend" ->
                    call -> {
                        list.mutable(call.at()).addAll(sequences.elementsOfOnly(call));
                        return Values.NONE;
                    };
            case "index" ->
                    call -> {
                        call.requirePositional(1, 1);
                        for (int i = 0; i < list.elements().size(); i++) {
                            if (Values.equal(
                                    list.elements().get(i), call.value(0), 0, limiter, call.at())) {
                                return (long) i;
                            }
                        }
                        throw new ScriptError(
                                call.at(), "index: the list does not contain the value");
                    };
            default -> null;
        };
    }

    private Builtin dictMethod(DictValue dict, String name) {
        return switch (name) {
            case "get" ->
                    call -> {
                        call.requirePositional(1, 2);
                        final Object found =
                                dict.entries().get(Operators.dictKey(call.value(0), call.at()));
                        return found != null
                                ? found
                                : call.positional().size() == 2 ? call.value(1) : Values.NONE;
                    };
            case "keys" ->
                    call -> {
                        call.requirePositional(0, 0);
                        return new ListValue(sequences.elements(dict, call.at()));
                    };
            case "values" ->
                    call -> {
                        call.requirePositional(0, 0);
                        limiter.allocateCells(dict.entries().size(), call.at());
                        return new ListValue(new ArrayList<>(dict.entries().values()));
                    };
            case "items" ->
                    call -> {
                        call.requirePositional(0, 0);
                        limiter.allocateCells(3L * dict.entries().size(), call.at());
                        final List<Object> items = new ArrayList<>();
                        dict.entries()
                                .forEach(
                                        (key, value) ->
                                                items.add(new TupleValue(List.of(key, value))));
                        return new ListValue(items);
                    };
            case "update" ->
                    call -> {
                        call.requirePositional(1, 1);
                        if (!(call.value(0) instanceof DictValue other)) {
                            throw call.typeError(0, "a dict");
                        }
                        limiter.allocateCells(other.entries().size(), call.at());
                        dict.mutable(call.at()).putAll(new LinkedHashMap<>(other.entries()));
                        return Values.NONE;
                    };
            default -> null;
        };
    }
}
