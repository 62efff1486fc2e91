package cresschute.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fault that a fleet is to have, at a time after its start.
 *
 * @param worker whom it befalls, or null for one drawn by chance; of no use where it befalls no
 *     worker
 * @param factor how bad it is; what it means depends on the kind
 */
public record InjectedFault(Kind kind, String worker, double factor, long atUs, long forUs) {

    /** What may happen; each has a factor and a duration that hold where none is given. */
    public enum Kind {
        /** A worker runs slower by the factor. */
        SLOW(5, 10_000, true, "a worker runs x times slower"),
        /** A worker takes requests, runs nothing and says nothing. */
        SILENT(1, 8_000, true, "a worker takes jobs and answers none"),
        /** A worker resets the connections of this share of requests. */
        RESET(0.5, 5_000, true, "a worker resets the connection of a share x of its jobs"),
        /**
         * A worker answers this share of requests with bytes that are no JSON in the middle of a
         * body.
         */
        GARBAGE(
                0.5,
                5_000,
                true,
                "a worker answers a share x of its jobs with bytes that are no JSON"),
        /** A worker's load reports are older by the factor, in seconds. */
        LATE(3, 10_000, true, "a worker's load reports are x seconds old"),
        /** A worker's process dies and is back, cold, at the end. */
        CRASH(1, 3_000, true, "a worker's process dies, and is back cold afterwards"),
        /** A worker is reported as draining until the end. */
        DRAIN(1, 8_000, true, "a worker is told to drain"),
        /** Clients send more by the factor. */
        BURST(2, 4_000, false, "clients send x times as much"),
        /** One request in fifty costs this many times the usual work. */
        TAIL(15, 10_000, false, "one job in fifty takes x times the usual work"),
        /** Discovery answers 503 and resets its connections. */
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

        /** The word for it. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** One line for help. */
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
            "; allowed: KIND[:WORKER][xFACTOR]@START[+DURATION], such as "
                    + "slow@5s or silent:w2@500ms+3s";

    /** Reads a list with commas between; what is wrong is an {@link IllegalArgumentException}. */
    public static List<InjectedFault> parse(String text) {
        final List<InjectedFault> faults = new ArrayList<>();
        for (final String part : text.isBlank() ? new String[0] : text.split(",")) {
            final Matcher matcher = FORM.matcher(part.strip());
            if (!matcher.matches()) {
                throw new IllegalArgumentException(
                        "'" + part.strip() + "' is no trouble" + ALLOWED);
            }
            final Kind kind =
                    Arrays.stream(Kind.values())
                            .filter(each -> each.word().equals(matcher.group(1)))
                            .findFirst()
                            .orElseThrow(
                                    () ->
                                            new IllegalArgumentException(
                                                    "no trouble is called '"
                                                            + matcher.group(1)
                                                            + "'; there are "
                                                            + String.join(
                                                                    ", ",
                                                                    Arrays.stream(Kind.values())
                                                                            .map(Kind::word)
                                                                            .toList())));
            if (matcher.group(2) != null && !kind.isOfWorker()) {
                throw new IllegalArgumentException(
                        kind.word() + " befalls no worker; leave out ':" + matcher.group(2) + "'");
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
