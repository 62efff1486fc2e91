package cresschute.flow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.flow.BufferBudget.RejectionReason;
import cresschute.flow.BufferBudget.Reservation;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Room for bodies: never more than there is, nobody without any, and whoever asked first first. */
class BufferBudgetTest {

    private final List<String> granted = new ArrayList<>();

    private Reservation open(BufferBudget budget, String client) {
        return budget.reserve(client, () -> granted.add(client)).reservation();
    }

    @Test
    void windowIsOwnedAndTheRestIsLentInTheOrderOfAsking() {
        final BufferBudget budget = new BufferBudget(100, 20, 50, 1, 100);
        final Reservation one = open(budget, "one");
        final Reservation two = open(budget, "two");
        final Reservation three = open(budget, "three");
        assertThat(one.acquire(1_000)).isEqualTo(60);
        assertThat(budget.inUse()).isEqualTo(100);
        assertThat(two.acquire(20)).isEqualTo(20);
        assertThat(two.acquire(5)).isZero();
        assertThat(three.acquire(25)).isEqualTo(20);
        assertThat(three.acquire(5)).isZero();
        assertThat(granted).isEmpty();
        one.release(10);
        assertThat(granted).containsExactly("two", "three");
        assertThat(two.acquire(5)).isEqualTo(5);
        assertThat(three.acquire(9)).isEqualTo(5);
    }

    @Test
    void oneBodyIsLentNoMoreThanItsPart() {
        final BufferBudget budget = new BufferBudget(100, 20, 30, 1, 100);
        final Reservation one = open(budget, "one");
        assertThat(one.acquire(1_000)).isEqualTo(50);
        assertThat(one.acquire(1)).isZero();
        // It waits for itself alone, and so not in the queue.
        assertThat(budget.waiting()).isZero();
    }

    /**
     * Bodies that stand still with all that they were lent leave room for the windows of others.
     */
    @Test
    void theLessIsFreeTheLessEachIsLent() {
        final BufferBudget budget = new BufferBudget(1_000, 10, 500, 10, 1_000);
        long last = Long.MAX_VALUE;
        for (int body = 0; body < 8; body++) {
            final long lent = open(budget, "still").acquire(1_000) - 10;
            assertThat(lent).isPositive().isLessThan(last);
            last = lent;
        }
        // Without that, two of them would have had all of it.
        assertThat(budget.inUse()).isLessThan(700);
    }

    @Test
    void bodyWithoutRoomForItsWindowIsRefusedWithTheReason() {
        final BufferBudget budget = new BufferBudget(60, 20, 60, 1, 40);
        open(budget, "a");
        final Reservation second = open(budget, "a");
        assertThat(budget.reserve("a", () -> {}).rejection())
                .isEqualTo(RejectionReason.CLIENT_LIMIT_REACHED);
        final Reservation other = open(budget, "b");
        assertThat(budget.reserve("c", () -> {}).rejection())
                .isEqualTo(RejectionReason.BUDGET_EXHAUSTED);
        second.close();
        second.close();
        assertThat(budget.reserve("a", () -> {}).reservation()).isNotNull();
        other.close();
        assertThat(budget.inUse()).isEqualTo(40);
    }

    @Test
    void closedBodyIsOwedNothing() {
        final BufferBudget budget = new BufferBudget(40, 20, 20, 1, 40);
        final Reservation one = open(budget, "one");
        final Reservation two = open(budget, "two");
        assertThat(one.acquire(40)).isEqualTo(20);
        assertThat(one.acquire(1)).isZero();
        one.close();
        assertThat(budget.waiting()).isZero();
        assertThat(one.acquire(1)).isZero();
        assertThat(two.acquire(40)).isEqualTo(40);
        assertThatThrownBy(() -> two.release(41)).hasMessage("gives back 41 of 40");
        assertThatThrownBy(() -> new BufferBudget(10, 20, 0, 1, 20))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /**
     * Any order of opening, taking, giving and closing: a plain sum beside it agrees, and nobody
     * starves.
     */
    @Property(tries = 500, seed = "91")
    void neverMoreThanThereIsAndNobodyStarves(@ForAll Random random) {
        final long window = 1 + random.nextInt(20);
        final long total = window + random.nextInt(200);
        final BufferBudget budget =
                new BufferBudget(
                        total,
                        window,
                        random.nextInt(60),
                        1 + random.nextInt(8),
                        window * (1 + random.nextInt(5)));
        final List<Reservation> open = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            final int choice = random.nextInt(10);
            if (choice < 2) {
                final Reservation account = open(budget, "c" + random.nextInt(3));
                if (account != null) {
                    open.add(account);
                }
            } else if (!open.isEmpty()) {
                final Reservation account = open.get(random.nextInt(open.size()));
                if (choice < 6) {
                    final long before = account.held();
                    final long wanted = 1 + random.nextInt(60);
                    final long taken = account.acquire(wanted);
                    assertThat(taken).isBetween(0L, wanted);
                    // What is left of its window is always there for it.
                    assertThat(taken)
                            .isGreaterThanOrEqualTo(Math.min(wanted, Math.max(0, window - before)));
                } else if (choice < 9) {
                    account.release(account.held() == 0 ? 0 : random.nextLong(account.held() + 1));
                } else {
                    account.close();
                    open.remove(account);
                }
            }
            final long sum = open.stream().mapToLong(each -> Math.max(window, each.held())).sum();
            assertThat(budget.inUse()).isEqualTo(sum).isLessThanOrEqualTo(total);
        }
        List.copyOf(open).forEach(Reservation::close);
        assertThat(budget.inUse()).isZero();
        assertThat(budget.waiting()).isZero();
    }
}
