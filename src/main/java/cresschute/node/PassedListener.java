package cresschute.node;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket as the platform hands it over: descriptor 0, inherited by every
 * process of an upgrade, so that connections wait in one queue for whichever process accepts next
 * and none is refused.
 */
public final class PassedListener {

    private PassedListener() {}

    /**
     * The inherited listener; called once a process, from its main thread, before any loop runs.
     *
     * @throws ConfigException where descriptor 0 is no listening TCP socket, or cannot be read as
     *     one
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
