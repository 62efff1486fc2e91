package cresschute.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The idempotency keys that the workers of one cell share. A duplicate within the window does not
 * run: it waits for the first run and takes its result. If that run is lost with its worker, the
 * key can be used again.
 */
public final class CellKeys {

    private static final class Entry {
        private long startedUs;
        private String result;
        private final List<Consumer<String>> waiting = new ArrayList<>();
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final long windowUs;

    /**
     * Creates an empty set of keys; duplicates are dropped for {@code windowUs} after the start of
     * the first run.
     */
    public CellKeys(long windowUs) {
        this.windowUs = windowUs;
    }

    /**
     * Registers a key and returns whether its job is to run.
     *
     * @param otherwise called with the result of the first run if the job is not to run, or with
     *     null if that run is lost
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

    /** Records that the first run of a key has completed; waiting duplicates take its result. */
    public void done(String key, String result) {
        final Entry entry = entries.get(key);
        if (entry != null) {
            entry.result = result;
            entry.waiting.forEach(each -> each.accept(result));
            entry.waiting.clear();
        }
    }

    /** Records that the first run of a key was lost with its worker; the key can be used again. */
    public void lost(String key) {
        final Entry entry = entries.remove(key);
        if (entry != null) {
            entry.waiting.forEach(each -> each.accept(null));
        }
    }
}
