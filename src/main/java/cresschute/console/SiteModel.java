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
 * The state of a site as a console knows it: the rows of the node's last snapshot and the changes
 * since, the last events, and how fresh all of that is. Pure: lines and the clock are passed in.
 */
public final class SiteModel {

    /** Events that are kept for the screen. */
    static final int MAX_EVENTS = 200;

    /** A node sends a line every second; after so long without one its figures are stale, ms. */
    public static final long STALE_AFTER_MS = 3_000;

    private static final String WORKER_PREFIX = "w/";
    private static final String CLASS_PREFIX = "c/";

    /** How up to date the state is. */
    public enum Freshness {
        /** No rows were received yet. */
        LOADING,
        /** Lines arrive; what is shown is current. */
        LIVE,
        /** The node has been silent for a while. */
        STALE,
        /** There is no connection. */
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

    /** A connection is there; what is shown is stale until the node sends a line. */
    public void connected(long nowMs) {
        connected = true;
        lastLineMs = nowMs;
    }

    /** The connection is gone. */
    public void disconnected() {
        connected = false;
    }

    /** Takes a line of the node in. */
    public void apply(JsonObject line, long nowMs) {
        lastLineMs = nowMs;
        if (line.has("boot") && !line.get("boot").getAsString().equals(incarnation)) {
            // Another incarnation of the node: its versions and its events begin anew.
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

    /** How up to date the state is now. */
    public Freshness freshness(long nowMs) {
        if (!connected) {
            return loaded ? Freshness.RECONNECTING : Freshness.LOADING;
        }
        return !loaded
                ? Freshness.LOADING
                : nowMs - lastLineMs >= STALE_AFTER_MS ? Freshness.STALE : Freshness.LIVE;
    }

    /** When the last line of the node arrived, Unix time in milliseconds. */
    public long lastLineMs() {
        return lastLineMs;
    }

    /** The workers' rows by name. */
    public Collection<JsonObject> workers() {
        return workers.values();
    }

    /** One worker's row, or null. */
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

    /** The incarnation of the node whose rows these are. */
    public String incarnation() {
        return incarnation;
    }

    /** The version of the rows. */
    public long version() {
        return version;
    }

    /** The number of the last event read. */
    public long lastEventNumber() {
        return lastEventNumber;
    }
}
