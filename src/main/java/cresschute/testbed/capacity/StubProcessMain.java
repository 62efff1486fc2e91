package cresschute.testbed.capacity;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import cresschute.testbed.Recorder;
import cresschute.testbed.WorkerStandIn.Spec;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Main class of a stub process: stub workers, stub clients or the stub discovery service. It reads
 * commands from standard input, one JSON object per line, and answers each with a JSON object on
 * standard output. It exits at the end of its input, so that it never outlives the process that
 * started it.
 */
public final class StubProcessMain {

    /** The role of a stub process. */
    enum Role {
        WORKERS,
        CLIENTS,
        DISCOVERY
    }

    /** Number of event loops that the workers share. */
    private static final int WORKER_LOOPS = 3;

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Role role;
    private final Map<EventLoop, StubWorkers> workers = new LinkedHashMap<>();

    /** Processes to kill at the end of the input, since they read no input that could end. */
    private final List<ProcessHandle> guarded = new ArrayList<>();

    private StubClients clients;
    private StubDiscovery discovery;

    private StubProcessMain(Role role) {
        this.role = role;
        group =
                new MultiThreadIoEventLoopGroup(
                        role == Role.WORKERS ? WORKER_LOOPS : 1, NioIoHandler.newFactory());
        loop = group.next();
    }

    /** The first argument names the role, the second the file for observations. */
    public static void main(String[] args) throws IOException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        // Loads the time zone rules, which log timestamps need, while a descriptor is free to read
        // the JDK's file.
        Objects.requireNonNull(ZoneId.systemDefault().getRules());
        final BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        try (ObservationFile file = new ObservationFile(Path.of(args[1]))) {
            final StubProcessMain peer = new StubProcessMain(Role.valueOf(args[0]));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                final JsonObject answer =
                        peer.execute(JsonParser.parseString(line).getAsJsonObject(), file);
                file.flush();
                System.out.println(answer);
            }
            peer.guarded.forEach(ProcessHandle::destroyForcibly);
        }
        System.exit(0);
    }

    private JsonObject execute(JsonObject command, ObservationFile file) throws IOException {
        return switch (command.get("command").getAsString()) {
            case "start" -> start(command, file);
            case "guard" -> guard(command);
            case "begin" -> onLoop(() -> begin(command));
            case "end_ramp" -> onLoop(() -> run(clients::endRamp));
            case "stop_arriving" -> onLoop(() -> run(clients::stopArriving));
            case "abandon" -> onLoop(() -> run(clients::abandon));
            default -> counts();
        };
    }

    private JsonObject guard(JsonObject command) {
        command.getAsJsonArray("processes")
                .forEach(each -> ProcessHandle.of(each.getAsLong()).ifPresent(guarded::add));
        return new JsonObject();
    }

    private JsonObject onLoop(Supplier<JsonObject> task) {
        return on(loop, task);
    }

    private static <T> T on(EventLoop loop, Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, loop)
                .orTimeout(StubProcess.ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private static JsonObject run(Runnable task) {
        task.run();
        return new JsonObject();
    }

    private JsonObject start(JsonObject command, ObservationFile file) throws IOException {
        final Gson gson = new Gson();
        final CapacityPlan plan = gson.fromJson(command.get("plan"), CapacityPlan.class);
        final Recorder recorder =
                new Recorder(gson.fromJson(command.get("clock"), SharedClock.class), file);
        final JsonObject answer = new JsonObject();
        switch (role) {
            case WORKERS -> {
                answer.add(
                        "addresses",
                        StubProcess.json(
                                startWorkers(
                                        new ExperimentSetup(plan),
                                        command.get("part").getAsInt(),
                                        command.get("parts").getAsInt(),
                                        recorder)));
            }
            case CLIENTS -> clients = new StubClients(loop, recorder, plan);
            case DISCOVERY -> {
                discovery = new StubDiscovery(loop, recorder, plan, addresses(command));
                answer.add("addresses", StubProcess.json(List.of(discovery.start())));
            }
        }
        return answer;
    }

    /**
     * Starts this process's part of the workers. The workers of a cell share their idempotency keys
     * and therefore an event loop.
     */
    private List<InetSocketAddress> startWorkers(
            ExperimentSetup site, int part, int parts, Recorder recorder) throws IOException {
        final List<EventLoop> loops = new ArrayList<>();
        for (int i = 0; i < WORKER_LOOPS; i++) {
            loops.add(group.next());
        }
        final List<InetSocketAddress> addresses = new ArrayList<>();
        final List<Spec> specs = site.workers();
        for (int i = 0; i < specs.size(); i++) {
            final Spec spec = specs.get(i);
            if (ExperimentSetup.processIndex(spec, parts) == part) {
                final EventLoop shared = loops.get(spec.cell() / parts % WORKER_LOOPS);
                addresses.add(
                        workers.computeIfAbsent(
                                        shared, unseen -> new StubWorkers(shared, recorder, site))
                                .start(spec, i));
            }
        }
        return addresses;
    }

    private static List<InetSocketAddress> addresses(JsonObject command) {
        final JsonArray listed = command.getAsJsonArray("addresses");
        final List<InetSocketAddress> addresses = new ArrayList<>();
        for (final JsonElement each : listed) {
            addresses.add(StubProcess.address(each.getAsString()));
        }
        return addresses;
    }

    private JsonObject begin(JsonObject command) {
        if (role == Role.CLIENTS) {
            clients.begin(List.<SocketAddress>copyOf(addresses(command)));
        } else {
            discovery.beginChanges();
        }
        return new JsonObject();
    }

    private JsonObject counts() {
        return switch (role) {
            case WORKERS ->
                    workers.entrySet().stream()
                            .map(each -> on(each.getKey(), each.getValue()::counts))
                            .reduce(StubWorkers.Counts.NONE, StubWorkers.Counts::plus)
                            .json();
            case CLIENTS -> onLoop(clients::counts);
            case DISCOVERY -> onLoop(discovery::counts);
        };
    }
}
