package cresschute.cli;

import cresschute.node.ConfigException;
import cresschute.node.NodeConfigParser;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/**
 * The program's entry point. {@code serve} and {@code benchlink} without further arguments, as the
 * platform starts them, run without loading the command-line parser or the structured log.
 */
public final class Main {

    private Main() {}

    /** Runs a command line and exits with its code, unless it started a node that keeps running. */
    public static void main(String[] args) {
        // Saves memory in the platform's node: by default, Netty loads the structured log that it
        // finds on the class path.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        if (args.length == 1 && args[0].equals("serve")) {
            serveFromEnvironment();
        } else if (args.length == 1 && args[0].equals("benchlink")) {
            cresschute.simulator.Main.main(args);
        } else {
            try {
                final int code = Commands.execute(args);
                if (code != ServeCommand.STILL_RUNNING) {
                    System.exit(code);
                }
            } catch (NoClassDefFoundError e) {
                // The jar's own class path has only the libraries that the platform's node needs.
                exit(
                        ExitCodes.UNUSABLE,
                        "java -jar runs only serve and benchlink; use bin/cresschute for other"
                                + " commands");
            }
        }
    }

    private static void serveFromEnvironment() {
        try {
            NodeRunner.start(
                    NodeConfigParser.load(System.getenv()),
                    () -> NodeConfigParser.reload(System.getenv()),
                    () -> {});
        } catch (ConfigException e) {
            exit(ExitCodes.UNUSABLE, e.getMessage());
        } catch (RuntimeException e) {
            exit(ExitCodes.FAILED, "cannot start: " + e.getMessage());
        }
    }

    private static void exit(int code, String message) {
        System.err.println("cresschute: " + message);
        System.exit(code);
    }
}
