package cresschute.settings.script;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The kinds of value that a script has, beside {@link Boolean}, {@link Long}, {@link Double},
 * {@link String} and {@link #NONE}, and what holds for all of them: their names, their truth,
 * equality and text.
 */
public final class Values {

    /** The value of {@code None}. */
    public static final Object NONE =
            new Object() {
                @Override
                public String toString() {
                    return "None";
                }
            };

    private Values() {}

    /** A time or a size: what a number times a unit makes. */
    public record Quantity(Dimension dimension, double amount) {}

    /** What a quantity measures, and in what: times in microseconds, sizes in bytes. */
    public enum Dimension {
        TIME,
        SIZE
    }

    /** A list; it may not change while a loop is going through it. */
    public static final class ListValue {

        private final List<Object> elements;
        private int activeIterators;

        ListValue(List<Object> elements) {
            this.elements = elements;
        }

        /** The elements as they are now, not to be changed. */
        public List<Object> elements() {
            return Collections.unmodifiableList(elements);
        }

        List<Object> mutable(Position at) throws ScriptError {
            if (activeIterators > 0) {
                throw new ScriptError(at, "the list may not change while a loop goes through it");
            }
            return elements;
        }

        void adjustIteratorCount(int change) {
            activeIterators += change;
        }
    }

    /** A sequence that never changes. */
    public record TupleValue(List<Object> elements) {}

    /** The numbers from one to another, not laid out in memory. */
    public record RangeValue(long start, long stop, long step) {

        /** How many there are. */
        public long size() {
            // Unsigned division guards against a difference that a long cannot hold.
            if (step > 0 ? start >= stop : start <= stop) {
                return 0;
            }
            return step > 0
                    ? Long.divideUnsigned(stop - start - 1, step) + 1
                    : Long.divideUnsigned(start - stop - 1, -step) + 1;
        }

        long at(long index) {
            return start + index * step;
        }
    }

    /**
     * A dict; its keys are texts, whole numbers, {@code True} and {@code False}, in the order they
     * came.
     */
    public static final class DictValue {

        private final Map<Object, Object> entries = new LinkedHashMap<>();
        private int activeIterators;

        /** The entries as they are now, not to be changed. */
        public Map<Object, Object> entries() {
            return Collections.unmodifiableMap(entries);
        }

        Map<Object, Object> mutable(Position at) throws ScriptError {
            if (activeIterators > 0) {
                throw new ScriptError(at, "the dict may not change while a loop goes through it");
            }
            return entries;
        }

        void adjustIteratorCount(int change) {
            activeIterators += change;
        }
    }

    /** The name of a value's kind, as errors give it. */
    public static String typeName(Object value) {
        if (value == NONE) {
            return "None";
        } else if (value instanceof Boolean) {
            return "a truth value";
        } else if (value instanceof Long) {
            return "a whole number";
        } else if (value instanceof Double) {
            return "a decimal number";
        } else if (value instanceof String) {
            return "a text";
        } else if (value instanceof Quantity quantity) {
            return quantity.dimension() == Dimension.TIME ? "a time" : "a size";
        } else if (value instanceof ListValue) {
            return "a list";
        } else if (value instanceof TupleValue) {
            return "a tuple";
        } else if (value instanceof RangeValue) {
            return "a range";
        } else if (value instanceof DictValue) {
            return "a dict";
        }
        return "a function";
    }

    static boolean isTruthy(Object value) {
        if (value instanceof Boolean truth) {
            return truth;
        } else if (value instanceof Long number) {
            return number != 0;
        } else if (value instanceof Double number) {
            return number != 0;
        } else if (value instanceof String text) {
            return !text.isEmpty();
        } else if (value instanceof Quantity quantity) {
            return quantity.amount() != 0;
        } else if (value instanceof ListValue list) {
            return !list.elements.isEmpty();
        } else if (value instanceof TupleValue tuple) {
            return !tuple.elements().isEmpty();
        } else if (value instanceof RangeValue range) {
            return range.size() > 0;
        } else if (value instanceof DictValue dict) {
            return !dict.entries.isEmpty();
        }
        return value != NONE;
    }

    /** Whether two values are equal; walks down them, which counts. */
    static boolean equal(Object a, Object b, int depth, ResourceLimiter limiter, Position at)
            throws ScriptError {
        limiter.countStep(at);
        limiter.checkNesting(depth, at);
        if (a instanceof Number x && b instanceof Number y) {
            return (a instanceof Long && b instanceof Long)
                    ? x.longValue() == y.longValue()
                    : x.doubleValue() == y.doubleValue();
        }
        if (a instanceof ListValue x && b instanceof ListValue y) {
            return equalAll(x.elements, y.elements, depth, limiter, at);
        }
        if (a instanceof TupleValue x && b instanceof TupleValue y) {
            return equalAll(x.elements(), y.elements(), depth, limiter, at);
        }
        if (a instanceof DictValue x && b instanceof DictValue y) {
            if (!x.entries.keySet().equals(y.entries.keySet())) {
                return false;
            }
            for (final Map.Entry<Object, Object> entry : x.entries.entrySet()) {
                if (!equal(
                        entry.getValue(), y.entries.get(entry.getKey()), depth + 1, limiter, at)) {
                    return false;
                }
            }
            return true;
        }
        return a.equals(b);
    }

    private static boolean equalAll(
            List<Object> a, List<Object> b, int depth, ResourceLimiter limiter, Position at)
            throws ScriptError {
        if (a.size() != b.size()) {
            return false;
        }
        for (int i = 0; i < a.size(); i++) {
            if (!equal(a.get(i), b.get(i), depth + 1, limiter, at)) {
                return false;
            }
        }
        return true;
    }

    /** A value's text, as {@code str} makes it. */
    static String text(Object value, ResourceLimiter limiter, Position at) throws ScriptError {
        if (value instanceof String text) {
            return text;
        }
        final StringBuilder out = new StringBuilder();
        write(value, out, 0, limiter, at);
        return out.toString();
    }

    /** Counts as it writes: a small value that holds itself many times over has a huge text. */
    private static void write(
            Object value, StringBuilder out, int depth, ResourceLimiter limiter, Position at)
            throws ScriptError {
        limiter.countStep(at);
        limiter.checkNesting(depth, at);
        final int before = out.length();
        if (value instanceof String text) {
            limiter.allocateText(text.length(), at);
            out.append(quoted(text));
        } else if (value instanceof Quantity quantity) {
            out.append(text(quantity));
        } else if (value instanceof ListValue list) {
            writeAll(list.elements, "[", "]", out, depth, limiter, at);
        } else if (value instanceof TupleValue tuple) {
            writeAll(
                    tuple.elements(),
                    "(",
                    tuple.elements().size() == 1 ? ",)" : ")",
                    out,
                    depth,
                    limiter,
                    at);
        } else if (value instanceof RangeValue range) {
            out.append("range(")
                    .append(range.start())
                    .append(", ")
                    .append(range.stop())
                    .append(", ")
                    .append(range.step())
                    .append(')');
        } else if (value instanceof DictValue dict) {
            String gap = "{";
            for (final Map.Entry<Object, Object> entry : dict.entries.entrySet()) {
                out.append(gap);
                write(entry.getKey(), out, depth + 1, limiter, at);
                out.append(": ");
                write(entry.getValue(), out, depth + 1, limiter, at);
                gap = ", ";
            }
            out.append(dict.entries.isEmpty() ? "{}" : "}");
        } else if (value instanceof Boolean truth) {
            out.append(truth ? "True" : "False");
        } else {
            out.append(value);
        }
        if (depth == 0) {
            limiter.allocateText(out.length() - before, at);
        }
    }

    private static void writeAll(
            List<Object> elements,
            String open,
            String close,
            StringBuilder out,
            int depth,
            ResourceLimiter limiter,
            Position at)
            throws ScriptError {
        String gap = open;
        for (final Object element : elements) {
            out.append(gap);
            write(element, out, depth + 1, limiter, at);
            gap = ", ";
        }
        out.append(elements.isEmpty() ? open : "").append(close);
    }

    /** A text as a script writes it. */
    public static String quoted(String text) {
        return '"'
                + text.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\t", "\\t")
                        .replace("\r", "\\r")
                + '"';
    }

    /** A quantity as a script writes it, in the largest unit that leaves a short number. */
    public static String text(Quantity quantity) {
        final double amount = quantity.amount();
        final List<Map.Entry<String, Double>> units =
                new ArrayList<>(Units.of(quantity.dimension()));
        Collections.reverse(units);
        for (final Map.Entry<String, Double> unit : units) {
            final double count = amount / unit.getValue();
            if (Math.abs(count) >= 1 && count * 1000 == Math.rint(count * 1000)) {
                return number(count) + " * " + unit.getKey();
            }
        }
        return number(amount) + " * " + Units.of(quantity.dimension()).get(0).getKey();
    }

    /** A number without a needless fraction. */
    public static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
