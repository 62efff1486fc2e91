package cresschute.settings.script;

import cresschute.settings.script.Values.DictValue;
import cresschute.settings.script.Values.ListValue;
import cresschute.settings.script.Values.Quantity;
import cresschute.settings.script.Values.RangeValue;
import cresschute.settings.script.Values.TupleValue;
import java.util.ArrayList;
import java.util.List;

/**
 * Implements the operators for each type of value. Whole numbers have 64 bits; overflow is an
 * error.
 */
final class Operators {

    private final ResourceLimiter limiter;

    Operators(ResourceLimiter limiter) {
        this.limiter = limiter;
    }

    Object apply(String operator, Object a, Object b, Position at) throws ScriptError {
        try {
            final Object result =
                    switch (operator) {
                        case "+" -> add(a, b, at);
                        case "-" -> subtract(a, b);
                        case "*" -> multiply(a, b, at);
                        case "/" -> divide(a, b, at);
                        case "//" -> floorDivide(a, b, at);
                        default ->
                                a instanceof String format
                                        ? Strings.percent(format, b, limiter, at)
                                        : modulo(a, b, at);
                    };
            if (result == null) {
                throw new ScriptError(
                        at,
                        "'"
                                + operator
                                + "' is not supported for "
                                + Values.typeName(a)
                                + " and "
                                + Values.typeName(b));
            }
            return result;
        } catch (ArithmeticException e) {
            throw new ScriptError(at, "the result exceeds 64 bits");
        }
    }

    private Object add(Object a, Object b, Position at) throws ScriptError {
        if (a instanceof Long x && b instanceof Long y) {
            return Math.addExact(x, y);
        } else if (a instanceof Number x && b instanceof Number y) {
            return x.doubleValue() + y.doubleValue();
        } else if (a instanceof Quantity x
                && b instanceof Quantity y
                && x.dimension() == y.dimension()) {
            return new Quantity(x.dimension(), x.amount() + y.amount());
        } else if (a instanceof String x && b instanceof String y) {
            limiter.allocateText((long) x.length() + y.length(), at);
            return x + y;
        } else if (a instanceof ListValue x && b instanceof ListValue y) {
            return new ListValue(concatenate(x.elements(), y.elements(), at));
        } else if (a instanceof TupleValue x && b instanceof TupleValue y) {
            return new TupleValue(concatenate(x.elements(), y.elements(), at));
        }
        return null;
    }

    private List<Object> concatenate(List<Object> a, List<Object> b, Position at)
            throws ScriptError {
        limiter.allocateCells((long) a.size() + b.size(), at);
        final List<Object> joined = new ArrayList<>(a);
        joined.addAll(b);
        return joined;
    }

    private static Object subtract(Object a, Object b) {
        if (a instanceof Long x && b instanceof Long y) {
            return Math.subtractExact(x, y);
        } else if (a instanceof Number x && b instanceof Number y) {
            return x.doubleValue() - y.doubleValue();
        } else if (a instanceof Quantity x
                && b instanceof Quantity y
                && x.dimension() == y.dimension()) {
            return new Quantity(x.dimension(), x.amount() - y.amount());
        }
        return null;
    }

    private Object multiply(Object a, Object b, Position at) throws ScriptError {
        if (a instanceof Long x && b instanceof Long y) {
            return Math.multiplyExact(x, y);
        } else if (a instanceof Number x && b instanceof Number y) {
            return x.doubleValue() * y.doubleValue();
        } else if (a instanceof Quantity x && b instanceof Number y) {
            return new Quantity(x.dimension(), x.amount() * y.doubleValue());
        } else if (a instanceof Number x && b instanceof Quantity y) {
            return new Quantity(y.dimension(), y.amount() * x.doubleValue());
        } else if (a instanceof Long count && !(b instanceof Long) && !(b instanceof Double)) {
            return repeat(b, count, at);
        }
        return b instanceof Long count ? repeat(a, count, at) : null;
    }

    private Object repeat(Object value, long count, Position at) throws ScriptError {
        final long times = Math.max(0, count);
        if (value instanceof String text) {
            limiter.allocateText(Math.multiplyExact(text.length(), times), at);
            return text.repeat((int) times);
        }
        if (!(value instanceof ListValue) && !(value instanceof TupleValue)) {
            return null;
        }
        final List<Object> elements =
                value instanceof ListValue list ? list.elements() : ((TupleValue) value).elements();
        limiter.allocateCells(Math.multiplyExact(elements.size(), times), at);
        final List<Object> repeated = new ArrayList<>();
        for (long i = 0; i < times && !elements.isEmpty(); i++) {
            repeated.addAll(elements);
        }
        return value instanceof ListValue ? new ListValue(repeated) : new TupleValue(repeated);
    }

