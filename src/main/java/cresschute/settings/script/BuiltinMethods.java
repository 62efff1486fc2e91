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
    private final StepLimit stepLimit;

    BuiltinMethods(Sequences sequences, StepLimit stepLimit) {
        this.sequences = sequences;
        this.stepLimit = stepLimit;
    }

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
                        stepLimit.cells(text.length(), call.at());
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

    /** The result of a method without arguments, its memory counted. */
    private String counted(String text, Builtin.Call call) throws ScriptError {
        call.exactly(0, 0);
        stepLimit.text(text.length(), call.at());
        return text;
    }

    private String join(String gap, Builtin.Call call) throws ScriptError {
        long chars = 0;
        final List<String> parts = new ArrayList<>();
        for (final Object part : sequences.elementsOfOnly(call)) {
            if (!(part instanceof String text)) {
                throw new ScriptError(
                        call.positional().get(0).at(),
                        "join takes a sequence of texts; here is " + Values.kind(part));
            }
            parts.add(text);
            chars += text.length() + gap.length();
        }
        stepLimit.text(chars, call.at());
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
        stepLimit.text(
                text.length() + (long) text.length() / from.length() * to.length(), call.at());
        return text.replace(from, to);
    }

    private Builtin listMethod(ListValue list, String name) {
        return switch (name) {
            case "append" ->
                    call -> {
                        call.exactly(1, 1);
                        stepLimit.cells(1, call.at());
                        list.changeable(call.at()).add(call.value(0));
                        return Values.NONE;
                    };
            case "extend" ->
                    call -> {
                        list.changeable(call.at()).addAll(sequences.elementsOfOnly(call));
                        return Values.NONE;
                    };
            case "index" ->
                    call -> {
                        call.exactly(1, 1);
                        for (int i = 0; i < list.elements().size(); i++) {
                            if (Values.equal(
                                    list.elements().get(i),
                                    call.value(0),
                                    0,
                                    stepLimit,
                                    call.at())) {
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
                        return new ListValue(sequences.elements(dict, call.at()));
                    };
            case "values" ->
                    call -> {
                        call.exactly(0, 0);
                        stepLimit.cells(dict.entries().size(), call.at());
                        return new ListValue(new ArrayList<>(dict.entries().values()));
                    };
            case "items" ->
                    call -> {
                        call.exactly(0, 0);
                        stepLimit.cells(3L * dict.entries().size(), call.at());
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
                        stepLimit.cells(other.entries().size(), call.at());
                        dict.changeable(call.at()).putAll(new LinkedHashMap<>(other.entries()));
                        return Values.NONE;
                    };
            default -> null;
        };
    }
}
