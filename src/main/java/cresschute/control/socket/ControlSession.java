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
 * <p>Backpressure: nothing is read from the console and no change is sent to it while {@link
 * ControlServer#HIGH_WATER_MARK_BYTES} wait for it. A console that stops reading costs a bounded
 * amount of memory, is closed after {@link #STALL_TIMEOUT_US}, and gets the newest state if it
 * reads again before.
 *
 * <p>Life: from the accepted connection to its close. All of it is on the node's loop.
 */
final class ControlSession extends SimpleChannelInboundHandler<ByteBuf> {

    /** A console that reads nothing for so long is closed, us. */
    static final long STALL_TIMEOUT_US = 30_000_000;

    /** A subscribed console gets a line at least this often, also if nothing changed, us. */
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
     * @param number counts the sessions of the node, for the log
     */
    ControlSession(long number, Channel channel, ControlHandler handler) {
        this.number = number;
        this.channel = channel;
        this.handler = handler;
    }

    /** Whether the console subscribed to rows. */
    boolean isSubscribed() {
        return subscribedToRows;
    }

    /** Sends the reason and closes. */
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
        // A version of another run of the node cannot be compared.
        final boolean isComparable = request.incarnation().equals(handler.incarnation());
        final TableDelta rows = handler.table().since(isComparable ? request.sinceVersion() : 0);
        subscribedToRows = true;
        lastSentVersion = rows.version();
        answerRows(request, rows);
    }

    private void subscribeToEvents(ControlRequest request) {
        // A request that names no run means this one.
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
     * Sends what changed since the last line, or a heartbeat where that is due, if the console has
     * read enough of what was sent before; closes a console that is stalled for too long.
     *
     * @param nowUs the loop's clock, us
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
            // Bounds the memory: a console that does not read its answers cannot ask for more.
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
