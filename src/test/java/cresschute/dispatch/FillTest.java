package cresschute.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class FillTest {

    private static final Placement ONE_KIND = new Placement(null, List.of(0));

    private final Fleet fleet = new Fleet(List.of(ONE_KIND));
    private final Pool all = fleet.pool(Placement.ANYWHERE, Pool.ALL, 0);
    private final Pool kind = fleet.pool(ONE_KIND, Pool.ALL, 0);

    private Cell cell(double worth, double rate, double work, Placement placement) {
        final Cell cell = new Cell(new ClassState(0, new RequestClass(worth, 1, 1, 1, Effect.SAFE,
            RepeatScope.ALL, 0, placement), fleet, 0), 0, 1);
        cell.rate = rate;
        cell.work = work;
        return cell;
    }

    @Test
    void fillsByWorthPerWorkAboveTheFloors() {
        final Cell rich = cell(10, 1, 1, Placement.ANYWHERE);
        final Cell poor = cell(1, 1, 1, Placement.ANYWHERE);
        final Cell large = cell(10, 1, 20, Placement.ANYWHERE);
        all.left = 1.5 + Logic.FLOOR * 20;
        Logic.fill(new Cell[]{large, poor, rich}, 1);
        assertThat(rich.admit).isCloseTo(1, within(1e-9));
        assertThat(poor.admit).isCloseTo(0.5, within(1e-9));
        assertThat(large.admit).isCloseTo(Logic.FLOOR, within(1e-9));
    }

    @Test
    void aKindsOwnBudgetBindsItsClassesOnly() {
        final Cell bound = cell(10, 1, 1, ONE_KIND);
        final Cell free = cell(1, 1, 1, Placement.ANYWHERE);
        all.left = 100;
        kind.left = 0.25;
        Logic.fill(new Cell[]{bound, free}, 1);
        assertThat(bound.admit).isCloseTo(0.25, within(1e-9));
        assertThat(free.admit).isCloseTo(1, within(1e-9));
    }

    @Test
    void anOpenBudgetAdmitsEverything() {
        final Cell cell = cell(1, 50, 3, Placement.ANYWHERE);
        all.left = Double.POSITIVE_INFINITY;
        Logic.fill(new Cell[]{cell}, 1);
        assertThat(cell.admit).isEqualTo(1);
    }

    @Property(seed = "23", tries = 300)
    void floorsHoldTheBudgetHoldsAboveThemAndOrderIsByWorth(
        @ForAll @Size(6) List<@DoubleRange(min = 0.1, max = 20) Double> worths,
        @ForAll @Size(6) List<@DoubleRange(min = 0, max = 50) Double> rates,
        @ForAll @Size(6) List<@DoubleRange(min = 0.01, max = 10) Double> works,
        @ForAll @DoubleRange(min = 0, max = 500) double budget) {
        final Cell[] cells = new Cell[6];
        double floorWork = 0;
        for (int i = 0; i < cells.length; i++) {
            cells[i] = cell(worths.get(i), rates.get(i), works.get(i), Placement.ANYWHERE);
            floorWork += Logic.FLOOR * rates.get(i) * works.get(i);
        }
        all.left = budget;
        Logic.fill(cells, 1);
        double admittedWork = 0;
        for (int i = 0; i < cells.length; i++) {
            assertThat(cells[i].admit).isBetween(Logic.FLOOR - 1e-9, 1 + 1e-9);
            admittedWork += cells[i].admit * cells[i].rate * cells[i].work;
            if (i > 0 && cells[i].rate > 0 && cells[i].admit > Logic.FLOOR + 1e-9) {
                assertThat(cells[i - 1].admit).isCloseTo(1, within(1e-9));
            }
        }
        assertThat(admittedWork).isLessThanOrEqualTo(Math.max(budget, floorWork) + 1e-6);
    }
}
