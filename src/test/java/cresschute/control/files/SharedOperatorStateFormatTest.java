package cresschute.control.files;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.control.Drain;
import cresschute.control.DrainRegistry;
import cresschute.control.DrainSnapshot;
import cresschute.control.ManagementCall;
import cresschute.control.OperatorState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the stored format of drains and operators' state across upgrades: file names, a torn file
 * next to a complete one, and the bytes written next. The literals are files that an earlier
 * version wrote.
 */
@Timeout(30)
class SharedOperatorStateFormatTest {

    private static final String OPERATORS_FILE = "cresschute-operators";
    private static final String BANNED =
            """
            cresschute-operators 1 generation=7 bytes=38 crc32c=3e886c51
            {"banned":["w1","w2"],"drained":false}\
            """;
    private static final String GENERATION_8 =
            """
            cresschute-drains 1 generation=8 bytes=110 crc32c=2e081903
            {"drains":[{"worker":"w8","sinceUs":8,"untilUs":9223372036854775807,"who":"ann",\
            "reason":""}],"operations":[]}\
            """;
    private static final String GENERATION_9 =
            """
            cresschute-drains 1 generation=9 bytes=110 crc32c=9c8ddf39
            {"drains":[{"worker":"w9","sinceUs":9,"untilUs":9223372036854775807,"who":"ann",\
            "reason":""}],"operations":[]}\
            """;

    @TempDir private Path folder;

    private static DrainSnapshot snapshot(long generation) {
        return new DrainSnapshot(
                generation,
                List.of(
                        new Drain(
                                "w" + generation, generation, DrainRegistry.NO_END_US, "ann", "")),
                List.of());
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }

    private String read(String name) throws IOException {
        return Files.readString(folder.resolve(name), StandardCharsets.UTF_8);
    }

    private static String torn(String text) {
        return text.substring(0, text.length() * 2 / 3);
    }

    private DrainSnapshot load() throws IOException {
        try (StateFolder state = StateFolder.open(folder)) {
            return state.load();
        }
    }

    @Test
    void loadsTheNewerOfTwoCompleteSnapshots() throws IOException {
        write("drains.0", GENERATION_8);
        write("drains.1", GENERATION_9);
        assertThat(load()).isEqualTo(snapshot(9));
    }

    @Test
    void loadsTheCompleteSnapshotWhenTheOtherIsTorn() throws IOException {
        write("drains.0", GENERATION_8);
        write("drains.1", torn(GENERATION_9));
        assertThat(load()).isEqualTo(snapshot(8));
        assertThat(read("drains.1.refused")).isEqualTo(torn(GENERATION_9));
        assertThat(read("drains.0")).isEqualTo(GENERATION_8);
    }

    @Test
    void snapshotFilesKeepTheirFormat() throws IOException {
        try (StateFolder state = StateFolder.open(folder)) {
            for (final long generation : new long[] {8, 9}) {
                assertThat(StateFolderTest.store(state, snapshot(generation))).isNull();
            }
        }
        assertThat(read("drains.0")).isEqualTo(GENERATION_8);
        assertThat(read("drains.1")).isEqualTo(GENERATION_9);
    }

    private static OperatorState change(SharedOperatorState shared, ManagementCall call) {
        final CompletableFuture<OperatorState> result = new CompletableFuture<>();
        shared.change(
                state -> state.apply(call),
                new SharedStateListener.ChangeListener() {
                    @Override
                    public void stored(OperatorState written) {
                        result.complete(written);
                    }

                    @Override
                    public void notDurable(NotDurableException failure) {
                        result.completeExceptionally(failure);
                    }
                });
        return result.join();
    }

    private OperatorState openAndCall(OperatorState[] found, String... calls) throws Exception {
        final SharedOperatorState.Opened opened =
                SharedOperatorState.open(folder, Runnable::run, state -> {});
        found[0] = opened.found();
        OperatorState last = opened.found();
        try (SharedOperatorState shared = opened.shared()) {
            for (final String call : calls) {
                final ManagementCall parsed = ManagementCall.parse(call);
                last = change(shared, parsed);
            }
        }
        return last;
    }

    @Test
    void loadsAndUpdatesStateOfAnEarlierVersion() throws Exception {
        write(OPERATORS_FILE, BANNED);
        final OperatorState[] found = new OperatorState[1];
        openAndCall(found, "ready");
        assertThat(found[0].banned()).containsExactly("w1", "w2");
        assertThat(found[0].drained()).isFalse();
        assertThat(found[0].generation()).isEqualTo(7);
        write(OPERATORS_FILE, BANNED);
        openAndCall(found, "resume", "drain");
        assertThat(read(OPERATORS_FILE))
                .isEqualTo(
                        """
                        cresschute-operators 1 generation=9 bytes=37 crc32c=c0834ade
                        {"banned":["w1","w2"],"drained":true}\
                        """);
    }

    /**
     * A torn file counts as no state and is quarantined; the next change starts from an empty
     * state.
     */
    @Test
    void quarantinesTornState() throws Exception {
        write(OPERATORS_FILE, torn(BANNED));
        final OperatorState[] found = new OperatorState[1];
        openAndCall(found, "drain");
        assertThat(found[0]).isEqualTo(OperatorState.NONE);
        assertThat(read(OPERATORS_FILE + ".refused")).isEqualTo(torn(BANNED));
        assertThat(read(OPERATORS_FILE))
                .isEqualTo(
                        """
                        cresschute-operators 1 generation=1 bytes=28 crc32c=8c18e857
                        {"banned":[],"drained":true}\
                        """);
    }
}
