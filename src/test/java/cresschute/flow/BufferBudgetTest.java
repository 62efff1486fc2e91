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

/** The budget is never exceeded, no body starves, and credit is granted in request order. */
class BufferBudgetTest {

    private final List<String> granted = new ArrayList<>();

    private Reservation open(BufferBudget budget, String client) {
        return budget.reserve(client, () -> granted.add(client)).reservation().orElse(null);
    }

    @Test
    void ownsWindowAndBorrowsFreeBytesInRequestOrder() {
        final BufferBudget budget = new BufferBudget(new BufferLimits(100, 20, 50, 1, 100));
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
    void oneBodyBorrowsNoMoreThanItsMaximum() {
        final BufferBudget budget = new BufferBudget(new BufferLimits(100, 20, 30, 1, 100));
        final Reservation one = open(budget, "one");
        assertThat(one.acquire(1_000)).isEqualTo(50);
        assertThat(one.acquire(1)).isZero();
        // It can only acquire bytes that it releases itself, so it is not queued.
        assertThat(budget.waiting()).isZero();
    }

    /** Stalled bodies that keep all that they borrowed leave space for the windows of others. */
    @Test
    void fewerFreeBytesMeanFewerBorrowedBytes() {
        final BufferBudget budget = new BufferBudget(new BufferLimits(1_000, 10, 500, 10, 1_000));
        long last = Long.MAX_VALUE;
        for (int body = 0; body < 8; body++) {
            final long lent = open(budget, "stalled").acquire(1_000) - 10;
            assertThat(lent).isPositive().isLessThan(last);
            last = lent;
        }
        // With a fixed maximum, two bodies could borrow the whole budget.
        assertThat(budget.inUse()).isLessThan(700);
    }

    @Test
    void bodyWhoseWindowDoesNotFitIsRejectedWithTheReason() {
        final BufferBudget budget = new BufferBudget(new BufferLimits(60, 20, 60, 1, 40));
        open(budget, "a");
        final Reservation second = open(budget, "a");
        assertThat(budget.reserve("a", () -> {}).rejection())
                .contains(RejectionReason.CLIENT_LIMIT_REACHED);
        final Reservation other = open(budget, "b");
        assertThat(budget.reserve("c", () -> {}).rejection())
                .contains(RejectionReason.BUDGET_EXHAUSTED);
        second.close();
        second.close();
        assertThat(budget.reserve("a", () -> {}).reservation()).isPresent();
        other.close();
        assertThat(budget.inUse()).isEqualTo(40);
    }

    @Test
    void closedReservationAcquiresNothing() {
        final BufferBudget budget = new BufferBudget(new BufferLimits(40, 20, 20, 1, 40));
        final Reservation one = open(budget, "one");
        final Reservation two = open(budget, "two");
        assertThat(one.acquire(40)).isEqualTo(20);
        assertThat(one.acquire(1)).isZero();
        one.close();
        assertThat(budget.waiting()).isZero();
        assertThat(one.acquire(1)).isZero();
        assertThat(two.acquire(40)).isEqualTo(40);
        assertThatThrownBy(() -> two.release(41)).hasMessage("releases 41 bytes of 40");
        assertThatThrownBy(() -> new BufferBudget(new BufferLimits(10, 20, 0, 1, 20)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /**
     * Random sequences of reserve, acquire, release and close: the bytes in use are the sum over
     * the reservations, and no body starves.
     */
    @Property(tries = 500, seed = "91")
    void budgetIsNeverExceededAndNoBodyStarves(@ForAll Random random) {
        final long window = 1L + random.nextInt(20);
        final long total = window + random.nextInt(200);
        final BufferBudget budget =
                new BufferBudget(
                        new BufferLimits(
                                total,
                                window,
                                random.nextInt(60),
                                1 + random.nextInt(8),
                                window * (1 + random.nextInt(5))));
        final List<Reservation> open = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            final int choice = random.nextInt(10);
            if (choice < 2) {
                final Reservation reservation = open(budget, "c" + random.nextInt(3));
                if (reservation != null) {
                    open.add(reservation);
                }
            } else if (!open.isEmpty()) {
                final Reservation reservation = open.get(random.nextInt(open.size()));
                if (choice < 6) {
                    final long before = reservation.held();
                    final long wanted = 1L + random.nextInt(60);
                    final long acquired = reservation.acquire(wanted);
                    assertThat(acquired).isBetween(0L, wanted);
                    // The unused part of its window is always available to it.
                    assertThat(acquired)
                            .isGreaterThanOrEqualTo(Math.min(wanted, Math.max(0, window - before)));
                } else if (choice < 9) {
                    reservation.release(
                            reservation.held() == 0 ? 0 : random.nextLong(reservation.held() + 1));
                } else {
                    reservation.close();
                    open.remove(reservation);
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
