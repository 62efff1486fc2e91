package cresschute.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What the workers of one cell know of keys: a repeat within the window does not run. It waits for
 * the first run and takes its result; if that is lost with its worker, the key is free again.
 */
public final class CellKeys {

    private static final class Entry {
        private long startedUs;
        private String result;
        private final List<Consumer<String>> waiting = new ArrayList<>();
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final long windowUs;

    /** Repeats are dropped for this long after the first run began. */
    public CellKeys(long windowUs) {
        this.windowUs = windowUs;
    }

    /**
     * Takes a key in; true where its job is to run.
     *
     * @param otherwise called with the first run's result where it is not, or with null if that run
     *     is lost
     */
    public boolean begin(String key, long nowUs, Consumer<String> otherwise) {
        final Entry entry = entries.get(key);
        if (entry == null || (entry.result != null && nowUs > entry.startedUs + windowUs)) {
            final Entry first = new Entry();
            first.startedUs = nowUs;
            entries.put(key, first);
            return true;
        }
        if (entry.result != null) {
            otherwise.accept(entry.result);
        } else {
            entry.waiting.add(otherwise);
        }
        return false;
    }

    /** The first run of a key is done; those that wait take its result. */
    public void done(String key, String result) {
        final Entry entry = entries.get(key);
        if (entry != null) {
            entry.result = result;
            entry.waiting.forEach(each -> each.accept(result));
            entry.waiting.clear();
        }
    }

    /** The first run of a key is lost with its worker, so that the key is free again. */
    public void lost(String key) {
        final Entry entry = entries.remove(key);
        if (entry != null) {
            entry.waiting.forEach(each -> each.accept(null));
        }
    }
}
