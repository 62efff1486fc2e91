package cresschute.cli;

import cresschute.node.ConfigException;
import cresschute.node.NodeConfig;
import cresschute.node.NodeServer;
import cresschute.node.PassedListener;
import cresschute.node.ReloadSignal;
import java.util.concurrent.Callable;

/** A node as the main work of the process: it heeds the process's signals. */
final class Serving {

    private Serving() {}

    /**
     * Starts a node and returns once clients can connect.
     *
     * @param reload reads the configuration anew, on the thread of the signal
     * @param stopped run at the very end, once all that the node took is answered
     * @throws ConfigException where the platform said that it passes a listener, and none can be taken
     */
    static void start(NodeConfig config, Callable<NodeConfig> reload, Runnable stopped)
        throws ConfigException {
        final NodeServer node = new NodeServer(config,
            config.operators().passedListener() ? PassedListener.take() : null);
        // Guards against a hang-up that comes as soon as clients can: by default it ends the JVM.
        ReloadSignal.onEach(() -> node.reload(reload));
        // Before clients can connect: a SIGTERM that comes as soon as they can must find who answers them.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            node.stop().join();
            stopped.run();
        }, "stop"));
        node.start();
    }
}
