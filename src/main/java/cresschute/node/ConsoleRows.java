package cresschute.node;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.control.Drain;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import cresschute.health.ClassHealthSnapshot;
import cresschute.health.HealthTracker;
import cresschute.health.LatencyPercentiles;
import cresschute.health.WorkerHealthSnapshot;
import io.netty.util.NetUtil;
import java.util.OptionalDouble;

/**
 * Builds the rows of console tables as JSON text, as {@code docs/console.md} specifies them. Times
 * in rows are Unix milliseconds, and -1 stands for an unknown value. Stateless; used on the event
 * loop.
 */
final class ConsoleRows {

    private static final long US_PER_MS = 1_000;
    private static final double UNKNOWN = -1;

    private final ControlContext node;
    private final DurableDrains drains;
    private final HealthTracker health;

    /** Creates a builder that reads these parts for each row. */
    ConsoleRows(ControlContext node, DurableDrains drains, HealthTracker health) {
        this.node = node;
        this.drains = drains;
        this.health = health;
    }

    /**
     * Builds the row of a worker.
     *
     * @param worker its number in the worker registry; the health tracker must know the worker
     */
    String worker(long nowUs, int worker) {
        final WorkerHealthSnapshot view = health.worker(nowUs, worker).orElseThrow();
        final WorkerRegistry workers = node.workers();
        final Worker listed = workers.listed().get(worker);
        final JsonObject row = new JsonObject();
        row.addProperty("id", workers.name(worker));
        row.addProperty("state", view.condition().word());
        row.addProperty("why", view.reason());
        row.addProperty("since_ms", view.sinceUs() / US_PER_MS);
        row.addProperty("address", NetUtil.toSocketAddressString(workers.address(worker)));
        row.addProperty("kind", workers.kind(listed.kind()));
        row.addProperty("cell", listed.cell());
        row.addProperty(
                "listed",
                listed.state() == WorkerState.READY ? "serving" : listed.state().wireName());
        drains.drainOf(workers.name(worker)).ifPresent(drain -> row.add("drain", drain(drain)));
        row.addProperty("in_flight", view.inFlight());
        row.add("in_flight_by_class", inFlightByClass(view));
        row.addProperty("rate", Math.round(view.servedPerS() * 100) / 100.0);
        row.addProperty("failed", view.failed());
        addPercentiles(row, view.lastMinute(), view.lastTenMinutes());
        row.add("sparks", sparks(view));
        row.addProperty("queue", view.load().queued());
        row.addProperty("free", view.load().freeSlots());
        row.addProperty("report_ms", view.load().receivedUs() / US_PER_MS);
        return row.toString();
    }

    private static JsonObject drain(Drain drain) {
        final JsonObject json = new JsonObject();
        json.addProperty("who", drain.operator());
        json.addProperty("reason", drain.reason());
        json.addProperty("since_ms", drain.startedAtUs() / US_PER_MS);
        if (drain.hasEnd()) {
            json.addProperty("until_ms", drain.endsAtUs() / US_PER_MS);
        }
        return json;
    }

    private JsonObject inFlightByClass(WorkerHealthSnapshot view) {
        final JsonObject json = new JsonObject();
        for (int i = 0; i < view.inFlightByClass().length; i++) {
            if (view.inFlightByClass()[i] > 0) {
                json.addProperty(node.config().classes().get(i), view.inFlightByClass()[i]);
            }
        }
        return json;
    }

    private static JsonArray sparks(WorkerHealthSnapshot view) {
        final JsonArray json = new JsonArray();
        for (final int spark : view.servedPerSlice()) {
            json.add(spark);
        }
        return json;
    }

    private static void addPercentiles(
            JsonObject row, LatencyPercentiles minute, LatencyPercentiles tenMinutes) {
        row.addProperty("p50_ms", minute.p50Ms());
        row.addProperty("p99_ms", minute.p99Ms());
        row.addProperty("p50_ms_10m", tenMinutes.p50Ms());
        row.addProperty("p99_ms_10m", tenMinutes.p99Ms());
    }

    /**
     * Builds the row of a request class.
     *
     * @param requestClass its number in the settings
     */
    String requestClass(long nowUs, int requestClass) {
        final ClassHealthSnapshot view = health.requestClass(nowUs, requestClass);
        final int answered = view.served() + view.rejected() + view.failed();
        final JsonObject row = new JsonObject();
        row.addProperty("id", node.config().classes().get(requestClass));
        row.addProperty("asked", view.arrived());
        row.addProperty(
                "admitted",
                answered == 0
                        ? UNKNOWN
                        : Math.min(1, Math.round(view.admitted() * 1000.0 / answered) / 1000.0));
        row.addProperty("served", view.served());
        row.addProperty("refused", view.rejected());
        row.addProperty("failed", view.failed());
        row.addProperty("in_time", view.withinObjective());
        row.addProperty("in_flight", view.inFlight());
        addPercentiles(row, view.lastMinute(), view.lastTenMinutes());
        return row.toString();
    }

    /**
     * Builds the row of the node itself.
     *
     * @param stopping whether its shutdown has begun
     * @param consoles the number of connected consoles
     */
    String node(long nowUs, boolean stopping, int consoles) {
        final RequestLifecycle lifecycle = node.lifecycle();
        final boolean hasDiscovery = node.config().discovery() != null;
        final OptionalDouble servedFraction = health.weightedServedFraction(nowUs);
        final JsonObject row = new JsonObject();
        row.addProperty("name", node.config().name());
        row.addProperty("list_version", lifecycle.listVersion());
        row.addProperty("list_ms", hasDiscovery ? lifecycle.listUpdatedAtUs() / US_PER_MS : 0);
        row.addProperty("fixed_list", !hasDiscovery);
        row.addProperty("open", lifecycle.unanswered());
        row.addProperty(
                "worth_kept",
                servedFraction.isPresent()
                        ? Math.round(servedFraction.getAsDouble() * 1000) / 1000.0
                        : UNKNOWN);
        row.addProperty("stopping", stopping);
        row.addProperty("consoles", consoles);
        row.addProperty("broken", lifecycle.invariant().total());
        return row.toString();
    }
}
