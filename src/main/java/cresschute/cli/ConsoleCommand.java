package cresschute.cli;

import cresschute.console.Console;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The screen for the person at the box. */
@Command(
        name = "console",
        mixinStandardHelpOptions = true,
        description = "Shows the workers of a node on the whole screen, and drains one at a key.",
        footer = {
            "",
            "Leaving it, or losing the line, undoes nothing. ? shows the keys.",
            "",
            "Example: cresschute console --settings deploy/appliance.star"
        })
final class ConsoleCommand implements Callable<Integer> {

    @Mixin private ControlSocketOptions controlSocket;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        final Path socket = controlSocket.find(spec, System.getenv());
        final OutputTerminal output = OutputTerminal.ofProcess();
        final String terminalType = System.getenv().getOrDefault("TERM", "dumb");
        if (!output.isTerminal() || terminalType.equals("dumb")) {
            spec.commandLine()
                    .getErr()
                    .println(
                            "cresschute: this is no terminal that can show a screen; "
                                    + "here is what 'cresschute workers --watch' shows");
            return WorkersCommand.print(spec, socket, true, false);
        }
        // The system's own stty reads and sets the terminal: no native library is needed for it.
        try (Terminal terminal = TerminalBuilder.builder().system(true).provider("exec").build()) {
            new Console(
                            terminal,
                            socket,
                            ControlSocketOptions.userName(System.getenv()),
                            output.hasColor())
                    .run();
        }
        return ExitCodes.DONE;
    }
}
