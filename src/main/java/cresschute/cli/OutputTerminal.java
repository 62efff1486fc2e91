package cresschute.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * What is known of the place where output goes.
 *
 * @param isTerminal whether somebody is watching; without, nothing is drawn over and nothing
 *     coloured
 * @param columns its width
 * @param hasColor whether colours are wanted
 */
record OutputTerminal(boolean isTerminal, int columns, boolean hasColor) {

    private static final int DEFAULT_COLUMNS = 80;
    private static final int MIN_COLUMNS = 40;

    /** The screen of this process. */
    @SuppressWarnings("SystemConsoleNull") // On Java 17, null where there is no terminal.
    static OutputTerminal ofProcess() {
        return of(System.getenv(), System.console() != null);
    }

    /** The screen that an environment describes. */
    static OutputTerminal of(Map<String, String> environment, boolean isTerminal) {
        final String columns = environment.getOrDefault("COLUMNS", "");
        final int width =
                columns.matches("[0-9]{1,4}")
                        ? Integer.parseInt(columns)
                        : isTerminal ? terminalColumns() : DEFAULT_COLUMNS;
        // Any value but an empty one, by the convention of no-color.org.
        final boolean colorless =
                !environment.getOrDefault("NO_COLOR", "").isEmpty()
                        || environment.getOrDefault("TERM", "dumb").equals("dumb");
        return new OutputTerminal(
                isTerminal, Math.max(MIN_COLUMNS, width), isTerminal && !colorless);
    }

    /**
     * As {@code stty} reports it: picocli's width is never below 55, and JLine asks the terminal
     * itself.
     */
    private static int terminalColumns() {
        try {
            final Process stty =
                    new ProcessBuilder("stty", "size")
                            .redirectInput(ProcessBuilder.Redirect.INHERIT)
                            .start();
            final String[] size =
                    new String(stty.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                            .strip()
                            .split(" ");
            return size.length == 2 && size[1].matches("[1-9][0-9]{0,3}")
                    ? Integer.parseInt(size[1])
                    : DEFAULT_COLUMNS;
        } catch (IOException e) {
            return DEFAULT_COLUMNS;
        }
    }
}
