package cresschute.node;

import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.Collection;
import java.util.List;

/**
 * Publishes the endpoint list to the dispatcher: takes in what discovery answers, lays the
 * operators' overlay over it, and then recalls attempts whose worker the change rules out. Owns the
 * registry's contents, the time of the newest answer and whether a worker was ever ready. Lives as
 * long as the node; call from the event loop.
 */
final class EndpointListPublisher {

    private final LoopContext context;
    private final WorkerRegistry registry;
    private final AttemptController attempts;
    private boolean ready;
    private long updatedAtUs;

    /** Publishes nothing yet; changes the registry, and recalls attempts. */
    EndpointListPublisher(
            LoopContext context, WorkerRegistry registry, AttemptController attempts) {
        this.context = context;
        this.registry = registry;
        this.attempts = attempts;
    }

    /**
     * Takes in a list or a change and publishes it.
     *
     * @param form how the dispatcher is to take it
     * @param list the list or the change
     */
    void publish(EndpointListForm form, EndpointList list) {
        final List<Worker> listed = registry.apply(list);
        listed.forEach(each -> context.loads().listed(registry.name(each.id())));
        final List<Worker> workers = withOverlay(listed);
        ready |= workers.stream().anyMatch(worker -> worker.state() == WorkerState.READY);
        updatedAtUs = context.nowUs();
        // A full list implies that the workers that it leaves out are gone.
        context.listener()
                .endpointListChanged(updatedAtUs, list.full() ? registry.listed() : listed);
        report(form, workers);
        attempts.cancelUnsentToChangedWorkers();
    }

    /**
     * Publishes these workers again, as the overlay of their states has changed. The dispatcher is
     * notified in the next turn; attempts that have sent nothing to them are recalled at once.
     */
    void republish(Collection<String> names) {
        final List<Worker> listed =
                names.stream()
                        .map(registry::number)
                        .filter(number -> number >= 0)
                        .map(registry.listed()::get)
                        .filter(each -> each.state() != WorkerState.GONE)
                        .toList();
        if (!listed.isEmpty()) {
            report(EndpointListForm.CHANGES, withOverlay(listed));
            attempts.cancelUnsentToChangedWorkers();
        }
    }

    /** Reports that a watch has failed; the list that is held stays in force. */
    void reportFailed() {
        report(EndpointListForm.FAILED, List.of());
    }

    private void report(EndpointListForm form, List<Worker> workers) {
        context.turn().enqueue(now -> context.dispatcher().endpointListChanged(now, form, workers));
    }

    private List<Worker> withOverlay(List<Worker> workers) {
        return workers.stream().map(this::withOverlay).toList();
    }

    private Worker withOverlay(Worker worker) {
        final WorkerState state =
                context.listener().effectiveState(registry.name(worker.id()), worker.state());
        return state == worker.state() ? worker : WorkerRegistry.withState(worker, state);
    }

    /** Whether the dispatcher was ever notified of a worker that takes work. */
    boolean hasHadReadyWorker() {
        return ready;
    }

    /** When discovery last answered, microseconds; 0 before that. */
    long updatedAtUs() {
        return updatedAtUs;
    }
}
