package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Tests that a reader that applies the deltas has the rows of the table, however rarely it reads.
 */
class VersionedTableTest {

    private static void apply(Map<String, String> rows, TableDelta delta) {
        if (delta.isComplete()) {
            rows.clear();
        }
        delta.removed().forEach(rows::remove);
        rows.putAll(delta.rows());
    }

    @Property(tries = 300, seed = "82")
    void applyingDeltasReproducesTheTable(@ForAll Random random) {
        final VersionedTable table = new VersionedTable();
        final Map<String, String> model = new HashMap<>();
        final Map<String, String> fastRows = new HashMap<>();
        final Map<String, String> slowRows = new HashMap<>();
        long fastVersion = 0;
        long slowVersion = 0;
        for (int step = 0; step < 200; step++) {
            final String key = "w" + random.nextInt(8);
            if (random.nextInt(4) == 0) {
                table.remove(key);
                model.remove(key);
            } else {
                final String text = String.valueOf(random.nextInt(3));
                table.put(key, text);
                model.put(key, text);
            }
            apply(fastRows, table.since(fastVersion));
            fastVersion = table.version();
            assertThat(fastRows).isEqualTo(model);
            if (random.nextInt(20) == 0) {
                apply(slowRows, table.since(slowVersion));
                slowVersion = table.version();
                assertThat(slowRows).isEqualTo(model);
            }
        }
    }

    @Test
    void puttingTheSameTextKeepsTheVersion() {
        final VersionedTable table = new VersionedTable();
        table.put("w", "1");
        table.put("w", "1");
        assertThat(table.version()).isEqualTo(1);
        assertThat(table.since(1).rows()).isEmpty();
    }

    @Test
    void readerOfATooOldVersionGetsAllRows() {
        final VersionedTable table = new VersionedTable();
        table.put("stays", "1");
        for (int i = 0; i <= VersionedTable.MAX_REMOVED; i++) {
            table.put("w" + i, "1");
        }
        final long before = table.version();
        for (int i = 0; i < VersionedTable.MAX_REMOVED; i++) {
            table.remove("w" + i);
        }
        assertThat(table.since(before).isComplete()).isFalse();
        assertThat(table.since(before).removed()).hasSize(VersionedTable.MAX_REMOVED);
        table.remove("w" + VersionedTable.MAX_REMOVED);
        final TableDelta delta = table.since(before);
        assertThat(delta.isComplete()).isTrue();
        assertThat(delta.rows()).containsOnlyKeys("stays");
        assertThat(table.since(before + 1).isComplete()).isFalse();
    }

    /**
     * A version that the table has not reached, or a negative one, belongs to another incarnation
     * of the node or is invalid.
     */
    @Test
    void unknownVersionGetsAllRows() {
        final VersionedTable table = new VersionedTable();
        table.put("w", "1");
        assertThat(table.since(99).isComplete()).isTrue();
        assertThat(table.since(-1).isComplete()).isTrue();
    }

    @Test
    void eventBatchCountsMissedEvents() {
        final EventRing ring = new EventRing();
        assertThat(ring.after(0).events()).isEmpty();
        for (int i = 1; i <= EventRing.MAX_EVENTS + 10; i++) {
            ring.add(i, "kind", null, "text");
        }
        assertThat(ring.after(0).missed()).isEqualTo(10);
        assertThat(ring.after(0).events()).hasSize(EventRing.MAX_EVENTS);
        assertThat(ring.after(8).missed()).isEqualTo(2);
        assertThat(ring.after(ring.lastNumber() - 2))
                .isEqualTo(
                        new EventBatch(
                                List.of(
                                        new OperatorEvent(
                                                EventRing.MAX_EVENTS + 9,
                                                EventRing.MAX_EVENTS + 9,
                                                "kind",
                                                null,
                                                "text"),
                                        new OperatorEvent(
                                                EventRing.MAX_EVENTS + 10,
                                                EventRing.MAX_EVENTS + 10,
                                                "kind",
                                                null,
                                                "text")),
                                0));
        assertThat(ring.after(ring.lastNumber() + 5).events()).isEmpty();
    }
}
