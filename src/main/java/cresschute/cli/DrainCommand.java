package cresschute.cli;

import cresschute.console.ControlLink;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Drains a worker from a script. */
@Command(name = "drain", mixinStandardHelpOptions = true,
    description = "Sends a worker nothing new from now on; what is out there may end.",
    footer = {"", "Example: cresschute drain w3 --for 2h --reason 'new disk' --wait", "",
        "Exit codes: 0 drained, and with --wait nothing is out there any more; 1 refused, or the node does "
            + "not answer; 2 it could not be used as given."})
final class DrainCommand implements Callable<Integer> {

    @Mixin
    private ControlSocket node;

    @Parameters(paramLabel = "WORKER", description = "its name, as the list has it")
    private String worker;

    @Option(names = "--for", paramLabel = "TIME",
        description = "how long, such as 90s, 30m, 2h, 7d (default: until it is undone)")
    private String duration;

    @Option(names = "--reason", paramLabel = "TEXT", defaultValue = "", description = "shown to others")
    private String reason;

    @Option(names = "--force", description = "drain it although some work will have nowhere to go")
    private boolean force;

    @Option(names = "--wait", description = "return once nothing is out at the worker any more")
    private boolean wait;

    @Option(names = "--operation", paramLabel = "ID",
        description = "the mark of the operation: the same one again has no second effect (default: drawn)")
    private String operation;

    @Option(names = "--json", description = "print the node's answer as one JSON object")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("op", operation == null ? UUID.randomUUID().toString() : operation);
        fields.put("worker", worker);
        fields.put("who", ControlSocket.who(System.getenv()));
        fields.put("reason", reason);
        fields.put("force", force);
        if (duration != null) {
            fields.put("for_ms", forMs());
        }
        return Operating.run(spec, node.find(spec, System.getenv()),
            ControlLink.request("1", "drain", fields), wait, json);
    }

    private long forMs() {
        try {
            final long ms = Operating.durationMs(duration);
            if (ms > 0) {
                return ms;
            }
        } catch (IllegalArgumentException | ArithmeticException e) {
            // Told below, as for one that is no time at all.
        }
        throw new ParameterException(spec.commandLine(), "--for: '" + duration
            + "' is no time; allowed: a whole number and ms, s, m, h or d, such as 2h");
    }
}
