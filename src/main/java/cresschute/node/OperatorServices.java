package cresschute.node;

import cresschute.logs.LogEvent;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;

/**
 * The one service for operators that a node has, or none: the control service for consoles, or the
 * management service for the platform's operators. Opened before the first endpoint list is
 * published, so that a drained worker gets no work at a start; listening once clients can connect;
 * closed at the end. Owns the service. A node without one loads none of its classes.
 */
final class OperatorServices {

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final NodeConfig config;

    /** The service for consoles, or null. */
    private final ControlService control;

    /** The service for the platform's operators, or null. */
    private final ManagementService management;

    /**
     * The service that a configuration asks for.
     *
     * @param config the configuration of the node
     * @param loop the event loop
     * @param clock the dispatcher's clock
     * @param descriptors how many calls may be open at a time
     */
    OperatorServices(NodeConfig config, EventLoop loop, Clock clock, DescriptorBudget descriptors) {
        this.config = config;
        control = config.hasControlService() ? new ControlService(config, loop, clock) : null;
        management =
                config.hasManagementService()
                        ? new ManagementService(config, loop, descriptors.managementCalls())
                        : null;
    }

    /** Follows requests and lays drains over the endpoint list. */
    RequestListener requestListener() {
        if (control != null) {
            return control;
        }
        return management != null ? management : RequestListener.NONE;
    }

    /** Whether consoles are shown the classes of the start. */
    boolean hasControlService() {
        return control != null;
    }

    /**
     * Takes up what operators asked before this process. Reads files, so not on the event loop.
     *
     * @param lifecycle publishes changed states of workers
     * @param readiness the switch that an operator's drain of the node sets
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
     * Lets operators connect. Blocks, so not on the event loop.
     *
     * @throws NodeStartException if the socket or the address cannot be listened on
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

    /** Shows consoles that the node is stopping. Call from the event loop. */
    void notifyStopping() {
        if (control != null) {
            control.notifyStopping();
        }
    }

    /** Closes the listener and its connections. Call from the event loop. */
    void closeListener() {
        if (control != null) {
            control.closeSocket();
        }
        if (management != null) {
            management.closeServer();
        }
    }

    /** Whether there is nothing to close. */
    boolean isEmpty() {
        return control == null && management == null;
    }

    /** Closes the stored state once all is written. Blocks, so not on the event loop. */
    void close() {
        if (control != null) {
            control.close();
        }
        if (management != null) {
            management.close();
        }
    }

    /** Where the platform's operators call, once listening; null where they do not. */
    SocketAddress managementAddress() {
        return management == null ? null : management.address();
    }
}
