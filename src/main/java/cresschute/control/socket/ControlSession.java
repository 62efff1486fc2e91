package cresschute.control.socket;

import cresschute.control.ControlRequest;
import cresschute.control.EventBatch;
import cresschute.control.InvalidControlRequestException;
import cresschute.control.TableDelta;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * One console's connection: answers its requests, and sends the changes that it subscribed to.
 *
 * <p>Backpressure: nothing is read from the console and no change is sent to it while its write
 * buffer is above {@link ControlServer#HIGH_WATER_MARK_BYTES}. A console that stops reading
 * therefore uses a bounded amount of memory. It is closed after {@link #STALL_TIMEOUT_US}; if it
 * resumes reading earlier, it gets the newest state.
 *
 * <p>Life cycle: from the accepted connection to its close. All methods run on the node's event
 * loop.
 */
final class ControlSession extends SimpleChannelInboundHandler<ByteBuf> {

    /** Time after which a console that does not read is closed, microseconds. */
    static final long STALL_TIMEOUT_US = 30_000_000;

    /** Interval at which a subscribed console gets a line even if nothing changed, microseconds. */
    private static final long HEARTBEAT_INTERVAL_US = 1_000_000;

    private static final long NOT_STALLED = 0;

    private final long number;
    private final Channel channel;
    private final ControlHandler handler;
    private boolean subscribedToRows;
    private boolean subscribedToEvents;
    private long lastSentVersion;
    private long lastSentEvent;
    private long stalledSinceUs = NOT_STALLED;
    private long lastUpdateUs;

    /**
     * @param number consecutive number of the session, for the log
     */
    ControlSession(long number, Channel channel, ControlHandler handler) {
        this.number = number;
        this.channel = channel;
        this.handler = handler;
    }

    /** Returns whether the console has subscribed to rows. */
    boolean isSubscribed() {
        return subscribedToRows;
    }

    /** Sends the reason and closes the connection. */
    void reject(String reason) {
        channel.writeAndFlush(line(ControlMessages.error(Optional.empty(), reason)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    // ---- Requests ----

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        try {
            final ControlRequest request =
                    ControlRequest.parse(bytes.toString(StandardCharsets.UTF_8));
            handler.audit(number, request);
            answer(request);
        } catch (InvalidControlRequestException e) {
            write(ControlMessages.error(e.id(), e.getMessage()));
        }
    }

    private void answer(ControlRequest request) {
        switch (request.command()) {
            case WORKERS -> {
                handler.refresh();
                answerRows(request, handler.table().since(0));
            }
            case SUBSCRIBE -> subscribe(request);
            case EVENTS -> subscribeToEvents(request);
            case DRAIN, UNDRAIN ->
                    handler.execute(
                            request.operation(),
                            fields -> write(ControlMessages.answer(request.id(), fields)));
        }
    }

    private void answerRows(ControlRequest request, TableDelta rows) {
        write(
                ControlMessages.answer(
                        request.id(), handler.incarnation(), Optional.of(rows), Optional.empty()));
    }

    private void subscribe(ControlRequest request) {
        handler.refresh();
        // The version of another incarnation of the node cannot be compared.
        final boolean isComparable = request.incarnation().equals(handler.incarnation());
        final TableDelta rows = handler.table().since(isComparable ? request.sinceVersion() : 0);
        subscribedToRows = true;
        lastSentVersion = rows.version();
        answerRows(request, rows);
    }

    private void subscribeToEvents(ControlRequest request) {
        // A request without an incarnation refers to the current one.
        final boolean isComparable =
                request.incarnation().isEmpty()
                        || request.incarnation().equals(handler.incarnation());
        final EventBatch events = handler.events().after(isComparable ? request.afterEvent() : 0);
        subscribedToEvents = true;
        lastSentEvent = handler.events().lastNumber();
        write(
                ControlMessages.answer(
                        request.id(),
                        handler.incarnation(),
                        Optional.empty(),
                        Optional.of(events)));
    }

    // ---- Updates ----

    /**
     * Sends the changes since the last line, or a heartbeat if one is due, unless the write buffer
     * is above the high water mark. Closes a console that has been stalled for {@link
     * #STALL_TIMEOUT_US}.
     *
     * @param nowUs time of the event loop's clock, microseconds
     */
    void publish(long nowUs) {
        if (!channel.isWritable()) {
            stalledSinceUs = stalledSinceUs == NOT_STALLED ? nowUs : stalledSinceUs;
            if (nowUs - stalledSinceUs >= STALL_TIMEOUT_US) {
                channel.close();
            }
            return;
        }
        stalledSinceUs = NOT_STALLED;
        final Optional<TableDelta> rows = unsentRows();
        final Optional<EventBatch> events = unsentEvents();
        final boolean heartbeatDue =
                subscribedToRows && nowUs - lastUpdateUs >= HEARTBEAT_INTERVAL_US;
        if (rows.isPresent() || events.isPresent() || heartbeatDue) {
            lastUpdateUs = nowUs;
            lastSentVersion = rows.map(TableDelta::version).orElse(lastSentVersion);
            lastSentEvent = handler.events().lastNumber();
            write(ControlMessages.update(handler.incarnation(), rows, events));
        }
    }

    private Optional<TableDelta> unsentRows() {
        return subscribedToRows && handler.table().version() != lastSentVersion
                ? Optional.of(handler.table().since(lastSentVersion))
                : Optional.empty();
    }

    private Optional<EventBatch> unsentEvents() {
        return subscribedToEvents && handler.events().lastNumber() != lastSentEvent
                ? Optional.of(handler.events().after(lastSentEvent))
                : Optional.empty();
    }

    // ---- The connection ----

    private void write(String message) {
        channel.writeAndFlush(line(message));
        if (!channel.isWritable()) {
            // Bounds the memory: no further requests are read until the console has read its
            // answers.
            channel.config().setAutoRead(false);
        }
    }

    private ByteBuf line(String message) {
        final ByteBuf bytes = channel.alloc().buffer(message.length() + 1);
        bytes.writeCharSequence(message, StandardCharsets.UTF_8);
        return bytes.writeByte('\n');
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (channel.isWritable()) {
            channel.config().setAutoRead(true);
        }
        super.channelWritabilityChanged(ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            reject("a line is longer than " + ControlRequest.MAX_LINE_LENGTH + " bytes");
        } else {
            ctx.close();
        }
    }
}
