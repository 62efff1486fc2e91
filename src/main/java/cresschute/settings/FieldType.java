package cresschute.settings;

import cresschute.settings.script.Values;
import cresschute.settings.script.Values.Dimension;
import cresschute.settings.script.Values.ListValue;
import cresschute.settings.script.Values.Quantity;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * The type of a field: which script values it allows, and how they are converted and formatted.
 *
 * @param allowed description of the allowed values for error messages and the settings reference
 * @param read converts a script value; returns null if the value is not allowed
 * @param format formats a converted value in script syntax
 */
record FieldType<T>(String allowed, Function<Object, T> read, Function<T, String> format) {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    /**
     * Longest path, in bytes, that fits into {@code sockaddr_un} with its terminating zero on every
     * system that Java supports.
     */
    private static final int MAX_SOCKET_PATH_BYTES = 100;

    private static final long US_PER_MS = 1_000;
    private static final long US_PER_S = 1_000_000;

    /** A name of up to 64 letters, digits, dots, dashes and underscores. */
    static FieldType<String> name() {
        return new FieldType<>(
                "a name of 1 to 64 letters, digits, '.', '-' and '_', the first a letter or digit",
                value -> value instanceof String text && NAME.matcher(text).matches() ? text : null,
                Values::quoted);
    }

    /** One of the given words. */
    static FieldType<String> oneOf(String... words) {
        final List<String> known = List.of(words);
        final List<String> quoted = known.stream().map(Values::quoted).toList();
        return new FieldType<>(
                String.join(" or ", quoted),
                value -> value instanceof String text && known.contains(text) ? text : null,
                Values::quoted);
    }

    /** An integer within bounds. */
    static FieldType<Long> integer(long min, long max) {
        return new FieldType<>(
                "a whole number from " + min + " to " + max,
                value ->
                        value instanceof Long number && number >= min && number <= max
                                ? number
                                : null,
                Object::toString);
    }

    /** A number within bounds. */
    static FieldType<Double> number(double min, double max) {
        return new FieldType<>(
                "a number from " + Values.number(min) + " to " + Values.number(max),
                value ->
                        value instanceof Number number
                                        && number.doubleValue() >= min
                                        && number.doubleValue() <= max
                                ? (Double) number.doubleValue()
                                : null,
                value -> BigDecimal.valueOf(value).stripTrailingZeros().toPlainString());
    }

    /** True or False. */
    static FieldType<Boolean> bool() {
        return new FieldType<>(
                "True or False",
                value -> value instanceof Boolean truth ? truth : null,
                value -> value ? "True" : "False");
    }

    /** A time within the given bounds; bounds and value are in microseconds. */
    static FieldType<Long> time(long minUs, long maxUs) {
        return new FieldType<>(
                "a time from "
                        + formatTime(minUs)
                        + " to "
                        + formatTime(maxUs)
                        + ", such as "
                        + (maxUs >= US_PER_S ? "2 * s" : "20 * ms"),
                value ->
                        value instanceof Quantity quantity
                                        && quantity.dimension() == Dimension.TIME
                                        && quantity.amount() >= minUs
                                        && quantity.amount() <= maxUs
                                ? (Long) Math.round(quantity.amount())
                                : null,
                FieldType::formatTime);
    }

    private static String formatTime(long us) {
        return us == 0 ? "0 * ms" : Values.text(new Quantity(Dimension.TIME, us));
    }

    /** A size within the given bounds; bounds and value are in bytes. */
    static FieldType<Long> size(long min, long max) {
        return new FieldType<>(
                "a size from " + formatSize(min) + " to " + formatSize(max) + ", such as 2 * MiB",
                value ->
                        value instanceof Quantity quantity
                                        && quantity.dimension() == Dimension.SIZE
                                        && quantity.amount() >= min
                                        && quantity.amount() <= max
                                ? (Long) Math.round(quantity.amount())
                                : null,
                FieldType::formatSize);
    }

    static String formatSize(long bytes) {
        return Values.text(new Quantity(Dimension.SIZE, bytes));
    }

    /** An IP address with a port. */
    static FieldType<InetSocketAddress> address() {
        return new FieldType<>(
                "an IP address with a port, such as \"127.0.0.1:9000\"",
                value -> value instanceof String text ? IpAddress.parse(text) : null,
                value -> Values.quoted(IpAddress.format(value)));
    }

    /** A list of IP addresses with ports. */
    static FieldType<List<InetSocketAddress>> addresses() {
        final FieldType<InetSocketAddress> address = address();
        return new FieldType<>(
                "a list of IP addresses with ports, such as [\"10.0.0.2:7946\"]",
                value -> {
                    if (!(value instanceof ListValue list)) {
                        return null;
                    }
                    final List<InetSocketAddress> addresses = new ArrayList<>();
                    for (final Object element : list.elements()) {
                        final InetSocketAddress read = address.read().apply(element);
                        if (read == null) {
                            return null;
                        }
                        addresses.add(read);
                    }
                    return List.copyOf(addresses);
                },
                value ->
                        "["
                                + String.join(", ", value.stream().map(address.format()).toList())
                                + "]");
    }

    /** An absolute path. */
    static FieldType<String> path() {
        return new FieldType<>(
                "a path that begins with '/'",
                value ->
                        value instanceof String text
                                        && text.startsWith("/")
                                        && text.indexOf('\0') < 0
                                ? text
                                : null,
                Values::quoted);
    }

    /** An absolute path, short enough for the address of a Unix domain socket. */
    static FieldType<String> socketPath() {
        final FieldType<String> path = path();
        return new FieldType<>(
                path.allowed() + ", of at most " + MAX_SOCKET_PATH_BYTES + " bytes",
                value -> {
                    final String read = path.read().apply(value);
                    return read == null
                                    || read.getBytes(StandardCharsets.UTF_8).length
                                            > MAX_SOCKET_PATH_BYTES
                            ? null
                            : read;
                },
                path.format());
    }

    /** A list of distinct names. */
    static FieldType<List<String>> names() {
        final FieldType<String> name = name();
        return new FieldType<>(
                "a list of names, each once",
                value -> {
                    if (!(value instanceof ListValue list)) {
                        return null;
                    }
                    final List<String> names = new ArrayList<>();
                    for (final Object element : list.elements()) {
                        final String read = name.read().apply(element);
                        if (read == null || names.contains(read)) {
                            return null;
                        }
                        names.add(read);
                    }
                    return List.copyOf(names);
                },
                value ->
                        "[" + String.join(", ", value.stream().map(Values::quoted).toList()) + "]");
    }

    static long ms(long count) {
        return count * US_PER_MS;
    }

    static long seconds(long count) {
        return count * US_PER_S;
    }
}
