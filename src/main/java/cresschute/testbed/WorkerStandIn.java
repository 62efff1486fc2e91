package cresschute.testbed;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import cresschute.dispatch.SlowStartSettings;
import cresschute.node.Json;
import cresschute.testbed.Observation.AttemptReceived;
import cresschute.testbed.Observation.AttemptRejected;
import cresschute.testbed.Observation.EffectApplied;
import cresschute.testbed.Observation.RunDone;
import cresschute.testbed.Observation.RunStarted;
import cresschute.testbed.Observation.WorkerBooted;
import cresschute.testbed.Observation.WorkerOverloaded;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A worker as the protocol defines it: slots, a FIFO queue, response lines that report start,
 * progress and end, load reports, idempotency keys shared with its cell, and a cold start during
 * which it crashes if it is sent too much. The body of a job states how long it takes, {@code
 * {"work_us":..., "slots":...}}. Faults are scripted. Everything runs on one event loop.
 */
public final class WorkerStandIn {

    private static final int MAX_BODY_BYTES = 128 * 1024;
    private static final long DEFAULT_WORK_US = 100_000;
    private static final long PROGRESS_INTERVAL_US = 1_000_000;
    private static final long REPORT_INTERVAL_US = 1_000_000;
    private static final long WARMING_STEP_US = 100_000;
    private static final long LISTEN_AGAIN_MS = 20;
    private static final int MAX_WAITING_PER_SLOT = 8;

    /** The fixed properties of a worker. */
    public record Spec(String id, int cell, String zone, String kind, int slots, double speed) {

        double capacity() {
            return slots * speed;
        }
    }

    private final EventLoop loop;
    private final Recorder recorder;
    private final UniformRandomProvider random;
    private final Spec spec;
    private final CellKeys keys;
    private final SlowStartSettings coldStart;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final Deque<AttemptReceived> sentCold = new ArrayDeque<>();
    private final Deque<Report> reports = new ArrayDeque<>();
    private final LoopbackServer server;
    private InetSocketAddress address;
    private double slowdown = 1;
    private boolean silent;
    private double resetShare;
    private double garbageShare;
    private long reportDelayUs;
    private long bootedUs = Long.MIN_VALUE / 2;
    private boolean dead;

    /** The number of the current process; events scheduled before a crash are ignored. */
    private int processNumber;

    private record Report(long us, double freeSlots, int queue) {}

    WorkerStandIn(
            EventLoop loop,
            Recorder recorder,
            UniformRandomProvider random,
            Spec spec,
            CellKeys keys,
            SlowStartSettings coldStart) {
        this.loop = loop;
        this.recorder = recorder;
        this.random = random;
        this.spec = spec;
        this.keys = keys;
        this.coldStart = coldStart;
        server =
                new LoopbackServer(
                        loop,
                        channel ->
                                channel.pipeline()
                                        .addLast(
                                                new FirstByteRecorder(),
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                                new Handler()));
    }

    Spec spec() {
        return spec;
    }

    CellKeys keys() {
        return keys;
    }

    /** The listening address; it stays the same after a crash. */
    InetSocketAddress address() {
        return address;
    }

    /**
     * Listens on a free port of the loopback address, warm. Blocks; must not be called on the event
     * loop.
     */
    void start() {
        // Creates a report before listening, because the first request may ask for it.
        loop.submit(this::report).syncUninterruptibly();
        address = server.listen();
    }

    // ---- Faults; all methods run on the event loop ----

    void setSlowdown(double factor) {
        changeSpeed(() -> slowdown = factor);
    }

    void setSilent(boolean now) {
        changeSpeed(() -> silent = now);
    }

    void setResetShare(double share) {
        resetShare = share;
    }

    void setGarbageShare(double share) {
        garbageShare = share;
    }

    void setReportDelay(long delayUs) {
        reportDelayUs = delayUs;
    }

