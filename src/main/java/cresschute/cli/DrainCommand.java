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
        description =
                "Drains a worker: it gets no new requests, and requests in flight may finish.",
        footer = {
            "",
            "Example: cresschute drain w3 --for 2h --reason 'new disk' --wait",
            "",
            "Exit codes: 0 drained, and with --wait no request is in flight any more; 1 refused, or"
                    + " the node does not answer; 2 the arguments cannot be used."
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
            description = "shown to other operators")
    private String reason;

    @Option(names = "--force", description = "drain it even if no other worker can run some jobs")
    private boolean force;

    @Option(names = "--wait", description = "return once the worker has no request in flight")
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
            // Reported below, like a duration of 0.
        }
        throw new ParameterException(
                spec.commandLine(),
                "--for: '"
                        + duration
                        + "' is no duration; allowed: a whole number and ms, s, m, h or d, such as"
                        + " 2h");
    }
}
