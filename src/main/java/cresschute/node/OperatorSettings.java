package cresschute.node;

import java.net.InetSocketAddress;

/**
 * What the platform gives a node for its operators and for upgrades.
 *
 * @param managementAddress where operators call, one line a connection, or null where they do not
 * @param passedListener whether the clients' listener is descriptor 0, inherited from the platform,
 *     instead of being bound by the node
 * @param sharedFolder the folder that both processes of an upgrade see and that outlives each of
 *     them ({@code $TMPDIR}), or null where nothing is shared
 */
public record OperatorSettings(
        InetSocketAddress managementAddress, boolean passedListener, String sharedFolder) {

    /** None of it: an appliance's node, or a platform without operators. */
    public static final OperatorSettings NONE = new OperatorSettings(null, false, null);
}
