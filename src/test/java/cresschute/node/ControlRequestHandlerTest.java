package cresschute.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.control.DrainOperation;
import cresschute.control.DrainRegistry;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests answers to operations of a node that stores drains; {@link ControlServiceFormatTest} tests
 * the others.
 */
@Timeout(30)
class ControlRequestHandlerTest {

    private static final DrainOperation DRAIN =
            new DrainOperation("o1", true, "s-1", DrainRegistry.NO_END_US, "ann", "disk", false);

    @TempDir private Path folder;

    private final IdleLifecycle idle;
    private final ControlRequestHandler handler;
    private final List<JsonObject> answers = new ArrayList<>();

    ControlRequestHandlerTest() throws Exception {
        idle = new IdleLifecycle().started();
        handler =
                new ControlRequestHandler(
                        idle.node,
                        idle.drains,
                        idle.health,
                        new ConsoleTable(idle.node, idle.health, idle.drains, () -> 0));
    }

    private JsonObject execute(DrainOperation operation) {
        answers.clear();
        handler.execute(operation, answers::add);
        Awaitility.await()
                .until(
                        () -> {
                            idle.loop.runPendingTasks();
                            return answers.size() == 1;
                        });
        return answers.get(0);
    }

    @Test
    void reportsStoredDrainAsKept() throws Exception {
        idle.drains.open(folder);
        assertThat(execute(DRAIN))
                .hasToString(
                        "{\"ok\":true,\"outcome\":\"done\",\"why\":\"\",\"worker\":\"s-1\","
                                + "\"in_flight\":0,\"kept\":true}");
        idle.drains.close();
    }

    @Test
    void reportsWhyDrainCannotBeStored() throws Exception {
        idle.drains.open(folder);
        // A folder in place of the temporary file makes the write fail, even for root.
        final Path temporary = Files.createDirectory(folder.resolve("drains.new"));
        final JsonObject answer = execute(DRAIN);
        assertThat(answer.get("outcome").getAsString()).isEqualTo("done");
        assertThat(answer.get("kept").getAsBoolean()).isFalse();
        assertThat(answer.get("keep_error").getAsString())
                .startsWith("in force, but a restart would forget it: ")
                .contains(temporary.toString());
        idle.drains.close();
    }

    @Test
    void omitsStorageFieldsWithoutStateFolder() {
        assertThat(execute(DRAIN).keySet())
                .containsExactly("ok", "outcome", "why", "worker", "in_flight");
    }

    @Test
    void undrainOfExpiredDrainReportsNotDrained() {
        execute(new DrainOperation("o1", true, "s-1", 5, "ann", "", false));
        idle.nowUs += 5;
        final JsonObject answer =
                execute(
                        new DrainOperation(
                                "o2", false, "s-1", DrainRegistry.NO_END_US, "ann", "", false));
        assertThat(answer.get("outcome").getAsString()).isEqualTo("already");
        assertThat(answer.get("why").getAsString()).isEqualTo("not drained by an operator");
    }
}
