package cresschute.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fault to inject into a fleet, at a time after its start.
 *
 * @param worker the affected worker, or null for a random one; ignored for faults that affect no
 *     worker
 * @param factor the severity; its meaning depends on the kind
 */
public record InjectedFault(Kind kind, String worker, double factor, long atUs, long forUs) {

    /** The kinds of faults, each with the default factor and duration. */
    public enum Kind {
        /** A worker runs slower by the factor. */
        SLOW(5, 10_000, true, "a worker runs x times slower"),
        /** A worker accepts requests, runs nothing and sends nothing. */
        SILENT(1, 8_000, true, "a worker takes jobs and answers none"),
        /** A worker resets the connections of this share of requests. */
        RESET(0.5, 5_000, true, "a worker resets the connection of a share x of its jobs"),
        /** A worker answers this share of requests with invalid JSON in the middle of a body. */
        GARBAGE(
                0.5,
                5_000,
                true,
                "a worker answers a share x of its jobs with bytes that are no JSON"),
        /** A worker's load reports are older by the factor, s. */
        LATE(3, 10_000, true, "a worker's load reports are x seconds old"),
        /** A worker's process crashes and restarts, cold, at the end of the fault. */
        CRASH(1, 3_000, true, "a worker's process dies, and is back cold afterwards"),
        /** Discovery reports a worker as draining until the end of the fault. */
        DRAIN(1, 8_000, true, "a worker is told to drain"),
        /** Clients send more requests by the factor. */
        BURST(2, 4_000, false, "clients send x times as much"),
        /** One request in fifty takes this many times the usual work. */
        TAIL(15, 10_000, false, "one job in fifty takes x times the usual work"),
        /** Discovery answers with 503 and resets its connections. */
        DIRECTOR(1, 5_000, false, "the director is down");

        private final double factor;
        private final long forMs;
        private final boolean ofWorker;
        private final String meaning;

        Kind(double factor, long forMs, boolean ofWorker, String meaning) {
            this.factor = factor;
            this.forMs = forMs;
            this.ofWorker = ofWorker;
            this.meaning = meaning;
        }

        /** Returns the name of the kind on command lines. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Returns one line of help. */
        public String meaning() {
            return meaning;
        }

        boolean isOfWorker() {
            return ofWorker;
        }
    }

    private static final Pattern FORM =
            Pattern.compile(
                    "([a-z]+)(?::(w[0-9]+))?(?:x([0-9]+(?:\\.[0-9]+)?))?@([^+]+)(?:\\+(.+))?");
    private static final String ALLOWED =
            "; expected: KIND[:WORKER][xFACTOR]@START[+DURATION], such as "
                    + "slow@5s or silent:w2@500ms+3s";

    /**
     * Parses a comma-separated list of faults.
     *
     * @throws IllegalArgumentException if a fault is invalid
     */
    public static List<InjectedFault> parse(String text) {
        final List<InjectedFault> faults = new ArrayList<>();
        for (final String part : text.isBlank() ? new String[0] : text.split(",")) {
            final Matcher matcher = FORM.matcher(part.strip());
            if (!matcher.matches()) {
                throw new IllegalArgumentException(
                        "'" + part.strip() + "' is not a valid trouble" + ALLOWED);
            }
            final Kind kind =
                    Arrays.stream(Kind.values())
                            .filter(each -> each.word().equals(matcher.group(1)))
                            .findFirst()
                            .orElseThrow(
                                    () ->
                                            new IllegalArgumentException(
                                                    "unknown trouble '"
                                                            + matcher.group(1)
                                                            + "'; expected one of: "
                                                            + String.join(
                                                                    ", ",
                                                                    Arrays.stream(Kind.values())
                                                                            .map(Kind::word)
                                                                            .toList())));
            if (matcher.group(2) != null && !kind.isOfWorker()) {
                throw new IllegalArgumentException(
                        kind.word()
                                + " does not apply to a worker; remove ':"
                                + matcher.group(2)
                                + "'");
            }
            faults.add(
                    new InjectedFault(
                            kind,
                            matcher.group(2),
                            matcher.group(3) == null
                                    ? kind.factor
                                    : Double.parseDouble(matcher.group(3)),
                            Durations.parseUs(matcher.group(4)),
                            matcher.group(5) == null
                                    ? kind.forMs * 1000
                                    : Durations.parseUs(matcher.group(5))));
        }
        return List.copyOf(faults);
    }
}
