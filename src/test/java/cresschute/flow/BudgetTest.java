package cresschute.flow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.flow.Budget.Account;
import cresschute.flow.Budget.Refusal;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Room for bodies: never more than there is, nobody without any, and whoever asked first first. */
class BudgetTest {

    private final List<String> granted = new ArrayList<>();

    private Account open(Budget budget, String client) {
        return budget.open(client, () -> granted.add(client)).account();
    }

    @Test
    void windowIsOwnedAndTheRestIsLentInTheOrderOfAsking() {
        final Budget budget = new Budget(100, 20, 50, 1, 100);
        final Account one = open(budget, "one");
        final Account two = open(budget, "two");
        final Account three = open(budget, "three");
        assertThat(one.take(1_000)).isEqualTo(60);
        assertThat(budget.inUse()).isEqualTo(100);
        assertThat(two.take(20)).isEqualTo(20);
        assertThat(two.take(5)).isZero();
        assertThat(three.take(25)).isEqualTo(20);
        assertThat(three.take(5)).isZero();
        assertThat(granted).isEmpty();
        one.give(10);
        assertThat(granted).containsExactly("two", "three");
        assertThat(two.take(5)).isEqualTo(5);
        assertThat(three.take(9)).isEqualTo(5);
    }

    @Test
    void oneBodyIsLentNoMoreThanItsPart() {
        final Budget budget = new Budget(100, 20, 30, 1, 100);
        final Account one = open(budget, "one");
        assertThat(one.take(1_000)).isEqualTo(50);
        assertThat(one.take(1)).isZero();
        // It waits for itself alone, and so not in the queue.
        assertThat(budget.waiting()).isZero();
    }

    /**
     * Bodies that stand still with all that they were lent leave room for the windows of others.
     */
    @Test
    void theLessIsFreeTheLessEachIsLent() {
        final Budget budget = new Budget(1_000, 10, 500, 10, 1_000);
        long last = Long.MAX_VALUE;
        for (int body = 0; body < 8; body++) {
            final long lent = open(budget, "still").take(1_000) - 10;
            assertThat(lent).isPositive().isLessThan(last);
            last = lent;
        }
        // Without that, two of them would have had all of it.
        assertThat(budget.inUse()).isLessThan(700);
    }

    @Test
    void bodyWithoutRoomForItsWindowIsRefusedWithTheReason() {
        final Budget budget = new Budget(60, 20, 60, 1, 40);
        open(budget, "a");
        final Account second = open(budget, "a");
        assertThat(budget.open("a", () -> {}).refusal()).isEqualTo(Refusal.CLIENT_FULL);
        final Account other = open(budget, "b");
        assertThat(budget.open("c", () -> {}).refusal()).isEqualTo(Refusal.NODE_FULL);
        second.close();
        second.close();
        assertThat(budget.open("a", () -> {}).account()).isNotNull();
        other.close();
        assertThat(budget.inUse()).isEqualTo(40);
    }

    @Test
    void closedBodyIsOwedNothing() {
        final Budget budget = new Budget(40, 20, 20, 1, 40);
        final Account one = open(budget, "one");
        final Account two = open(budget, "two");
        assertThat(one.take(40)).isEqualTo(20);
        assertThat(one.take(1)).isZero();
        one.close();
        assertThat(budget.waiting()).isZero();
        assertThat(one.take(1)).isZero();
        assertThat(two.take(40)).isEqualTo(40);
        assertThatThrownBy(() -> two.give(41)).hasMessage("gives back 41 of 40");
        assertThatThrownBy(() -> new Budget(10, 20, 0, 1, 20))
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
        final Budget budget =
                new Budget(
                        total,
                        window,
                        random.nextInt(60),
                        1 + random.nextInt(8),
                        window * (1 + random.nextInt(5)));
        final List<Account> open = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            final int choice = random.nextInt(10);
            if (choice < 2) {
                final Account account = open(budget, "c" + random.nextInt(3));
                if (account != null) {
                    open.add(account);
                }
            } else if (!open.isEmpty()) {
                final Account account = open.get(random.nextInt(open.size()));
                if (choice < 6) {
                    final long before = account.held();
                    final long wanted = 1 + random.nextInt(60);
                    final long taken = account.take(wanted);
                    assertThat(taken).isBetween(0L, wanted);
                    // What is left of its window is always there for it.
                    assertThat(taken)
                            .isGreaterThanOrEqualTo(Math.min(wanted, Math.max(0, window - before)));
                } else if (choice < 9) {
                    account.give(account.held() == 0 ? 0 : random.nextLong(account.held() + 1));
                } else {
                    account.close();
                    open.remove(account);
                }
            }
            final long sum = open.stream().mapToLong(each -> Math.max(window, each.held())).sum();
            assertThat(budget.inUse()).isEqualTo(sum).isLessThanOrEqualTo(total);
        }
        List.copyOf(open).forEach(Account::close);
        assertThat(budget.inUse()).isZero();
        assertThat(budget.waiting()).isZero();
    }
}
