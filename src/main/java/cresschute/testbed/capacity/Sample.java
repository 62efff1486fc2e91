package cresschute.testbed.capacity;

import com.google.gson.JsonObject;
import java.util.List;

/**
 * All counters at one moment of the measured window.
 *
 * @param ns the monotonic clock, ns
 * @param us the clock of the experiment, us
 * @param dispatchers usage of each dispatcher process
 * @param stubs usage of the stub processes: the sum of the workers', discovery's, the clients'
 * @param workers counters of the stub workers
 * @param discovery counters of the stub discovery service
 * @param clients counters of the stub clients
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
