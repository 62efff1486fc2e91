package cresschute.capacity;

/** Formats the mechanism that causes or bounds a cost: a simple class name, or missing. */
public final class Mechanism {

    /** No class causes or bounds the cost. */
    public static final String MISSING = "missing";

    private Mechanism() {}

    /** A mechanism as Markdown. */
    static String markdown(String mechanism) {
        return mechanism.equals(MISSING) ? "**missing**" : "`" + mechanism + "`";
    }
}
