package cresschute.node;

/**
 * Watches the endpoint list at a discovery service. Notifies {@link RequestLifecycle} of each list,
 * in order, and once if a watch fails. Call from the event loop.
 */
@FunctionalInterface
public interface Discovery {

    /** Watches the list, starting from the current version, until a call fails. */
    void watch();
}
