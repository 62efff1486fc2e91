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

    private static void take(Map<String, String> held, VersionedTable.Delta news) {
        if (news.whole()) {
            held.clear();
        }
        news.gone().forEach(held::remove);
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
            quickAt = board.number();
            assertThat(quick).isEqualTo(model);
            if (random.nextInt(20) == 0) {
                take(slow, board.since(slowAt));
                slowAt = board.number();
                assertThat(slow).isEqualTo(model);
            }
        }
    }

    @Test
    void sameRowIsNoChange() {
        final VersionedTable board = new VersionedTable();
        board.put("w", "1");
        board.put("w", "1");
        assertThat(board.number()).isEqualTo(1);
        assertThat(board.since(1).rows()).isEmpty();
    }

    @Test
    void consoleFromTooLongAgoStartsAnew() {
        final VersionedTable board = new VersionedTable();
        board.put("stays", "1");
        for (int i = 0; i <= VersionedTable.MAX_GONE; i++) {
            board.put("w" + i, "1");
        }
        final long before = board.number();
        for (int i = 0; i < VersionedTable.MAX_GONE; i++) {
            board.remove("w" + i);
        }
        assertThat(board.since(before).whole()).isFalse();
        assertThat(board.since(before).gone()).hasSize(VersionedTable.MAX_GONE);
        board.remove("w" + VersionedTable.MAX_GONE);
        final VersionedTable.Delta news = board.since(before);
        assertThat(news.whole()).isTrue();
        assertThat(news.rows()).containsOnlyKeys("stays");
        assertThat(board.since(before + 1).whole()).isFalse();
    }

    /** A number that this board has never given is of another run of the node. */
    @Test
    void numberFromTheFutureMeansNothing() {
        final VersionedTable board = new VersionedTable();
        board.put("w", "1");
        assertThat(board.since(99).whole()).isTrue();
        assertThat(board.since(-1).whole()).isTrue();
    }

    @Test
    void eventsTellHowManyWereMissed() {
        final EventRing ring = new EventRing();
        assertThat(ring.after(0).happenings()).isEmpty();
        for (int i = 1; i <= EventRing.MAX + 10; i++) {
            ring.add(i, "kind", null, "text");
        }
        assertThat(ring.after(0).missed()).isEqualTo(10);
        assertThat(ring.after(0).happenings()).hasSize(EventRing.MAX);
        assertThat(ring.after(8).missed()).isEqualTo(2);
        assertThat(ring.after(ring.last() - 2))
                .isEqualTo(
                        new EventRing.Read(
                                List.of(
                                        new EventRing.Happening(
                                                EventRing.MAX + 9,
                                                EventRing.MAX + 9,
                                                "kind",
                                                null,
                                                "text"),
                                        new EventRing.Happening(
                                                EventRing.MAX + 10,
                                                EventRing.MAX + 10,
                                                "kind",
                                                null,
                                                "text")),
                                0));
        assertThat(ring.after(ring.last() + 5).happenings()).isEmpty();
    }
}
