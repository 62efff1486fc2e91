package cresschute.cli;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line: its commands, and one way of failing for all of them. */
@Command(
        name = "cresschute",
        synopsisSubcommandLabel = "COMMAND",
        mixinStandardHelpOptions = true,
        versionProvider = VersionCommand.Provider.class,
        description =
                "Takes jobs from clients and pushes them to workers: refuses at once what does not"
                        + " fit, and answers every job exactly once.",
        footer = {
            "",
            "Example: cresschute demo --for 10s",
            "",
            "Exit codes: 0 done, 1 it ran and failed, 2 it could not be used as given."
        },
        subcommands = {
            ServeCommand.class,
            BenchlinkCommand.class,
            CheckCommand.class,
            DemoCommand.class,
            ConsoleCommand.class,
            WorkersCommand.class,
            DrainCommand.class,
            UndrainCommand.class,
            EventsCommand.class,
            TrialCommand.class,
            LabCommand.class,
            VersionCommand.class,
            CompletionCommand.class
        })
final class Commands implements Runnable {

    @Spec private CommandSpec spec;

    /** Runs a command line and returns its exit code. */
    static int execute(String... args) {
        return commandLine().execute(args);
    }

    /** The command line, ready to run. */
    static CommandLine commandLine() {
        return new CommandLine(new Commands())
                .setParameterExceptionHandler((e, args) -> reportUsageError(e))
                .setExecutionExceptionHandler(
                        (e, commandLine, parsed) -> {
                            commandLine.getErr().println("cresschute: " + firstLine(e));
                            return ExitCodes.FAILED;
                        })
                .setExitCodeExceptionMapper(e -> ExitCodes.FAILED);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "no command is given");
    }

    /** One line of what is wrong and one of where to look, in place of picocli's page of help. */
    private static int reportUsageError(ParameterException e) {
        final PrintWriter err = e.getCommandLine().getErr();
        err.println(
                "cresschute: "
                        + firstLine(e)
                        + "; try '"
                        + e.getCommandLine().getCommandSpec().qualifiedName()
                        + " --help'");
        return ExitCodes.UNUSABLE;
    }

    private static String firstLine(Exception e) {
        final String message =
                e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        return message.lines().findFirst().orElse(e.getClass().getSimpleName());
    }
}
