package cresschute.node;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.WorkerState;
import cresschute.settings.ApplianceSettings;
import cresschute.settings.ApplianceSettings.Bodies;
import cresschute.settings.ApplianceSettings.Peers;
import cresschute.simulator.SettingsParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
        Operators operators,
        ConfigKeys fileKeys,
        Peers peers) {

    /**
     * What the platform's operators are given: a management listener, the clients' listener held by
     * the platform over an upgrade, and the folder that an upgrade's two processes share.
     *
     * @param management where operators' calls come, one line a connection, or null where there is
     *     none
     * @param passedListener whether the clients' listener is descriptor 0, inherited from the
     *     platform, instead of being bound by the node
     * @param shared the folder that both processes of an upgrade see and that outlives each of them
     *     ({@code $TMPDIR}), or null where nothing is shared
     */
    public record Operators(InetSocketAddress management, boolean passedListener, String shared) {

        /** None of it: an appliance's node, or a platform's day without operators. */
        public static final Operators NONE = new Operators(null, false, null);
    }

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
            Operators operators,
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
                Operators.NONE,
                ConfigKeys.NONE);
    }

    /** A node with the platform's operators, of a file whose keys are not looked at again. */
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
            Operators operators) {
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
                ConfigKeys.NONE);
    }

    /** The keys of this node's first file that a file read again lacks; empty where it is whole. */
    public List<String> missingIn(NodeConfig later) {
        return fileKeys.missingIn(later.fileKeys);
    }

    private static final String DISCOVERY = "BALANCER_DISCOVERY";
    private static final String PASSED_SOCKET = "BALANCER_PASSED_SOCKET";

    /**
     * The one descriptor that the JVM hands over as a channel, by {@link System#inheritedChannel}.
     */
    private static final String STANDARD_INPUT = "0";

    private static final long DEFAULT_CONNECT_TIMEOUT_US = 250_000;
    private static final long DEFAULT_CONN_IDLE_US = 10_000_000;
    private static final int DEFAULT_SOCKETS = 1024;

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
                Operators.NONE,
                ConfigKeys.NONE,
                settings.peers());
    }

    /** Reads the environment and the file that it names. */
    public static NodeConfig load(Map<String, String> environment) throws ConfigException {
        final String file = variable(environment, "BALANCER_CONFIG");
        final String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("BALANCER_CONFIG: cannot read " + file + ": " + e);
        }
        return parse(text, environment);
    }

    /**
     * Reads it all anew: the file has changed since the environment was set, so its discovery
     * counts.
     */
    public static NodeConfig reload(Map<String, String> environment) throws ConfigException {
        final Map<String, String> kept = new HashMap<>(environment);
        kept.remove(DISCOVERY);
        return load(kept);
    }

    /** Reads a configuration; the environment's addresses and name go before the file's. */
    static NodeConfig parse(String text, Map<String, String> environment) throws ConfigException {
        try {
            final JsonObject json = Json.object(text);
            final JsonObject settings = Json.child(json, "settings");
            final JsonObject limits = optional(settings, "limits");
            final JsonObject machine = optional(json, "limits");
            final EndpointList known =
                    json.has("known")
                            ? EndpointList.parse(Json.child(json, "known"))
                            : new EndpointList(-1, true, List.of());
            return new NodeConfig(
                    setting(environment, "BALANCER_NAME", json, "name"),
                    Addresses.parse(setting(environment, "BALANCER_LISTEN", json, "listen")),
                    Addresses.parse(setting(environment, DISCOVERY, json, "discovery")),
                    Long.parseUnsignedLong(Json.string(json, "seed"), 16),
                    SettingsParser.parse(SettingsFlattener.flatten(settings)),
                    classNames(settings),
                    names(settings, "zones"),
                    names(settings, "hostTypes"),
                    (long) Json.number(limits, "connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT_US),
                    (long) Json.number(limits, "connIdleUs", DEFAULT_CONN_IDLE_US),
                    (int) Json.number(machine, "sockets", DEFAULT_SOCKETS),
                    known,
                    null,
                    null,
                    null,
                    operators(environment, json),
                    ConfigKeys.of(json));
        } catch (JsonParseException | IllegalArgumentException e) {
            throw new ConfigException(
                    "configuration: "
                            + String.valueOf(e.getMessage())
                                    .lines()
                                    .findFirst()
                                    .orElse("unusable"));
        }
    }

    private static Operators operators(Map<String, String> environment, JsonObject json) {
        final String passed = environment.get(PASSED_SOCKET);
        if (passed != null && !passed.isBlank() && !passed.strip().equals(STANDARD_INPUT)) {
            throw new IllegalArgumentException(
                    PASSED_SOCKET
                            + " is "
                            + passed
                            + ", but only descriptor "
                            + STANDARD_INPUT
                            + " can be taken over");
        }
        final String management =
                environment.getOrDefault(
                        "BALANCER_MANAGEMENT",
                        json.has("management") ? Json.string(json, "management") : null);
        final String shared = environment.get("TMPDIR");
        return new Operators(
                management == null || management.isBlank() ? null : Addresses.parse(management),
                passed != null && !passed.isBlank(),
                shared == null || shared.isBlank() ? null : shared);
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

    private static JsonObject optional(JsonObject object, String name) {
        return object.has(name) ? Json.child(object, name) : new JsonObject();
    }

    private static String variable(Map<String, String> environment, String name)
            throws ConfigException {
        final String value = environment.get(name);
        if (value == null || value.isBlank()) {
            throw new ConfigException(name + " is not set");
        }
        return value;
    }

    private static String setting(
            Map<String, String> environment, String variable, JsonObject json, String name) {
        final String value = environment.get(variable);
        return value == null || value.isBlank() ? Json.string(json, name) : value;
    }

    private static List<String> classNames(JsonObject settings) {
        final List<String> names = new ArrayList<>();
        Json.array(settings, "classes")
                .forEach(element -> names.add(Json.string(element.getAsJsonObject(), "name")));
        return List.copyOf(names);
    }

    private static List<String> names(JsonObject settings, String key) {
        final List<String> names = new ArrayList<>();
        if (settings.has(key)) {
            for (final JsonElement element : Json.array(settings, key)) {
                names.add(element.getAsString());
            }
        }
        return List.copyOf(names);
    }
}