    /** Crashes the process: resets its connections, refuses new ones and loses its jobs. */
    void crash() {
        dead = true;
        processNumber++;
        server.stopListening();
        server.resetAll();
        final List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        lost.forEach(Job::lose);
    }

    /** Restarts the process, cold, at the same address. May return before it listens. */
    void boot() {
        if (!dead) {
            return;
        }
        listenAgain();
        dead = false;
        bootedUs = recorder.nowUs();
        sentCold.clear();
        reports.clear();
        recorder.add(new WorkerBooted(bootedUs, spec.id(), spec.capacity()));
        report();
        scheduleWarmUpStep();
    }

    /**
     * Listens again, with retries until it works: the port is free only after the event loop has
     * processed its sockets once more.
     */
    private void listenAgain() {
        final int now = processNumber;
        server.listenAgain(address)
                .addListener(
                        (ChannelFutureListener)
                                bound -> {
                                    if (processNumber != now) {
                                        bound.channel().close();
                                    } else if (!bound.isSuccess()) {
                                        loop.schedule(
                                                this::listenAgain,
                                                LISTEN_AGAIN_MS,
                                                TimeUnit.MILLISECONDS);
                                    }
                                });
    }

    /** Raises the speed of running jobs step by step during the warm-up. */
    private void scheduleWarmUpStep() {
        final int now = processNumber;
        if (recorder.nowUs() - bootedUs < coldStart.warmUpDurationUs()) {
            loop.schedule(
                    () -> {
                        if (processNumber == now) {
                            changeSpeed(() -> {});
                            scheduleWarmUpStep();
                        }
                    },
                    WARMING_STEP_US,
                    TimeUnit.MICROSECONDS);
        }
    }

    void close() {
        dead = true;
        processNumber++;
        server.close();
    }

    // ---- Jobs ----

    /** The current speed of a slot; 1 is the reference speed. */
    private double speed() {
        return silent
                ? 0
                : spec.speed()
                        / slowdown
                        * RuleChecker.capacityFractionAt(coldStart, recorder.nowUs() - bootedUs);
    }

    /** Changes the speed of running jobs; work done so far is accounted for at the old speed. */
    private void changeSpeed(Runnable change) {
        running.forEach(Job::updateRemaining);
        change.run();
        running.forEach(Job::scheduleEnd);
        startWaiting();
    }

    private double freeSlots() {
        return spec.slots() - running.stream().mapToDouble(job -> job.slots).sum();
    }

    /** Starts waiting jobs in order; a job that does not fit blocks those behind it. */
    private void startWaiting() {
        while (!silent && !waiting.isEmpty() && waiting.peek().slots <= freeSlots()) {
            final Job job = waiting.poll();
            running.add(job);
            job.start();
        }
    }

    private void report() {
        final long nowUs = recorder.nowUs();
        reports.addLast(new Report(nowUs, Math.max(0, freeSlots()), waiting.size()));
        while (reports.size() > 1 && nowUs - reports.peekFirst().us() > 60_000_000L) {
            reports.pollFirst();
        }
        final int now = processNumber;
        loop.schedule(
                () -> {
                    if (processNumber == now && !dead) {
                        report();
                    }
                },
                (long) (REPORT_INTERVAL_US * (1 + random.nextDouble() / 2)),
                TimeUnit.MICROSECONDS);
    }

    /** Returns the report to send now: the newest that is old enough. */
    private Report reported() {
        Report reported = reports.peekFirst();
        for (final Report each : reports) {
            reported = each.us() <= recorder.nowUs() - reportDelayUs ? each : reported;
        }
        return reported;
    }

    private JsonObject load() {
        final JsonObject load = new JsonObject();
        final Report reported = reported();
        load.addProperty("x0", reported.freeSlots());
        load.addProperty("queue", reported.queue());
        return load;
    }

