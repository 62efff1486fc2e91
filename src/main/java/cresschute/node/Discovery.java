package cresschute.node;

/**
 * Watches the endpoint list at a discovery service. Notifies {@link RequestLifecycle} of each list,
 * in order, and once of a watch that fails. Call from the event loop.
 */
@FunctionalInterface
public interface Discovery {

    /** Watches the list from the version that is held, until a call fails. */
    void watch();
}
