package cresschute.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What consoles see, as rows of text under a key, each with the number of the change that made it
 * what it is. A console that holds everything up to some number is told the rows that are newer,
 * whichever changes lay between: so what waits for a slow console is at most one version of each
 * row, and never a queue of changes. Rows that went away are remembered for a while; a console from
 * before that starts anew. Pure; its owner is the loop.
 */
public final class VersionedTable {

    /**
     * Rows that went away and are remembered; a console from before the oldest needs a whole
     * picture.
     */
    static final int MAX_GONE = 4_096;

    private record Row(String text, long number) {}

    private record Gone(String key, long number) {}

    /**
     * News from some number on.
     *
     * @param whole whether it holds everything, in place of what the console had
     * @param number what the console holds up to once it has taken this in
     * @param rows rows that are new or other, by key
     * @param gone keys of rows that went away
     */
    public record Delta(boolean whole, long number, Map<String, String> rows, List<String> gone) {}

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final Deque<Gone> gone = new ArrayDeque<>();
    private long number;
    private long forgottenUpTo;

    /** Sets a row; one that is the same already is no change. */
    public void put(String key, String text) {
        final Row old = rows.get(key);
        if (old == null || !old.text().equals(text)) {
            rows.put(key, new Row(text, ++number));
        }
    }

    /** Takes a row away, if it is there. */
    public void remove(String key) {
        if (rows.remove(key) != null) {
            gone.addLast(new Gone(key, ++number));
            if (gone.size() > MAX_GONE) {
                forgottenUpTo = gone.pollFirst().number();
            }
        }
    }

    /** The number of the newest change, or 0 before the first. */
    public long number() {
        return number;
    }

    /** All that is newer than a number, whole where that can't be told any more. */
    public Delta since(long from) {
        final boolean whole = from <= 0 || from < forgottenUpTo || from > number;
        final Map<String, String> newer = new LinkedHashMap<>();
        rows.forEach(
                (key, row) -> {
                    if (whole || row.number() > from) {
                        newer.put(key, row.text());
                    }
                });
        final List<String> left =
                whole
                        ? List.of()
                        : gone.stream()
                                .filter(
                                        each ->
                                                each.number() > from
                                                        && !rows.containsKey(each.key()))
                                .map(Gone::key)
                                .toList();
        return new Delta(whole, number, newer, left);
    }
}
