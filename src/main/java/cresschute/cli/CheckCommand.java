package cresschute.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.settings.Problem;
import cresschute.settings.SettingsFile;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a settings script and starts nothing. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks a settings script and prints everything that is wrong with it.",
        footer = {"", "Example: cresschute check --show deploy/appliance.star"})
final class CheckCommand implements Callable<Integer> {

    @Parameters(paramLabel = "FILE", arity = "0..1", description = "the settings script")
    private Path file;

    @Option(names = "--show", description = "print the settings in force, as a script of their own")
    private boolean show;

    @Option(names = "--json", description = "print one JSON object")
    private boolean json;

    @Option(
            names = "--reference",
            description = "print all blocks and fields that a script may state")
    private boolean reference;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        final PrintWriter out = spec.commandLine().getOut();
        final PrintWriter err = spec.commandLine().getErr();
        if (reference) {
            out.print(SettingsFile.reference());
            out.flush();
            return ExitCodes.DONE;
        }
        if (file == null) {
            throw new ParameterException(spec.commandLine(), "no FILE is given");
        }
        final SettingsFile.Result result;
        try {
            result = SettingsLoader.read(file);
        } catch (SettingsLoader.UnusableSettingsException e) {
            e.lines().forEach(err::println);
            return ExitCodes.UNUSABLE;
        }
        final boolean sound = result.settings() != null;
        if (json) {
            out.println(object(result));
        } else if (sound) {
            out.print(
                    show
                            ? result.settings().formattedScript()
                            : file
                                    + ": "
                                    + result.settings().classes().size()
                                    + " classes, "
                                    + result.settings().workers().size()
                                    + " workers, no errors\n");
        } else {
            result.problems().forEach(problem -> err.println(problem.format(file.toString())));
        }
        out.flush();
        return sound ? ExitCodes.DONE : ExitCodes.FAILED;
    }

    private JsonObject object(SettingsFile.Result result) {
        final JsonArray errors = new JsonArray();
        for (final Problem problem : result.problems()) {
            final JsonObject error = new JsonObject();
            error.addProperty("line", problem.position().line());
            error.addProperty("column", problem.position().column());
            error.addProperty("message", problem.message());
            errors.add(error);
        }
        final JsonObject object = new JsonObject();
        object.addProperty("file", file.toString());
        object.addProperty("valid", result.settings() != null);
        object.add("errors", errors);
        if (show && result.settings() != null) {
            object.addProperty("settings", result.settings().formattedScript());
        }
        return object;
    }
}
