package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.WorkerState;
import cresschute.settings.NodeSettings;
import cresschute.settings.NodeSettings.Bodies;
import cresschute.settings.NodeSettings.Peers;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The configuration of a node, read either from the platform's file and environment by {@link
 * NodeConfigParser} or from a settings script. Immutable.
 *
 * @param name the name of the node
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery service, or null if the worker list is fixed
 * @param seed the seed of all random choices
 * @param settings the dispatcher's settings
 * @param classes the names of the request classes, in the order of the settings
 * @param zones zone names, in the order of the settings
 * @param kinds names of the machine kinds, in the order of the settings
 * @param timeouts the times that the node keeps on its connections
 * @param maxDescriptors the maximum number of file descriptors of the process
 * @param initialEndpoints the last known endpoint list, used until discovery answers; may be
 *     outdated
 * @param controlSocket the path of the Unix socket for consoles, or null
 * @param stateFolder the folder for state that outlives the process, or null
 * @param bodies the memory limits for streamed bodies, or null if bodies are not streamed
 * @param operators the settings for the platform's operators and for upgrades
 * @param fileKeys the keys of the platform's file; a reloaded file must have them all
 * @param peers the settings for exchanging workers' load with other dispatchers, or null
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        DispatchSettings settings,
        List<String> classes,
        List<String> zones,
        List<String> kinds,
        NodeTimeouts timeouts,
        int maxDescriptors,
        EndpointList initialEndpoints,
        String controlSocket,
        String stateFolder,
        Bodies bodies,
        OperatorSettings operators,
        ConfigKeys fileKeys,
        Peers peers) {

    /** Creates the configuration of a node without peers that is not run by the platform. */
    public NodeConfig(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            DispatchSettings settings,
            List<String> classes,
            List<String> zones,
            List<String> kinds,
            NodeTimeouts timeouts,
            int maxDescriptors,
            EndpointList initialEndpoints,
            String controlSocket,
            String stateFolder,
            Bodies bodies) {
        this(
                name,
                listen,
                discovery,
                seed,
                settings,
                classes,
                zones,
                kinds,
                timeouts,
                maxDescriptors,
                initialEndpoints,
                controlSocket,
                stateFolder,
                bodies,
                OperatorSettings.NONE,
                ConfigKeys.NONE,
                null);
    }

    /**
     * Returns the keys of this configuration's file that a reloaded file lacks.
     *
     * @param later the configuration read from the reloaded file
     * @return their paths; empty if none is missing
     */
    public List<String> missingIn(NodeConfig later) {
        return fileKeys.missingIn(later.fileKeys);
    }

    /**
     * Creates the configuration that a settings script describes.
     *
     * @param settings the settings
     * @param seed the seed of all random choices
     */
    public static NodeConfig of(NodeSettings settings, long seed) {
        final List<EndpointList.Endpoint> workers =
                settings.workers().stream()
                        .map(
                                each ->
                                        new EndpointList.Endpoint(
                                                each.id(),
                                                each.address(),
                                                each.zone(),
                                                each.kind(),
                                                each.cell(),
                                                WorkerState.READY,
                                                each.weight(),
                                                0))
                        .toList();
        // Version -1: before the first answer of the discovery service no version is known, so the
        // node requests the whole list.
        return new NodeConfig(
                settings.name(),
                settings.listen(),
                settings.discovery(),
                seed,
                settings.dispatch(),
                settings.classes(),
                settings.zones(),
                settings.kinds(),
                new NodeTimeouts(
                        settings.connectTimeoutUs(),
                        settings.idleTimeoutUs(),
                        NodeTimeouts.DEFAULT_DRAIN_GRACE_US),
                settings.maxFileDescriptors(),
                new EndpointList(-1, true, workers),
                settings.controlSocket(),
                settings.stateFolder(),
                settings.bodies(),
                OperatorSettings.NONE,
                ConfigKeys.NONE,
                settings.peers());
    }

    /** Whether the platform runs this node and kills it some time after SIGTERM. */
    @SuppressWarnings("ReferenceEquality") // A file without keys equals NONE, but is not it.
    boolean isRunByPlatform() {
        return fileKeys != ConfigKeys.NONE;
    }

    /** Whether discovery pushes the changes of the endpoint list. */
    boolean endpointListIsPushed() {
        return discovery != null && !settings.endpointListIsPolled();
    }

    /** Whether the node accepts consoles or stores drains. */
    boolean hasControlService() {
        return controlSocket != null || stateFolder != null;
    }

    /** Whether the node accepts calls of the platform's operators. */
    boolean hasManagementService() {
        return !hasControlService() && operators.managementAddress() != null;
    }

    /**
     * Returns the parts that differ in a new configuration and take effect only after a restart.
     * Classes, the dispatcher's settings and the connection timeouts are not among them.
     *
     * @param next the new configuration
     * @return names of the parts, for the log
     */
    List<String> changesRequiringRestart(NodeConfig next) {
        final List<String> changed = new ArrayList<>();
        addIfChanged(changed, "name", name.equals(next.name));
        addIfChanged(changed, "listen", listen.equals(next.listen));
        addIfChanged(changed, "limits", maxDescriptors == next.maxDescriptors);
        addIfChanged(
                changed,
                "workers",
                (discovery == null) == (next.discovery == null)
                        && (discovery != null
                                || initialEndpoints
                                        .entries()
                                        .equals(next.initialEndpoints.entries())));
        addIfChanged(changed, "control", Objects.equals(controlSocket, next.controlSocket));
        addIfChanged(changed, "bodies", Objects.equals(bodies, next.bodies));
        addIfChanged(changed, "state", Objects.equals(stateFolder, next.stateFolder));
        addIfChanged(changed, "peers", Objects.equals(peers, next.peers));
        addIfChanged(changed, "management", operators.equals(next.operators));
        return changed;
    }

    private static void addIfChanged(List<String> changed, String part, boolean same) {
        if (!same) {
            changed.add(part);
        }
    }
}
