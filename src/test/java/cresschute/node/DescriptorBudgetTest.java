package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The quotas of a node's file descriptors add up to the limit of the process. */
class DescriptorBudgetTest {

    @Test
    void givesClientsAndWorkersAllWithoutManagementListener() {
        assertThat(DescriptorBudget.of(200, false)).isEqualTo(new DescriptorBudget(83, 69, 0));
    }

    @Test
    void givesManagementCallsTheirOwnQuota() {
        assertThat(DescriptorBudget.of(640, true)).isEqualTo(new DescriptorBudget(308, 252, 32));
        assertThat(DescriptorBudget.of(200, true)).isEqualTo(new DescriptorBudget(73, 60, 19));
    }

    @ParameterizedTest
    @ValueSource(ints = {64, 100, 200, 640, 1024, 65_536})
    void quotasAndReserveAddUpToLimit(int descriptors) {
        for (final boolean hasManagement : new boolean[] {false, true}) {
            final DescriptorBudget budget = DescriptorBudget.of(descriptors, hasManagement);
            assertThat(
                            budget.clientConnections()
                                    + budget.workerConnections()
                                    + budget.managementCalls()
                                    + DescriptorBudget.RESERVED_DESCRIPTORS)
                    .isEqualTo(descriptors);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 10, 48, 49})
    void leavesOneConnectionOfEachKindUnderTooSmallLimit(int descriptors) {
        assertThat(DescriptorBudget.of(descriptors, true)).isEqualTo(new DescriptorBudget(1, 1, 1));
    }
}
