package cresschute.flow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.flow.BodyBuffer.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Readers get all pieces in order, replay works up to its limit, and buffers stay within the
 * budget.
 */
class BodyBufferTest {

    private final BufferBudget budget = new BufferBudget(new BufferLimits(100, 20, 80, 1, 100));
    private final Set<String> released = new HashSet<>();
    private final List<String> changes = new ArrayList<>();
    private final BodyBuffer<String> body = body(budget, 10);

    private BodyBuffer<String> body(BufferBudget of, long replayLimit) {
        return new BodyBuffer<>(
                of.reserve("c", () -> {}).reservation().orElseThrow(),
                replayLimit,
                piece -> assertThat(released.add(piece)).as("released once: " + piece).isTrue());
    }

    private void onChange() {
        changes.add("change");
    }

    private void add(String piece) {
        assertThat(body.credit(piece.length())).isEqualTo(piece.length());
        body.append(piece, piece.length());
    }

    @Test
    void replaysBodyWithinReplayLimit() {
        add("abc");
        final BodyBuffer<String>.Reader first = body.openReader(this::onChange).orElseThrow();
        assertThat(first.next()).isEqualTo("abc");
        first.acknowledge();
        add("def");
        final BodyBuffer<String>.Reader second = body.openReader(this::onChange).orElseThrow();
        // The first reader continues independently.
        assertThat(first.next()).isEqualTo("def");
        assertThat(second.next()).isEqualTo("abc");
        assertThat(second.next()).isEqualTo("def");
        assertThat(second.next()).isNull();
        second.acknowledge();
        body.complete();
        assertThat(second.isDone()).isFalse();
        second.acknowledge();
        assertThat(second.isDone()).isTrue();
        assertThat(released).isEmpty();
        body.close();
        assertThat(released).containsExactlyInAnyOrder("abc", "def");
        assertThat(budget.inUse()).isZero();
    }

    @Test
    void rejectsReplayBeyondReplayLimit() {
        final BodyBuffer<String>.Reader reader = body.openReader(this::onChange).orElseThrow();
        add("abcdef");
        reader.next();
        reader.acknowledge();
        assertThat(body.canReplay()).isTrue();
        add("ghijkl");
        // Beyond the limit, acknowledged pieces are released; the others can still be read.
        assertThat(released).containsExactly("abcdef");
        assertThat(body.openReader(this::onChange)).isEmpty();
        assertThat(reader.next()).isEqualTo("ghijkl");
        reader.acknowledge();
        assertThat(released).containsExactly("abcdef", "ghijkl");
        body.complete();
        assertThat(reader.isDone()).isTrue();
    }

    /**
     * If the body of a request with a hedged request exceeds the replay limit, the reader that is
     * behind is detached and notified.
     */
    @Test
    void onlyFurthestReaderContinuesBeyondReplayLimit() {
        final List<String> behindChanges = new ArrayList<>();
        add("abcdef");
        final BodyBuffer<String>.Reader behind =
                body.openReader(() -> behindChanges.add("change")).orElseThrow();
        final BodyBuffer<String>.Reader ahead = body.openReader(this::onChange).orElseThrow();
        behind.next();
        ahead.next();
        ahead.acknowledge();
        add("ghijkl");
        assertThat(behindChanges).containsExactly("change");
        assertThat(changes).containsExactly("change");
        assertThat(behind.isAttached()).isFalse();
        assertThat(behind.next()).isNull();
        behind.acknowledge();
        assertThat(ahead.next()).isEqualTo("ghijkl");
        // No reader may begin at byte 0 again, even after the remaining one is detached.
        ahead.detach();
        assertThat(body.canReplay()).isFalse();
    }

    /** As long as no piece was read, none is released, even beyond the replay limit. */
    @Test
    void bodyWithoutReadersIsReadableBeyondReplayLimit() {
        add("abcdef");
        add("ghijkl");
        final BodyBuffer<String>.Reader reader = body.openReader(this::onChange).orElseThrow();
        assertThat(reader.next()).isEqualTo("abcdef");
        assertThat(body.openReader(this::onChange)).isEmpty();
    }

    /** Pieces kept for a replay use all credit and block the only reader: the replay ends. */
    @Test
    void replayEndsWhenNothingElseFreesCredit() {
        final BufferBudget small = new BufferBudget(new BufferLimits(8, 8, 0, 1, 8));
        final BodyBuffer<String> large = body(small, 1_000);
        final BodyBuffer<String>.Reader reader = large.openReader(() -> {}).orElseThrow();
        assertThat(large.credit(100)).isEqualTo(8);
        large.append("abcdefgh", 8);
        assertThat(large.credit(100)).isZero();
        assertThat(large.canReplay()).isTrue();
        reader.next();
        reader.acknowledge();
        assertThat(large.credit(100)).isEqualTo(8);
        assertThat(large.canReplay()).isFalse();
    }

    @Test
    void rejectsPiecesBeyondCredit() {
        assertThat(body.credit(5)).isEqualTo(5);
        assertThatThrownBy(() -> body.append("abcdef", 6))
                .isInstanceOf(IllegalStateException.class);
        body.abort();
        assertThat(body.state()).isEqualTo(State.ABORTED);
        assertThat(body.credit(5)).isZero();
        assertThatThrownBy(() -> body.append("a", 1)).isInstanceOf(IllegalStateException.class);
        body.complete();
        assertThat(body.state()).isEqualTo(State.ABORTED);
        final BodyBuffer<String>.Reader reader = body.openReader(this::onChange).orElseThrow();
        assertThatThrownBy(reader::acknowledge).hasMessage("more pieces acknowledged than read");
    }

