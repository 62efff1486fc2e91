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
 * What a console knows of its site: the rows of the node's board as they were last told, the last
 * events, and how fresh all of that is. Pure: it is fed with lines and the clock.
 */
public final class SiteModel {

    /** Events that are kept for the screen. */
    static final int MOST_EVENTS = 200;

    /**
     * A node tells something every second; after so long without a word its figures are old, ms.
     */
    public static final long STALE_AFTER_MS = 3_000;

    private static final String WORKER = "w/";
    private static final String CLASS = "c/";

    /** How far the picture can be believed. */
    public enum Freshness {
        /** Nothing was told yet. */
        LOADING,
        /** What is shown is what the node says now. */
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
    private String boot = "";
    private long number;
    private long lastEvent;
    private long heardMs;
    private boolean connected;
    private boolean loaded;

    /** A connection is there; what is shown is old until the node has told what is new. */
    public void connected(long nowMs) {
        connected = true;
        heardMs = nowMs;
    }

    /** The connection is gone. */
    public void disconnected() {
        connected = false;
    }

    /** Takes a line of the node in. */
    public void take(JsonObject line, long nowMs) {
        heardMs = nowMs;
        if (line.has("boot") && !line.get("boot").getAsString().equals(boot)) {
            // Another run of the node: its numbers begin anew, and so do its events.
            boot = line.get("boot").getAsString();
            number = 0;
            lastEvent = 0;
            events.clear();
        }
        if (line.has("rows")) {
            if (line.get("whole").getAsBoolean()) {
                workers.clear();
                classes.clear();
            }
            line.getAsJsonArray("gone").forEach(key -> drop(key.getAsString()));
            line.getAsJsonObject("rows")
                    .entrySet()
                    .forEach(each -> put(each.getKey(), each.getValue()));
            number = line.get("number").getAsLong();
            loaded = true;
        }
        if (line.has("events")) {
            for (final JsonElement event : line.getAsJsonArray("events")) {
                events.addLast(event.getAsJsonObject());
                lastEvent = event.getAsJsonObject().get("n").getAsLong();
            }
            while (events.size() > MOST_EVENTS) {
                events.pollFirst();
            }
        }
    }

    private void put(String key, JsonElement row) {
        if (key.startsWith(WORKER)) {
            workers.put(key.substring(WORKER.length()), row.getAsJsonObject());
        } else if (key.startsWith(CLASS)) {
            classes.put(key.substring(CLASS.length()), row.getAsJsonObject());
        } else if (key.equals("node")) {
            node = row.getAsJsonObject();
        }
    }

    private void drop(String key) {
        if (key.startsWith(WORKER)) {
            workers.remove(key.substring(WORKER.length()));
        } else if (key.startsWith(CLASS)) {
            classes.remove(key.substring(CLASS.length()));
        }
    }

    /** How far the picture can be believed now. */
    public Freshness freshness(long nowMs) {
        if (!connected) {
            return loaded ? Freshness.RECONNECTING : Freshness.LOADING;
        }
        return !loaded
                ? Freshness.LOADING
                : nowMs - heardMs >= STALE_AFTER_MS ? Freshness.STALE : Freshness.LIVE;
    }

    /** When the node last said anything, Unix time in milliseconds. */
    public long heardMs() {
        return heardMs;
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

    /** The node's row, or null before it is told. */
    public JsonObject node() {
        return node;
    }

    /** The last events, the oldest first. */
    public List<JsonObject> events() {
        return new ArrayList<>(events);
    }

    /** The run of the node that the picture is of. */
    public String boot() {
        return boot;
    }

    /** What the picture holds up to. */
    public long number() {
        return number;
    }

    /** The number of the last event read. */
    public long lastEvent() {
        return lastEvent;
    }
}
