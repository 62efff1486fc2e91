package cresschute.node.http;

import cresschute.node.ClientRequest;
import cresschute.node.PeerFault;
import cresschute.node.RequestContent;
import cresschute.node.ResponseListener;
import cresschute.node.ResultStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A client's connection: reads requests, hands them to the core and writes the answers in the
 * requests' order.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

    static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * Requests taken ahead of their answers. What a client sends beyond that is read and waits here
     * untaken, for with reading paused nobody would see that the client has left.
     */
    private static final int MAX_AHEAD = 16;

    /**
     * Requests without an answer that a connection may hold, below the codec's bound; one more
     * closes it.
     */
    private static final int MAX_UNANSWERED = 120;

    /** How long a client that was told of the end may take to end its side too, ms. */
    private static final long ENDING_MS = 400;

    /** How long an unwanted body's rest is read away, ms: an early reset could eat the answer. */
    private static final long LINGER_MS = 1_000;

    private static final int KIB = 1024;
    private static final byte[] NO_BODY = new byte[0];
    private static final String READY = "/health/ready";

    private final ClientListener front;
    private final Deque<Answer> answers = new ArrayDeque<>();

    /**
     * Requests that wait to be taken until fewer are ahead of them; their answers are the last
     * ones.
     */
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    private ChannelHandlerContext context;
    private Answer reading;
    private RequestHead head;

    /** What the head of the request that is being read was read from, and by which settings. */
    private HttpRequest request;

    private RequestHead.RequestHeadParser parsedBy;
    private byte[] body = NO_BODY;
    private int bodyBytes;

    /** The body that is being read where it is long, and whether a read of it is asked for. */
    private StreamedRequestBody longBody;

    private boolean awaiting;

    /** Since when there has been no room for a read of it; 0 while there is. */
    private long readPausedSinceNs;

    private boolean deaf;

    /** Whether nothing is sent here any more. */
    private boolean ending;

    private boolean flushing;
    private boolean proven;

    /** When it became the client's turn; bytes that make no whole request do not count. */
    private long turnNs = System.nanoTime();

    ClientConnection(ClientListener front) {
        this.front = front;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        front.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        front.closed(this);
        longBody = null;
        forgetAnswers();
    }

    /** Nobody waits for an answer here any more. */
    private void forgetAnswers() {
        waiting.forEach(each -> front.letGo(each.cost()));
        waiting.clear();
        answers.forEach(Answer::clientLeft);
        answers.clear();
    }

    // ---- Reading ----

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (deaf) {
            if (message instanceof LastHttpContent && answers.isEmpty()) {
                endSending();
            }
            return;
        }
        if (message.decoderResult().isFailure()) {
            malformed();
            return;
        }
        if (message instanceof HttpRequest request) {
            begin(request);
        }
        if (message instanceof HttpContent content && reading != null && !deaf) {
            collect(content.content());
            if (content instanceof LastHttpContent && !deaf) {
                finish();
            }
        }
    }

    /**
     * Guards against a wait for requests before it: what cannot be read ends the connection now.
     */
    private void malformed() {
        if (reading == null) {
            reading = new Answer(false, false);
            answers.add(reading);
        }
        if (answers.size() > 1 || isStreaming()) {
            deaf = true;
            close();
        } else {
            // Guards a request that was taken with its body still coming: nothing is owed for it
            // any more.
            reading.clientLeft();
            deafWith(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
        }
    }

    private void begin(HttpRequest next) {
        if (answers.size() >= MAX_UNANSWERED) {
            front.core()
                    .faults()
                    .fault(
                            PeerFault.CLIENT_CONNECTION,
                            null,
                            MAX_UNANSWERED + " reqs on one connection wait for their answers");
            deaf = true;
            close();
            return;
        }
        if (answers.isEmpty() && proven) {
            turnNs = System.nanoTime();
        }
        request = next;
        reading =
                new Answer(
                        HttpUtil.isKeepAlive(request),
                        request.protocolVersion().equals(HttpVersion.HTTP_1_0));
        answers.add(reading);
        head = null;
        bodyBytes = 0;
        // Guards against reading on by rules that are not those of the client's version.
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            deafWith(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 and HTTP/1.0 alone");
            return;
        }
        // Guards against a second request hidden in a body: where its length is told twice, or by a
        // coding that
        // nobody here knows, servers may differ about its end. The codec lets some of these
        // through.
        final String coding =
                String.join(",", request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING));
        if (!coding.isEmpty()
                && (request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                        || !coding.strip().equalsIgnoreCase("chunked")
                        || !request.protocolVersion().equals(HttpVersion.HTTP_1_1))) {
            malformed();
            return;
        }
        // Guards against reading on for a body that is too large by its own word.
        final long length = HttpUtil.getContentLength(request, 0L);
        if (length > front.longestBody()) {
            tooLarge(front.longestBody());
            return;
        }
        final int pathEnd = request.uri().indexOf('?');
        if ((pathEnd < 0 ? request.uri() : request.uri().substring(0, pathEnd)).equals(READY)) {
            final boolean get = request.method().equals(HttpMethod.GET);
            reading.complete(
                    !get
                            ? HttpResponseStatus.METHOD_NOT_ALLOWED
                            : front.isReady()
                                    ? HttpResponseStatus.OK
                                    : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "",
                    0);
            return;
        }
        try {
            parsedBy = front.parser();
            head = parsedBy.parse(request);
            if (length > front.longestBody(head.job().requestClass())) {
                tooLarge(front.longestBody(head.job().requestClass()));
                return;
            }
            if (length > MAX_BODY_BYTES && !openLong(length)) {
                return;
            }
            if (HttpUtil.is100ContinueExpected(request)) {
                context.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        } catch (RequestHead.InvalidHeadException e) {
            reading.complete(e.status(), e.getMessage() + "\n", 0);
        }
    }

    private void collect(ByteBuf content) {
        final int count = content.readableBytes();
        if (longBody == null && bodyBytes + count > MAX_BODY_BYTES) {
            final long longest =
                    head == null || reading.isComplete()
                            ? MAX_BODY_BYTES
                            : front.longestBody(head.job().requestClass());
            if (longest <= MAX_BODY_BYTES) {
                tooLarge(longest);
                return;
            }
            // Chunked, and longer than what is held whole: from here on it is passed on.
            if (!openLong(-1)) {
                return;
            }
            longBody.collect(Unpooled.wrappedBuffer(body, 0, bodyBytes), context.alloc(), longest);
            body = NO_BODY;
            bodyBytes = 0;
        }
        if (longBody != null) {
            final long longest = front.longestBody(head.job().requestClass());
            if (!longBody.collect(content, context.alloc(), longest)) {
                abandon(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, over(longest));
            }
            return;
        }
        if (bodyBytes + count > body.length) {
            final int wanted = Math.max(bodyBytes + count, body.length * 2);
            body = Arrays.copyOf(body, Math.min(MAX_BODY_BYTES, wanted));
        }
        content.readBytes(body, bodyBytes, count);
        bodyBytes += count;
    }

    private void tooLarge(long longest) {
        deafWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, over(longest));
    }

    private static String over(long longest) {
        return "body over " + longest / KIB + " KiB";
    }

    // ---- Long bodies ----

    /** Opens the body of the request that is being read; false where it was answered instead. */
    private boolean openLong(long length) {
        longBody =
                front.bodies()
                        .open(clientHost(), head.job().requestClass(), length, this::roomForBody);
        if (longBody == null) {
            deafWith(
                    HttpResponseStatus.SERVICE_UNAVAILABLE, "refused", front.core().retryAfterUs());
            return false;
        }
        reading.body = longBody;
        // From now on each read is asked for.
        context.channel().config().setAutoRead(false);
        awaiting = true;
        return true;
    }

    private String clientHost() {
        return ((InetSocketAddress) context.channel().remoteAddress())
                .getAddress()
                .getHostAddress();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (longBody != null) {
            awaiting = false;
            longBody.endPiece(ctx.alloc());
            if (longBody.isBeyondSpool()) {
                takeLong();
            }
            readOn();
        }
        ctx.fireChannelReadComplete();
    }

    private void roomForBody() {
        if (longBody != null && !awaiting) {
            readOn();
        }
    }

    private void readOn() {
        if (longBody == null) {
            return;
        }
        if (longBody.hasRoom()) {
            awaiting = true;
            readPausedSinceNs = 0;
            context.read();
        } else {
            readPausedSinceNs = readPausedSinceNs == 0 ? System.nanoTime() : readPausedSinceNs;
            // Guards against a wait without end: without an attempt no room comes free.
            takeLong();
        }
    }

    /** The request is taken: all of its body is here, or as much as is kept. */
    private void takeLong() {
        if (reading.request == null && !reading.isComplete()) {
            take(reading, NO_BODY);
        }
    }

    /**
     * A long body that is given up for its client's fault, whether its request was taken or not.
     */
    private void abandon(HttpResponseStatus status, String why) {
        final boolean begun = reading.pump != null;
        reading.clientLeft();
        if (begun) {
            // Part of its answer is out: there is no place for another one.
            close();
        } else if (!reading.isComplete()) {
            deafWith(status, why);
        }
    }

    /** Reads no more of a long body than to let its client see the answer. */
    private void endLong() {
        longBody = null;
        readPausedSinceNs = 0;
        context.channel().config().setAutoRead(true);
    }

    boolean isInLongBody() {
        return longBody != null;
    }

    /** Whether the request whose body is being read was taken, and is owed its answer. */
    boolean hasTakenWhatItReads() {
        return reading != null && reading.request != null;
    }

    /**
     * Gives up the long body that is being read where its client sends too little; told by the
     * sweep.
     */
    void judgeBody() {
        if (longBody.isSenderTooSlow()) {
            front.bodies()
                    .tooSlow(
                            String.valueOf(context.channel().remoteAddress()),
                            "it sent too little");
            abandon(HttpResponseStatus.REQUEST_TIMEOUT, "the body came too slowly");
        }
    }

    // ---- Taking ----

    /** The request's last byte is here: from now on it is owed an answer. */
    private void finish() {
        if (longBody != null) {
            longBody.whole(context.alloc());
            takeLong();
            if (longBody != null) {
                endLong();
            }
            reading = null;
            return;
        }
        final Answer answer = reading;
        reading = null;
        if (head != null && !answer.isComplete() && isStillUsable(answer)) {
            final byte[] whole = body.length == bodyBytes ? body : Arrays.copyOf(body, bodyBytes);
            // Guards the heap: a connection that waits keeps no body.
            body = NO_BODY;
            if (waiting.isEmpty() && answers.size() <= MAX_AHEAD) {
                take(answer, whole);
            } else {
                await(new Waiting(answer, head, whole, System.nanoTime()));
            }
        }
        request = null;
    }

    /**
     * Guards against a request that is taken now by the settings that were in force at its first
     * byte.
     */
    private boolean isStillUsable(Answer answer) {
        if (front.parser() != parsedBy) {
            try {
                head = front.parser().parse(request);
            } catch (RequestHead.InvalidHeadException e) {
                answer.complete(e.status(), e.getMessage() + "\n", 0);
                return false;
            }
        }
        return true;
    }

    /** A request that is read and not yet taken. */
    private record Waiting(Answer answer, RequestHead head, byte[] body, long sinceNs) {

        /** What holding it takes, bytes. */
        int cost() {
            return body.length + KIB;
        }

        /** Its head now that it has waited: so much less of its time is left. */
        RequestHead headNow() {
            final long waitedUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sinceNs);
            return new RequestHead(
                    head.requestId(),
                    head.target(),
                    head.idempotencyKey(),
                    head.job(),
                    Math.max(0, head.waitUs() - waitedUs));
        }
    }

    private void await(Waiting next) {
        if (front.hold(next.cost())) {
            waiting.add(next);
        } else {
            turnAway(
                    next.answer(),
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "refused",
                    front.core().retryAfterUs());
        }
    }

    /** Takes the next request that waits where there is place for it; false where there is none. */
    private boolean takeWaiting() {
        if (waiting.isEmpty() || answers.size() - waiting.size() >= MAX_AHEAD) {
            return false;
        }
        final Waiting next = waiting.poll();
        front.letGo(next.cost());
        final RequestHead beingRead = head;
        head = next.headNow();
        take(next.answer(), next.body());
        head = beingRead;
        return true;
    }

    private void take(Answer answer, byte[] whole) {
        // Guards against a second request under an open one's id: workers would turn both its
        // attempts and
        // those of the first away, and their health would be judged by it.
        if (front.core().isOpen(head.requestId())) {
            turnAway(answer, HttpResponseStatus.CONFLICT, "X-Request-Id is in use", 0);
        } else if (!answer.reserve()) {
            turnAway(
                    answer,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "refused",
                    front.core().retryAfterUs());
        } else {
            proven = true;
            answer.request =
                    front.core()
                            .take(
                                    new RequestContent(
                                            head.requestId(),
                                            head.target(),
                                            head.idempotencyKey(),
                                            whole,
                                            longBody),
                                    head.job(),
                                    head.waitUs(),
                                    answer);
        }
    }

    /**
     * Answers a request that is not taken; a long body that is still coming ends the connection
     * with it.
     */
    private void turnAway(Answer answer, HttpResponseStatus status, String why, long retryAfterUs) {
        if (longBody != null) {
            deafWith(status, why, retryAfterUs);
        } else {
            answer.complete(status, why + "\n", retryAfterUs);
        }
    }

    /** Answers what cannot be read on, and closes; the rest of it is read away for a while. */
    private void deafWith(HttpResponseStatus status, String why) {
        deafWith(status, why, 0);
    }

    private void deafWith(HttpResponseStatus status, String why, long retryAfterUs) {
        deaf = true;
        reading.keepAlive = false;
        reading.complete(status, why + "\n", retryAfterUs);
        linger();
    }

    /** Closes after a while; requests read before what went wrong are answered first. */
    private void linger() {
        context.executor()
                .schedule(
                        () -> {
                            if (answers.isEmpty()) {
                                close();
                            } else {
                                linger();
                            }
                        },
                        LINGER_MS,
                        TimeUnit.MILLISECONDS);
    }

    // ---- Answering ----

    /** Writes all answers that are ready and whose turn it is. */
    private void flush() {
        if (flushing) {
            return;
        }
        flushing = true;
        do {
            writeComplete();
        } while (takeWaiting());
        flushing = false;
        if (!answers.isEmpty()) {
            answers.peek().startResult();
        }
        turnNs = System.nanoTime();
        front.answered();
    }

    private void writeComplete() {
        while (!answers.isEmpty() && answers.peek().isComplete()) {
            final Answer answer = answers.poll();
            // Guards against losing requests read ahead: at a stop, only the last answer closes the
            // connection.
            final boolean isLast = front.isClosing() && answers.isEmpty() && reading == null;
            final boolean keepAlive = answer.keepAlive && !isLast;
            if (!keepAlive) {
                answer.response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            written(context.writeAndFlush(answer.response), keepAlive);
        }
    }

    /** An answer is out, or about to be. */
    private void written(ChannelFuture written, boolean keepAlive) {
        if (!keepAlive && !deaf) {
            // The client asked for the end here; what it may have sent after that is not answered.
            deaf = true;
            forgetAnswers();
            written.addListener(done -> endSending());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (isStreaming()) {
            answers.peek().pump.pump();
        }
        ctx.fireChannelWritabilityChanged();
    }

    /** A long result is on its way to the client. */
    boolean isStreaming() {
        return !answers.isEmpty() && answers.peek().pump != null;
    }

    /** Nothing is being read, answered or written here. */
    boolean isIdle() {
        return answers.isEmpty()
                && reading == null
                && context.channel().unsafe().outboundBuffer() != null
                && context.channel().unsafe().outboundBuffer().isEmpty();
    }

    /** A request has begun here and is not whole. */
    boolean isReading() {
        return reading != null && answers.size() == 1;
    }

    /**
     * Whether it owes the next word, so that it may be closed where there are too many connections.
     */
    boolean mayMakeRoom() {
        return isIdle() || !isProven() && isReading();
    }

    /**
     * Reads what has come until now, unless a long body has no room. Not from within its own
     * reading.
     */
    void readNow() {
        if (longBody == null || awaiting) {
            SocketReads.now(context.channel());
        }
    }

    /** A request that could be used has come here before. */
    boolean isProven() {
        return proven;
    }

    /**
     * Waiting for the client alone: for the rest of a request, for the next one, or to take its
     * answer.
     */
    boolean isWaitingForClient() {
        return answers.isEmpty() || reading != null;
    }

    long waitedNs() {
        return System.nanoTime() - turnNs;
    }

    void close() {
        context.close();
    }

    /**
     * Ends this connection where it still is idle once all that has come is read: a request that is
     * here already is taken, and closes it with its answer.
     */
    void endIfIdle() {
        readNow();
        if (isIdle() && !ending) {
            deaf = true;
            endSending();
        }
    }

    /**
     * Ends sending, and reads away what still comes until the client ends too, {@value #ENDING_MS}
     * ms at the most. Guards an answer just written: a close with bytes unread resets the
     * connection, and a reset lets the client lose what it has not read yet.
     */
    private void endSending() {
        if (ending || !context.channel().isActive()) {
            return;
        }
        ending = true;
        if (context.channel() instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
            context.executor().schedule(this::close, ENDING_MS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            ctx.close();
            return;
        }
        front.core().faults().fault(PeerFault.CLIENT_CONNECTION, null, cause.toString());
        // Guards against an error of our own that leaves requests of this connection without an
        // answer.
        deaf = true;
        waiting.forEach(each -> front.letGo(each.cost()));
        waiting.clear();
        for (final Answer answer : List.copyOf(answers)) {
            if (!answer.isComplete()) {
                answer.clientLeft();
                answer.keepAlive = false;
                answer.failed();
            }
        }
        linger();
    }

    /** The answer to one request, in its place among those of this connection. */
    private final class Answer implements ResponseListener, BodyTransfer.BodyEndpoints {

        private final boolean isOld;
        private boolean keepAlive;
        private ClientRequest request;

        /** The request's body where it is long. */
        private StreamedRequestBody body;

        /**
         * Room for its result where that may be long, whether that has begun, and what writes it.
         */
        private StreamedResponseBody result;

        private boolean streams;
        private BodyTransfer pump;
        private FullHttpResponse response;

        /** Of a client that does not know chunks, or of a usual one. */
        Answer(boolean keepAlive, boolean isOld) {
            this.keepAlive = keepAlive;
            this.isOld = isOld;
        }

        boolean isComplete() {
            return response != null;
        }

        @Override
        public boolean hasLeft() {
            // Guards against sending for nobody: what came since the loop last read, its end too,
            // lies in the
            // socket.
            readNow();
            return !context.channel().isActive();
        }

        @Override
        public long readPausedUs() {
            return body == null || body != longBody || readPausedSinceNs == 0
                    ? 0
                    : TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - readPausedSinceNs);
        }

        void clientLeft() {
            if (request != null) {
                front.core().clientLeft(request);
            }
            letGo();
        }

        /** Nothing more is wanted of what came, or still comes, for this answer. */
        private void letGo() {
            if (pump != null) {
                pump.stop();
            }
            if (result != null) {
                result.drop();
            }
            if (body != null) {
                body.retire();
            }
        }

        // ---- Long results ----

        /**
         * Takes the room for a long result, where its class has such; false where there is none.
         */
        boolean reserve() {
            final int requestClass = head.job().requestClass();
            if (front.hasLongResults(requestClass)) {
                result = front.bodies().openResult(clientHost(), requestClass, context.alloc());
                return result != null;
            }
            return true;
        }

        @Override
        public ResultStream resultBegins(String type, long length) {
            if (result == null) {
                return null;
            }
            streams = true;
            result.begin(type, length);
            flush();
            return result;
        }

        /** Its turn has come: the head goes out, and what there is of the result. */
        void startResult() {
            if (!streams || pump != null || isComplete()) {
                return;
            }
            if (result.isLost()) {
                // Broken before any of it went out: the client need not find that out by itself.
                failed();
                return;
            }
            final DefaultHttpResponse started =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (result.type() != null) {
                started.headers().set(HttpHeaderNames.CONTENT_TYPE, result.type());
            }
            if (result.stated() >= 0) {
                started.headers().set(HttpHeaderNames.CONTENT_LENGTH, result.stated());
            } else if (isOld) {
                keepAlive = false;
            } else {
                started.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            if (front.isClosing() && answers.size() == 1 && reading == null) {
                keepAlive = false;
            }
            if (!keepAlive) {
                started.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            context.writeAndFlush(started);
            pump = result.pump(this);
            pump.start(context.channel());
        }

        @Override
        public void written() {
            answers.remove(this);
            if (body != null && body == longBody) {
                // Its client is still sending what nobody waits for.
                endLong();
                keepAlive = false;
            }
            letGo();
            ClientConnection.this.written(context.writeAndFlush(Unpooled.EMPTY_BUFFER), keepAlive);
            flush();
        }

        /**
         * Guards against a broken result that looks whole: its end, or part of its length, is
         * missing.
         */
        @Override
        public void lost() {
            if (isOld && result.stated() < 0) {
                context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            }
            letGo();
            context.close();
        }

        @Override
        public void tooSlow() {
            context.close();
        }

        @Override
        public void served(String result) {
            complete(HttpResponseStatus.OK, result, 0);
        }

        @Override
        public void localReply(long retryAfterUs) {
            complete(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused\n", retryAfterUs);
        }

        @Override
        public void failed() {
            if (pump != null) {
                result.finish(false);
                return;
            }
            complete(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed\n", 0);
        }

        private void complete(HttpResponseStatus status, String text, long retryAfterUs) {
            response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            status,
                            Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
            HttpUtil.setContentLength(response, response.content().readableBytes());
            if (status.equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
                response.headers().set(HttpHeaderNames.ALLOW, head == null ? "GET, POST" : "POST");
            }
            if (retryAfterUs > 0) {
                response.headers()
                        .set(HttpHeaderNames.RETRY_AFTER, RetryAfterHeader.format(retryAfterUs));
            }
            if (body != null && body == longBody) {
                // Answered before its last byte: what is left of it is read away, for a while.
                endLong();
                if (!deaf) {
                    deaf = true;
                    keepAlive = false;
                    linger();
                }
            }
            letGo();
            flush();
        }
    }
}
