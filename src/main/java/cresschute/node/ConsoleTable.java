package cresschute.node;

import cresschute.control.VersionedTable;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;

/**
 * Keeps the rows of consoles up to date: one a worker, one a class and one of the node.
 *
 * <p>A worker's row is drawn anew when it changed, and its figures, which change with time alone,
 * at every {@value #REFRESH_CYCLE_LENGTH}th refresh, a part of the workers each time.
 *
 * <p>It owns the {@link VersionedTable}, which lives as long as the process and is not stored. Used
 * on the loop alone.
 */
final class ConsoleTable {

    /** In how many refreshes the rows of all unchanged workers are drawn once. */
    private static final int REFRESH_CYCLE_LENGTH = 4;

    private static final String WORKER_KEY_PREFIX = "w/";
    private static final String CLASS_KEY_PREFIX = "c/";
    private static final String NODE_KEY = "node";

    private final VersionedTable table = new VersionedTable();
    private final ControlContext node;
    private final WorkerHealthMonitor health;
    private final ConsoleRows rows;
    private final IntSupplier consoleCount;

    /** Workers that have a row. */
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

    /** The node's row shows from the next refresh on that its shutdown has begun. */
    void markNodeStopping() {
        stopping = true;
    }

    /** Draws all rows. */
    void refreshAll() {
        refresh(worker -> true);
    }

    /** Draws the rows of workers that changed or whose turn it is, of classes and of the node. */
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

    /** A worker that the health tracker has forgotten has no change of its own. */
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
