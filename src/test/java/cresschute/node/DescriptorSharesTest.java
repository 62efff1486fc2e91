package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DescriptorSharesTest {

    @Test
    void clientsAndWorkersShareAllWithoutAManagementListener() {
        assertThat(DescriptorShares.of(200, false)).isEqualTo(new DescriptorShares(83, 69, 0));
    }

    @Test
    void callersHaveTheirOwnShare() {
        assertThat(DescriptorShares.of(640, true)).isEqualTo(new DescriptorShares(308, 252, 32));
        assertThat(DescriptorShares.of(200, true)).isEqualTo(new DescriptorShares(73, 60, 19));
    }

    @ParameterizedTest
    @ValueSource(ints = {64, 100, 200, 640, 1024, 65_536})
    void sharesAndReserveFitTheLimit(int descriptors) {
        for (final boolean hasManagement : new boolean[] {false, true}) {
            final DescriptorShares shares = DescriptorShares.of(descriptors, hasManagement);
            assertThat(
                            shares.clients()
                                    + shares.workers()
                                    + shares.callers()
                                    + DescriptorShares.RESERVED_DESCRIPTORS)
                    .isEqualTo(descriptors);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 10, 48, 49})
    void tooSmallALimitLeavesOneConnectionOfEachKind(int descriptors) {
        assertThat(DescriptorShares.of(descriptors, true)).isEqualTo(new DescriptorShares(1, 1, 1));
    }
}
