package cresschute.settings.script;

import cresschute.settings.script.Values.DictValue;
import cresschute.settings.script.Values.ListValue;
import cresschute.settings.script.Values.RangeValue;
import cresschute.settings.script.Values.TupleValue;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads elements and slices of texts, lists, tuples, ranges and dicts, and sets elements of lists
 * and dicts.
 */
final class Subscripts {

    private final ResourceLimiter limiter;

    Subscripts(ResourceLimiter limiter) {
        this.limiter = limiter;
    }

    static Object element(Object value, Object key, Position at) throws ScriptError {
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
            final Object found = dict.entries().get(Operators.dictKey(key, at));
            if (found == null) {
                throw new ScriptError(
                        at,
                        "the dict has no key "
                                + (key instanceof String text ? Values.quoted(text) : key));
            }
            return found;
        }
        throw new ScriptError(at, Values.typeName(value) + " has no elements");
    }

    Object slice(Object value, Object low, Object high, Position at) throws ScriptError {
        final int size =
                value instanceof String text
                        ? text.length()
                        : value instanceof ListValue list
                                ? list.elements().size()
                                : value instanceof TupleValue tuple ? tuple.elements().size() : -1;
        if (size < 0) {
            throw new ScriptError(
                    at,
                    Values.typeName(value)
                            + " cannot be sliced; allowed: a text, a list or a tuple");
        }
        final int from = bound(low, 0, size, at);
        final int to = Math.max(from, bound(high, size, size, at));
        if (value instanceof String text) {
            limiter.allocateText(to - from, at);
            return text.substring(from, to);
        }
        limiter.allocateCells(to - from, at);
        final List<Object> elements =
                value instanceof ListValue list ? list.elements() : ((TupleValue) value).elements();
        final List<Object> part = new ArrayList<>(elements.subList(from, to));
        return value instanceof ListValue ? new ListValue(part) : new TupleValue(part);
    }

    void setElement(Object container, Object key, Object value, Position at) throws ScriptError {
        if (container instanceof ListValue list) {
            list.mutable(at).set(index(key, list.elements().size(), at), value);
        } else if (container instanceof DictValue dict) {
            limiter.allocateCells(2, at);
            dict.mutable(at).put(Operators.dictKey(key, at), value);
        } else {
            throw new ScriptError(
                    at,
                    Values.typeName(container)
                            + " has no elements that can be set; allowed: a list or a dict");
        }
    }

    private static int index(Object key, int size, Position at) throws ScriptError {
        if (!(key instanceof Long number)) {
            throw new ScriptError(at, "an index is a whole number, not " + Values.typeName(key));
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

    private static int bound(Object bound, int defaultValue, int size, Position at)
            throws ScriptError {
        if (bound == null || bound == Values.NONE) {
            return defaultValue;
        }
        if (!(bound instanceof Long number)) {
            throw new ScriptError(at, "an index is a whole number, not " + Values.typeName(bound));
        }
        return (int) Math.max(0, Math.min(size, number < 0 ? number + size : number));
    }
}
