package cresschute.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The workers of the endpoint list, indexed by number and grouped by placement, zone and cell. It
 * makes no decisions.
 */
final class WorkerIndex {

    private final Map<Integer, WorkerInstance> workers = new LinkedHashMap<>();
    private int classes;

    /** By the number of the placement; null for a number without a placement. */
    private final List<Placement> placements;

    private final Map<Long, WorkerGroup> groups = new LinkedHashMap<>();
    private final Map<Integer, WorkerKind> kinds = new LinkedHashMap<>();

    /**
     * Creates an index without workers.
     *
     * @param classPlacements the placement of each request class, in class order
     */
    WorkerIndex(List<Placement> classPlacements) {
        classes = classPlacements.size();
        placements =
                new ArrayList<>(
                        Stream.concat(Stream.of(Placement.ANYWHERE), classPlacements.stream())
                                .distinct()
                                .toList());
        capacitiesFor(Placement.ANYWHERE);
    }

    /** Returns the worker with this number; null if it is not listed. */
    WorkerInstance find(int id) {
        return workers.get(id);
    }

    boolean contains(int id) {
        return workers.containsKey(id);
    }

    /** Returns all listed workers, in the order in which they were first listed. */
    Collection<WorkerInstance> workers() {
        return workers.values();
    }

    /**
     * Adds a new worker instance, which replaces an earlier one of the same number. It is not
     * dispatchable yet.
     */
    WorkerInstance add(Worker entry) {
        final WorkerInstance worker =
                new WorkerInstance(
                        entry,
                        kinds.computeIfAbsent(entry.kind(), k -> new WorkerKind()),
                        memberships(entry),
                        placements.size() * WorkerGroup.Scope.count(),
                        classes);
        workers.put(entry.id(), worker);
        return worker;
    }

    /** Removes the workers that are not dispatchable. */
    void removeUndispatchable() {
        workers.values().removeIf(worker -> !worker.isDispatchable());
    }

    /**
     * Returns the group of a placement and scope.
     *
     * @param number number of the zone or cell; 0 for {@link WorkerGroup.Scope#ALL}
     */
    WorkerGroup group(Placement placement, WorkerGroup.Scope scope, int number) {
        final int groupIndex =
                placements.indexOf(placement) * WorkerGroup.Scope.count() + scope.ordinal();
        return groups.computeIfAbsent(
                ((long) groupIndex << 32) | (number & 0xffffffffL),
                key -> new WorkerGroup(groupIndex));
    }

    /** Returns the group of this scope that a worker of the placement belongs to. */
    WorkerGroup groupOf(Placement placement, WorkerGroup.Scope scope, Worker worker) {
        return group(
                placement,
                scope,
                switch (scope) {
                    case ALL -> 0;
                    case ZONE -> worker.zone();
                    case CELL -> worker.cell();
                });
    }

    /**
     * Returns the workers of a class's placement that drop a duplicate of a request that this
     * worker may have run; empty if all workers do.
     */
    Optional<WorkerGroup> deduplicationGroup(RequestClass requestClass, Worker worker) {
        return switch (requestClass.deduplicationScope()) {
            case ALL -> Optional.empty();
            case ZONE ->
                    Optional.of(groupOf(requestClass.placement(), WorkerGroup.Scope.ZONE, worker));
            case CELL ->
                    Optional.of(groupOf(requestClass.placement(), WorkerGroup.Scope.CELL, worker));
        };
    }

    /**
     * Returns the capacities that work of a placement uses: those of the placement itself and of
     * all placements that contain it.
     */
    List<CapacityEstimator> capacitiesFor(Placement placement) {
        return placements.stream()
                .filter(Objects::nonNull)
                .filter(wider -> wider.contains(placement))
                .map(wider -> group(wider, WorkerGroup.Scope.ALL, 0).capacity())
                .toList();
    }

    /** Returns the capacities of all placements. */
    List<CapacityEstimator> capacities() {
        return groups.values().stream()
                .filter(WorkerGroup::hasCapacity)
                .map(WorkerGroup::capacity)
                .toList();
    }

    private List<WorkerGroup> memberships(Worker entry) {
        return placements.stream()
                .filter(placement -> placement != null && placement.allows(entry))
                .flatMap(
                        placement ->
                                Stream.of(WorkerGroup.Scope.values())
                                        .map(scope -> groupOf(placement, scope, entry)))
                .toList();
    }

    /**
     * Replaces the placements while the dispatcher runs. Each worker joins the groups of the
     * placements that allow it. The groups of placements that no class has any more are removed,
     * with what was learned of their capacity.
     *
     * @param classPlacements the placement of every request class, in class order
     */
    void setPlacements(List<Placement> classPlacements) {
        classes = classPlacements.size();
        removePlacementsExcept(classPlacements);
        classPlacements.stream()
                .filter(placement -> !placements.contains(placement))
                .distinct()
                .forEach(this::addPlacement);
        for (final WorkerInstance worker : workers.values()) {
            final boolean dispatchable = worker.isDispatchable();
            worker.leaveGroups();
            worker.setGroups(
                    memberships(worker.endpoint()),
                    placements.size() * WorkerGroup.Scope.count(),
                    classes);
            if (dispatchable) {
                worker.joinGroups();
            }
        }
    }

    private void removePlacementsExcept(List<Placement> classPlacements) {
        for (int number = 0; number < placements.size(); number++) {
            final Placement placement = placements.get(number);
            if (placement != null
                    && !placement.equals(Placement.ANYWHERE)
                    && !classPlacements.contains(placement)) {
                placements.set(number, null);
                final int removed = number;
                groups.values().removeIf(group -> group.placementNumber() == removed);
            }
        }
    }

    /** Adds a placement under the first number that is free. */
    private void addPlacement(Placement placement) {
        final int free = placements.indexOf(null);
        if (free < 0) {
            placements.add(placement);
        } else {
            placements.set(free, placement);
        }
    }
}
