package cresschute.node;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.WorkerState;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.OptionalInt;

/**
 * Answers the dispatcher's load queries: from the load tracker if it knows the worker's load, else
 * by querying the worker. Holds no state except the worker client. Lives as long as the node; call
 * from the event loop.
 */
final class LoadQueries {

    private static final int NOT_REPORTED = -1;

    private final LoopContext context;
    private final WorkerRegistry registry;
    private WorkerClient workers;

    /** Creates load queries of registered workers; call {@link #start} before the first query. */
    LoadQueries(LoopContext context, WorkerRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Sets the client that sends all queries from now on. */
    void start(WorkerClient client) {
        workers = client;
    }

    /**
     * Reports the load of these workers to the dispatcher without being asked, because the load
     * tracker has new values.
     */
    void refreshed(Collection<String> names) {
        names.stream()
                .map(registry::number)
                .filter(number -> number >= 0 && isReady(number))
                .forEach(this::query);
    }

    private boolean isReady(int worker) {
        return registry.listed().get(worker).state() == WorkerState.READY;
    }

    /** Reports the load of a worker to the dispatcher, by its number. */
    void query(int worker) {
        final InetSocketAddress address = registry.address(worker);
        if (!context.invariant().check(address != null, "load query of nobody")) {
            return;
        }
        final String name = registry.name(worker);
        final OptionalInt known = context.loads().outstanding(name);
        if (known.isPresent()) {
            report(
                    worker,
                    Outcome.SERVED,
                    new LoadReport(NOT_REPORTED, known.getAsInt(), NOT_REPORTED));
            return;
        }
        workers.queryLoad(
                address,
                (outcome, load) -> {
                    context.listener().loadReported(context.nowUs(), worker, load);
                    context.loads().reported(name, load);
                    report(worker, outcome, load);
                });
    }

    private void report(int worker, Outcome outcome, LoadReport load) {
        context.turn()
                .enqueue(now -> context.dispatcher().loadReported(now, worker, outcome, load));
    }
}
