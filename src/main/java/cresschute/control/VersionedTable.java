package cresschute.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The rows that consoles show, as text by key. Every change increases the version of the table, and
 * each row has the version of its last change.
 *
 * <p>A reader that holds some version gets the rows that are newer, however many changes lie
 * between: what is unsent to a slow reader is at most the newest text of each row, never a queue of
 * changes. The last {@value #MAX_REMOVED} removals are held; a reader from before them gets all
 * rows.
 *
 * <p>The table lives as long as the process and is not stored: versions of different runs of a node
 * cannot be compared. Pure. Not thread-safe; it is used on the node's loop alone.
 */
public final class VersionedTable {

    /** Removals that are held. */
    static final int MAX_REMOVED = 4_096;

    private record Row(String text, long version) {}

    private record Removal(String key, long version) {}

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final Deque<Removal> removed = new ArrayDeque<>();
    private long version;

    /** The oldest version whose later removals are all held. */
    private long oldestKnownVersion;

    /** Sets a row; a text that the row has already is no change. */
    public void put(String key, String text) {
        final Row old = rows.get(key);
        if (old == null || !old.text().equals(text)) {
            rows.put(key, new Row(text, ++version));
        }
    }

    /** Removes a row, if there is one. */
    public void remove(String key) {
        if (rows.remove(key) != null) {
            removed.addLast(new Removal(key, ++version));
            if (removed.size() > MAX_REMOVED) {
                oldestKnownVersion = removed.pollFirst().version();
            }
        }
    }

    /** The version of the newest change, or 0 before the first. */
    public long version() {
        return version;
    }

    /**
     * The changes after a version.
     *
     * @param since the version that the reader holds; 0 or less for none. One that this table
     *     cannot compare, as it is too old or of another run, counts as none
     */
    public TableDelta since(long since) {
        if (since <= 0 || since < oldestKnownVersion || since > version) {
            return new TableDelta(true, version, rowsAfter(0), List.of());
        }
        return new TableDelta(false, version, rowsAfter(since), removedAfter(since));
    }

    private Map<String, String> rowsAfter(long since) {
        final Map<String, String> newer = new LinkedHashMap<>();
        rows.forEach(
                (key, row) -> {
                    if (row.version() > since) {
                        newer.put(key, row.text());
                    }
                });
        return newer;
    }

    private List<String> removedAfter(long since) {
        return removed.stream()
                .filter(each -> each.version() > since && !rows.containsKey(each.key()))
                .map(Removal::key)
                .toList();
    }
}
