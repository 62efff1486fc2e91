package cresschute.control;

import java.util.Locale;

/**
 * One call of the platform's operators: a line of plain words, as {@code docs/operators.md} lists
 * them. The answer to it is one line too, beginning with {@code 200} or {@code 400}. Pure.
 *
 * @param verb what is asked
 * @param worker the worker's id as the list names it, for {@link Verb#DISABLE_SERVER} and {@link
 *     Verb#ENABLE_SERVER}; null for the others
 */
public record ManagementCall(Verb verb, String worker) {

    /** Characters of a call, its end of line aside; a list's ids are far shorter. */
    public static final int MAX_LINE = 512;

    /** Characters of a worker's id. */
    static final int MAX_ID = 200;

    /** What may be asked, each under the word that operators write. */
    public enum Verb {
        /** Whether this process is ready to serve. */
        READY("ready", false),
        /** Takes a worker out: nothing new goes to it until it is enabled again. */
        DISABLE_SERVER("disable-server", true),
        /** Ends a worker's ban. */
        ENABLE_SERVER("enable-server", true),
        /** Empties the node: it says that it is not ready, and closes its clients' connections. */
        DRAIN("drain", false),
        /** Ends the node's drain. */
        RESUME("resume", false);

        private final String word;
        private final boolean needsWorker;

        Verb(String word, boolean needsWorker) {
            this.word = word;
            this.needsWorker = needsWorker;
        }

        /** The word of the call. */
        public String word() {
            return word;
        }

        static Verb of(String word) {
            for (final Verb each : values()) {
                if (each.word.equals(word)) {
                    return each;
                }
            }
            return null;
        }
    }

    /** A line that asks for nothing that there is; its message says why, for whoever wrote it. */
    public static final class InvalidCallException extends Exception {

        private static final long serialVersionUID = 1L;

        InvalidCallException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Reads a call: words apart by spaces or tabs, an end of CR LF or LF already taken off. The
     * verb is as {@link Verb} writes it, in any case.
     *
     * @throws InvalidCallException for an empty line, an unknown verb, a missing or extra word, or
     *     an id that no list could hold: control characters, or more than {@value #MOST_ID}
     *     characters
     */
    public static ManagementCall parse(String line) throws InvalidCallException {
        if (line.length() > MAX_LINE) {
            throw new InvalidCallException("a call has " + MAX_LINE + " characters at most");
        }
        final String[] words = line.strip().split("[ \t]+");
        if (words.length == 0 || words[0].isEmpty()) {
            throw new InvalidCallException("an empty call; calls are: " + known());
        }
        final Verb verb = Verb.of(words[0].toLowerCase(Locale.ROOT));
        if (verb == null) {
            throw new InvalidCallException(
                    "no call is named " + printable(words[0]) + "; calls are: " + known());
        }
        final int wanted = verb.needsWorker ? 2 : 1;
        if (words.length != wanted) {
            throw new InvalidCallException(
                    verb.word
                            + (verb.needsWorker ? " takes one worker id" : " takes nothing more"));
        }
        if (!verb.needsWorker) {
            return new ManagementCall(verb, null);
        }
        final String worker = words[1];
        if (worker.length() > MAX_ID || !worker.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            throw new InvalidCallException("no list names a worker " + printable(worker));
        }
        return new ManagementCall(verb, worker);
    }

    private static String known() {
        final StringBuilder text = new StringBuilder();
        for (final Verb each : Verb.values()) {
            text.append(text.length() == 0 ? "" : ", ")
                    .append(each.word)
                    .append(each.needsWorker ? " ID" : "");
        }
        return text.toString();
    }

    /** What a wrong word looks like in an answer: short, and nothing that breaks the line. */
    private static String printable(String word) {
        final StringBuilder shown = new StringBuilder();
        word.codePoints()
                .limit(40)
                .forEach(c -> shown.append(c >= ' ' && c < 0x7f ? (char) c : '?'));
        return shown + (word.length() > 40 ? "..." : "");
    }
}
