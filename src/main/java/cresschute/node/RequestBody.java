package cresschute.node;

/** A request body that is passed on as it arrives. Call from the event loop. */
@FunctionalInterface
public interface RequestBody {

    /** Returns true if an attempt can still send the body from its first byte. */
    boolean isReplayable();
}
