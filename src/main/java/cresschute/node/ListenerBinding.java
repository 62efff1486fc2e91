package cresschute.node;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;

/** Waits for listeners at the node's start. Stateless; blocks, so never call it on the loop. */
final class ListenerBinding {

    private ListenerBinding() {}

    /**
     * Waits until a listener is bound.
     *
     * @param bound completes when it is bound
     * @param purpose whom it listens for, with a space at its end, or empty
     * @param address where it is to listen
     * @throws NodeStartException if it cannot be bound
     */
    static void requireBound(ChannelFuture bound, String purpose, InetSocketAddress address) {
        if (!bound.awaitUninterruptibly().isSuccess()) {
            throw new NodeStartException(
                    "cannot listen "
                            + purpose
                            + "on "
                            + Addresses.format(address)
                            + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
    }
}
