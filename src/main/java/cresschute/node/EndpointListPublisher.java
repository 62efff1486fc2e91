package cresschute.node;

import cresschute.dispatch.EndpointListForm;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.Collection;
import java.util.List;

/**
 * Publishes the endpoint list to the dispatcher: applies discovery's answers to the registry and
 * the operators' overlay to the workers' states, and then cancels unsent attempts whose worker is
 * no longer eligible. Owns the registry's contents, the time of the newest answer and whether a
 * worker was ever ready. Lives as long as the node; call from the event loop.
 */
final class EndpointListPublisher {

    private final LoopContext context;
    private final WorkerRegistry registry;
    private final AttemptController attempts;
    private boolean ready;
    private long updatedAtUs;

    /** Creates a publisher that updates the registry and cancels unsent attempts. */
    EndpointListPublisher(
            LoopContext context, WorkerRegistry registry, AttemptController attempts) {
        this.context = context;
        this.registry = registry;
        this.attempts = attempts;
    }

    /**
     * Applies a list or a change and publishes it.
     *
     * @param form how the dispatcher must interpret it
     * @param list the list or the change
     */
    void publish(EndpointListForm form, EndpointList list) {
        final List<Worker> listed = registry.apply(list);
        listed.forEach(each -> context.loads().listed(registry.name(each.id())));
        final List<Worker> workers = withOverlay(listed);
        ready |= workers.stream().anyMatch(worker -> worker.state() == WorkerState.READY);
        updatedAtUs = context.nowUs();
        // Workers missing from a full list are gone.
        context.listener()
                .endpointListChanged(updatedAtUs, list.full() ? registry.listed() : listed);
        report(form, workers);
        attempts.cancelUnsentToChangedWorkers();
    }

    /**
     * Publishes these workers again because the overlay of their states has changed. The dispatcher
     * is notified in the next turn; unsent attempts at these workers are cancelled at once.
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

    /** Reports that a watch has failed; the current list stays in force. */
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

    /** Returns true once a published list has contained a ready worker. */
    boolean hasHadReadyWorker() {
        return ready;
    }

    /** When discovery last answered, microseconds; 0 before that. */
    long updatedAtUs() {
        return updatedAtUs;
    }
}
