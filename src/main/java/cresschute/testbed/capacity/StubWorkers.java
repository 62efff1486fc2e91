package cresschute.testbed.capacity;

import com.google.gson.JsonObject;
import cresschute.node.Json;
import cresschute.testbed.CellKeys;
import cresschute.testbed.LoopbackServer;
import cresschute.testbed.Observation.AttemptReceived;
import cresschute.testbed.Observation.AttemptRejected;
import cresschute.testbed.Observation.EffectApplied;
import cresschute.testbed.Observation.RunDone;
import cresschute.testbed.Observation.RunStarted;
import cresschute.testbed.Recorder;
import cresschute.testbed.WorkerStandIn.Spec;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Workers whose jobs are only timers, so that one process can hold very many of them. Each listens
 * on an address of its own and implements the whole protocol. Workers share event loops; those of a
 * cell use the same one. They count the traffic by kind.
 */
final class StubWorkers {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_WAITING_PER_SLOT = 4;
    private static final int HOSTS_PER_SUBNET = 250;
    private static final int FIRST_SUBNET = 20;
    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final EventLoop loop;
    private final Recorder recorder;
    private final long progressUs;
    private final Map<Integer, CellKeys> keys = new HashMap<>();
    private final long deduplicationWindowUs;
    private final Traffic traffic = new Traffic();
    private int running;
    private long connections;

    /** Creates the workers of an event loop, none of them started. */
    StubWorkers(EventLoop loop, Recorder recorder, ExperimentSetup setup) {
        this.loop = loop;
        this.recorder = recorder;
        this.progressUs = setup.progressUs();
        this.deduplicationWindowUs = setup.deduplicationWindowUs();
    }

    /** Starts a worker and returns its address. Must not be called on the event loop. */
    InetSocketAddress start(Spec spec, int number) throws UnknownHostException {
        final Worker worker = new Worker(spec);
        final LoopbackServer server = new LoopbackServer(loop, channel -> accept(channel, worker));
        return server.listen(
                InetAddress.getByAddress(
                        new byte[] {
                            127,
                            (byte) (FIRST_SUBNET + number / HOSTS_PER_SUBNET / HOSTS_PER_SUBNET),
                            (byte) (number / HOSTS_PER_SUBNET % HOSTS_PER_SUBNET),
                            (byte) (number % HOSTS_PER_SUBNET + 1)
                        }));
    }

