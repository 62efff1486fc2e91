package cresschute.cli;

import cresschute.node.ConfigException;
import cresschute.node.NodeConfigParser;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/**
 * The program's beginning. {@code serve} and {@code benchlink} as the platform starts them go
 * straight to work: the parser of the command line and the structured log are not so much as loaded
 * for them.
 */
public final class Main {

    private Main() {}

    /** Runs a command line and, unless it started something that goes on, exits with its code. */
    public static void main(String[] args) {
        // Saves the platform's node memory: by default, Netty loads the structured log that it
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
                // The jar's own class path holds what the platform's node needs, and no more.
                exit(
                        ExitCodes.UNUSABLE,
                        "java -jar runs serve and benchlink alone; use bin/cresschute");
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
