package cresschute.node;

import cresschute.control.ClassPlacement;
import cresschute.control.FleetView;
import cresschute.control.ListedWorker;
import java.util.ArrayList;
import java.util.List;

/**
 * The parts of the node that the {@link ControlService} and its components read. Owns none of them;
 * used on the event loop.
 *
 * @param config the configuration that the node was started with
 * @param lifecycle the requests and the worker registry
 * @param clock the node's clock
 * @param events the log of events for operators
 */
record ControlContext(
        NodeConfig config, RequestLifecycle lifecycle, Clock clock, OperatorEventLog events) {

    /** The current Unix time, microseconds. */
    long nowUs() {
        return clock.nowUs();
    }

    /** The workers of the endpoint list. */
    WorkerRegistry workers() {
        return lifecycle.registry();
    }

    /**
     * A snapshot of the listed workers, class placements and bound cells, by which a drain is
     * allowed or rejected.
     */
    FleetView fleetView() {
        final List<ListedWorker> listed =
                workers().listed().stream()
                        .map(each -> new ListedWorker(workers().name(each.id()), each))
                        .toList();
        final List<ClassPlacement> classes = new ArrayList<>();
        for (int i = 0; i < config.classes().size(); i++) {
            classes.add(
                    new ClassPlacement(
                            config.classes().get(i),
                            config.settings().classes().get(i).placement()));
        }
        return new FleetView(listed, classes, lifecycle.boundCells());
    }
}
