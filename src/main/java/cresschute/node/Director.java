package cresschute.node;

/** The way to the director. It tells {@link Core} of each list, in order, and of each failed watch, once. */
@FunctionalInterface
public interface Director {

    /** Watches the list from the version that is held until a call fails. */
    void watch();
}
