package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.Placement;
import cresschute.dispatch.RequestClass;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A class keeps its number for the life of the table; a changed or removed class is retired, and a
 * changed one gets a new number.
 */
class ClassTableTest {

    private static RequestClass of(Idempotency idempotency, double priorityWeight) {
        return new RequestClass(
                priorityWeight,
                400_000,
                2,
                5_000_000,
                idempotency,
                DeduplicationScope.ALL,
                0,
                Placement.ANYWHERE);
    }

    private static final RequestClass PURE = of(Idempotency.SAFE, 2);
    private static final RequestClass KEYED = of(Idempotency.KEYED, 5);
    private static final RequestClass ONCE = of(Idempotency.UNSAFE, 1);

    private final ClassTable start = ClassTable.of(List.of("check", "file"), List.of(PURE, KEYED));

    @Test
    void keepsNumbersOfUnchangedClasses() {
        final ClassTable again = start.updatedWith(List.of("file", "check"), List.of(KEYED, PURE));
        assertThat(again.isSameAs(start)).isTrue();
        assertThat(again.live()).isEqualTo(Map.of("check", 0, "file", 1));
        assertThat(again.changesFrom(start)).isEmpty();
    }

    @Test
    void addsNewClassAndRetiresRemovedClass() {
        final ClassTable next = start.updatedWith(List.of("check", "report"), List.of(PURE, ONCE));
        assertThat(next.classes()).containsExactly(PURE, KEYED, ONCE);
        assertThat(next.names()).containsExactly("check", "file", "report");
        assertThat(next.live()).isEqualTo(Map.of("check", 0, "report", 2));
        assertThat(next.changesFrom(start)).isEqualTo("new: report; retired: file");
    }

    @Test
    void assignsNewNumberToChangedClass() {
        final ClassTable next = start.updatedWith(List.of("check", "file"), List.of(PURE, ONCE));
        assertThat(next.classes()).containsExactly(PURE, KEYED, ONCE);
        assertThat(next.changesFrom(start)).isEqualTo("changed: file");
        assertThat(next.live()).isEqualTo(Map.of("check", 0, "file", 2));
        // Reverting the change assigns a new number again, because the retired class may have
        // requests in flight.
        final ClassTable back = next.updatedWith(List.of("check", "file"), List.of(PURE, KEYED));
        assertThat(back.live()).isEqualTo(Map.of("check", 0, "file", 3));
    }

    @Test
    void rejectsDuplicateNameAndMoreThanMaxClasses() {
        assertThatThrownBy(() -> start.updatedWith(List.of("check", "check"), List.of(PURE, KEYED)))
                .hasMessageContaining("named twice");
        ClassTable table = start;
        final List<String> names = new ArrayList<>();
        final List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; table.size() + 1 <= ClassTable.MAX_CLASSES; i++) {
            names.add("c" + i);
            classes.add(PURE);
            table = table.updatedWith(names, classes);
        }
        final ClassTable full = table;
        assertThatThrownBy(() -> full.updatedWith(List.of("more"), List.of(PURE)))
                .hasMessageContaining("more than " + ClassTable.MAX_CLASSES);
    }
}
