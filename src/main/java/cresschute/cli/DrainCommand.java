package cresschute.cli;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Drains a worker from a script. */
@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description = "Sends a worker nothing new from now on; what is out there may end.",
        footer = {
            "",
            "Example: cresschute drain w3 --for 2h --reason 'new disk' --wait",
            "",
            "Exit codes: 0 drained, and with --wait nothing is out there any more; 1 refused, or"
                    + " the node does not answer; 2 it could not be used as given."
        })
final class DrainCommand implements Callable<Integer> {

    @Mixin private WorkerOperation workerOperation;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            description = "how long, such as 90s, 30m, 2h, 7d (default: until it is undone)")
    private String duration;

    @Option(
            names = "--reason",
            paramLabel = "TEXT",
            defaultValue = "",
            description = "shown to others")
    private String reason;

    @Option(names = "--force", description = "drain it although some work will have nowhere to go")
    private boolean force;

    @Option(names = "--wait", description = "return once nothing is out at the worker any more")
    private boolean wait;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        final Map<String, Object> fields = new HashMap<>(Map.of("reason", reason, "force", force));
        if (duration != null) {
            fields.put("for_ms", durationMs());
        }
        return workerOperation.run(spec, "drain", fields, wait);
    }

    private long durationMs() {
        try {
            final long ms = WorkerOperation.durationMs(duration);
            if (ms > 0) {
                return ms;
            }
        } catch (IllegalArgumentException | ArithmeticException e) {
            // Reported below, as for text that is no duration.
        }
        throw new ParameterException(
                spec.commandLine(),
                "--for: '"
                        + duration
                        + "' is no time; allowed: a whole number and ms, s, m, h or d, such as 2h");
    }
}
