package cresschute.node;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import cresschute.simulator.SettingsParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the configuration that the platform gives a node: a JSON file and environment variables.
 * Addresses and the name in the environment override those in the file. Stateless; any thread.
 */
public final class NodeConfigParser {

    private static final String DISCOVERY = "BALANCER_DISCOVERY";
    private static final String PASSED_SOCKET = "BALANCER_PASSED_SOCKET";

    /**
     * The only descriptor that the JVM can provide as a channel, by {@link
     * System#inheritedChannel}.
     */
    private static final String STANDARD_INPUT = "0";

    private static final long DEFAULT_CONNECT_TIMEOUT_US = 250_000;
    private static final long DEFAULT_CONN_IDLE_US = 10_000_000;
    private static final int DEFAULT_SOCKETS = 1024;

    private NodeConfigParser() {}

    /**
     * Reads the file named by the variable BALANCER_CONFIG.
     *
     * @param environment the environment of the process
     * @throws ConfigException if the file or a variable cannot be used
     */
    public static NodeConfig load(Map<String, String> environment) throws ConfigException {
        final String file = requiredVariable(environment, "BALANCER_CONFIG");
        final String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("BALANCER_CONFIG: cannot read " + file + ": " + e);
        }
        return parse(text, environment);
    }

    /**
     * Reads the file again. The file is newer than the environment, so its discovery address
     * overrides the environment's.
     *
     * @param environment the environment of the process
     * @throws ConfigException if the file or a variable cannot be used
     */
    public static NodeConfig reload(Map<String, String> environment) throws ConfigException {
        final Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(DISCOVERY);
        return load(withoutDiscovery);
    }

    /**
     * Parses a configuration.
     *
     * @param text the file
     * @param environment the environment; its addresses and name override the file's
     * @throws ConfigException if the file or a variable is invalid; the message is one line
     */
    static NodeConfig parse(String text, Map<String, String> environment) throws ConfigException {
        try {
            final JsonObject json = Json.object(text);
            final JsonObject settings = Json.child(json, "settings");
            final JsonObject processLimits = optionalChild(json, "limits");
            final EndpointList initialEndpoints =
                    json.has("known")
                            ? EndpointList.parse(Json.child(json, "known"))
                            : new EndpointList(-1, true, List.of());
            return new NodeConfig(
                    variableOrKey(environment, "BALANCER_NAME", json, "name"),
                    Addresses.parse(variableOrKey(environment, "BALANCER_LISTEN", json, "listen")),
                    Addresses.parse(variableOrKey(environment, DISCOVERY, json, "discovery")),
                    Long.parseUnsignedLong(Json.string(json, "seed"), 16),
                    SettingsParser.parse(SettingsFlattener.flatten(settings)),
                    classNames(settings),
                    names(settings, "zones"),
                    names(settings, "hostTypes"),
                    timeouts(settings),
                    (int) Json.number(processLimits, "sockets", DEFAULT_SOCKETS),
                    initialEndpoints,
                    null,
                    null,
                    null,
                    parseOperatorSettings(environment, json),
                    ConfigKeys.of(json),
                    null);
        } catch (JsonParseException | IllegalArgumentException e) {
            throw new ConfigException(
                    "configuration: "
                            + String.valueOf(e.getMessage())
                                    .lines()
                                    .findFirst()
                                    .orElse("unusable"));
        }
    }

    private static NodeTimeouts timeouts(JsonObject settings) {
        final JsonObject limits = optionalChild(settings, "limits");
        final JsonObject rules = optionalChild(settings, "rules");
        return new NodeTimeouts(
                (long) Json.number(limits, "connectTimeoutUs", DEFAULT_CONNECT_TIMEOUT_US),
                (long) Json.number(limits, "connIdleUs", DEFAULT_CONN_IDLE_US),
                (long) Json.number(rules, "drainGraceUs", NodeTimeouts.DEFAULT_DRAIN_GRACE_US));
    }

    private static OperatorSettings parseOperatorSettings(
            Map<String, String> environment, JsonObject json) {
        final String passedSocket = environment.get(PASSED_SOCKET);
        if (passedSocket != null
                && !passedSocket.isBlank()
                && !passedSocket.strip().equals(STANDARD_INPUT)) {
            throw new IllegalArgumentException(
                    PASSED_SOCKET
                            + " is "
                            + passedSocket
                            + ", but only descriptor "
                            + STANDARD_INPUT
                            + " can be taken over");
        }
        final String managementAddress =
                environment.getOrDefault(
                        "BALANCER_MANAGEMENT",
                        json.has("management") ? Json.string(json, "management") : null);
        final String sharedFolder = environment.get("TMPDIR");
        return new OperatorSettings(
                managementAddress == null || managementAddress.isBlank()
                        ? null
                        : Addresses.parse(managementAddress),
                passedSocket != null && !passedSocket.isBlank(),
                sharedFolder == null || sharedFolder.isBlank() ? null : sharedFolder);
    }

    private static JsonObject optionalChild(JsonObject object, String name) {
        return object.has(name) ? Json.child(object, name) : new JsonObject();
    }

    private static String requiredVariable(Map<String, String> environment, String name)
            throws ConfigException {
        final String value = environment.get(name);
        if (value == null || value.isBlank()) {
            throw new ConfigException(name + " is not set");
        }
        return value;
    }

    private static String variableOrKey(
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
