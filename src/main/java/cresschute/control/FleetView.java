package cresschute.control;

import java.util.List;
import java.util.Set;

/**
 * The state of the fleet by which a drain is accepted or rejected, at one moment. Immutable.
 *
 * @param workers the endpoint list without any drain
 * @param classes the request classes and where they may run
 * @param boundCells cells in which requests with an idempotency key have an attempt in flight, so
 *     that their retries must stay there
 */
public record FleetView(
        List<ListedWorker> workers, List<ClassPlacement> classes, Set<Integer> boundCells) {}
