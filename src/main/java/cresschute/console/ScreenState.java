package cresschute.console;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * What the user has chosen: the selected worker, filter, sort order and pending confirmation. The
 * selection is a worker's name, so that it stays with the worker while rows move. Does no input or
 * output; not thread-safe.
 */
final class ScreenState {

    private static final int MAX_FILTER_CHARS = 40;
    private static final List<String> WORST_FIRST =
            List.of("silent", "slowing", "full", "cold", "draining", "gone", "taking");

    /** Sort orders of the rows. */
    enum Order {
        NAME,
        STATE,
        OUT,
        P99,
        RATE
    }

    /** Input modes: each interprets keys differently. */
    enum Mode {
        BROWSE,
        FILTER,
        CONFIRM_DRAIN,
        CONFIRM_FORCE,
        HELP
    }

    private Order order = Order.NAME;
    private Mode mode = Mode.BROWSE;
    private String selected;
    private int selectedRow;
    private String filter = "";
    private String message = "";
    private String target;

    Mode mode() {
        return mode;
    }

    Order order() {
        return order;
    }

    String selected() {
        return selected;
    }

    String filter() {
        return filter;
    }

    String message() {
        return message;
    }

    /** The worker of the last requested operation or its confirmation; null before the first. */
    String target() {
        return target;
    }

    void showMessage(String text) {
        message = text;
    }

    /**
     * The filtered and sorted rows. If the selected worker is not among them, selects the row in
     * its place, or nothing if there are no rows.
     */
    List<JsonObject> rows(SiteModel model) {
        final List<JsonObject> rows = new ArrayList<>();
        for (final JsonObject row : model.workers()) {
            if (filter.isEmpty() || matchesFilter(row)) {
                rows.add(row);
            }
        }
        rows.sort(comparator());
        int index = -1;
        for (int i = 0; i < rows.size(); i++) {
            if (text(rows.get(i), "id").equals(selected)) {
                index = i;
            }
        }
        if (index < 0 && !rows.isEmpty()) {
            // The selected worker is gone: the row that is now in its place is the nearest.
            index = Math.min(selectedRow, rows.size() - 1);
            selected = text(rows.get(index), "id");
        } else if (rows.isEmpty()) {
            selected = null;
        }
        selectedRow = Math.max(0, index);
        return rows;
    }

    int selectedRow() {
        return selectedRow;
    }

    private boolean matchesFilter(JsonObject row) {
        final String lowerCaseFilter = filter.toLowerCase(Locale.ROOT);
        return text(row, "id").toLowerCase(Locale.ROOT).contains(lowerCaseFilter)
                || text(row, "state").contains(lowerCaseFilter)
                || text(row, "kind").toLowerCase(Locale.ROOT).contains(lowerCaseFilter);
    }

    private Comparator<JsonObject> comparator() {
        final Comparator<JsonObject> byName =
                Comparator.comparing(row -> text(row, "id"), ScreenState::compareNames);
        return switch (order) {
            case NAME -> byName;
            case STATE ->
                    Comparator.<JsonObject>comparingInt(
                                    row -> WORST_FIRST.indexOf(text(row, "state")))
                            .thenComparing(byName);
            case OUT -> descending("in_flight").thenComparing(byName);
            case P99 -> descending("p99_ms").thenComparing(byName);
            case RATE -> descending("rate").thenComparing(byName);
        };
    }

    private static Comparator<JsonObject> descending(String field) {
        return Comparator.<JsonObject>comparingDouble(row -> number(row, field)).reversed();
    }

    /**
     * Sorts w2 before w10: if names differ only in the digits at their end, the shorter name comes
     * first.
     */
    private static int compareNames(String first, String second) {
        final int prefix = prefixLength(first);
        return first.length() != second.length()
                        && prefix == prefixLength(second)
                        && first.regionMatches(0, second, 0, prefix)
                ? Integer.compare(first.length(), second.length())
                : first.compareTo(second);
    }

    private static int prefixLength(String name) {
        int length = name.length();
        while (length > 0 && Character.isDigit(name.charAt(length - 1))) {
            length--;
        }
        return length;
    }

    static String text(JsonObject row, String field) {
        return row.has(field) ? row.get(field).getAsString() : "";
    }

