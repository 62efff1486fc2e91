package cresschute.testbed;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.testbed.Observation.WorkerListed;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A stand-in for discovery: it serves the full endpoint list and watches that wait for changes.
 * Changes are reported with a configurable delay. It can be down, with its connections reset.
 * Everything runs on one event loop.
 */
public final class DiscoveryStandIn {

    private static final String PATH = "/registry/instances";
    private static final int MAX_BODY_BYTES = 4096;
    private static final long MAX_WAIT_MS = 60_000;

    /** The number of changes kept; a watch from before them gets the full list. */
    private static final int MAX_CHANGES = 10_000;

    private record Entry(
            String id,
            InetSocketAddress address,
            String zone,
            String kind,
            int cell,
            String state,
            long startedMs) {

        JsonObject json() {
            final JsonObject json = new JsonObject();
            json.addProperty("id", id);
            json.addProperty(
                    "addr", address.getAddress().getHostAddress() + ":" + address.getPort());
            json.addProperty("zone", zone);
            json.addProperty("kind", kind);
            json.addProperty("cell", cell);
            json.addProperty("state", state);
            json.addProperty("weight", 1.0);
            json.addProperty("started_ms", startedMs);
            return json;
        }
    }

    private record Change(long version, String id) {}

    private record Watch(ChannelHandlerContext ctx, long since) {}

    private final EventLoop loop;
    private final Recorder recorder;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long version = 1;
    private long reportDelayUs;
    private boolean down;
    private final LoopbackServer server;
    private long calls;

    DiscoveryStandIn(EventLoop loop, Recorder recorder) {
        this(loop, recorder, null);
    }

    /**
     * Creates a stand-in that does not listen yet.
     *
     * @param first creates the handler next to the socket of each connection, or null for none
     */
    public DiscoveryStandIn(EventLoop loop, Recorder recorder, Supplier<ChannelHandler> first) {
        this.loop = loop;
        this.recorder = recorder;
        server =
                new LoopbackServer(
                        loop,
                        channel -> {
                            if (first != null) {
                                channel.pipeline().addLast(first.get());
                            }
                            channel.pipeline()
                                    .addLast(
                                            new HttpServerCodec(),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            new Handler());
                        });
    }

    /**
     * Listens on a free port of the loopback address. Blocks; must not be called on the event loop.
     */
    InetSocketAddress start() {
        return server.listen();
    }

    /** Listens on a free port of this address. Blocks; must not be called on the event loop. */
    public InetSocketAddress start(InetAddress at) {
        return server.listen(at);
    }

    /** The number of calls so far. Must be called on the event loop. */
    public long calls() {
        return calls;
    }

    /** The number of watches that wait for a change. Must be called on the event loop. */
    public int watching() {
        return watches.size();
    }

    // ---- Changes; all methods run on the event loop ----

    /** Delays the report of changes by this time, us. */
    void setReportDelay(long us) {
        reportDelayUs = us;
    }

    /**
     * Sets whether discovery is down. Going down resets open connections; new calls are answered
     * with 503.
     */
    void setDown(boolean now) {
        down = now;
        if (now) {
            watches.clear();
            server.resetAll();
        }
    }

    /**
     * Sets the state of a worker to {@code SERVING}, {@code DRAINING} or {@code DELETED}; it is
     * reported after the configured delay.
     */
    void setState(WorkerStandIn worker, String state, long startedMs) {
        setState(worker.spec(), worker.address(), state, startedMs);
    }

    /** Sets the state of a worker that exists only on the endpoint list. */
    public void setState(
            WorkerStandIn.Spec spec, InetSocketAddress address, String state, long startedMs) {
        final Entry entry =
                new Entry(
                        spec.id(),
                        address,
                        spec.zone(),
                        spec.kind(),
                        spec.cell(),
                        state,
                        startedMs);
        loop.schedule(() -> publish(entry), reportDelayUs, TimeUnit.MICROSECONDS);
    }

    /**
     * Forgets the changes, as a restart does; each waiting watch is answered with the full list.
     */
    void forgetChanges() {
        changes.clear();
        version++;
        final List<Watch> due = List.copyOf(watches);
        watches.clear();
        due.forEach(watch -> sendFullList(watch.ctx()));
    }

    private void publish(Entry entry) {
        version++;
        if (entry.state().equals("DELETED")) {
            entries.remove(entry.id());
        } else {
            entries.put(entry.id(), entry);
        }
        changes.add(new Change(version, entry.id()));
        if (changes.size() > MAX_CHANGES) {
            changes.remove(0);
        }
        final List<Watch> due = List.copyOf(watches);
        watches.clear();
        due.forEach(watch -> sendChanges(watch.ctx(), watch.since()));
    }

    // ---- Calls ----

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            calls++;
            final QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (down) {
                answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            } else if (!query.path().equals(PATH)) {
                answer(ctx, HttpResponseStatus.NOT_FOUND, "");
            } else if (!query.parameters().containsKey("since")) {
                sendFullList(ctx);
            } else {
                watch(ctx, number(query, "since"), number(query, "timeout_ms"));
            }
        }

        private static long number(QueryStringDecoder query, String name) {
            final String text = query.parameters().getOrDefault(name, List.of("0")).get(0);
            return text.matches("[0-9]{1,15}") ? Long.parseLong(text) : 0;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.removeIf(watch -> watch.ctx() == ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void watch(ChannelHandlerContext ctx, long since, long timeoutMs) {
        if (since < version) {
            sendChanges(ctx, since);
            return;
        }
        final Watch watch = new Watch(ctx, since);
        watches.add(watch);
        loop.schedule(
                () -> {
                    if (watches.remove(watch)) {
                        sendChanges(ctx, since);
                    }
                },
                Math.min(timeoutMs, MAX_WAIT_MS),
                TimeUnit.MILLISECONDS);
    }

    private void sendFullList(ChannelHandlerContext ctx) {
        final JsonArray servers = new JsonArray();
        entries.values().forEach(entry -> servers.add(entry.json()));
        report(ctx, true, servers);
    }

    private void sendChanges(ChannelHandlerContext ctx, long since) {
        if (since < version - changes.size()) {
            sendFullList(ctx);
            return;
        }
        final Set<String> ids = new HashSet<>();
        changes.stream()
                .filter(change -> change.version() > since)
                .forEach(change -> ids.add(change.id()));
        final JsonArray servers = new JsonArray();
        for (final String id : ids) {
            final Entry entry = entries.get(id);
            if (entry != null) {
                servers.add(entry.json());
            } else {
                servers.add(
                        new Entry(
                                        id,
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                                        "a",
                                        "gone",
                                        0,
                                        "DELETED",
                                        0)
                                .json());
            }
        }
        report(ctx, false, servers);
    }

    private void report(ChannelHandlerContext ctx, boolean full, JsonArray servers) {
        final JsonObject list = new JsonObject();
        list.addProperty("version", version);
        list.addProperty("full", full);
        list.add("servers", servers);
        final long us = recorder.nowUs();
        servers.forEach(
                each ->
                        recorder.add(
                                new WorkerListed(
                                        us,
                                        each.getAsJsonObject().get("id").getAsString(),
                                        each.getAsJsonObject().get("state").getAsString(),
                                        each.getAsJsonObject().get("started_ms").getAsLong())));
        answer(ctx, HttpResponseStatus.OK, list.toString());
    }

    private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
        ctx.writeAndFlush(LoopbackServer.answer(status, body));
    }

    /** Closes the listener and all connections. Must be called on the event loop. */
    public void close() {
        server.close();
    }
}
