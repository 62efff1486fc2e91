package cresschute.node.http;

import cresschute.flow.BodyBuffer;
import cresschute.flow.TransferMonitor;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;

/**
 * Carries a long body to one peer, no faster than its connection takes it: what is not written
 * stays in the body, where it is counted. On the loop.
 */
final class BodyTransfer {

    /** How it goes on and ends; of the ends at most one is called, once. */
    interface BodyEndpoints {

        /**
         * It flows, or waits for whoever sends it: called with the first piece that is written, and
         * again every second or so unless the peer is what it waits for.
         */
        default void flows() {}

        /** The last byte is written. */
        void written();

        /** The rest will not come, or goes another way. */
        void lost();

        /** The peer takes too little. */
        void tooSlow();
    }

    private static final long TELL_US = 1_000_000;

    private final StreamedBody body;
    private final BodyEndpoints ends;
    private final BodyBuffer<ByteBuf>.Reader sender;
    private final TransferMonitor peer;
    private Channel channel;
    private int underWay;
    private boolean lastIsOut;
    private long toldUs = Long.MIN_VALUE / 2;
    private boolean pumping;
    private boolean over;

    BodyTransfer(StreamedBody body, BodyEndpoints ends) {
        this.body = body;
        this.ends = ends;
        this.peer = body.newPace();
        this.sender = body.send(this::news);
    }

    /** Begins, on a connection to which the head was written. */
    void start(Channel to) {
        channel = to;
        pump();
    }

    private void news() {
        if (channel == null) {
            return;
        }
        if (isLost()) {
            // Later: the news may come out of the end of another attempt of the same request.
            channel.eventLoop().execute(this::pump);
        } else {
            pump();
        }
    }

    private boolean isLost() {
        return !lastIsOut && (sender == null || !sender.isAttached() || body.isLost());
    }

    /** Writes what there is as long as the connection takes it. */
    void pump() {
        if (channel == null || over || pumping) {
            return;
        }
        if (isLost()) {
            stop();
            ends.lost();
            return;
        }
        pumping = true;
        while (channel.isWritable() && !over) {
            final ByteBuf piece = sender.next();
            if (piece == null) {
                break;
            }
            underWay++;
            final int count = piece.readableBytes();
            channel.writeAndFlush(new DefaultHttpContent(piece.retainedDuplicate()))
                    .addListener(done -> sent(done, count));
        }
        if (!over && !lastIsOut && sender.hasReadAll()) {
            lastIsOut = true;
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(this::sentLast);
        }
        pumping = false;
        peer.setActive(underWay > 0, StreamedBody.nowUs());
    }

    private void sent(Future<? super Void> done, int count) {
        underWay--;
        if (over) {
            return;
        }
        if (!done.isSuccess()) {
            channel.close();
            return;
        }
        peer.transferred(count, StreamedBody.nowUs());
        peer.setActive(underWay > 0, StreamedBody.nowUs());
        tellFlow();
        sender.acknowledge();
        body.sentSome();
        pump();
    }

    private void sentLast(Future<? super Void> done) {
        if (over) {
            return;
        }
        stop();
        if (done.isSuccess()) {
            ends.written();
        } else {
            channel.close();
        }
    }

    private void tellFlow() {
        final long nowUs = StreamedBody.nowUs();
        if (nowUs - toldUs >= TELL_US) {
            toldUs = nowUs;
            ends.flows();
        }
    }

    /** Gives up a peer that takes too little; called by the sweep. */
    void judge() {
        if (!over && peer.isTooSlow(StreamedBody.nowUs())) {
            body.owner.tooSlow(String.valueOf(channel.remoteAddress()), "it took too little");
            stop();
            ends.tooSlow();
        } else if (!over && channel != null && underWay == 0) {
            tellFlow();
        }
    }

    /** Carries no more. Any number of times. */
    void stop() {
        if (!over) {
            over = true;
            if (sender != null) {
                sender.detach();
            }
            body.left(this);
        }
    }
}
