package cresschute.node;

/**
 * Watches the endpoint list at a discovery service. Notifies {@link RequestLifecycle} of each list,
 * in order. Call from the event loop.
 */
@FunctionalInterface
public interface Discovery {

    /**
     * Watches the list, starting from the current version, until a call fails. The failure is
     * reported once, unless the list is pushed.
     */
    void watch();

    /**
     * Sets whether the list is pushed: changes must then arrive without a call of {@link #watch}.
     * Over sockets changes arrive only in answers to a watch, so the implementation keeps one open
     * and does not report its failures. Initially the list is not pushed. Has no effect by default,
     * for fixed lists.
     *
     * @param pushed whether the list is pushed from now on
     */
    default void setPushed(boolean pushed) {}
}
