package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.dispatch.LoadReport;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which rows of the console table a refresh rebuilds. */
class ConsoleTableTest {

    private final IdleLifecycle idle;
    private final ConsoleTable table;
    private int consoles;

    ConsoleTableTest() throws Exception {
        idle = new IdleLifecycle().started();
        table = new ConsoleTable(idle.node, idle.health, idle.drains, () -> consoles);
        table.refreshAll();
    }

    private List<String> keysChangedBy(Runnable refresh) {
        final long before = table.table().version();
        refresh.run();
        return List.copyOf(table.table().since(before).rows().keySet());
    }

    @Test
    void firstRefreshBuildsAllRows() {
        assertThat(table.table().since(0).rows())
                .containsOnlyKeys("w/s-1", "w/s-2", "c/check", "c/file", "node");
    }

    @Test
    void refreshWithoutChangesPublishesNothing() {
        assertThat(keysChangedBy(table::refreshAll)).isEmpty();
    }

    @Test
    void refreshesChangedWorkerImmediately() {
        idle.health.loadReported(idle.nowUs, 1, new LoadReport(3, 5, 2));
        assertThat(keysChangedBy(table::refreshChanged)).containsExactly("w/s-2");
    }

    /**
     * Rates and percentiles change with time alone, so each worker is refreshed once in four
     * refreshes.
     */
    @Test
    void refreshesEachUnchangedWorkerOnceInFourRefreshes() {
        final List<List<String>> refreshedKeys = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            // A load report passed directly to the tracker does not mark the worker as changed.
            idle.health.tracker().loadReported(idle.nowUs, 0, new LoadReport(i + 1, 0, 0));
            idle.health.tracker().loadReported(idle.nowUs, 1, new LoadReport(i + 1, 0, 0));
            refreshedKeys.add(keysChangedBy(table::refreshChanged));
        }
        assertThat(refreshedKeys)
                .containsExactlyInAnyOrder(
                        List.of("w/s-1"), List.of("w/s-2"), List.of(), List.of());
    }

    @Test
    void nodeRowShowsConsoleCountAndShutdown() {
        consoles = 2;
        table.markNodeStopping();
        assertThat(keysChangedBy(table::refreshChanged)).containsExactly("node");
        assertThat(table.table().since(0).rows().get("node"))
                .contains("\"stopping\":true,\"consoles\":2");
    }
}
