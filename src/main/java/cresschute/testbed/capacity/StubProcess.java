package cresschute.testbed.capacity;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A process of the experiment's own, as the one that started it sees it: it is asked and answers.
 */
final class StubProcess implements AutoCloseable {

    /** Maximum time to answer a command, s. */
    static final long ANSWER_TIMEOUT_SECONDS = 30;

    private static final int MAX_HEAP_MB = 1_024;

    private final StubProcessMain.Role role;
    private final int part;
    private final Process process;
    private final Path observations;
    private final Path log;
    private final BufferedWriter commands;
    private final BufferedReader answers;

    /**
     * Starts the process.
     *
     * @param part number of the process among those of its role, from 0
     */
    StubProcess(StubProcessMain.Role role, int part, Path folder) throws IOException {
        this.role = role;
        this.part = part;
        observations = folder.resolve(name() + "-" + part + ".observations");
        log = folder.resolve(name() + "-" + part + ".log");
        final List<String> command = new ArrayList<>(ProcessCommand.java());
        command.addAll(
                List.of(
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx" + MAX_HEAP_MB + "m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        StubProcessMain.class.getName(),
                        role.name(),
                        observations.toString()));
        process = new ProcessBuilder(command).redirectError(log.toFile()).start();
        commands = process.outputWriter();
        answers = process.inputReader();
    }

    private String name() {
        return role.name().toLowerCase(Locale.ROOT);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The file of the process's observations. */
    Path observations() {
        return observations;
    }

    /** Starts the stubs of this process, one of {@code parts} processes that share the work. */
    JsonObject start(
            CapacityPlan plan, SharedClock clock, int parts, List<InetSocketAddress> addresses)
            throws ProcessFailureException {
        final JsonObject command = command("start");
        command.add("plan", new Gson().toJsonTree(plan));
        command.add("clock", new Gson().toJsonTree(clock));
        command.add("addresses", json(addresses));
        command.addProperty("part", part);
        command.addProperty("parts", parts);
        return ask(command);
    }

    JsonObject begin(List<InetSocketAddress> addresses) throws ProcessFailureException {
        final JsonObject command = command("begin");
        command.add("addresses", json(addresses));
        return ask(command);
    }

    /**
     * Makes the stub process kill these processes when its input ends, so that they do not outlive
     * an experiment that is killed.
     */
    void guard(List<Long> processes) throws ProcessFailureException {
        final JsonArray pids = new JsonArray();
        processes.forEach(pids::add);
        final JsonObject command = command("guard");
        command.add("processes", pids);
        ask(command);
    }

    JsonObject ask(String command) throws ProcessFailureException {
        return ask(command(command));
    }

    private static JsonObject command(String name) {
        final JsonObject command = new JsonObject();
        command.addProperty("command", name);
        return command;
    }

    private synchronized JsonObject ask(JsonObject command) throws ProcessFailureException {
        try {
            commands.write(command + "\n");
            commands.flush();
            final String answer = answers.readLine();
            if (answer != null) {
                return JsonParser.parseString(answer).getAsJsonObject();
            }
        } catch (IOException e) {
            throw ended();
        }
        throw ended();
    }

    private ProcessFailureException ended() {
        try {
            return new ProcessFailureException(
                    "the process of the stub "
                            + name()
                            + " ended"
                            + Files.readAllLines(log).stream()
                                    .findFirst()
                                    .map(each -> ": " + each)
                                    .orElse(""));
        } catch (IOException e) {
            return new ProcessFailureException("the process of the stub " + name() + " ended");
        }
    }

    static JsonArray json(List<InetSocketAddress> addresses) {
        final JsonArray json = new JsonArray();
        addresses.forEach(
                each -> json.add(each.getAddress().getHostAddress() + ":" + each.getPort()));
        return json;
    }

    static List<InetSocketAddress> addresses(JsonObject answer) {
        final List<InetSocketAddress> addresses = new ArrayList<>();
        for (final JsonElement each : answer.getAsJsonArray("addresses")) {
            addresses.add(address(each.getAsString()));
        }
        return addresses;
    }

    static InetSocketAddress address(String text) {
        final int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public void close() {
        ProcessCommand.kill(process);
    }
}
