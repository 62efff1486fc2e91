package cresschute.node;

import cresschute.control.VersionedTable;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;

/**
 * Maintains the table that consoles show: one row per worker, one per request class and one for the
 * node.
 *
 * <p>A worker's row is rebuilt when the worker changed. It is also rebuilt every {@value
 * #REFRESH_CYCLE_LENGTH}th refresh, because its rates and percentiles change with time alone. Each
 * refresh does this for a part of the workers.
 *
 * <p>Owns the {@link VersionedTable}, which lives as long as the process and is not stored. Used on
 * the event loop only.
 */
final class ConsoleTable {

    /** The number of refreshes in which each unchanged worker's row is rebuilt once. */
    private static final int REFRESH_CYCLE_LENGTH = 4;

    private static final String WORKER_KEY_PREFIX = "w/";
    private static final String CLASS_KEY_PREFIX = "c/";
    private static final String NODE_KEY = "node";

    private final VersionedTable table = new VersionedTable();
    private final ControlContext node;
    private final WorkerHealthMonitor health;
    private final ConsoleRows rows;
    private final IntSupplier consoleCount;

    /** Numbers of the workers that have a row. */
    private Set<Integer> shownWorkers = Set.of();

    private int refreshes;
    private boolean stopping;

    /**
     * @param consoleCount counts the connected consoles
     */
    ConsoleTable(
            ControlContext node,
            WorkerHealthMonitor health,
            DurableDrains drains,
            IntSupplier consoleCount) {
        this.node = node;
        this.health = health;
        this.consoleCount = consoleCount;
        this.rows = new ConsoleRows(node, drains, health.tracker());
    }

    /** The rows as of the last refresh. */
    VersionedTable table() {
        return table;
    }

    /** Marks the node as stopping; its row shows that from the next refresh on. */
    void markNodeStopping() {
        stopping = true;
    }

    /** Rebuilds all rows. */
    void refreshAll() {
        refresh(worker -> true);
    }

    /**
     * Rebuilds the rows of changed workers and of those due in this refresh, of all classes and of
     * the node.
     */
    void refreshChanged() {
        refresh(worker -> health.changedWorkers().contains(worker) || isPeriodicallyDue(worker));
    }

    private boolean isPeriodicallyDue(int worker) {
        return worker % REFRESH_CYCLE_LENGTH == refreshes % REFRESH_CYCLE_LENGTH;
    }

    private void refresh(IntPredicate isDue) {
        final long nowUs = node.nowUs();
        refreshes++;
        final Set<Integer> known = new HashSet<>(health.tracker().workers());
        for (final int worker : known) {
            if (isDue.test(worker)) {
                table.put(workerKey(worker), rows.worker(nowUs, worker));
            }
        }
        health.clearChangedWorkers();
        removeRowsExcept(known);
        final List<String> classes = node.config().classes();
        for (int i = 0; i < classes.size(); i++) {
            table.put(CLASS_KEY_PREFIX + classes.get(i), rows.requestClass(nowUs, i));
        }
        table.put(NODE_KEY, rows.node(nowUs, stopping, consoleCount.getAsInt()));
    }

    /**
     * Removes the rows of workers that the health tracker has dropped: a dropped worker is not
     * reported as changed.
     */
    private void removeRowsExcept(Set<Integer> known) {
        shownWorkers.stream()
                .filter(worker -> !known.contains(worker))
                .forEach(worker -> table.remove(workerKey(worker)));
        shownWorkers = known;
    }

    private String workerKey(int worker) {
        return WORKER_KEY_PREFIX + node.workers().name(worker);
    }
}