    private static Object divide(Object a, Object b, Position at) throws ScriptError {
        if (a instanceof Number x && b instanceof Number y) {
            return x.doubleValue() / divisor(y, at);
        } else if (a instanceof Quantity x && b instanceof Number y) {
            return new Quantity(x.dimension(), x.amount() / divisor(y, at));
        } else if (a instanceof Quantity x
                && b instanceof Quantity y
                && x.dimension() == y.dimension()) {
            return x.amount() / divisor(y.amount(), at);
        }
        return null;
    }

    private static Object floorDivide(Object a, Object b, Position at) throws ScriptError {
        if (a instanceof Long x && b instanceof Long y) {
            divisor(y, at);
            if (x == Long.MIN_VALUE && y == -1) {
                throw new ArithmeticException();
            }
            return Math.floorDiv(x, y);
        } else if (a instanceof Number x && b instanceof Number y) {
            return Math.floor(x.doubleValue() / divisor(y, at));
        }
        return null;
    }

    private static Object modulo(Object a, Object b, Position at) throws ScriptError {
        if (a instanceof Long x && b instanceof Long y) {
            divisor(y, at);
            return Math.floorMod(x, y);
        } else if (a instanceof Number x && b instanceof Number y) {
            final double by = divisor(y, at);
            return x.doubleValue() - Math.floor(x.doubleValue() / by) * by;
        }
        return null;
    }

    private static double divisor(Number number, Position at) throws ScriptError {
        if (number.doubleValue() == 0) {
            throw new ScriptError(at, "division by zero");
        }
        return number.doubleValue();
    }

    Object negate(Object value, Position at) throws ScriptError {
        if (value instanceof Long number) {
            if (number == Long.MIN_VALUE) {
                throw new ScriptError(at, "the result exceeds 64 bits");
            }
            return -number;
        } else if (value instanceof Double number) {
            return -number;
        } else if (value instanceof Quantity quantity) {
            return new Quantity(quantity.dimension(), -quantity.amount());
        }
        throw new ScriptError(at, "'-' is not supported for " + Values.typeName(value));
    }

    boolean compare(String operator, Object a, Object b, Position at) throws ScriptError {
        return switch (operator) {
            case "==" -> Values.equal(a, b, 0, limiter, at);
            case "!=" -> !Values.equal(a, b, 0, limiter, at);
            case "<" -> order(a, b, at) < 0;
            case "<=" -> order(a, b, at) <= 0;
            case ">" -> order(a, b, at) > 0;
            case ">=" -> order(a, b, at) >= 0;
            case "in" -> contains(b, a, at);
            default -> !contains(b, a, at);
        };
    }

    int order(Object a, Object b, Position at) throws ScriptError {
        limiter.countStep(at);
        if (a instanceof Long x && b instanceof Long y) {
            return Long.compare(x, y);
        } else if (a instanceof Number x && b instanceof Number y) {
            return Double.compare(x.doubleValue(), y.doubleValue());
        } else if (a instanceof String x && b instanceof String y) {
            return x.compareTo(y);
        } else if (a instanceof Quantity x
                && b instanceof Quantity y
                && x.dimension() == y.dimension()) {
            return Double.compare(x.amount(), y.amount());
        }
        throw new ScriptError(
                at,
                Values.typeName(a)
                        + " and "
                        + Values.typeName(b)
                        + " cannot be compared; allowed: two numbers, texts, times or sizes");
    }

    private boolean contains(Object all, Object one, Position at) throws ScriptError {
        if (all instanceof String text && one instanceof String part) {
            limiter.countSteps(text.length(), at);
            return text.contains(part);
        } else if (all instanceof DictValue dict) {
            return dict.entries().containsKey(dictKey(one, at));
        } else if (all instanceof RangeValue range) {
            return one instanceof Long number && contains(range, number);
        } else if (all instanceof ListValue || all instanceof TupleValue) {
            final List<Object> elements =
                    all instanceof ListValue list ? list.elements() : ((TupleValue) all).elements();
            for (final Object element : elements) {
                if (Values.equal(element, one, 0, limiter, at)) {
                    return true;
                }
            }
            return false;
        }
        throw new ScriptError(
                at, "'in' cannot look for " + Values.typeName(one) + " in " + Values.typeName(all));
    }

    private static boolean contains(RangeValue range, long number) {
        final boolean between =
                range.step() > 0
                        ? number >= range.start() && number < range.stop()
                        : number <= range.start() && number > range.stop();
        return between && (number - range.start()) % range.step() == 0;
    }

    /**
     * Returns a value that is used as the key of a dict.
     *
     * @throws ScriptError if its type cannot be a key
     */
    static Object dictKey(Object value, Position at) throws ScriptError {
        if (value instanceof String || value instanceof Long || value instanceof Boolean) {
            return value;
        }
        throw new ScriptError(
                at,
                Values.typeName(value)
                        + " cannot be a key; allowed: texts, whole numbers, True and False");
    }
}
