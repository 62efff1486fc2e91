package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What consoles are told of a board adds up to the board, whichever changes they slept through. */
class VersionedTableTest {

    private static void take(Map<String, String> held, TableDelta news) {
        if (news.isComplete()) {
            held.clear();
        }
        news.removed().forEach(held::remove);
        held.putAll(news.rows());
    }

    @Property(tries = 300, seed = "82")
    void newsAddUpToTheBoard(@ForAll Random random) {
        final VersionedTable board = new VersionedTable();
        final Map<String, String> model = new HashMap<>();
        final Map<String, String> quick = new HashMap<>();
        final Map<String, String> slow = new HashMap<>();
        long quickAt = 0;
        long slowAt = 0;
        for (int step = 0; step < 200; step++) {
            final String key = "w" + random.nextInt(8);
            if (random.nextInt(4) == 0) {
                board.remove(key);
                model.remove(key);
            } else {
                final String text = String.valueOf(random.nextInt(3));
                board.put(key, text);
                model.put(key, text);
            }
            take(quick, board.since(quickAt));
            quickAt = board.version();
            assertThat(quick).isEqualTo(model);
            if (random.nextInt(20) == 0) {
                take(slow, board.since(slowAt));
                slowAt = board.version();
                assertThat(slow).isEqualTo(model);
            }
        }
    }

    @Test
    void sameRowIsNoChange() {
        final VersionedTable board = new VersionedTable();
        board.put("w", "1");
        board.put("w", "1");
        assertThat(board.version()).isEqualTo(1);
        assertThat(board.since(1).rows()).isEmpty();
    }

    @Test
    void consoleFromTooLongAgoStartsAnew() {
        final VersionedTable board = new VersionedTable();
        board.put("stays", "1");
        for (int i = 0; i <= VersionedTable.MAX_REMOVED; i++) {
            board.put("w" + i, "1");
        }
        final long before = board.version();
        for (int i = 0; i < VersionedTable.MAX_REMOVED; i++) {
            board.remove("w" + i);
        }
        assertThat(board.since(before).isComplete()).isFalse();
        assertThat(board.since(before).removed()).hasSize(VersionedTable.MAX_REMOVED);
        board.remove("w" + VersionedTable.MAX_REMOVED);
        final TableDelta news = board.since(before);
        assertThat(news.isComplete()).isTrue();
        assertThat(news.rows()).containsOnlyKeys("stays");
        assertThat(board.since(before + 1).isComplete()).isFalse();
    }

    /** A number that this board has never given is of another run of the node. */
    @Test
    void numberFromTheFutureMeansNothing() {
        final VersionedTable board = new VersionedTable();
        board.put("w", "1");
        assertThat(board.since(99).isComplete()).isTrue();
        assertThat(board.since(-1).isComplete()).isTrue();
    }

    @Test
    void eventsTellHowManyWereMissed() {
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
