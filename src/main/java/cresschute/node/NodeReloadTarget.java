package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.node.http.ClientListener;
import cresschute.node.http.DiscoveryClient;
import cresschute.node.http.WorkerConnectionPool;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

/**
 * Applies a reload to the components of a running node. Owns none of them. Call from the event
 * loop.
 */
final class NodeReloadTarget implements ConfigReloader.Target {

    private final NodeConfig initialConfig;
    private final OperatorServices operators;
    private final RequestLifecycle lifecycle;
    private final ClientListener clientListener;
    private final WorkerConnectionPool workers;

    /** Watches the endpoint list; null if the list is fixed. */
    private final DiscoveryClient discovery;

    /**
     * Creates the target of a node's reloads.
     *
     * @param initialConfig the configuration that the node was started with
     * @param discovery watches the endpoint list; null if the list is fixed
     */
    NodeReloadTarget(
            NodeConfig initialConfig,
            OperatorServices operators,
            RequestLifecycle lifecycle,
            ClientListener clientListener,
            WorkerConnectionPool workers,
            DiscoveryClient discovery) {
        this.initialConfig = initialConfig;
        this.operators = operators;
        this.lifecycle = lifecycle;
        this.clientListener = clientListener;
        this.workers = workers;
        this.discovery = discovery;
    }

    /**
     * The figures shown on consoles and the capacity for streamed bodies are kept by class number.
     */
    @Override
    public boolean requiresInitialClasses() {
        return operators.hasControlService() || initialConfig.bodies() != null;
    }

    @Override
    public Set<Integer> classesInUse() {
        final Set<Integer> inUse = new HashSet<>(lifecycle.classesInUse());
        inUse.addAll(clientListener.queuedClasses());
        return inUse;
    }

    @Override
    public void setDiscoveryAddress(InetSocketAddress address) {
        discovery.changeAddress(address);
    }

    @Override
    public void applyTimeouts(NodeTimeouts next) {
        workers.applyTimeouts(next);
        if (discovery != null) {
            discovery.applyTimeouts(next);
        }
    }

    @Override
    public void applySettings(ClassTable classes, DispatchSettings settings) {
        lifecycle.applySettings(classes, settings);
        clientListener.applySettings(classes.live(), classes.classes(), settings.tenants());
    }
}
