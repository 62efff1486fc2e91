package cresschute.settings.script;

import cresschute.settings.script.Values.DictValue;
import cresschute.settings.script.Values.ListValue;
import cresschute.settings.script.Values.RangeValue;
import cresschute.settings.script.Values.TupleValue;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.LongFunction;

/** Iteration over lists, tuples, ranges and the keys of dicts. */
final class Sequences {

    private final ResourceLimiter limiter;

    Sequences(ResourceLimiter limiter) {
        this.limiter = limiter;
    }

    /** Returns the elements of a call's first argument. */
    List<Object> elementsOfFirst(Builtin.Call call) throws ScriptError {
        return elements(call.value(0), call.positional().get(0).at());
    }

    /** Returns the elements of a call's only argument. */
    List<Object> elementsOfOnly(Builtin.Call call) throws ScriptError {
        call.requirePositional(1, 1);
        return elementsOfFirst(call);
    }

    /** Returns the elements of a sequence, as a new list. */
    List<Object> elements(Object value, Position at) throws ScriptError {
        final long size = size(value, at);
        limiter.allocateCells(size, at);
        limiter.countSteps(size, at);
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

    /** Returns an iterator over a sequence, or over the keys of a dict, without copying it. */
    static Iterator<Object> iterator(Object value, Position at) throws ScriptError {
        if (value instanceof ListValue list) {
            return list.elements().iterator();
        } else if (value instanceof TupleValue tuple) {
            return tuple.elements().iterator();
        } else if (value instanceof DictValue dict) {
            return dict.entries().keySet().iterator();
        } else if (value instanceof RangeValue range) {
            return iterate(range.size(), range::at);
        }
        throw noSequence(value, at);
    }

    private static Iterator<Object> iterate(long size, LongFunction<Object> at) {
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
                at,
                Values.typeName(value)
                        + " is not iterable; allowed: a list, a tuple, a dict or a range");
    }

    /**
     * Forbids changes of a list or dict until {@link #endIteration}. No effect on other sequences.
     */
    static void beginIteration(Object sequence) {
        adjustIteratorCount(sequence, 1);
    }

    static void endIteration(Object sequence) {
        adjustIteratorCount(sequence, -1);
    }

    private static void adjustIteratorCount(Object sequence, int change) {
        if (sequence instanceof ListValue list) {
            list.adjustIteratorCount(change);
        } else if (sequence instanceof DictValue dict) {
            dict.adjustIteratorCount(change);
        }
    }
}
