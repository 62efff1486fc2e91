package cresschute.testbed;

import com.google.gson.JsonObject;
import cresschute.dispatch.Idempotency;
import cresschute.testbed.Observation.RequestAnswered;
import cresschute.testbed.Observation.RequestLost;
import cresschute.testbed.Observation.RequestSent;
import cresschute.testbed.Observation.RequestUnanswered;
import cresschute.testbed.Observation.RequestUnfinished;
import cresschute.testbed.Observation.UnexpectedAnswer;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Load-generating clients of a node. Jobs arrive in an open loop, independent of earlier responses.
 * Clients keep their connections and send one request at a time on each. They retry a rejected
 * request up to two times, after the advised delay, and a failed request if a repeat is safe.
 * Everything runs on one event loop.
 */
public final class LoadClients {

    /** The status of a successful response. */
    public static final int OK = 200;

    private static final int REFUSED = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    /**
     * How long to wait for a response after the deadline, us; a response in that time is late, but
     * is not missing.
     */
    private static final long LATE_ANSWER_WAIT_US = 2_000_000;

    private static final double WORK_SIGMA = 0.45;
    private static final double TAIL_SHARE = 0.02;
    private static final double TWO_SLOT_SHARE = 0.25;

    private final EventLoop loop;
    private final Recorder recorder;
    private final UniformRandomProvider random;
    private final List<JobClass> classes;
    private final double ratePerS;
    private final ContinuousSampler workFactor;
    private final ContinuousSampler arrivalGap;
    private final Map<SocketAddress, Deque<Connection>> idle = new HashMap<>();
    private final Set<ClientAttempt> open = new HashSet<>();
    private final Set<Connection> connections = new HashSet<>();
    private List<SocketAddress> nodes = List.of();
    private long connects;
    private long sent;
    private boolean arriving;
    private double burst = 1;
    private double tail = 1;
    private int lastOrigin;

