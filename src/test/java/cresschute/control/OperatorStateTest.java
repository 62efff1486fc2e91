package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class OperatorStateTest {

    private static ManagementCall call(String line) throws InvalidManagementCallException {
        return ManagementCall.parse(line);
    }

    @Test
    void repeatedCallChangesOnlyTheGeneration() throws Exception {
        final OperatorState once = OperatorState.NONE.apply(call("disable-server w1"));
        final OperatorState twice = once.apply(call("disable-server w1"));
        assertThat(twice).isEqualTo(once.withGeneration(2));
        assertThat(twice.apply(call("ready"))).isEqualTo(twice);
    }

    @Test
    void differenceHasBansOfExactlyOneState() throws Exception {
        final OperatorState one =
                OperatorState.NONE
                        .apply(call("disable-server w1"))
                        .apply(call("disable-server w2"));
        final OperatorState other =
                one.apply(call("enable-server w1")).apply(call("disable-server w3"));
        assertThat(one.banDifference(other)).containsExactly("w1", "w3");
        assertThat(other.banDifference(one)).containsExactly("w1", "w3");
    }

    @Test
    void rejectsFurtherBansOverTheLimit() throws Exception {
        final OperatorState full =
                new OperatorState(
                        1,
                        IntStream.range(0, OperatorState.MAX_BANNED)
                                .mapToObj(i -> "w" + i)
                                .collect(Collectors.toCollection(TreeSet::new)),
                        false);
        assertThatThrownBy(() -> full.apply(call("disable-server other")))
                .isInstanceOf(BanLimitReachedException.class)
                .hasMessage("10000 workers are out; enable one first");
        assertThat(full.apply(call("disable-server w7")).banned()).isEqualTo(full.banned());
        assertThat(full.apply(call("drain")).drained()).isTrue();
    }
}
