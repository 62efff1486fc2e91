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

/** Starts the full-screen console, or prints plain lines on a terminal that cannot show it. */
@Command(
        name = "console",
        mixinStandardHelpOptions = true,
        description = "Shows the workers of a node on the whole screen, and drains them.",
        footer = {
            "",
            "Drains stay in force after the console quits or disconnects. ? shows the keys.",
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
                            "cresschute: this terminal cannot show a screen; "
                                    + "printing the output of 'cresschute workers --watch'");
            return WorkersCommand.print(spec, socket, true, false);
        }
        // JLine's exec provider controls the terminal by stty and so needs no native library.
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
