package cresschute.control;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A call of the platform's operators: one line of words, listed in {@code docs/operators.md}. The
 * answer is one line that begins with {@code 200} or {@code 400}. Immutable; pure.
 *
 * @param command the requested command
 * @param worker the worker's id in the endpoint list, for {@link ManagementCommand#DISABLE_SERVER}
 *     and {@link ManagementCommand#ENABLE_SERVER}; null for the others
 */
public record ManagementCall(ManagementCommand command, String worker) {

    /** Maximum length of a call, in characters without the line end. */
    public static final int MAX_LINE_LENGTH = 512;

    /** Maximum length of a worker's id, in characters. */
    static final int MAX_WORKER_ID_LENGTH = 200;

    /** Maximum length of an invalid word that is quoted in an answer, in characters. */
    private static final int MAX_QUOTED_LENGTH = 40;

    /**
     * Parses a call: words separated by spaces or tabs, without the line end. The command is
     * case-insensitive.
     *
     * @throws InvalidManagementCallException if the line is empty or too long, the command is
     *     unknown, a word is missing or extra, or the worker id is invalid: characters other than
     *     printable ASCII, or more than {@value #MAX_WORKER_ID_LENGTH} characters
     */
    public static ManagementCall parse(String line) throws InvalidManagementCallException {
        if (line.length() > MAX_LINE_LENGTH) {
            throw new InvalidManagementCallException(
                    "a call has " + MAX_LINE_LENGTH + " characters at most");
        }
        final String[] words = line.strip().split("[ \t]+");
        if (words.length == 0 || words[0].isEmpty()) {
            throw new InvalidManagementCallException("an empty call; calls are: " + usage());
        }
        final ManagementCommand command = command(words[0]);
        if (words.length != (command.takesWorker() ? 2 : 1)) {
            throw new InvalidManagementCallException(
                    command.word()
                            + (command.takesWorker()
                                    ? " takes one worker id"
                                    : " takes nothing more"));
        }
        return new ManagementCall(command, command.takesWorker() ? workerId(words[1]) : null);
    }

    private static ManagementCommand command(String word) throws InvalidManagementCallException {
        return ManagementCommand.ofWord(word.toLowerCase(Locale.ROOT))
                .orElseThrow(
                        () ->
                                new InvalidManagementCallException(
                                        "no call is named "
                                                + quote(word)
                                                + "; calls are: "
                                                + usage()));
    }

    private static String workerId(String word) throws InvalidManagementCallException {
        if (word.length() > MAX_WORKER_ID_LENGTH
                || !word.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            throw new InvalidManagementCallException("no list names a worker " + quote(word));
        }
        return word;
    }

    private static String usage() {
        return Stream.of(ManagementCommand.values())
                .map(each -> each.word() + (each.takesWorker() ? " ID" : ""))
                .collect(Collectors.joining(", "));
    }

    /**
     * Returns a word as quoted in an answer: truncated, with characters other than printable ASCII
     * replaced, so that it cannot break the line.
     */
    private static String quote(String word) {
        final StringBuilder quoted = new StringBuilder();
        word.codePoints()
                .limit(MAX_QUOTED_LENGTH)
                .forEach(c -> quoted.append(c >= ' ' && c < 0x7f ? (char) c : '?'));
        return quoted + (word.length() > MAX_QUOTED_LENGTH ? "..." : "");
    }
}
