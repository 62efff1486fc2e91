package cresschute.cli;

import cresschute.logs.LogEvent;
import cresschute.node.ConfigException;
import cresschute.node.NodeConfig;
import cresschute.node.NodeServer;
import cresschute.node.PassedListener;
import cresschute.node.ReloadSignal;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Callable;

/** Runs a node for the rest of the process's life and handles SIGHUP and SIGTERM for it. */
final class NodeRunner {

    private static final Logger LOG = System.getLogger("cresschute.node");

    private NodeRunner() {}

    /**
     * Starts a node and returns once clients can connect.
     *
     * @param reload reads the configuration again, on the signal's thread
     * @param afterStop run last, once the node has answered all accepted requests
     * @throws ConfigException if the configuration says that the platform passes a listener, but
     *     there is no usable one
     */
    static void start(NodeConfig config, Callable<NodeConfig> reload, Runnable afterStop)
            throws ConfigException {
        final NodeServer node =
                new NodeServer(
                        config, config.operators().passedListener() ? PassedListener.take() : null);
        node.exitIfLoopEnds();
        // Installed before clients can connect: without a handler, a SIGHUP ends the JVM.
        final boolean reloadsOnSignal = ReloadSignal.handle(() -> node.reload(reload));
        if (!reloadsOnSignal) {
            LogEvent.of(
                            "reload_signal_ignored",
                            "SIGHUP is ignored, as this process was started with it ignored:"
                                    + " the node reads its configuration only at its start")
                    .log(LOG, Level.WARNING);
        }
        // Installed before clients can connect: otherwise, a SIGTERM right after the start would
        // leave accepted requests without an answer.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    node.stop().join();
                                    afterStop.run();
                                },
                                "stop"));
        node.start();
    }
}
