package cresschute.cli;

import com.google.gson.JsonObject;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints the version of the program. */
@Command(
        name = "version",
        mixinStandardHelpOptions = true,
        description = "Prints the version.",
        footer = {"", "Example: cresschute version --json"})
final class VersionCommand implements Callable<Integer> {

    @Option(names = "--json", description = "print one JSON object")
    private boolean json;

    @Spec private CommandSpec spec;

    /** The version for {@code --version}. */
    static final class Provider implements IVersionProvider {

        @Override
        public String[] getVersion() {
            return new String[] {"cresschute " + version()};
        }
    }

    /** The version in the jar's manifest, or {@code unpackaged} for classes outside a jar. */
    static String version() {
        final String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "unpackaged" : version;
    }

    @Override
    public Integer call() {
        final JsonObject object = new JsonObject();
        object.addProperty("version", version());
        object.addProperty("java", Runtime.version().toString());
        spec.commandLine()
                .getOut()
                .println(
                        json
                                ? object.toString()
                                : "cresschute " + version() + " on Java " + Runtime.version());
        return ExitCodes.DONE;
    }
}
