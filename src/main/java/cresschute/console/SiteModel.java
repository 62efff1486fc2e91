package cresschute.console;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A console's copy of the state of a site: the rows of the node's last snapshot with later changes
 * applied, the last events, and how fresh they are. Does no input or output: lines and the time are
 * passed in. Not thread-safe.
 */
public final class SiteModel {

    /** Maximum number of events kept for the screen. */
    static final int MAX_EVENTS = 200;

    /** Time without a line after which the rows are stale, ms. A node sends a line every second. */
    public static final long STALE_AFTER_MS = 3_000;

    private static final String WORKER_PREFIX = "w/";
    private static final String CLASS_PREFIX = "c/";

    /** How up to date the state is. */
    public enum Freshness {
        /** No rows have been received yet. */
        LOADING,
        /** Lines arrive; the rows are current. */
        LIVE,
        /** Connected, but no line for at least {@link #STALE_AFTER_MS}. */
        STALE,
        /** Rows were received, but there is no connection now. */
        RECONNECTING
    }

    private final Map<String, JsonObject> workers = new LinkedHashMap<>();
    private final Map<String, JsonObject> classes = new LinkedHashMap<>();
    private final Deque<JsonObject> events = new ArrayDeque<>();
    private JsonObject node;
    private String incarnation = "";
    private long version;
    private long lastEventNumber;
    private long lastLineMs;
    private boolean connected;
    private boolean loaded;

    /** Records that a connection was opened, and counts the time without a line from now. */
    public void connected(long nowMs) {
        connected = true;
        lastLineMs = nowMs;
    }

    /** Records that the connection has ended. */
    public void disconnected() {
        connected = false;
    }

    /** Applies a line of the node: a snapshot, changes or events. */
    public void apply(JsonObject line, long nowMs) {
        lastLineMs = nowMs;
        if (line.has("boot") && !line.get("boot").getAsString().equals(incarnation)) {
            // Another incarnation of the node numbers its versions and events from the start.
            incarnation = line.get("boot").getAsString();
            version = 0;
            lastEventNumber = 0;
            events.clear();
        }
        if (line.has("rows")) {
            if (line.get("whole").getAsBoolean()) {
                workers.clear();
                classes.clear();
            }
            line.getAsJsonArray("gone").forEach(key -> removeRow(key.getAsString()));
            line.getAsJsonObject("rows")
                    .entrySet()
                    .forEach(each -> putRow(each.getKey(), each.getValue()));
            version = line.get("number").getAsLong();
            loaded = true;
        }
        if (line.has("events")) {
            for (final JsonElement event : line.getAsJsonArray("events")) {
                events.addLast(event.getAsJsonObject());
                lastEventNumber = event.getAsJsonObject().get("n").getAsLong();
            }
            while (events.size() > MAX_EVENTS) {
                events.pollFirst();
            }
        }
    }

    private void putRow(String key, JsonElement row) {
        if (key.startsWith(WORKER_PREFIX)) {
            workers.put(key.substring(WORKER_PREFIX.length()), row.getAsJsonObject());
        } else if (key.startsWith(CLASS_PREFIX)) {
            classes.put(key.substring(CLASS_PREFIX.length()), row.getAsJsonObject());
        } else if (key.equals("node")) {
            node = row.getAsJsonObject();
        }
    }

    private void removeRow(String key) {
        if (key.startsWith(WORKER_PREFIX)) {
            workers.remove(key.substring(WORKER_PREFIX.length()));
        } else if (key.startsWith(CLASS_PREFIX)) {
            classes.remove(key.substring(CLASS_PREFIX.length()));
        }
    }

    /** How up to date the state is at {@code nowMs}, Unix time. */
    public Freshness freshness(long nowMs) {
        if (!connected) {
            return loaded ? Freshness.RECONNECTING : Freshness.LOADING;
        }
        return !loaded
                ? Freshness.LOADING
                : nowMs - lastLineMs >= STALE_AFTER_MS ? Freshness.STALE : Freshness.LIVE;
    }

    /** Arrival of the node's last line, or the later connection; Unix time in milliseconds. */
    public long lastLineMs() {
        return lastLineMs;
    }

    /** The workers' rows. */
    public Collection<JsonObject> workers() {
        return workers.values();
    }

    /** The row of a worker, or null if there is none. */
    public JsonObject worker(String id) {
        return workers.get(id);
    }

    /** The classes' rows. */
    public Collection<JsonObject> classes() {
        return classes.values();
    }

    /** The node's row, or null before it is received. */
    public JsonObject node() {
        return node;
    }

    /** The last events, the oldest first. */
    public List<JsonObject> events() {
        return new ArrayList<>(events);
    }

    /** The incarnation of the node that sent the rows; empty before the first line with one. */
    public String incarnation() {
        return incarnation;
    }

    /** The version of the rows. */
    public long version() {
        return version;
    }

    /** The number of the last event received, 0 if there was none. */
    public long lastEventNumber() {
        return lastEventNumber;
    }
}