    private void accept(Channel channel, Worker worker) {
        traffic.addHandshake();
        connections++;
        channel.closeFuture().addListener(closed -> connections--);
        final ByteCounter counter = new ByteCounter(recorder::nowUs, size -> {});
        channel.pipeline()
                .addLast(
                        counter,
                        new HttpRequestDecoder(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new Handler(worker, counter));
    }

    /** The counters so far. Call on the event loop. */
    Counts counts() {
        return new Counts(running, connections, traffic.plus(new Traffic()));
    }

    /** Counters of some workers: running jobs, open connections, and all traffic so far. */
    record Counts(int running, long connections, Traffic traffic) {

        static final Counts NONE = new Counts(0, 0, new Traffic());

        Counts plus(Counts other) {
            return new Counts(
                    running + other.running,
                    connections + other.connections,
                    traffic.plus(other.traffic));
        }

        static Counts of(JsonObject json) {
            return new Counts(
                    json.get("running").getAsInt(),
                    json.get("connections").getAsLong(),
                    Traffic.of(json.getAsJsonObject("traffic")));
        }

        JsonObject json() {
            final JsonObject counts = new JsonObject();
            counts.addProperty("running", running);
            counts.addProperty("connections", connections);
            counts.add("traffic", traffic.json());
            return counts;
        }
    }

    // ---- Workers and their jobs ----

    private static final class Worker {
        private final Spec spec;
        private final Deque<Job> waiting = new ArrayDeque<>(2);
        private int running;

        Worker(Spec spec) {
            this.spec = spec;
        }

        String report() {
            return "\"x0\":" + (spec.slots() - running) + ",\"queue\":" + waiting.size();
        }
    }

    private void startWaitingJobs(Worker worker) {
        while (worker.running < worker.spec.slots() && !worker.waiting.isEmpty()) {
            final Job job = worker.waiting.poll();
            if (job.channel.isActive()) {
                job.start();
            } else if (job.key != null) {
                // The dispatcher has closed the connection: the job never runs.
                keysOf(worker).lost(job.key);
            }
        }
    }

    private CellKeys keysOf(Worker worker) {
        return keys.computeIfAbsent(
                worker.spec.cell(), unseen -> new CellKeys(deduplicationWindowUs));
    }

    private final class Job {
        private final Worker worker;
        private final String id;
        private final String key;
        private final long workUs;
        private final Channel channel;
        private long startedUs;
        private Future<?> progress;

        Job(Worker worker, String id, String key, long workUs, Channel channel) {
            this.worker = worker;
            this.id = id;
            this.key = key;
            this.workUs = workUs;
            this.channel = channel;
        }

        void start() {
            worker.running++;
            running++;
            startedUs = recorder.nowUs();
            recorder.add(new RunStarted(startedUs, worker.spec.id(), id));
            line(TrafficKind.START_LINE, line("started"));
            loop.schedule(this::done, workUs, TimeUnit.MICROSECONDS);
            reportProgress();
        }

        private void reportProgress() {
            if (recorder.nowUs() - startedUs + progressUs < workUs) {
                progress =
                        loop.schedule(
                                () -> {
                                    final double share =
                                            (recorder.nowUs() - startedUs) / (double) workUs;
                                    line(
                                            TrafficKind.PROGRESS_LINE,
                                            line("running")
                                                    + ",\"share\":"
                                                    + Math.round(Math.min(1, share) * 1_000) / 1e3);
                                    reportProgress();
                                },
                                progressUs,
                                TimeUnit.MICROSECONDS);
            }
        }

        private void done() {
            worker.running--;
            running--;
            if (progress != null) {
                progress.cancel(false);
            }
            final String result = worker.spec.id() + " did " + id;
            recorder.add(new RunDone(recorder.nowUs(), worker.spec.id(), id, result));
            if (key != null) {
                recorder.add(new EffectApplied(recorder.nowUs(), worker.spec.id(), id, key));
                keysOf(worker).done(key, result);
            }
            end(result);
            startWaitingJobs(worker);
        }

        /** Answers with the result of another run of the same key, or as lost if it is null. */
        void repeat(String result) {
            if (result != null) {
                recorder.add(new RunDone(recorder.nowUs(), worker.spec.id(), id, result));
            }
            end(result);
        }

        private void end(String result) {
            final String report = ",\"load\":{" + worker.report() + "}";
            final String line =
                    (result == null
                                    ? line("lost")
                                    : line("done") + ",\"result\":\"" + result + "\"")
                            + report;
            if (channel.isActive()) {
                traffic.add(TrafficKind.LOAD_REPORT, report.length());
                traffic.addBytes(TrafficKind.RESULT_LINE, LAST_CHUNK.length() - report.length());
            }
            line(TrafficKind.RESULT_LINE, line);
            write(channel, LAST_CHUNK);
        }

        private String line(String state) {
            return "{\"id\":\""
                    + id
                    + "\",\"from\":\""
                    + worker.spec.id()
                    + "\",\"state\":\""
                    + state
                    + '"';
        }

        /** Closes the JSON object of a progress line and writes the line as one chunk. */
        private void line(TrafficKind kind, String open) {
            final String line = open + "}\n";
            final String chunk = Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
            if (write(channel, chunk)) {
                traffic.add(kind, chunk.length());
            }
        }
    }

    private static boolean write(Channel channel, String text) {
        final boolean open = channel.isActive();
        if (open) {
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }
        return open;
    }

    // ---- Requests ----

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Worker worker;
        private final ByteCounter counter;

        Handler(Worker worker, ByteCounter counter) {
            this.worker = worker;
            this.counter = counter;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            final long firstByteUs = counter.firstByteUs();
            final long size = counter.takeReadBytes();
            final String id = request.headers().get("X-Request-Id");
            if (request.uri().equals("/stats") || request.uri().equals("/health/live")) {
                final String answer = answer("200 OK", "", "{" + worker.report() + "}");
                traffic.add(TrafficKind.PROBE, size + answer.length());
                write(ctx.channel(), answer);
            } else if (id == null) {
                write(ctx.channel(), answer("404 Not Found", "", ""));
            } else {
                traffic.add(TrafficKind.REQUEST, size);
                submit(ctx.channel(), request, id, firstByteUs);
            }
        }

        private void submit(Channel channel, FullHttpRequest request, String id, long firstByteUs) {
            final String key = request.headers().get("Idempotency-Key");
            final long workUs =
                    Math.max(
                            1,
                            (long)
                                    Json.number(
                                            Json.object(
                                                    request.content()
                                                            .toString(StandardCharsets.UTF_8)),
                                            "work_us",
                                            1));
            recorder.add(
                    new AttemptReceived(
                            recorder.nowUs(),
                            firstByteUs,
                            worker.spec.id(),
                            worker.spec.cell(),
                            id,
                            key,
                            workUs));
            if (worker.waiting.size() >= MAX_WAITING_PER_SLOT * worker.spec.slots()) {
                recorder.add(new AttemptRejected(recorder.nowUs(), worker.spec.id(), id));
                final String report =
                        "x-load: " + worker.report().replace("\"", "").replace(':', '=') + "\r\n";
                traffic.add(TrafficKind.LOAD_REPORT, report.length());
                write(channel, answer("503 Service Unavailable", "x-not-run: 1\r\n" + report, ""));
                return;
            }
            write(channel, RESPONSE_HEAD);
            traffic.addBytes(TrafficKind.REQUEST, RESPONSE_HEAD.length());
            final Job job = new Job(worker, id, key, workUs, channel);
            if (key == null || keysOf(worker).begin(key, recorder.nowUs(), job::repeat)) {
                worker.waiting.add(job);
                startWaitingJobs(worker);
            }
        }

        private static String answer(String status, String headers, String body) {
            return "HTTP/1.1 "
                    + status
                    + "\r\n"
                    + headers
                    + "content-length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
