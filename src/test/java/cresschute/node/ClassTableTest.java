package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.dispatch.ClassChanges;
import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.Placement;
import cresschute.dispatch.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A class keeps its number while it is unchanged or a request has it; a changed or removed class is
 * retired, and its number is used again once no request has it.
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

    private static final Set<Integer> NONE_IN_USE = Set.of();
    private static final Set<Integer> ALL_IN_USE = Set.of(0, 1, 2, 3);

    @Test
    void keepsNumbersOfUnchangedClasses() {
        final ClassTable again =
                start.updatedWith(List.of("file", "check"), List.of(KEYED, PURE), NONE_IN_USE);
        assertThat(again.isSameAs(start)).isTrue();
        assertThat(again.live()).isEqualTo(Map.of("check", 0, "file", 1));
        assertThat(again.changesFrom(start)).isEmpty();
        assertThat(again.changes()).isEqualTo(ClassChanges.NONE);
    }

    @Test
    void addsNewClassAndRetiresRemovedClassInUse() {
        final ClassTable next =
                start.updatedWith(List.of("check", "report"), List.of(PURE, ONCE), ALL_IN_USE);
        assertThat(next.classes()).containsExactly(PURE, KEYED, ONCE);
        assertThat(next.names()).containsExactly("check", "file", "report");
        assertThat(next.live()).isEqualTo(Map.of("check", 0, "report", 2));
        assertThat(next.changesFrom(start)).isEqualTo("new: report; retired: file");
        assertThat(next.changes()).isEqualTo(new ClassChanges(Set.of(), Set.of(1)));
    }

    @Test
    void assignsNewNumberToChangedClassInUse() {
        final ClassTable next =
                start.updatedWith(List.of("check", "file"), List.of(PURE, ONCE), ALL_IN_USE);
        assertThat(next.classes()).containsExactly(PURE, KEYED, ONCE);
        assertThat(next.changesFrom(start)).isEqualTo("changed: file");
        assertThat(next.live()).isEqualTo(Map.of("check", 0, "file", 2));
        // Reverting the change assigns a new number again, because the retired class may have
        // requests in flight.
        final ClassTable back =
                next.updatedWith(List.of("check", "file"), List.of(PURE, KEYED), ALL_IN_USE);
        assertThat(back.live()).isEqualTo(Map.of("check", 0, "file", 3));
    }

    @Test
    void reusesNumberThatNoRequestHas() {
        final ClassTable next =
                start.updatedWith(List.of("check", "file"), List.of(PURE, ONCE), Set.of(0));
        assertThat(next.classes()).containsExactly(PURE, ONCE);
        assertThat(next.live()).isEqualTo(Map.of("check", 0, "file", 1));
        assertThat(next.changesFrom(start)).isEqualTo("changed: file");
        assertThat(next.changes()).isEqualTo(new ClassChanges(Set.of(1), Set.of()));
        assertThat(next.isSameAs(start)).isFalse();
    }

    /** A class with the definition of the one that had its number before is another class. */
    @Test
    void reportsReusedNumberEvenIfDefinitionsAreEqual() {
        final ClassTable next =
                start.updatedWith(List.of("check", "archive"), List.of(PURE, KEYED), NONE_IN_USE);
        assertThat(next.live()).isEqualTo(Map.of("check", 0, "archive", 1));
        assertThat(next.isSameAs(start)).isFalse();
        assertThat(next.changes().replaced()).containsExactly(1);
        assertThat(next.changesFrom(start)).isEqualTo("new: archive; retired: file");
    }

    @Test
    void rejectsDuplicateName() {
        assertThatThrownBy(
                        () ->
                                start.updatedWith(
                                        List.of("check", "check"),
                                        List.of(PURE, KEYED),
                                        NONE_IN_USE))
                .hasMessageContaining("named twice");
    }

    /**
     * Guards against numbers running out after many configurations. Some classes come, go and
     * change at each step, and requests keep some numbers for a while.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void staysSmallOverManyChangesAndKeepsClassesInUse(long seed) {
        final int steps = 2_000;
        final int maxInUse = 5;
        final List<String> pool = List.of("a", "b", "c", "d", "e", "f");
        final Random random = new Random(seed);
        final Deque<Integer> inUse = new ArrayDeque<>();
        ClassTable table = start;
        for (int step = 0; step < steps; step++) {
            final List<String> names = new ArrayList<>(pool);
            Collections.shuffle(names, random);
            final List<String> chosen = names.subList(0, 1 + random.nextInt(pool.size()));
            final List<RequestClass> classes =
                    chosen.stream().map(name -> of(Idempotency.SAFE, random.nextInt(3))).toList();
            final ClassTable next = table.updatedWith(chosen, classes, Set.copyOf(inUse));
            for (int i = 0; i < chosen.size(); i++) {
                final int number = next.live().get(chosen.get(i));
                assertThat(next.names().get(number)).isEqualTo(chosen.get(i));
                assertThat(next.classes().get(number)).isEqualTo(classes.get(i));
            }
            for (final int number : inUse) {
                assertThat(next.classes().get(number)).isEqualTo(table.classes().get(number));
                assertThat(next.changes().replaced()).doesNotContain(number);
            }
            assertThat(next.size()).isLessThanOrEqualTo(pool.size() + maxInUse);
            table = next;
            inUse.add(table.live().get(chosen.get(0)));
            if (inUse.size() > maxInUse) {
                inUse.poll();
            }
        }
    }
}