    /**
     * Random interleavings of credit, pieces, readers, completion and abort of several bodies that
     * share a budget: each reader gets all pieces in order, the buffered pieces stay within the
     * budget, and at the end each piece was released once and the budget is unused.
     */
    @Property(tries = 400, seed = "92")
    void anyInterleavingKeepsOrderAndBudget(@ForAll Random random) {
        final long window = 1L + random.nextInt(12);
        final long total = window * (1 + random.nextInt(4)) + random.nextInt(20);
        final BufferBudget shared =
                new BufferBudget(
                        new BufferLimits(
                                total, window, random.nextInt(30), 1 + random.nextInt(8), total));
        final List<ModelledBody> bodies = new ArrayList<>();
        for (int step = 0; step < 300; step++) {
            if (bodies.isEmpty() || random.nextInt(20) == 0) {
                final BufferBudget.Reservation reservation =
                        shared.reserve("c", () -> {}).reservation().orElse(null);
                if (reservation != null) {
                    bodies.add(new ModelledBody(reservation, random.nextInt(40)));
                }
            }
            if (!bodies.isEmpty()) {
                final ModelledBody modelled = bodies.get(random.nextInt(bodies.size()));
                modelled.step(random);
                if (modelled.body.state() == State.CLOSED) {
                    modelled.check();
                    bodies.remove(modelled);
                }
            }
            assertThat(shared.inUse()).isLessThanOrEqualTo(total);
            assertThat(bodies.stream().mapToLong(ModelledBody::unreleasedBytes).sum())
                    .isLessThanOrEqualTo(total);
        }
        // No deadlock: each remaining body can be finished while the others are stalled.
        for (final ModelledBody modelled : bodies) {
            modelled.finish(random);
            modelled.check();
        }
        assertThat(shared.inUse()).isZero();
    }

    /** A body under test, with a simple model of its expected state. */
    private static final class ModelledBody {
        private final List<Long> added = new ArrayList<>();
        private final Set<Integer> releasedPieces = new HashSet<>();
        private final BodyBuffer<Integer> body;
        private final List<ModelledReader> readers = new ArrayList<>();

        ModelledBody(BufferBudget.Reservation reservation, long replayLimit) {
            body =
                    new BodyBuffer<>(
                            reservation,
                            replayLimit,
                            piece ->
                                    assertThat(releasedPieces.add(piece))
                                            .as("released once")
                                            .isTrue());
        }

        long unreleasedBytes() {
            long bytes = 0;
            for (int i = 0; i < added.size(); i++) {
                bytes += releasedPieces.contains(i) ? 0 : added.get(i);
            }
            return bytes;
        }

        void step(Random random) {
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3 -> read(1 + random.nextInt(15));
                case 4, 5, 6 -> anyOf(random).take();
                case 7, 8, 9 -> anyOf(random).write();
                case 10 -> begin(random);
                default -> {
                    switch (random.nextInt(12)) {
                        case 0 -> body.complete();
                        case 1 -> body.abort();
                        case 2 -> body.close();
                        default -> {}
                    }
                }
            }
        }

        private ModelledReader anyOf(Random random) {
            return readers.isEmpty()
                    ? new ModelledReader(null)
                    : readers.get(random.nextInt(readers.size()));
        }

        private void read(int wanted) {
            final long credit = body.credit(wanted);
            if (credit > 0) {
                added.add(credit);
                body.append(added.size() - 1, credit);
            }
        }

        private void begin(Random random) {
            final boolean can = body.canReplay();
            final BodyBuffer<Integer>.Reader next = body.openReader(() -> {}).orElse(null);
            assertThat(next != null).isEqualTo(can);
            if (next != null) {
                // A reader begins at byte 0, so no piece may be released yet.
                assertThat(releasedPieces).isEmpty();
                if (!readers.isEmpty() && random.nextBoolean()) {
                    readers.remove(0).reader.detach();
                }
                readers.add(new ModelledReader(next));
            }
        }

        void finish(Random random) {
            begin(random);
            for (int i = 0;
                    i < 200 && body.state() == State.OPEN && body.appendedCost() < 400;
                    i++) {
                final long before = body.appendedCost();
                sendAll();
                read(1 + random.nextInt(15));
                assertThat(body.appendedCost()).as("progress").isGreaterThan(before);
            }
            body.complete();
            sendAll();
            assertThat(readers.stream().filter(each -> each.reader.isDone()).count())
                    .isEqualTo(
                            body.state() != State.COMPLETE
                                    ? 0
                                    : readers.stream()
                                            .filter(each -> each.reader.isAttached())
                                            .count());
            body.close();
        }

        private void sendAll() {
            for (final ModelledReader each : readers) {
                while (each.reader.isAttached() && each.taken < added.size()) {
                    each.take();
                }
                while (each.reader.isAttached() && each.sent < each.taken) {
                    each.write();
                }
            }
        }

        void check() {
            assertThat(releasedPieces).hasSize(added.size());
        }
    }

    /** A reader under test, with a simple model of its progress. */
    private static final class ModelledReader {
        private final BodyBuffer<Integer>.Reader reader;
        private int taken;
        private int sent;

        ModelledReader(BodyBuffer<Integer>.Reader reader) {
            this.reader = reader;
        }

        void take() {
            final Integer piece = reader == null ? null : reader.next();
            if (piece != null) {
                assertThat(piece).isEqualTo(taken);
                taken++;
            }
        }

        void write() {
            if (reader != null && sent < taken) {
                reader.acknowledge();
                sent += reader.isAttached() ? 1 : 0;
            }
        }
    }
}
