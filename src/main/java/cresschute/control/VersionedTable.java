package cresschute.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The rows that consoles show, as text by key. Every change increases the version of the table, and
 * each row records the version of its last change.
 *
 * <p>A reader that has some version gets only the rows with a newer version, regardless of the
 * number of changes since. The data not yet sent to a slow reader is therefore at most the newest
 * text of each row, never a queue of changes. The last {@value #MAX_REMOVED} removals are kept; a
 * reader with an older version gets all rows.
 *
 * <p>The table is held in memory and is not stored, so versions of different incarnations of a node
 * cannot be compared. Pure. Not thread-safe; used only on the node's event loop.
 */
public final class VersionedTable {

    /** Maximum number of removals that are kept. */
    static final int MAX_REMOVED = 4_096;

    private record Row(String text, long version) {}

    private record Removal(String key, long version) {}

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final Deque<Removal> removed = new ArrayDeque<>();
    private long version;

    /** The oldest version after which every removal is still kept. */
    private long oldestKnownVersion;

    /** Sets a row. Does nothing if the row already has this text. */
    public void put(String key, String text) {
        final Row old = rows.get(key);
        if (old == null || !old.text().equals(text)) {
            rows.put(key, new Row(text, ++version));
        }
    }

    /** Removes a row if it exists. */
    public void remove(String key) {
        if (rows.remove(key) != null) {
            removed.addLast(new Removal(key, ++version));
            if (removed.size() > MAX_REMOVED) {
                oldestKnownVersion = removed.pollFirst().version();
            }
        }
    }

    /** Returns the version of the newest change, or 0 before the first. */
    public long version() {
        return version;
    }

    /**
     * Returns the changes after a version.
     *
     * @param since the version that the reader has; 0 or less if it has none. A version that is too
     *     old, or newer than this table's and therefore of another incarnation, counts as none
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
