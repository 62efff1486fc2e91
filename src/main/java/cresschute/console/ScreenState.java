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
    private int place;
    private String filter = "";
    private String message = "";
    private String asked;

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
    String asked() {
        return asked;
    }

    void say(String text) {
        message = text;
    }

    /**
     * The rows to show, in order; moves the selection where its worker is not among them any more.
     */
    List<JsonObject> rows(SiteModel model) {
        final List<JsonObject> rows = new ArrayList<>();
        for (final JsonObject row : model.workers()) {
            if (filter.isEmpty() || matches(row)) {
                rows.add(row);
            }
        }
        rows.sort(comparator());
        int at = -1;
        for (int i = 0; i < rows.size(); i++) {
            if (text(rows.get(i), "id").equals(selected)) {
                at = i;
            }
        }
        if (at < 0 && !rows.isEmpty()) {
            // Its worker went: the one that has taken its place is the nearest.
            at = Math.min(place, rows.size() - 1);
            selected = text(rows.get(at), "id");
        } else if (rows.isEmpty()) {
            selected = null;
        }
        place = Math.max(0, at);
        return rows;
    }

    int place() {
        return place;
    }

    private boolean matches(JsonObject row) {
        final String wanted = filter.toLowerCase(Locale.ROOT);
        return text(row, "id").toLowerCase(Locale.ROOT).contains(wanted)
                || text(row, "state").contains(wanted)
                || text(row, "kind").toLowerCase(Locale.ROOT).contains(wanted);
    }

    private Comparator<JsonObject> comparator() {
        final Comparator<JsonObject> byName =
                Comparator.comparing(row -> text(row, "id"), ScreenState::byNumber);
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
    private static int byNumber(String one, String other) {
        final int head = headLength(one);
        return one.length() != other.length()
                        && head == headLength(other)
                        && one.regionMatches(0, other, 0, head)
                ? Integer.compare(one.length(), other.length())
                : one.compareTo(other);
    }

    private static int headLength(String name) {
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
    Action key(Keys.Key key, SiteModel model) {
        return switch (mode) {
            case BROWSE -> browse(key, model);
            case FILTER -> filtering(key);
            case CONFIRM_DRAIN -> confirm(key, 'y', Action.DRAIN);
            case CONFIRM_FORCE -> confirm(key, 'F', Action.FORCED_DRAIN);
            case HELP -> {
                mode = Mode.BROWSE;
                yield Action.NOTHING;
            }
        };
    }

    private Action browse(Keys.Key key, SiteModel model) {
        message = "";
        switch (key.kind()) {
            case UP -> move(-1, model);
            case DOWN -> move(1, model);
            case PAGE_UP -> move(-10, model);
            case PAGE_DOWN -> move(10, model);
            case HOME -> move(Integer.MIN_VALUE / 2, model);
            case END -> move(Integer.MAX_VALUE / 2, model);
            case ESCAPE -> filter = "";
            case QUIT -> {
                return Action.QUIT;
            }
            case CHAR -> {
                return letter(key.character(), model);
            }
            default -> {}
        }
        return Action.NOTHING;
    }

    private Action letter(char letter, SiteModel model) {
        switch (letter) {
            case 'j' -> move(1, model);
            case 'k' -> move(-1, model);
            case 'g' -> move(Integer.MIN_VALUE / 2, model);
            case 'G' -> move(Integer.MAX_VALUE / 2, model);
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
                    asked = selected;
                    mode = Mode.CONFIRM_DRAIN;
                }
            }
            case 'u' -> {
                rows(model);
                if (selected == null) {
                    message = "no worker is selected";
                } else {
                    asked = selected;
                    return Action.UNDRAIN;
                }
            }
            default -> message = "'" + letter + "' means nothing here; ? shows the keys";
        }
        return Action.NOTHING;
    }

    private void move(int by, SiteModel model) {
        final List<JsonObject> rows = rows(model);
        if (!rows.isEmpty()) {
            place = Math.max(0, Math.min(rows.size() - 1, place + by));
            selected = text(rows.get(place), "id");
        }
    }

    private Action filtering(Keys.Key key) {
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

    private Action confirm(Keys.Key key, char yes, Action action) {
        mode = Mode.BROWSE;
        if (key.kind() == Keys.Kind.QUIT) {
            return Action.QUIT;
        }
        if (key.kind() == Keys.Kind.CHAR && key.character() == yes) {
            return action;
        }
        message = asked + " is left as it is";
        return Action.NOTHING;
    }

    /** A drain was refused: it can be forced. */
    void offerForce(String worker, String why) {
        asked = worker;
        message = why;
        mode = Mode.CONFIRM_FORCE;
    }
}
