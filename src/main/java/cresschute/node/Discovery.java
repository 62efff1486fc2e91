package cresschute.node;

/**
 * The way to discovery. It tells {@link RequestLifecycle} of each list, in order, and of each
 * failed watch, once.
 */
@FunctionalInterface
public interface Discovery {

    /** Watches the list from the version that is held until a call fails. */
    void watch();
}
