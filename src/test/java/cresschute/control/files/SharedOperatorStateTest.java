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

/** Two processes of an upgrade on one folder, here two instances. */
@Timeout(30)
class SharedOperatorStateTest {

    @TempDir private Path folder;

    private final BlockingQueue<OperatorState> found = new LinkedBlockingQueue<>();

    /** The end of one change: the state as written, or the failure. */
    private static final class ChangeEnd implements SharedStateListener.ChangeListener {
        private final CompletableFuture<OperatorState> end = new CompletableFuture<>();

        @Override
        public void stored(OperatorState written) {
            end.complete(written);
        }

        @Override
        public void notDurable(NotDurableException failure) {
            end.completeExceptionally(failure);
        }

        static ChangeEnd of(SharedOperatorState shared, String call) throws Exception {
            final ManagementCall parsed = ManagementCall.parse(call);
            final ChangeEnd changeEnd = new ChangeEnd();
            shared.change(state -> state.apply(parsed), changeEnd);
            return changeEnd;
        }
    }

    private SharedOperatorState open() throws IOException {
        return SharedOperatorState.open(folder, Runnable::run, found::add).shared();
    }

    @Test
    void appliesChangesOfBothProcesses() throws Exception {
        try (SharedOperatorState one = open();
                SharedOperatorState other = open()) {
            final OperatorState first = ChangeEnd.of(one, "disable-server w1").end.join();
            final OperatorState second = ChangeEnd.of(other, "disable-server w2").end.join();
            assertThat(first.banned()).containsExactly("w1");
            assertThat(second.banned()).containsExactly("w1", "w2");
            assertThat(second.generation()).isGreaterThan(first.generation());
            // The first process finds what the second wrote.
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
            // A folder in the way of the file that is written aside: also root cannot write there.
            Files.createDirectory(folder.resolve("cresschute-operators.new"));
            assertThat(ChangeEnd.of(shared, "drain").end)
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
        assertThat(ChangeEnd.of(shared, "drain").end)
                .isCompletedExceptionally()
                .failsWithin(8, TimeUnit.SECONDS)
                .withThrowableOfType(java.util.concurrent.ExecutionException.class)
                .withCauseInstanceOf(NotDurableException.class)
                .withMessageContaining("the operators' state is closed");
    }
}
