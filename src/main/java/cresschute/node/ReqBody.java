package cresschute.node;

/** A req's body that is passed on as it arrives, as far as the core must know of it. On the loop. */
@FunctionalInterface
public interface ReqBody {

    /** Whether a fetch could still begin at its first byte. */
    boolean canBeSentAnew();
}
