package cresschute.control.socket;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.control.ControlRequest;
import cresschute.control.ControlRequest.InvalidRequestException;
import cresschute.control.EventRing;
import cresschute.control.EventRing.Happening;
import cresschute.control.VersionedTable;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * One console's connection. It is read only while what was written to it is taken, and it is told
 * news only then: a console that stops reading costs a bounded piece of memory, and the newest
 * state once it reads again. All on the loop.
 */
final class ControlSession extends SimpleChannelInboundHandler<ByteBuf> {

    /** A console that has not read for so long is let go, us. */
    static final long STALLED_US = 30_000_000;

    /** A console that follows rows hears at least this often that its picture holds, us. */
    private static final long BEAT_US = 1_000_000;

    private static final Gson GSON = new Gson();

    private final long number;
    private final Channel channel;
    private final ControlHandler handler;
    private boolean rows;
    private boolean events;
    private long toldRows;
    private long toldEvents;
    private long stalledSinceUs;
    private long startReportedAtUs;

    ControlSession(long number, Channel channel, ControlHandler handler) {
        this.number = number;
        this.channel = channel;
        this.handler = handler;
    }

    boolean followsRows() {
        return rows;
    }

    /** Says why and ends. */
    void refuse(String why) {
        channel.writeAndFlush(line(error(null, why))).addListener(ChannelFutureListener.CLOSE);
    }

    private static String error(String re, String why) {
        final JsonObject answer = new JsonObject();
        if (re != null) {
            answer.addProperty("re", re);
        }
        answer.addProperty("ok", false);
        answer.addProperty("error", why);
        return answer.toString();
    }

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
        } catch (InvalidRequestException e) {
            write(error(e.id(), e.getMessage()));
        }
    }

    private void answer(ControlRequest request) {
        switch (request.what()) {
            case WORKERS -> {
                handler.look();
                write(news(request.id(), handler.board().since(0), null));
            }
            case SUBSCRIBE -> {
                handler.look();
                // A number of another run of the node means nothing here.
                final VersionedTable.Delta news =
                        handler.board()
                                .since(request.boot().equals(handler.boot()) ? request.from() : 0);
                rows = true;
                toldRows = news.number();
                write(news(request.id(), news, null));
            }
            case EVENTS -> {
                // Nor does one of another run's events; a script that names no run means this one.
                final EventRing.Read read =
                        handler.events()
                                .after(
                                        request.boot().isEmpty()
                                                        || request.boot().equals(handler.boot())
                                                ? request.after()
                                                : 0);
                events = true;
                toldEvents = handler.events().last();
                write(news(request.id(), null, read));
            }
            case DRAIN, UNDRAIN ->
                    handler.carryOut(
                            request.operation(),
                            fields -> {
                                final JsonObject answer = new JsonObject();
                                answer.addProperty("re", request.id());
                                fields.entrySet()
                                        .forEach(
                                                each -> answer.add(each.getKey(), each.getValue()));
                                write(answer.toString());
                            });
        }
    }

    // ---- News ----

    /** Tells what is new, if the console has taken what it was told before. */
    void tell(long nowUs) {
        if (!channel.isWritable()) {
            stalledSinceUs = stalledSinceUs == 0 ? nowUs : stalledSinceUs;
            if (nowUs - stalledSinceUs >= STALLED_US) {
                channel.close();
            }
            return;
        }
        stalledSinceUs = 0;
        final VersionedTable.Delta news =
                rows && handler.board().number() != toldRows
                        ? handler.board().since(toldRows)
                        : null;
        final EventRing.Read read =
                events && handler.events().last() != toldEvents
                        ? handler.events().after(toldEvents)
                        : null;
        if (news != null || read != null || rows && nowUs - startReportedAtUs >= BEAT_US) {
            startReportedAtUs = nowUs;
            toldRows = news == null ? toldRows : news.number();
            toldEvents = handler.events().last();
            write(news(null, news, read));
        }
    }

    /** Rows are text already: they are put in as they are. */
    private String news(String re, VersionedTable.Delta news, EventRing.Read read) {
        final StringBuilder out = new StringBuilder("{");
        if (re != null) {
            out.append("\"re\":").append(GSON.toJson(re)).append(",\"ok\":true,");
        }
        out.append("\"boot\":").append(GSON.toJson(handler.boot()));
        if (news != null) {
            out.append(",\"number\":")
                    .append(news.number())
                    .append(",\"whole\":")
                    .append(news.whole())
                    .append(",\"rows\":{");
            String comma = "";
            for (final Map.Entry<String, String> row : news.rows().entrySet()) {
                out.append(comma)
                        .append(GSON.toJson(row.getKey()))
                        .append(':')
                        .append(row.getValue());
                comma = ",";
            }
            out.append("},\"gone\":").append(GSON.toJson(news.gone()));
        }
        if (read != null) {
            final JsonArray list = new JsonArray();
            read.happenings().forEach(each -> list.add(json(each)));
            out.append(",\"missed\":").append(read.missed()).append(",\"events\":").append(list);
        }
        return out.append('}').toString();
    }

    private static JsonObject json(Happening happening) {
        final JsonObject json = new JsonObject();
        json.addProperty("n", happening.number());
        json.addProperty("at_ms", happening.atUs() / 1_000);
        json.addProperty("kind", happening.kind());
        if (happening.worker() != null) {
            json.addProperty("worker", happening.worker());
        }
        json.addProperty("text", happening.text());
        return json;
    }

    // ---- The connection ----

    private void write(String text) {
        channel.writeAndFlush(line(text));
        if (!channel.isWritable()) {
            // Guards the heap: whoever does not read its answers cannot ask for more.
            channel.config().setAutoRead(false);
        }
    }

    private ByteBuf line(String text) {
        final ByteBuf bytes = channel.alloc().buffer(text.length() + 1);
        bytes.writeCharSequence(text, StandardCharsets.UTF_8);
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
            refuse("a line is longer than " + ControlRequest.MAX_LINE + " bytes");
        } else {
            ctx.close();
        }
    }
}
