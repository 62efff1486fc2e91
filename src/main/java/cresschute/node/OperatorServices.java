package cresschute.node;

import cresschute.logs.LogEvent;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;

/**
 * Owns the operator service of a node, if it has one: the control service for consoles or the
 * management service for the platform's operators. The service is opened before the first endpoint
 * list is published, so that a drained worker gets no requests at the start. It listens once
 * clients can connect, and is closed last. A node without a service loads none of its classes.
 */
final class OperatorServices {

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final NodeConfig config;

    /** The service for consoles; null if the node has none. */
    private final ControlService control;

    /** The service for the platform's operators; null if the node has none. */
    private final ManagementService management;

    /**
     * Creates the service that the configuration requires.
     *
     * @param config the configuration of the node
     * @param loop the event loop
     * @param clock the node's clock
     * @param descriptors limits the number of concurrent management calls
     */
    OperatorServices(NodeConfig config, EventLoop loop, Clock clock, DescriptorBudget descriptors) {
        this.config = config;
        control = config.hasControlService() ? new ControlService(config, loop, clock) : null;
        management =
                config.hasManagementService()
                        ? new ManagementService(config, loop, descriptors.managementCalls())
                        : null;
    }

    /** The listener that observes requests and applies drains or bans to the endpoint list. */
    RequestListener requestListener() {
        if (control != null) {
            return control;
        }
        return management != null ? management : RequestListener.NONE;
    }

    /** Whether there is a control service, which shows the initial request classes to consoles. */
    boolean hasControlService() {
        return control != null;
    }

    /**
     * Restores the operators' state of an earlier process. Reads files; never call it on the event
     * loop.
     *
     * @param lifecycle publishes changed states of workers
     * @param readiness the switch by which an operator drains the node
     * @throws NodeStartException if the stored state cannot be used
     */
    void open(RequestLifecycle lifecycle, ReadinessSwitch readiness) {
        if (management != null) {
            try {
                management.open(lifecycle, readiness);
            } catch (IOException e) {
                throw unusable("operators' state in " + config.operators().sharedFolder(), e);
            }
        }
        if (control != null) {
            try {
                control.open(lifecycle);
            } catch (IOException e) {
                throw unusable("state folder " + config.stateFolder(), e);
            }
        }
    }

    private static NodeStartException unusable(String what, IOException cause) {
        return new NodeStartException(
                "the " + what + " cannot be used: " + cause.getMessage(), cause);
    }

    /**
     * Accepts connections of operators. Blocks; never call it on the event loop.
     *
     * @throws NodeStartException if the node cannot listen on the socket or the address
     */
    void listen() {
        if (control != null) {
            try {
                control.listen();
            } catch (IOException e) {
                throw new NodeStartException(e.getMessage(), e);
            }
        }
        if (management != null) {
            final ChannelFuture bound = management.listen().awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw new NodeStartException(
                        "cannot listen for operators on "
                                + Addresses.format(config.operators().managementAddress())
                                + ": "
                                + bound.cause().getMessage(),
                        bound.cause());
            }
            final SocketAddress address = bound.channel().localAddress();
            LogEvent.of("management_listening", "operators call at " + address)
                    .with("address", Addresses.format(address))
                    .log(LOG, Level.INFO);
        }
    }

    /** Shows consoles that the node is stopping. Call on the event loop. */
    void notifyStopping() {
        if (control != null) {
            control.notifyStopping();
        }
    }

    /** Closes the listener and its connections. Call on the event loop. */
    void closeListener() {
        if (control != null) {
            control.closeSocket();
        }
        if (management != null) {
            management.closeServer();
        }
    }

    /** Whether the node has no operator service, so that there is nothing to close. */
    boolean isEmpty() {
        return control == null && management == null;
    }

    /**
     * Closes the stored state once all pending writes are done or time out. Blocks; never call it
     * on the event loop.
     */
    void close() {
        if (control != null) {
            control.close();
        }
        if (management != null) {
            management.close();
        }
    }

    /**
     * The address that the platform's operators call, valid after {@link #listen}; null if there is
     * none.
     */
    SocketAddress managementAddress() {
        return management == null ? null : management.address();
    }
}