    static double number(JsonObject row, String field) {
        return row.has(field) ? row.get(field).getAsDouble() : -1;
    }

    // ---- Keys ----

    /** What the console does after a key. */
    enum Action {
        NOTHING,
        QUIT,
        DRAIN,
        FORCED_DRAIN,
        UNDRAIN
    }

    /** Handles a key; {@link #rows} must have been called since the model changed. */
    Action handleKey(KeyReader.Key key, SiteModel model) {
        return switch (mode) {
            case BROWSE -> handleBrowseKey(key, model);
            case FILTER -> handleFilterKey(key);
            case CONFIRM_DRAIN -> handleConfirmationKey(key, 'y', Action.DRAIN);
            case CONFIRM_FORCE -> handleConfirmationKey(key, 'F', Action.FORCED_DRAIN);
            case HELP -> {
                mode = Mode.BROWSE;
                yield Action.NOTHING;
            }
        };
    }

    private Action handleBrowseKey(KeyReader.Key key, SiteModel model) {
        message = "";
        switch (key.kind()) {
            case UP -> moveSelection(-1, model);
            case DOWN -> moveSelection(1, model);
            case PAGE_UP -> moveSelection(-10, model);
            case PAGE_DOWN -> moveSelection(10, model);
            case HOME -> moveSelection(Integer.MIN_VALUE / 2, model);
            case END -> moveSelection(Integer.MAX_VALUE / 2, model);
            case ESCAPE -> filter = "";
            case QUIT -> {
                return Action.QUIT;
            }
            case CHAR -> {
                return handleCharacter(key.character(), model);
            }
            default -> {}
        }
        return Action.NOTHING;
    }

    private Action handleCharacter(char character, SiteModel model) {
        switch (character) {
            case 'j' -> moveSelection(1, model);
            case 'k' -> moveSelection(-1, model);
            case 'g' -> moveSelection(Integer.MIN_VALUE / 2, model);
            case 'G' -> moveSelection(Integer.MAX_VALUE / 2, model);
            case 's' -> order = Order.values()[(order.ordinal() + 1) % Order.values().length];
            case '/' -> mode = Mode.FILTER;
            case '?', 'h' -> mode = Mode.HELP;
            case 'q' -> {
                return Action.QUIT;
            }
            case 'd' -> {
                rows(model);
                if (selected == null) {
                    message = "no worker is selected";
                } else {
                    target = selected;
                    mode = Mode.CONFIRM_DRAIN;
                }
            }
            case 'u' -> {
                rows(model);
                if (selected == null) {
                    message = "no worker is selected";
                } else {
                    target = selected;
                    return Action.UNDRAIN;
                }
            }
            default -> message = "'" + character + "' is not a command; ? shows the keys";
        }
        return Action.NOTHING;
    }

    private void moveSelection(int offset, SiteModel model) {
        final List<JsonObject> rows = rows(model);
        if (!rows.isEmpty()) {
            selectedRow = Math.max(0, Math.min(rows.size() - 1, selectedRow + offset));
            selected = text(rows.get(selectedRow), "id");
        }
    }

    private Action handleFilterKey(KeyReader.Key key) {
        switch (key.kind()) {
            case ENTER -> mode = Mode.BROWSE;
            case ESCAPE -> {
                filter = "";
                mode = Mode.BROWSE;
            }
            case BACKSPACE ->
                    filter = filter.isEmpty() ? filter : filter.substring(0, filter.length() - 1);
            case CHAR ->
                    filter = filter.length() < MAX_FILTER_CHARS ? filter + key.character() : filter;
            case QUIT -> {
                return Action.QUIT;
            }
            default -> {}
        }
        return Action.NOTHING;
    }

    private Action handleConfirmationKey(KeyReader.Key key, char yes, Action action) {
        mode = Mode.BROWSE;
        if (key.kind() == KeyReader.Kind.QUIT) {
            return Action.QUIT;
        }
        if (key.kind() == KeyReader.Kind.CHAR && key.character() == yes) {
            return action;
        }
        message = target + ": drain cancelled";
        return Action.NOTHING;
    }

    /** Shows why the node refused a drain, and offers to force it. */
    void confirmForcedDrain(String worker, String reason) {
        target = worker;
        message = reason;
        mode = Mode.CONFIRM_FORCE;
    }
}
