package cresschute.testbed.capacity;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A dispatcher as the platform runs it: a process with the options of the run line and a
 * configuration file.
 */
final class DispatcherProcess implements AutoCloseable {

    /** Options of the platform's run line that do not depend on the planned memory. */
    static final List<String> OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xshare:auto",
                    "-XX:-UsePerfData",
                    "-Xms24m",
                    "-Xss512k",
                    "-XX:MaxMetaspaceSize=40m",
                    "-XX:ReservedCodeCacheSize=16m",
                    "-Djava.net.preferIPv4Stack=true",
                    "-Dio.netty.allocator.type=pooled",
                    "-Dio.netty.allocator.numHeapArenas=1",
                    "-Dio.netty.allocator.numDirectArenas=1",
                    "-Djava.util.logging.manager=cresschute.node.StayingLogManager");

    /** Memory options of the run line, used if the plan gives no memory. */
    static final List<String> MEMORY_OPTIONS = List.of("-Xmx64m", "-XX:MaxDirectMemorySize=16m");

    private static final int HEAP_DIVISOR = 2;
    private static final int DIRECT_MEMORY_DIVISOR = 8;
    private static final int OTHER_DESCRIPTORS = 48;
    private static final double WORKER_CONNECTION_FRACTION = 0.45;
    private static final double CONNECTIONS_PER_RUNNING_JOB = 1.5;

    /** Load queries of one request that may be in flight at a time, each for up to a second. */
    private static final int LOAD_QUERIES_PER_START = 3;

    private static final int SPARE_CONNECTIONS = 300;
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 20;
    private static final int FIRST_HOST = 1;
    private static final Pattern FAULT = Pattern.compile("invariants broken|not reloaded");
    private static final Pattern LISTENING = Pattern.compile("listens on /([0-9.]+:[0-9]+)");

    private final CapacityPlan plan;
    private final int number;
    private final InetSocketAddress discovery;
    private final Path config;
    private final Path log;
    private final Process process;
    private int changes;

    /** Starts the process and returns before it listens. */
    DispatcherProcess(CapacityPlan plan, int number, InetSocketAddress discovery, Path folder)
            throws IOException {
        this.plan = plan;
        this.number = number;
        this.discovery = discovery;
        config = folder.resolve("dispatcher-" + number + ".json");
        log = folder.resolve("dispatcher-" + number + ".log");
        Files.writeString(config, config().toString());
        final List<String> command = new ArrayList<>(ProcessCommand.java());
        command.addAll(OPTIONS);
        command.addAll(memoryOptions(plan));
        command.addAll(program());
        final ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment()
                .keySet()
                .removeIf(each -> each.startsWith("BALANCER_") && !each.equals("BALANCER_CONFIG"));
        process = builder.start();
    }

    private static List<String> memoryOptions(CapacityPlan plan) {
        return plan.memoryMb() == 0
                ? MEMORY_OPTIONS
                : List.of(
                        "-Xmx" + plan.memoryMb() / HEAP_DIVISOR + "m",
                        "-XX:MaxDirectMemorySize=" + plan.memoryMb() / DIRECT_MEMORY_DIVISOR + "m");
    }

    /** Runs the jar if this program runs from one, as on the platform; else the class path. */
    private static List<String> program() throws IOException {
        final Path codeSource =
                Path.of(
                        DispatcherProcess.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .getPath());
        if (!Files.isRegularFile(codeSource)) {
            return List.of(
                    "-cp", System.getProperty("java.class.path"), "cresschute.cli.Main", "serve");
        }
        final Path classArchive = codeSource.resolveSibling("cresschute.jsa");
        final List<String> options = new ArrayList<>();
        if (Files.exists(classArchive)) {
            options.add("-XX:SharedArchiveFile=" + classArchive);
        }
        options.addAll(List.of("-jar", codeSource.toString(), "serve"));
        return options;
    }

    /** Maximum connections of a dispatcher to workers; it has a few more from clients. */
    static int workerConnections(CapacityPlan plan) {
        final double loadQueries =
                LOAD_QUERIES_PER_START * plan.startsPerSecond() / plan.dispatchers();
        return (int)
                        (CONNECTIONS_PER_RUNNING_JOB * plan.running() / plan.dispatchers()
                                + loadQueries)
                + plan.gang()
                + SPARE_CONNECTIONS;
    }

    /** Maximum descriptors of a dispatcher. */
    static int descriptors(CapacityPlan plan) {
        return OTHER_DESCRIPTORS
                + (int) Math.ceil(workerConnections(plan) / WORKER_CONNECTION_FRACTION);
    }

    private JsonObject config() {
        final JsonObject limits = new JsonObject();
        limits.addProperty("cores", 1.0);
        limits.addProperty("memory_mb", plan.memoryMb() == 0 ? 192 : plan.memoryMb());
        limits.addProperty("sockets", descriptors(plan));
        final JsonObject json = new JsonObject();
        json.addProperty("name", "dispatcher-" + number);
        json.addProperty("listen", "127.10.0." + (number + FIRST_HOST) + ":0");
        json.addProperty(
                "discovery", discovery.getAddress().getHostAddress() + ":" + discovery.getPort());
        json.addProperty("seed", Long.toHexString(plan.seed() * 1_000 + number));
        json.add("limits", limits);
        json.add("settings", new ExperimentSetup(plan).settings(number, changes));
        return json;
    }

    /** Waits until the dispatcher listens, and returns its address. */
    InetSocketAddress awaitListening() throws IOException, InterruptedException {
        final long startNs = System.nanoTime();
        while (process.isAlive()
                && System.nanoTime() - startNs < TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS)) {
            final Matcher reported = LISTENING.matcher(Files.readString(log));
            if (reported.find()) {
                return StubProcess.address(reported.group(1));
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        throw new ProcessFailureException(
                "dispatcher "
                        + number
                        + " did not start to listen: "
                        + Files.readString(log).lines().findFirst().orElse("it logged nothing"));
    }

    /** Changes the settings file and makes the dispatcher reload it, by SIGHUP. */
    void changeSettings() throws IOException, InterruptedException {
        changes++;
        final Path next = config.resolveSibling(config.getFileName() + ".next");
        Files.writeString(next, config().toString());
        Files.move(
                next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    /** The log lines of broken invariants and of rejected settings. */
    List<String> loggedFaults() throws IOException {
        return Files.readAllLines(log).stream()
                .filter(line -> FAULT.matcher(line).find())
                .map(line -> "INVARIANT: dispatcher " + number + ": " + line.strip())
                .toList();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        ProcessCommand.kill(process);
    }
}
