package cresschute.node;

import java.util.Arrays;

/** The command line: {@code serve} runs a node, {@code benchlink} speaks the simulator's wire. */
public final class Main {

    private static final int BAD_USAGE = 2;

    private Main() {
    }

    /** Runs the named subcommand; exits with 2, after one line, on bad usage or bad configuration. */
    public static void main(String[] args) {
        if (args.length > 0 && args[0].equals("benchlink")) {
            cresschute.benchlink.Main.main(args);
        } else if (Arrays.equals(args, new String[] {"serve"})) {
            serve();
        } else {
            exit("usage: java -jar cresschute.jar serve|benchlink");
        }
    }

    private static void serve() {
        try {
            final NodeServer node = new NodeServer(NodeConfig.load(System.getenv()));
            // Guards against a hang-up that comes as soon as clients can: by default it ends the JVM.
            Hangup.onEach(() -> node.reload(() -> NodeConfig.reload(System.getenv())));
            node.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> node.stop().join(), "stop"));
        } catch (ConfigException e) {
            exit(e.getMessage());
        } catch (RuntimeException e) {
            exit("cannot start: " + e.getMessage());
        }
    }

    private static void exit(String why) {
        System.err.println("cresschute: " + why);
        System.exit(BAD_USAGE);
    }
}
