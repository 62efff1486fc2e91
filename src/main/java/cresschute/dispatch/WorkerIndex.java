package cresschute.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The workers that may be sent to, indexed for each placement by what they share. It keeps the
 * index; it decides nothing.
 */
final class WorkerIndex {

    final Map<Integer, WorkerInstance> nodes = new LinkedHashMap<>();
    private int classes;
    private final List<Placement> placements;
    private final Map<Long, WorkerGroup> pools = new LinkedHashMap<>();
    private final Map<Integer, WorkerKind> kinds = new LinkedHashMap<>();

    WorkerIndex(List<Placement> stated) {
        classes = stated.size();
        placements =
                new ArrayList<>(
                        Stream.concat(Stream.of(Placement.ANYWHERE), stated.stream())
                                .distinct()
                                .toList());
        budgets(Placement.ANYWHERE);
    }

    /** The ready workers of one group that a placement leaves open. */
    WorkerGroup pool(Placement placement, int type, int group) {
        final int slot = placements.indexOf(placement) * WorkerGroup.TYPES + type;
        return pools.computeIfAbsent(
                (long) slot << 32 | group & 0xffffffffL, key -> new WorkerGroup(slot));
    }

    /** The group of this worker, within a placement. */
    WorkerGroup poolOf(Placement placement, int type, Worker worker) {
        return pool(
                placement,
                type,
                switch (type) {
                    case WorkerGroup.ZONE -> worker.zone();
                    case WorkerGroup.CELL -> worker.cell();
                    default -> 0;
                });
    }

    /**
     * Those open to a keyed class that drop a repeat of what this worker may have run; null: all
     * do.
     */
    WorkerGroup groupOf(RequestClass stated, Worker worker) {
        return switch (stated.deduplicationScope()) {
            case ALL -> null;
            case ZONE -> poolOf(stated.placement(), WorkerGroup.ZONE, worker);
            case CELL -> poolOf(stated.placement(), WorkerGroup.CELL, worker);
        };
    }

    /** The pools whose budgets govern work of a placement: its own and all wider ones. */
    List<WorkerGroup> budgets(Placement placement) {
        return placements.stream()
                .filter(wider -> wider.contains(placement))
                .map(wider -> pool(wider, WorkerGroup.ALL, 0))
                .toList();
    }

    /** All pools that carry a budget. */
    List<WorkerGroup> budgets() {
        return pools.values().stream().filter(WorkerGroup::hasBudget).toList();
    }

    /** One run of a worker process, not joined yet. */
    WorkerInstance node(Worker entry) {
        return new WorkerInstance(
                entry,
                kinds.computeIfAbsent(entry.kind(), k -> new WorkerKind()),
                memberships(entry),
                placements.size() * WorkerGroup.TYPES,
                classes);
    }

    private List<WorkerGroup> memberships(Worker entry) {
        return placements.stream()
                .filter(placement -> placement.allows(entry))
                .flatMap(
                        placement ->
                                IntStream.range(0, WorkerGroup.TYPES)
                                        .mapToObj(type -> poolOf(placement, type, entry)))
                .toList();
    }

    /**
     * Takes in classes that came after the start, {@code stated} being all of them in order:
     * placements that are new get their pools, and every worker joins those that are open to it.
     */
    void grow(List<Placement> stated) {
        classes = stated.size();
        stated.stream()
                .filter(placement -> !placements.contains(placement))
                .distinct()
                .forEach(placements::add);
        for (final WorkerInstance node : nodes.values()) {
            final boolean pooled = node.pooled;
            leave(node);
            node.regroup(memberships(node.listed), placements.size() * WorkerGroup.TYPES, classes);
            if (pooled) {
                join(node);
            }
        }
    }

    void join(WorkerInstance node) {
        if (!node.pooled) {
            node.pools.forEach(pool -> pool.add(node));
            node.pooled = true;
        }
    }

    void leave(WorkerInstance node) {
        if (node.pooled) {
            node.pools.forEach(pool -> pool.remove(node));
            node.pooled = false;
        }
    }
}
