package cresschute.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * Declares {@code benchlink} for the help texts. {@link Main} runs {@code benchlink} without
 * loading the command-line parser.
 */
@Command(
        name = "benchlink",
        mixinStandardHelpOptions = true,
        description =
                "Hosts the decision module on the simulator's wire, on standard input and output.",
        footer = {"", "Example: cresschute benchlink"})
final class BenchlinkCommand implements Callable<Integer> {

    @Override
    public Integer call() {
        cresschute.simulator.Main.main(new String[] {"benchlink"});
        return ExitCodes.DONE;
    }
}
