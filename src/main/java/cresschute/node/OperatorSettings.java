package cresschute.node;

import java.net.InetSocketAddress;

/**
 * The settings that the platform gives a node for its operators and for upgrades.
 *
 * @param managementAddress the address for management calls, one line per connection; null if there
 *     are none
 * @param passedListener whether the client listener is inherited from the platform as descriptor 0
 *     instead of being bound by the node
 * @param sharedFolder the folder ({@code $TMPDIR}) that both processes of an upgrade share and that
 *     outlives each of them; null if nothing is shared
 */
public record OperatorSettings(
        InetSocketAddress managementAddress, boolean passedListener, String sharedFolder) {

    /**
     * For an appliance, or a platform without operators: no address, no passed listener, no folder.
     */
    public static final OperatorSettings NONE = new OperatorSettings(null, false, null);
}