    /** A request that was sent to this worker. */
    private final class Job {
        private final String id;
        private final String key;
        private final long workUs;
        private final double slots;
        private final Channel channel;
        private final boolean garbled;
        private double leftUs;
        private long updatedUs;
        private double rate;
        private Future<?> end;
        private Future<?> progress;
        private boolean headWritten;

        Job(String id, String key, long workUs, double slots, Channel channel, boolean garbled) {
            this.id = id;
            this.key = key;
            this.workUs = workUs;
            this.slots = slots;
            this.channel = channel;
            this.garbled = garbled;
            this.leftUs = workUs;
        }

        /** Writes the response head; a silent worker does so after its fault has ended. */
        void writeHead() {
            if (!silent && !headWritten) {
                headWritten = true;
                final DefaultHttpResponse writeHead =
                        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                HttpUtil.setTransferEncodingChunked(writeHead, true);
                channel.writeAndFlush(writeHead);
            }
        }

        void start() {
            recorder.add(new RunStarted(recorder.nowUs(), spec.id(), id));
            writeLine("started", null, null);
            updatedUs = recorder.nowUs();
            scheduleEnd();
            scheduleProgress();
        }

        /** Schedules the next progress line. No line is written while the worker is silent. */
        private void scheduleProgress() {
            progress =
                    loop.schedule(
                            () -> {
                                updateRemaining();
                                writeLine("running", 1 - Math.max(0, leftUs) / workUs, null);
                                scheduleProgress();
                            },
                            PROGRESS_INTERVAL_US,
                            TimeUnit.MICROSECONDS);
        }

        void updateRemaining() {
            final long nowUs = recorder.nowUs();
            leftUs -= (nowUs - updatedUs) * rate;
            updatedUs = nowUs;
        }

        void scheduleEnd() {
            rate = speed();
            if (end != null) {
                end.cancel(false);
            }
            end =
                    rate <= 0
                            ? null
                            : loop.schedule(
                                    this::complete,
                                    (long) Math.max(0, leftUs / rate),
                                    TimeUnit.MICROSECONDS);
        }

        private void complete() {
            running.remove(this);
            progress.cancel(false);
            final String result = spec.id() + " did " + id;
            recorder.add(new RunDone(recorder.nowUs(), spec.id(), id, result));
            if (key != null) {
                recorder.add(new EffectApplied(recorder.nowUs(), spec.id(), id, key));
                keys.done(key, result);
            }
            writeLine("done", null, result);
            startWaiting();
        }

        void lose() {
            if (end != null) {
                end.cancel(false);
            }
            if (progress != null) {
                progress.cancel(false);
            }
            if (key != null) {
                keys.lost(key);
            }
        }

        /**
         * Completes with the result of another run under the same key; a null result means that the
         * run was lost.
         */
        void completeAsDuplicate(String result) {
            if (result == null) {
                writeLine("lost", null, null);
                return;
            }
            recorder.add(new RunDone(recorder.nowUs(), spec.id(), id, result));
            writeLine("done", null, result);
        }

        private void writeLine(String state, Double share, String result) {
            if (silent || !channel.isActive()) {
                return;
            }
            writeHead();
            final JsonObject line = new JsonObject();
            line.addProperty("id", id);
            line.addProperty("from", spec.id());
            line.addProperty("state", state);
            if (share != null) {
                line.addProperty("share", Math.max(0, Math.min(1, share)));
            }
            if (result != null) {
                line.addProperty("result", result);
            }
            final boolean last = state.equals("done") || state.equals("lost");
            if (last) {
                line.add("load", load());
            }
            final String text = garbled && !last ? "\u0000\ufffd{]" + line + "\n" : line + "\n";
            final ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            channel.writeAndFlush(
                    last ? new DefaultLastHttpContent(bytes) : new DefaultHttpContent(bytes));
        }
    }

    // ---- Requests ----

