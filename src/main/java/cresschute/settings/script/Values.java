package cresschute.settings.script;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The types of script values, beside {@link Boolean}, {@link Long}, {@link Double}, {@link String}
 * and {@link #NONE}, and operations on all of them: type name, truth value, equality and conversion
 * to text.
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

    /** A time or a size, as the product of a number and a unit. */
    public record Quantity(Dimension dimension, double amount) {}

    /** The dimension of a quantity: times are in microseconds, sizes in bytes. */
    public enum Dimension {
        TIME,
        SIZE
    }

    /** A list. It must not change while a loop iterates over it. */
    public static final class ListValue {

        private final List<Object> elements;
        private int activeIterators;

        ListValue(List<Object> elements) {
            this.elements = elements;
        }

        /** An unmodifiable view of the elements. */
        public List<Object> elements() {
            return Collections.unmodifiableList(elements);
        }

        List<Object> mutable(Position at) throws ScriptError {
            if (activeIterators > 0) {
                throw new ScriptError(at, "the list must not change while a loop iterates over it");
            }
            return elements;
        }

        void adjustIteratorCount(int change) {
            activeIterators += change;
        }
    }

    /** An immutable sequence. */
    public record TupleValue(List<Object> elements) {}

    /** A range of whole numbers, whose elements are computed and not stored. */
    public record RangeValue(long start, long stop, long step) {

        /** The number of elements. */
        public long size() {
            // Unsigned division, because the difference may exceed Long.MAX_VALUE.
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
     * A dict. Its keys are texts, whole numbers, {@code True} and {@code False}, in insertion
     * order. It must not change while a loop iterates over it.
     */
    public static final class DictValue {

        private final Map<Object, Object> entries = new LinkedHashMap<>();
        private int activeIterators;

        /** An unmodifiable view of the entries. */
        public Map<Object, Object> entries() {
            return Collections.unmodifiableMap(entries);
        }

        Map<Object, Object> mutable(Position at) throws ScriptError {
            if (activeIterators > 0) {
                throw new ScriptError(at, "the dict must not change while a loop iterates over it");
            }
            return entries;
        }

        void adjustIteratorCount(int change) {
            activeIterators += change;
        }
    }

    /** Returns the name of a value's type, as in error messages and the result of {@code type}. */
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

    /** Whether two values are equal. Descends into nested values and counts each as a step. */
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

    /** Converts a value to text, as {@code str} does. */
    static String text(Object value, ResourceLimiter limiter, Position at) throws ScriptError {
        if (value instanceof String text) {
            return text;
        }
        final StringBuilder out = new StringBuilder();
        write(value, out, 0, limiter, at);
        return out.toString();
    }

    /**
     * Appends a value's text, and counts steps and memory meanwhile: a small value that refers to
     * the same value many times can have a huge text.
     */
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

    /** Formats a text as a quoted literal in script syntax. */
    public static String quoted(String text) {
        return '"'
                + text.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\t", "\\t")
                        .replace("\r", "\\r")
                + '"';
    }

    /**
     * Formats a quantity in script syntax, in the largest unit in which the number is at least 1
     * and has at most three decimals, or else in the smallest unit.
     */
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

    /** Formats a number, without a fraction if it is whole. */
    public static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