    /** Creates clients that send nothing yet. */
    public LoadClients(
            EventLoop loop,
            Recorder recorder,
            UniformRandomProvider random,
            List<JobClass> classes,
            double ratePerS) {
        this.loop = loop;
        this.recorder = recorder;
        this.random = random;
        this.classes = classes;
        this.ratePerS = ratePerS;
        // Mean 1: the work of jobs of one class varies by about half.
        this.workFactor =
                LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(random),
                        -WORK_SIGMA * WORK_SIGMA / 2,
                        WORK_SIGMA);
        this.arrivalGap = ZigguratSampler.Exponential.of(random, 1);
    }

    // ---- Arrivals ----

    /** Starts sending to a node. Must be called on the event loop. */
    void start(SocketAddress to) {
        connectTo(List.of(to));
        scheduleNextArrival();
    }

    /**
     * Sends submitted requests to these nodes, drawn evenly, from now on; no jobs arrive by
     * themselves. Must be called on the event loop.
     */
    public void connectTo(List<SocketAddress> to) {
        nodes = List.copyOf(to);
        arriving = true;
    }

    /**
     * Sends one request now. Must be called on the event loop.
     *
     * @param origin the id that the request keeps in all its retries
     * @param tenant the tenant, or null if there are none
     */
    public void submit(JobClass jobClass, String origin, long workUs, String tenant) {
        final String key = jobClass.effect() == Idempotency.KEYED ? "key-" + origin : null;
        new ClientAttempt(jobClass, origin, origin, key, workUs, 1, 1, tenant).send();
    }

    /** The number of connections opened so far. Must be called on the event loop. */
    public long connects() {
        return connects;
    }

    /**
     * The number of requests written so far, including retries. Must be called on the event loop.
     */
    public long sent() {
        return sent;
    }

    /** Stops the arrival of jobs; requests in flight continue. Must be called on the event loop. */
    public void stopArriving() {
        arriving = false;
    }

    /** Multiplies the arrival rate by this factor from now on. */
    void setBurstFactor(double factor) {
        burst = factor;
    }

    /** Multiplies the work of one job in fifty by this factor from now on. */
    void setTailFactor(double factor) {
        tail = factor;
    }

    private void scheduleNextArrival() {
        final long delayUs = (long) (arrivalGap.sample() * 1e6 / (ratePerS * burst));
        loop.schedule(
                () -> {
                    if (arriving) {
                        arrive();
                        scheduleNextArrival();
                    }
                },
                delayUs,
                TimeUnit.MICROSECONDS);
    }

    private void arrive() {
        final JobClass jobClass = drawJobClass();
        final double tailFactor = random.nextDouble() < TAIL_SHARE ? tail : 1;
        final long workUs =
                Math.max(1, (long) (jobClass.meanWorkUs() * workFactor.sample() * tailFactor));
        final double slots = random.nextDouble() < TWO_SLOT_SHARE ? 2 : 1;
        final String origin = "job-" + ++lastOrigin + "-" + Long.toHexString(random.nextLong());
        final String key = jobClass.effect() == Idempotency.KEYED ? "key-" + origin : null;
        new ClientAttempt(jobClass, origin, origin, key, workUs, slots, 1, null).send();
    }

    private JobClass drawJobClass() {
        double left = random.nextDouble() * classes.stream().mapToDouble(JobClass::share).sum();
        for (final JobClass jobClass : classes) {
            left -= jobClass.share();
            if (left < 0) {
                return jobClass;
            }
        }
        return classes.get(classes.size() - 1);
    }

    /** The number of attempts that wait for a response. */
    public int waiting() {
        return open.size();
    }

    /** Ends all waiting attempts as unfinished. Must be called on the event loop. */
    public void abandon() {
        arriving = false;
        for (final ClientAttempt each : new ArrayList<>(open)) {
            each.close();
            recorder.add(new RequestUnfinished(recorder.nowUs(), each.id));
        }
        new ArrayList<>(connections).forEach(connection -> connection.channel.close());
    }

    // ---- Client attempts ----

    /** One attempt of a client to get a job done. */
    private final class ClientAttempt {
        private final JobClass jobClass;
        private final String origin;
        private final String id;
        private final String key;
        private final long workUs;
        private final double slots;
        private final int number;
        private final String tenant;
        private Future<?> unanswered;

        ClientAttempt(
                JobClass jobClass,
                String origin,
                String id,
                String key,
                long workUs,
                double slots,
                int number,
                String tenant) {
            this.jobClass = jobClass;
            this.origin = origin;
            this.id = id;
            this.key = key;
            this.workUs = workUs;
            this.slots = slots;
            this.number = number;
            this.tenant = tenant;
        }

        void send() {
            open.add(this);
            final SocketAddress node =
                    nodes.get(nodes.size() == 1 ? 0 : random.nextInt(nodes.size()));
            final Connection kept =
                    idle.computeIfAbsent(node, unseen -> new ArrayDeque<>()).pollLast();
            if (kept != null) {
                kept.send(this);
                return;
            }
            connects++;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(
                            new ChannelInitializer<Channel>() {
                                @Override
                                protected void initChannel(Channel channel) {
                                    channel.pipeline()
                                            .addLast(
                                                    new HttpClientCodec(),
                                                    new HttpObjectAggregator(MAX_ANSWER_BYTES),
                                                    new Connection(channel, node));
                                }
                            })
                    .connect(node)
                    .addListener(
                            (ChannelFutureListener)
                                    connected -> {
                                        if (!connected.isSuccess()) {
                                            open.remove(this);
                                            // The connection failed and nothing was sent, so a
                                            // retry is safe.
                                            retry(0);
                                        } else if (open.contains(this)) {
                                            connected
                                                    .channel()
                                                    .pipeline()
                                                    .get(Connection.class)
                                                    .send(this);
                                        }
                                    });
        }

        void written() {
            sent++;
            recorder.add(
                    new RequestSent(
                            recorder.nowUs(),
                            id,
                            origin,
                            jobClass.name(),
                            key,
                            workUs,
                            slots,
                            jobClass.deadlineUs()));
            unanswered =
                    loop.schedule(
                            () -> {
                                if (open.remove(this)) {
                                    recorder.add(new RequestUnanswered(recorder.nowUs(), id));
                                }
                            },
                            jobClass.deadlineUs() + LATE_ANSWER_WAIT_US,
                            TimeUnit.MICROSECONDS);
        }

        /** Ends the attempt and returns whether it was open until now. */
        boolean close() {
            if (unanswered != null) {
                unanswered.cancel(false);
            }
            return open.remove(this);
        }

        void answered(FullHttpResponse response) {
            if (!close()) {
                recorder.add(new UnexpectedAnswer(recorder.nowUs(), id));
                return;
            }
            final int status = response.status().code();
            recorder.add(
                    new RequestAnswered(
                            recorder.nowUs(),
                            id,
                            status,
                            response.content().toString(StandardCharsets.UTF_8)));
            final boolean refused = status == REFUSED || status == TOO_MANY_REQUESTS;
            if (refused || (status != OK && jobClass.effect() == Idempotency.SAFE)) {
                retry(retryAfterUs(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0")));
            }
        }

        private static long retryAfterUs(String text) {
            try {
                return (long) (Double.parseDouble(text) * 1e6);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void retry(long adviceUs) {
            if (number < MAX_ATTEMPTS && arriving) {
                final long delayUs =
                        Math.max(adviceUs, (long) (200_000 * (0.5 + random.nextDouble())));
                final ClientAttempt next =
                        new ClientAttempt(
                                jobClass,
                                origin,
                                "again-" + number + "-" + origin,
                                key,
                                workUs,
                                slots,
                                number + 1,
                                tenant);
                loop.schedule(
                        () -> {
                            if (arriving) {
                                next.send();
                            }
                        },
                        delayUs,
                        TimeUnit.MICROSECONDS);
            }
        }

        DefaultFullHttpRequest request() {
            final JsonObject body = new JsonObject();
            body.addProperty("work_us", workUs);
            body.addProperty("slots", slots);
            final DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.POST,
                            "/"
                                    + jobClass.name()
                                    + "?obj="
                                    + Integer.toHexString(origin.hashCode()),
                            Unpooled.copiedBuffer(body.toString(), StandardCharsets.UTF_8));
            request.headers()
                    .set(HttpHeaderNames.HOST, "lab")
                    .set("X-Request-Id", id)
                    .set("X-Deadline", jobClass.deadlineUs() / 1000 + "m")
                    .set("X-Extras", "slots=" + slots);
            if (tenant != null) {
                request.headers().set("X-Tenant", tenant);
            }
            if (key != null) {
                request.headers().set("Idempotency-Key", key);
            }
            if (number > 1) {
                request.headers().set("X-Retry", "1");
            }
            HttpUtil.setContentLength(request, request.content().readableBytes());
            return request;
        }
    }

    /** A connection to the node; it carries one attempt at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final Channel channel;
        private final SocketAddress node;
        private ClientAttempt current;

        Connection(Channel channel, SocketAddress node) {
            this.channel = channel;
            this.node = node;
            connections.add(this);
        }

        void send(ClientAttempt next) {
            current = next;
            channel.writeAndFlush(next.request())
                    .addListener(
                            written -> {
                                if (written.isSuccess() && open.contains(next)) {
                                    next.written();
                                }
                            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            final ClientAttempt answered = current;
            current = null;
            if (answered == null) {
                recorder.add(new UnexpectedAnswer(recorder.nowUs(), "a connection without a req"));
                return;
            }
            // Returned to the idle connections before the response is processed, so that an
            // immediate retry can use it.
            if (HttpUtil.isKeepAlive(response)) {
                idle.get(node).addLast(this);
            } else {
                ctx.close();
            }
            answered.answered(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            idle.get(node).remove(this);
            if (current != null && current.unanswered != null && current.close()) {
                recorder.add(new RequestLost(recorder.nowUs(), current.id));
            } else if (current != null && current.close()) {
                current.retry(0);
            }
            current = null;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