    /** Records when the first byte of each request arrived. */
    private static final class FirstByteRecorder extends ChannelInboundHandlerAdapter {
        private long us;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            final Handler handler = ctx.pipeline().get(Handler.class);
            if (us == 0) {
                us = handler.nowUs();
            }
            super.channelRead(ctx, message);
        }

        long take() {
            final long taken = us;
            us = 0;
            return taken;
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        long nowUs() {
            return recorder.nowUs();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            final long firstByteUs = ctx.pipeline().get(FirstByteRecorder.class).take();
            final String path = request.uri();
            if (path.equals("/stats") || path.equals("/health/live")) {
                if (!silent) {
                    ctx.writeAndFlush(
                            LoopbackServer.answer(
                                    HttpResponseStatus.OK,
                                    path.equals("/stats") ? load().toString() : ""));
                }
                return;
            }
            final String id = request.headers().get("X-Request-Id");
            if (id == null) {
                ctx.writeAndFlush(LoopbackServer.answer(HttpResponseStatus.NOT_FOUND, ""));
                return;
            }
            take(ctx, request, id, firstByteUs);
        }

        private void take(
                ChannelHandlerContext ctx, FullHttpRequest request, String id, long firstByteUs) {
            final String key = request.headers().get("Idempotency-Key");
            long workUs = DEFAULT_WORK_US;
            double slots = 1;
            try {
                final JsonObject body =
                        Json.object(request.content().toString(StandardCharsets.UTF_8));
                workUs = Math.max(1, (long) Json.number(body, "work_us", DEFAULT_WORK_US));
                slots = Math.max(1, Math.min(spec.slots(), Json.number(body, "slots", 1)));
            } catch (JsonParseException e) {
                // Bodies of other clients need not be JSON; such a job takes the default time.
                workUs = DEFAULT_WORK_US;
            }
            final AttemptReceived send =
                    new AttemptReceived(
                            recorder.nowUs(),
                            firstByteUs,
                            spec.id(),
                            spec.cell(),
                            id,
                            key,
                            workUs * slots);
            recorder.add(send);
            if (overloads(send)) {
                return;
            }
            if (random.nextDouble() < resetShare) {
                LoopbackServer.reset(ctx.channel());
                return;
            }
            if (waiting.size() >= MAX_WAITING_PER_SLOT * spec.slots()) {
                recorder.add(new AttemptRejected(recorder.nowUs(), spec.id(), id));
                final DefaultFullHttpResponse full =
                        LoopbackServer.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
                final Report reported = reported();
                full.headers()
                        .set("X-Not-Run", "1")
                        .set("X-Load", "x0=" + reported.freeSlots() + ",queue=" + reported.queue());
                ctx.writeAndFlush(full);
                return;
            }
            final Job job =
                    new Job(
                            id,
                            key,
                            workUs,
                            slots,
                            ctx.channel(),
                            random.nextDouble() < garbageShare);
            job.writeHead();
            if (key == null || keys.begin(key, recorder.nowUs(), job::completeAsDuplicate)) {
                waiting.add(job);
                startWaiting();
            }
        }

        /**
         * Records an attempt and crashes the worker if it was sent more than a cold worker
         * tolerates. Returns whether it crashed.
         */
        private boolean overloads(AttemptReceived send) {
            final long age = send.us() - bootedUs;
            if (age >= coldStart.warmUpDurationUs()) {
                return false;
            }
            sentCold.add(send);
            while (sentCold.peek().us() <= send.us() - coldStart.overloadAfterUs()) {
                sentCold.poll();
            }
            final double sent = sentCold.stream().mapToDouble(AttemptReceived::work).sum();
            if (sent
                    <= RuleChecker.coldStartBudget(coldStart, spec.capacity(), age)
                            * RuleChecker.COLD_START_TOLERANCE) {
                return false;
            }
            recorder.add(new WorkerOverloaded(recorder.nowUs(), spec.id()));
            crash();
            return true;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
