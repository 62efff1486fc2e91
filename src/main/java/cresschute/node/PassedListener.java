package cresschute.node;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * Takes over the clients' listening socket that the platform passes on as descriptor 0. Every
 * process of an upgrade inherits the same socket, so that new connections wait in one queue for
 * whichever process accepts next, and none is refused.
 *
 * <p>Stateless. The channel belongs to the caller, who closes it.
 */
public final class PassedListener {

    private PassedListener() {}

    /**
     * Takes over the inherited listener. Called once a process, on its main thread, before any loop
     * runs.
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
