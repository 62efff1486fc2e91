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

/** A node as the main work of the process: it heeds the process's signals. */
final class NodeRunner {

    private static final Logger LOG = System.getLogger("cresschute.node");

    private NodeRunner() {}

    /**
     * Starts a node and returns once clients can connect.
     *
     * @param reload reads the configuration anew, on the thread of the signal
     * @param afterStop run at the very end, once all that the node took is answered
     * @throws ConfigException where the platform said that it passes a listener, and none can be
     *     taken
     */
    static void start(NodeConfig config, Callable<NodeConfig> reload, Runnable afterStop)
            throws ConfigException {
        final NodeServer node =
                new NodeServer(
                        config, config.operators().passedListener() ? PassedListener.take() : null);
        // Before clients can connect: without a handler, a SIGHUP ends the JVM.
        final boolean reloadsOnSignal = ReloadSignal.handle(() -> node.reload(reload));
        if (!reloadsOnSignal) {
            LogEvent.of(
                            "reload_signal_ignored",
                            "SIGHUP is ignored, as this process was started with it ignored:"
                                    + " the configuration is read again at a start only")
                    .log(LOG, Level.WARNING);
        }
        // Before clients can connect: a SIGTERM that comes as soon as they can must find who
        // answers them.
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
