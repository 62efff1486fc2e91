package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.WorkerState;
import cresschute.settings.ApplianceSettings;
import cresschute.settings.ApplianceSettings.Bodies;
import cresschute.settings.ApplianceSettings.Peers;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The configuration of a node: from the platform's file and environment, by {@link
 * NodeConfigParser}, or from a settings script. Immutable.
 *
 * @param name the name of the node
 * @param listen where clients connect
 * @param discovery where discovery listens, or null where the known list is fixed
 * @param seed the seed of all random choices
 * @param settings the dispatcher's settings
 * @param classes the classes' names, in the order of the settings
 * @param zones zone names, in the order of the settings
 * @param kinds names of the machine kinds, in the order of the settings
 * @param connectTimeoutUs how long a connection to a worker may take to come up, microseconds
 * @param idleTimeoutUs after which workers close an idle connection, microseconds
 * @param maxDescriptors file descriptors that the process may hold
 * @param initialEndpoints the endpoint list as this node last knew it; it may be outdated
 * @param controlSocket the file of the socket for consoles, or null
 * @param stateFolder the folder for what outlives the process, or null
 * @param bodies the capacity for long bodies, or null where there are none
 * @param operators what the platform gives the node for its operators and for upgrades
 * @param fileKeys the keys of the platform's file, which a file that is read again must have too
 * @param peers the dispatchers to exchange workers' load with, or null
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
        long connectTimeoutUs,
        long idleTimeoutUs,
        int maxDescriptors,
        EndpointList initialEndpoints,
        String controlSocket,
        String stateFolder,
        Bodies bodies,
        OperatorSettings operators,
        ConfigKeys fileKeys,
        Peers peers) {

    /** A node without peers. */
    public NodeConfig(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            DispatchSettings settings,
            List<String> classes,
            List<String> zones,
            List<String> kinds,
            long connectTimeoutUs,
            long idleTimeoutUs,
            int maxDescriptors,
            EndpointList initialEndpoints,
            String controlSocket,
            String stateFolder,
            Bodies bodies,
            OperatorSettings operators,
            ConfigKeys fileKeys) {
        this(
                name,
                listen,
                discovery,
                seed,
                settings,
                classes,
                zones,
                kinds,
                connectTimeoutUs,
                idleTimeoutUs,
                maxDescriptors,
                initialEndpoints,
                controlSocket,
                stateFolder,
                bodies,
                operators,
                fileKeys,
                null);
    }

    /** A node without peers and without the platform. */
    public NodeConfig(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            DispatchSettings settings,
            List<String> classes,
            List<String> zones,
            List<String> kinds,
            long connectTimeoutUs,
            long idleTimeoutUs,
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
                connectTimeoutUs,
                idleTimeoutUs,
                maxDescriptors,
                initialEndpoints,
                controlSocket,
                stateFolder,
                bodies,
                OperatorSettings.NONE,
                ConfigKeys.NONE);
    }

    /**
     * The keys of this configuration's file that a file that is read again lacks.
     *
     * @param later the configuration of the later file
     * @return their paths; empty if it is complete
     */
    public List<String> missingIn(NodeConfig later) {
        return fileKeys.missingIn(later.fileKeys);
    }

    /**
     * The configuration that a settings script states.
     *
     * @param settings the settings
     * @param seed the seed of all random choices
     */
    public static NodeConfig of(ApplianceSettings settings, long seed) {
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
        // Before the first answer of a discovery service no version is held, so that it is asked
        // for its whole list.
        return new NodeConfig(
                settings.name(),
                settings.listen(),
                settings.discovery(),
                seed,
                settings.module(),
                settings.classes(),
                settings.zones(),
                settings.kinds(),
                settings.connectTimeoutUs(),
                settings.idleTimeoutUs(),
                settings.sockets(),
                new EndpointList(-1, true, workers),
                settings.controlSocket(),
                settings.stateFolder(),
                settings.bodies(),
                OperatorSettings.NONE,
                ConfigKeys.NONE,
                settings.peers());
    }

    /** Whether the platform runs this node and kills it some time after SIGTERM. */
    @SuppressWarnings("ReferenceEquality") // A file that requires no keys is not NONE.
    boolean isRunByPlatform() {
        return fileKeys != ConfigKeys.NONE;
    }

    /** Whether consoles can connect, or drains are stored. */
    boolean hasControlService() {
        return controlSocket != null || stateFolder != null;
    }

    /** Whether the platform's operators call this node. */
    boolean hasManagementService() {
        return !hasControlService() && operators.managementAddress() != null;
    }

    /**
     * The parts that differ in a new configuration and that only a restart puts in force. Classes,
     * the dispatcher's settings and the times of connections are not among them.
     *
     * @param next the new configuration
     * @return words for the parts, for the log
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
