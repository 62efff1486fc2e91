package cresschute.cli;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Writes the shell's completion script. */
@Command(
        name = "completion",
        mixinStandardHelpOptions = true,
        description = "Prints a script with which bash and zsh complete commands and options.",
        footer = {"", "Example: source <(cresschute completion)"})
final class CompletionCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine()
                .getOut()
                .println(AutoComplete.bash("cresschute", Commands.commandLine()));
        spec.commandLine().getOut().flush();
        return ExitCodes.DONE;
    }
}
