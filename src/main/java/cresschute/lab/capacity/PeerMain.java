package cresschute.lab.capacity;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import cresschute.lab.Recorder;
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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A process of the experiment's own: hollow workers, hollow clients or discovery. It takes one JSON object a
 * line on standard input and answers each with one on standard output; it ends when its input does, so that
 * it never outlives the process that started it.
 */
public final class PeerMain {

    /** What a process is. */
    enum Role { WORKERS, CLIENTS, DISCOVERY }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Role role;
    private HollowWorkers workers;
    private HollowClients clients;
    private HollowDiscovery discovery;

    private PeerMain(Role role) {
        this.role = role;
    }

    /** The first argument names the role, the second the file for observations. */
    public static void main(String[] args) throws IOException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        final BufferedReader in = new BufferedReader(new InputStreamReader(System.in,
            StandardCharsets.UTF_8));
        try (ObservationFile file = new ObservationFile(Path.of(args[1]))) {
            final PeerMain peer = new PeerMain(Role.valueOf(args[0]));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                final JsonObject answer = peer.take(JsonParser.parseString(line).getAsJsonObject(), file);
                file.flush();
                System.out.println(answer);
            }
        }
        System.exit(0);
    }

    private JsonObject take(JsonObject command, ObservationFile file) throws IOException {
        return switch (command.get("command").getAsString()) {
            case "start" -> start(command, file);
            case "begin" -> onLoop(() -> begin(command));
            case "end_ramp" -> onLoop(() -> done(clients::endRamp));
            case "stop_arriving" -> onLoop(() -> done(clients::stopArriving));
            case "abandon" -> onLoop(() -> done(clients::abandon));
            default -> onLoop(this::counts);
        };
    }

    private JsonObject onLoop(Supplier<JsonObject> what) {
        return CompletableFuture.supplyAsync(what, loop).orTimeout(PeerProcess.ANSWER_SECONDS,
            TimeUnit.SECONDS).join();
    }

    private static JsonObject done(Runnable what) {
        what.run();
        return new JsonObject();
    }

    private JsonObject start(JsonObject command, ObservationFile file) throws IOException {
        final Gson gson = new Gson();
        final CapacityPlan plan = gson.fromJson(command.get("plan"), CapacityPlan.class);
        final Recorder recorder = new Recorder(gson.fromJson(command.get("clock"), SharedClock.class), file);
        final JsonObject answer = new JsonObject();
        switch (role) {
            case WORKERS -> {
                final Site site = new Site(plan);
                workers = new HollowWorkers(loop, recorder, site);
                answer.add("addresses", PeerProcess.json(workers.start(site.workers())));
            }
            case CLIENTS -> clients = new HollowClients(loop, recorder, plan);
            case DISCOVERY -> {
                discovery = new HollowDiscovery(loop, recorder, plan, addresses(command));
                answer.add("addresses", PeerProcess.json(List.of(discovery.start())));
            }
        }
        return answer;
    }

    private static List<InetSocketAddress> addresses(JsonObject command) {
        final JsonArray listed = command.getAsJsonArray("addresses");
        final List<InetSocketAddress> addresses = new ArrayList<>();
        for (final JsonElement each : listed) {
            addresses.add(PeerProcess.address(each.getAsString()));
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
            case WORKERS -> workers.counts();
            case CLIENTS -> clients.counts();
            case DISCOVERY -> discovery.counts();
        };
    }
}
