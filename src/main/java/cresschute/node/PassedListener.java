package cresschute.node;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * Takes over the listening socket for clients that the platform passes on as descriptor 0. Both
 * processes of an upgrade inherit the same socket. New connections therefore wait in one queue
 * until either process accepts them, and none is refused.
 *
 * <p>Stateless. The caller owns the channel and closes it.
 */
public final class PassedListener {

    private PassedListener() {}

    /**
     * Takes over the inherited listener. Call once per process, on its main thread, before any
     * event loop runs.
     *
     * @throws ConfigException if descriptor 0 is not a listening TCP socket or cannot be taken over
     */
    public static ServerSocketChannel take() throws ConfigException {
        final Channel inherited;
        try {
            inherited = System.inheritedChannel();
        } catch (IOException | SecurityException e) {
            throw new ConfigException(
                    "BALANCER_PASSED_SOCKET: descriptor 0 cannot be taken over: " + e);
        }
        if (!(inherited instanceof ServerSocketChannel listener)) {
            throw new ConfigException(
                    "BALANCER_PASSED_SOCKET: descriptor 0 is not a listening TCP socket"
                            + (inherited == null
                                    ? ""
                                    : " but " + inherited.getClass().getSimpleName()));
        }
        return listener;
    }
}
