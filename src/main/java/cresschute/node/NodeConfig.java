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
 * All that a node is told at its start.
 *
 * @param settings what the module reads
 * @param classes the classes' names, in the order of the settings
 * @param zones zone names, in the order of the settings
 * @param kinds names of the machine kinds, in the order of the settings
 * @param connectTimeoutUs the longest that a connection to a worker may take to come up
 * @param connIdleUs when a worker closes an idle connection
 * @param sockets file descriptors that the process may hold
 * @param discovery where discovery listens, or null where the known list is fixed
 * @param known the list as this node last had it; it may be old
 * @param controlSocket the file of the socket for consoles, or null
 * @param stateFolder the folder for what outlives the process, or null
 * @param bodies the room for long bodies, or null where there are none
 * @param operators where the platform's operators call, and what an upgrade hands over
 * @param fileKeys the keys of the platform's file, which a file read again must have too
 * @param peers the other dispatchers to exchange counts with, or null where this node talks to none
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
        long connIdleUs,
        int sockets,
        EndpointList known,
        String controlSocket,
        String stateFolder,
        Bodies bodies,
        OperatorSettings operators,
        ConfigKeys fileKeys,
        Peers peers) {

    /** A node that exchanges nothing with other dispatchers. */
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
            long connIdleUs,
            int sockets,
            EndpointList known,
            String controlSocket,
            String stateFolder,
            Bodies bodies,
            OperatorSettings operators,
            ConfigKeys shape) {
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
                connIdleUs,
                sockets,
                known,
                controlSocket,
                stateFolder,
                bodies,
                operators,
                shape,
                null);
    }

    /** A node without the platform's operators. */
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
            long connIdleUs,
            int sockets,
            EndpointList known,
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
                connIdleUs,
                sockets,
                known,
                controlSocket,
                stateFolder,
                bodies,
                OperatorSettings.NONE,
                ConfigKeys.NONE);
    }

    /** The keys of this node's first file that a file read again lacks; empty where it is whole. */
    public List<String> missingIn(NodeConfig later) {
        return fileKeys.missingIn(later.fileKeys);
    }

    /** What a settings script states, with the seed to use. */
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
                settings.director(),
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

    /**
     * Whether the platform runs this node, and ends it by its protocol; an appliance has no time to
     * end.
     */
    boolean isOfThePlatform() {
        return fileKeys != ConfigKeys.NONE;
    }

    /** Whether there is anything for an operator: without it, none of that is so much as loaded. */
    boolean hasControlService() {
        return controlSocket != null || stateFolder != null;
    }

    /** Whether the platform's operators call this node. */
    boolean hasManagementService() {
        return !hasControlService() && operators.management() != null;
    }

    /**
     * The parts in which another configuration differs and that a running node cannot take over.
     */
    List<String> partsHeldUntilRestart(NodeConfig next) {
        final List<String> changed = new ArrayList<>();
        note(changed, "name", name.equals(next.name));
        note(changed, "listen", listen.equals(next.listen));
        // Classes and the module's settings are taken by a running node, where it can; it says so
        // itself. How
        // long workers' connections may come up and be idle holds for the next ones.
        note(changed, "limits", sockets == next.sockets);
        note(
                changed,
                "workers",
                (discovery == null) == (next.discovery == null)
                        && (discovery != null || known.entries().equals(next.known.entries())));
        note(changed, "control", Objects.equals(controlSocket, next.controlSocket));
        note(changed, "bodies", Objects.equals(bodies, next.bodies));
        note(changed, "state", Objects.equals(stateFolder, next.stateFolder));
        note(changed, "peers", Objects.equals(peers, next.peers));
        note(changed, "management", operators.equals(next.operators));
        return changed;
    }

    private static void note(List<String> changed, String part, boolean same) {
        if (!same) {
            changed.add(part);
        }
    }
}
