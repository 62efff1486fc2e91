package cresschute.cli;

import java.util.Map;

/**
 * What is known of the place where output goes.
 *
 * @param isTerminal whether somebody is watching; without, nothing is drawn over and nothing coloured
 * @param columns its width
 * @param hasColor whether colours are wanted
 */
record Screen(boolean isTerminal, int columns, boolean hasColor) {

    private static final int USUAL_COLUMNS = 80;
    private static final int LEAST_COLUMNS = 40;

    /** The screen of this process. */
    static Screen ofProcess() {
        return of(System.getenv(), System.console() != null);
    }

    /** The screen as an environment tells it. */
    static Screen of(Map<String, String> environment, boolean isTerminal) {
        final String columns = environment.getOrDefault("COLUMNS", "");
        final int width = columns.matches("[0-9]{1,4}") ? Integer.parseInt(columns)
            : isTerminal ? terminalColumns() : USUAL_COLUMNS;
        // Any value but an empty one, by the convention of no-color.org.
        final boolean plain = !environment.getOrDefault("NO_COLOR", "").isEmpty()
            || environment.getOrDefault("TERM", "dumb").equals("dumb");
        return new Screen(isTerminal, Math.max(LEAST_COLUMNS, width), isTerminal && !plain);
    }

    /** As picocli finds it for its help, by {@code stty}; it asks the terminal itself nothing. */
    private static int terminalColumns() {
        return Commands.line().setUsageHelpAutoWidth(true).getCommandSpec().usageMessage().width();
    }
}
