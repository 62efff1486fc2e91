package cresschute.cli;

import cresschute.logs.RoutedLoggerFinder;
import cresschute.logs.structured.StructuredLog;
import cresschute.node.ConfigException;
import cresschute.node.NodeConfig;
import cresschute.settings.NodeSettings;
import java.io.PrintWriter;
import java.lang.System.Logger.Level;
import java.net.SocketException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Runs a node by a settings script. Without one, {@link Main} runs it by the platform's
 * environment.
 */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs a node: by a settings script, or without one by the BALANCER_ variables.",
        footer = {
            "",
            "SIGHUP reads the settings again, SIGTERM answers all that was taken and ends.",
            "",
            "Example: cresschute serve --settings deploy/appliance.star"
        })
final class ServeCommand implements Callable<Integer> {

    /** In place of an exit code: the node goes on when the command has returned. */
    static final int STILL_RUNNING = -1;

    @Option(names = "--settings", paramLabel = "FILE", description = "the settings script")
    private Path file;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        if (file == null) {
            throw new ParameterException(spec.commandLine(), "no --settings FILE is given");
        }
        final NodeSettings settings;
        try {
            settings = SettingsLoader.load(file);
        } catch (SettingsLoader.UnusableSettingsException e) {
            final PrintWriter err = spec.commandLine().getErr();
            e.lines().forEach(err::println);
            return ExitCodes.UNUSABLE;
        }
        final StructuredLog log =
                new StructuredLog(
                        settings.logFormat().equals("json"),
                        Level.valueOf(settings.logLevel().toUpperCase(Locale.ROOT)));
        RoutedLoggerFinder.setSink(log);
        try {
            NodeRunner.start(node(settings), () -> reload(file), log::close);
        } catch (ConfigException e) {
            log.close();
            spec.commandLine().getErr().println("cresschute: " + e.getMessage());
            return ExitCodes.UNUSABLE;
        } catch (IllegalStateException e) {
            log.close();
            spec.commandLine()
                    .getErr()
                    .println(
                            "cresschute: cannot start: "
                                    + e.getMessage()
                                    + (e.getCause() instanceof SocketException
                                            ? "; see who listens there, or give node another listen"
                                                    + " address"
                                            : ""));
            return ExitCodes.FAILED;
        }
        return STILL_RUNNING;
    }

    private static NodeConfig node(NodeSettings settings) {
        return NodeConfig.of(
                settings,
                settings.seed() == null ? new SecureRandom().nextLong() : settings.seed());
    }

    private static NodeConfig reload(Path file) throws ConfigException {
        try {
            return node(SettingsLoader.load(file));
        } catch (SettingsLoader.UnusableSettingsException e) {
            throw new ConfigException(String.join(" | ", e.lines()));
        }
    }
}
