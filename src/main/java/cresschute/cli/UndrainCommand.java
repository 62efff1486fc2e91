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
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Undoes an operator's drain from a script. */
@Command(name = "undrain", mixinStandardHelpOptions = true,
    description = "Undoes an operator's drain; a drain of the list's own stays.",
    footer = {"", "Example: cresschute undrain w3"})
final class UndrainCommand implements Callable<Integer> {

    @Mixin
    private ControlSocket node;

    @Parameters(paramLabel = "WORKER", description = "its name, as the list has it")
    private String worker;

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
        return Operating.run(spec, node.find(spec, System.getenv()),
            ControlLink.request("1", "undrain", fields), false, json);
    }
}
