package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Guards the stored file formats across upgrades: a file of an earlier version is read completely
 * and written again byte by byte. The literals are files that the earlier version wrote; do not
 * adapt them when names in the code change.
 */
class DrainSnapshotFormatTest {

    private static final long DRAINED_AT_US = 1_700_000_000_000_000L;
    private static final long DRAIN_ENDS_AT_US = 1_700_007_200_000_000L;

    /** A drain with an end, one without, and an operation of each outcome. */
    private static final String DRAINS =
            """
            cresschute-drains 1 generation=41 bytes=747 crc32c=5217b41d
            {"drains":[{"worker":"w1","sinceUs":1700000000000000,"untilUs":1700007200000000,"who":"ann",\
            "reason":"new disk"},{"worker":"w2","sinceUs":1700000001000000,"untilUs":9223372036854775807,\
            "who":"bob","reason":""}],"operations":[{"operation":{"id":"op-1","start":true,"worker":"w1",\
            "forUs":7200000000,"who":"ann","reason":"new disk","forced":false},\
            "outcome":{"kind":"DONE","why":""}},{"operation":{"id":"op-2","start":true,"worker":"w1",\
            "forUs":9223372036854775807,"who":"bob","reason":"","forced":true},\
            "outcome":{"kind":"ALREADY","why":"drained by ann: new disk"}},{"operation":{"id":"op-3",\
            "start":true,"worker":"w9","forUs":9223372036854775807,"who":"bob","reason":"","forced":false},\
            "outcome":{"kind":"REFUSED","why":"no worker is called w9"}}]}\
            """;

    private static final String UNDRAINED =
            """
            cresschute-drains 1 generation=42 bytes=286 crc32c=cb121916
            {"drains":[{"worker":"w1","sinceUs":1700000000000000,"untilUs":1700007200000000,"who":"ann",\
            "reason":"new disk"}],"operations":[{"operation":{"id":"op-4","start":false,"worker":"w2",\
            "forUs":9223372036854775807,"who":"cy","reason":"","forced":false},\
            "outcome":{"kind":"DONE","why":""}}]}\
            """;

    private static final String NO_DRAINS =
            """
            cresschute-drains 1 generation=1 bytes=29 crc32c=3d720008
            {"drains":[],"operations":[]}\
            """;

    private static final String BANNED =
            """
            cresschute-operators 1 generation=7 bytes=38 crc32c=3e886c51
            {"banned":["w1","w2"],"drained":false}\
            """;

    private static final String NODE_DRAINED =
            """
            cresschute-operators 1 generation=8 bytes=28 crc32c=dc983a8d
            {"banned":[],"drained":true}\
            """;

    private static final String BANNED_AND_DRAINED =
            """
            cresschute-operators 1 generation=9 bytes=37 crc32c=c0834ade
            {"banned":["w1","w2"],"drained":true}\
            """;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    void restoresDrainsAndOperationsOfAnEarlierVersion() throws Exception {
        final DrainSnapshot read = DrainSnapshot.decode(bytes(DRAINS));
        assertThat(read.generation()).isEqualTo(41);
        final DrainRegistry drains = new DrainRegistry();
        drains.restore(read.drains(), read.completed());
        assertThat(drains.inForce())
                .containsExactly(
                        new Drain("w1", DRAINED_AT_US, DRAIN_ENDS_AT_US, "ann", "new disk"),
                        new Drain(
                                "w2",
                                DRAINED_AT_US + 1_000_000,
                                DrainRegistry.NO_END_US,
                                "bob",
                                ""));
        assertThat(drains.completed())
                .containsExactly(
                        new CompletedOperation(
                                new DrainOperation(
                                        "op-1",
                                        true,
                                        "w1",
                                        7_200_000_000L,
                                        "ann",
                                        "new disk",
                                        false),
                                new OperationOutcome(OperationResult.APPLIED, "")),
                        new CompletedOperation(
                                new DrainOperation(
                                        "op-2",
                                        true,
                                        "w1",
                                        DrainRegistry.NO_END_US,
                                        "bob",
                                        "",
                                        true),
                                new OperationOutcome(
                                        OperationResult.UNCHANGED, "drained by ann: new disk")),
                        new CompletedOperation(
                                new DrainOperation(
                                        "op-3",
                                        true,
                                        "w9",
                                        DrainRegistry.NO_END_US,
                                        "bob",
                                        "",
                                        false),
                                new OperationOutcome(
                                        OperationResult.REJECTED, "no worker is called w9")));
        assertThat(text(new DrainSnapshot(41, drains.inForce(), drains.completed()).encode()))
                .isEqualTo(DRAINS);
        assertThat(drains.expire(DRAIN_ENDS_AT_US - 1)).isEmpty();
        assertThat(drains.expire(DRAIN_ENDS_AT_US)).containsExactly("w1");
        assertThat(drains.expire(DrainRegistry.NO_END_US - 1)).isEmpty();
    }

