package cresschute.node;

import cresschute.control.ClassPlacement;
import cresschute.control.FleetView;
import cresschute.control.ListedWorker;
import java.util.ArrayList;
import java.util.List;

/**
 * What the parts of the {@link ControlService} read of the node. It owns nothing; used on the loop.
 *
 * @param config the settings of the start
 * @param lifecycle the requests and the worker registry
 * @param clock the loop's clock
 * @param events where events for operators are recorded
 */
record ControlContext(
        NodeConfig config, RequestLifecycle lifecycle, Clock clock, OperatorEventLog events) {

    /** Unix time, us. */
    long nowUs() {
        return clock.nowUs();
    }

    /** The workers of the endpoint list. */
    WorkerRegistry workers() {
        return lifecycle.registry();
    }

    /** What a drain is judged by at this moment. */
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
