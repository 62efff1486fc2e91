package cresschute.node;

/** A request's body that is passed on as it arrives. Call from the event loop. */
@FunctionalInterface
public interface RequestBody {

    /** Whether an attempt can still begin at the first byte. */
    boolean isReplayable();
}
