package cresschute.cli;

import cresschute.settings.NodeSettings;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** The options by which a command finds the control socket of a node. */
final class ControlSocketOptions {

    /** Names the socket where no option does. */
    static final String ENVIRONMENT_VARIABLE = "CRESSCHUTE_SOCKET";

    @Option(
            names = "--socket",
            paramLabel = "FILE",
            description =
                    "the node's control socket (default: what " + ENVIRONMENT_VARIABLE + " names)")
    private Path socket;

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            description = "the node's settings script, which names the socket")
    private Path settings;

    /** The socket; without one it is an error of the command line. */
    Path find(CommandSpec spec, Map<String, String> environment) {
        if (socket != null) {
            return socket;
        }
        if (settings != null) {
            final NodeSettings loaded;
            try {
                loaded = SettingsLoader.load(settings);
            } catch (SettingsLoader.UnusableSettingsException e) {
                throw new ParameterException(spec.commandLine(), e.lines().get(0));
            }
            if (loaded.controlSocket() == null) {
                throw new ParameterException(
                        spec.commandLine(),
                        settings
                                + " states no control(socket = ...); its node can have no console");
            }
            return Path.of(loaded.controlSocket());
        }
        final String fromEnvironment = environment.getOrDefault(ENVIRONMENT_VARIABLE, "");
        if (fromEnvironment.isEmpty()) {
            throw new ParameterException(
                    spec.commandLine(),
                    "which node? give --socket FILE or --settings FILE, or set "
                            + ENVIRONMENT_VARIABLE);
        }
        try {
            return Path.of(fromEnvironment);
        } catch (InvalidPathException e) {
            throw new ParameterException(
                    spec.commandLine(), ENVIRONMENT_VARIABLE + ": " + e.getMessage());
        }
    }

    /** Who is asking, as the node's log and other consoles see it. */
    static String userName(Map<String, String> environment) {
        final String user =
                environment.getOrDefault(
                        "SUDO_USER",
                        environment.getOrDefault(
                                "USER", System.getProperty("user.name", "somebody")));
        return user.isBlank() ? "somebody" : user;
    }
}
