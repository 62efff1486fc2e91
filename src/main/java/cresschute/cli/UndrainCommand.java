package cresschute.cli;

import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Undoes an operator's drain from a script. */
@Command(
        name = "undrain",
        mixinStandardHelpOptions = true,
        description = "Undoes an operator's drain; a drain of the list's own stays.",
        footer = {"", "Example: cresschute undrain w3"})
final class UndrainCommand implements Callable<Integer> {

    @Mixin private WorkerOperation workerOperation;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        return workerOperation.run(spec, "undrain", Map.of(), false);
    }
}
