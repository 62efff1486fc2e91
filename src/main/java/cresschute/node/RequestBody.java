package cresschute.node;

/**
 * A request's body that is passed on as it arrives, as far as the core must know of it. On the
 * loop.
 */
@FunctionalInterface
public interface RequestBody {

    /** Whether an attempt could still begin at its first byte. */
    boolean isReplayable();
}
