package cresschute.testbed.capacity;

import com.google.gson.JsonObject;
import java.util.List;

/**
 * All counters at one moment of the window.
 *
 * @param ns the monotonic clock
 * @param us the experiment's clock
 * @param dispatchers what each dispatcher has used
 * @param stubs what the processes of the workers have used, together, of discovery and of the
 *     clients
 * @param workers counts of the hollow workers
 * @param discovery counts of discovery
 * @param clients counts of the hollow clients
 */
record Sample(
        long ns,
        long us,
        List<ProcessUsage> dispatchers,
        List<ProcessUsage> stubs,
        StubWorkers.Counts workers,
        JsonObject discovery,
        JsonObject clients) {

    static final int WORKERS = 0;
    static final int DISCOVERY = 1;
    static final int CLIENTS = 2;

    Traffic workerTraffic() {
        return workers.traffic();
    }

    Traffic discoveryTraffic() {
        return Traffic.of(discovery.getAsJsonObject("traffic"));
    }

    int running() {
        return workers.running();
    }

    int open() {
        return clients.get("open").getAsInt();
    }
}
