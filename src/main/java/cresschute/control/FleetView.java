package cresschute.control;

import java.util.List;
import java.util.Set;

/**
 * A snapshot of the fleet that decides whether a drain is accepted. Immutable.
 *
 * @param workers the workers in the endpoint list, without the operators' drains
 * @param classes the request classes and their placements
 * @param boundCells cells in which requests with an idempotency key have an attempt in flight, so
 *     that their retries must stay there
 */
public record FleetView(
        List<ListedWorker> workers, List<ClassPlacement> classes, Set<Integer> boundCells) {}
