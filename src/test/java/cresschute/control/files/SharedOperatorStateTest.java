package cresschute.control.files;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.control.ManagementCall;
import cresschute.control.OperatorState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a folder shared by the two processes of an upgrade; two instances stand for the processes.
 */
@Timeout(30)
class SharedOperatorStateTest {

    @TempDir private Path folder;

    private final BlockingQueue<OperatorState> found = new LinkedBlockingQueue<>();

    /** The result of one change: the written state or the failure. */
    private static final class ChangeResult implements SharedStateListener.ChangeListener {
        private final CompletableFuture<OperatorState> result = new CompletableFuture<>();

        @Override
        public void stored(OperatorState written) {
            result.complete(written);
        }

        @Override
        public void notDurable(NotDurableException failure) {
            result.completeExceptionally(failure);
        }

        static ChangeResult of(SharedOperatorState shared, String call) throws Exception {
            final ManagementCall parsed = ManagementCall.parse(call);
            final ChangeResult changeResult = new ChangeResult();
            shared.change(state -> state.apply(parsed), changeResult);
            return changeResult;
        }
    }

    private SharedOperatorState open() throws IOException {
        return SharedOperatorState.open(folder, Runnable::run, found::add).shared();
    }

    @Test
    void appliesChangesOfBothProcesses() throws Exception {
        try (SharedOperatorState one = open();
                SharedOperatorState other = open()) {
            final OperatorState first = ChangeResult.of(one, "disable-server w1").result.join();
            final OperatorState second = ChangeResult.of(other, "disable-server w2").result.join();
            assertThat(first.banned()).containsExactly("w1");
            assertThat(second.banned()).containsExactly("w1", "w2");
            assertThat(second.generation()).isGreaterThan(first.generation());
            // The first instance polls the state that the second one wrote.
            OperatorState newest = found.poll(8, TimeUnit.SECONDS);
            while (!newest.equals(second)) {
                newest = found.poll(8, TimeUnit.SECONDS);
            }
            assertThat(newest).isEqualTo(second);
        }
    }

    @Test
    void reportsChangeThatCannotBeWritten() throws Exception {
        try (SharedOperatorState shared = open()) {
            // A folder in place of the temporary file makes the write fail, even for root.
            Files.createDirectory(folder.resolve("cresschute-operators.new"));
            assertThat(ChangeResult.of(shared, "drain").result)
                    .failsWithin(8, TimeUnit.SECONDS)
                    .withThrowableOfType(java.util.concurrent.ExecutionException.class)
                    .withCauseInstanceOf(NotDurableException.class)
                    .withMessageContaining("cresschute-operators.new");
        }
    }

    @Test
    void reportsChangeAfterCloseAsNotDurable() throws Exception {
        final SharedOperatorState shared = open();
        shared.close();
        assertThat(ChangeResult.of(shared, "drain").result)
                .isCompletedExceptionally()
                .failsWithin(8, TimeUnit.SECONDS)
                .withThrowableOfType(java.util.concurrent.ExecutionException.class)
                .withCauseInstanceOf(NotDurableException.class)
                .withMessageContaining("the operators' state is closed");
    }
}