    @Test
    void restoresUndrainOfAnEarlierVersion() throws Exception {
        final DrainSnapshot read = DrainSnapshot.decode(bytes(UNDRAINED));
        assertThat(read)
                .isEqualTo(
                        new DrainSnapshot(
                                42,
                                List.of(
                                        new Drain(
                                                "w1",
                                                DRAINED_AT_US,
                                                DRAIN_ENDS_AT_US,
                                                "ann",
                                                "new disk")),
                                List.of(
                                        new CompletedOperation(
                                                new DrainOperation(
                                                        "op-4",
                                                        false,
                                                        "w2",
                                                        DrainRegistry.NO_END_US,
                                                        "cy",
                                                        "",
                                                        false),
                                                new OperationOutcome(
                                                        OperationResult.APPLIED, "")))));
        assertThat(text(read.encode())).isEqualTo(UNDRAINED);
    }

    @Test
    void readsEmptySnapshotOfAnEarlierVersion() throws Exception {
        final DrainSnapshot read = DrainSnapshot.decode(bytes(NO_DRAINS));
        assertThat(read).isEqualTo(new DrainSnapshot(1, List.of(), List.of()));
        assertThat(text(read.encode())).isEqualTo(NO_DRAINS);
    }

    private static void assertOperatorsState(
            String stored, long generation, Set<String> banned, boolean drained) throws Exception {
        final OperatorState read = OperatorState.decode(bytes(stored));
        assertThat(read.generation()).isEqualTo(generation);
        assertThat(read.banned()).isEqualTo(banned);
        assertThat(read.drained()).isEqualTo(drained);
        assertThat(text(new OperatorState(generation, new TreeSet<>(banned), drained).encode()))
                .isEqualTo(stored);
    }

    @Test
    void restoresBansAndNodeDrainOfAnEarlierVersion() throws Exception {
        assertOperatorsState(BANNED, 7, Set.of("w1", "w2"), false);
        assertOperatorsState(NODE_DRAINED, 8, Set.of(), true);
        assertOperatorsState(BANNED_AND_DRAINED, 9, Set.of("w1", "w2"), true);
    }

    /** Management calls produce exactly the stored files above. */
    @Test
    void managementCallsKeepTheStoredFormat() throws Exception {
        OperatorState state = OperatorState.NONE.withGeneration(6);
        state =
                state.apply(ManagementCall.parse("disable-server w2"))
                        .withGeneration(6)
                        .apply(ManagementCall.parse("disable-server w1"));
        assertThat(text(state.encode())).isEqualTo(BANNED);
        state = state.withGeneration(8).apply(ManagementCall.parse("drain"));
        assertThat(text(state.encode())).isEqualTo(BANNED_AND_DRAINED);
        state =
                state.withGeneration(6)
                        .apply(ManagementCall.parse("enable-server w1"))
                        .apply(ManagementCall.parse("enable-server w2"));
        assertThat(text(state.encode())).isEqualTo(NODE_DRAINED);
    }
}
