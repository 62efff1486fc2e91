package cresschute.console;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * What the person at the screen has chosen: the worker under the cursor, filter, order, and what is
 * being asked. The selection is a worker's name, so that it stays with the worker while rows move.
 * Pure.
 */
final class ScreenState {

    private static final int MAX_FILTER_CHARS = 40;
    private static final List<String> WORST_FIRST =
            List.of("silent", "slowing", "full", "cold", "draining", "gone", "taking");

    /** Orders of the rows. */
    enum Order {
        NAME,
        STATE,
        OUT,
        P99,
        RATE
    }

    /** What keys mean now. */
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

    /** The worker that a confirmation is about. */
    String target() {
        return target;
    }

    void showMessage(String text) {
        message = text;
    }

    /**
     * The rows to show, in order; moves the selection where its worker is not among them any more.
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
            // Its worker went: the one that has taken its place is the nearest.
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
     * w2 before w10: of names that differ in the number at their end alone, the shorter one comes
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

    /** What a key asks the console to do. */
    enum Action {
        NOTHING,
        QUIT,
        DRAIN,
        FORCED_DRAIN,
        UNDRAIN
    }

    /** Takes a key; rows must have been asked for since the model changed. */
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
            default -> message = "'" + character + "' means nothing here; ? shows the keys";
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
        message = target + " is left as it is";
        return Action.NOTHING;
    }

    /** A drain was refused: it can be forced. */
    void confirmForcedDrain(String worker, String reason) {
        target = worker;
        message = reason;
        mode = Mode.CONFIRM_FORCE;
    }
}
