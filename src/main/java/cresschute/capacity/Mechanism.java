package cresschute.capacity;

/** How the page writes what carries a need: the simple name of a class, or that nothing does. */
public final class Mechanism {

    /** Nothing carries it. */
    public static final String MISSING = "missing";

    private Mechanism() {}

    /** A mechanism as Markdown. */
    static String markdown(String mechanism) {
        return mechanism.equals(MISSING) ? "**missing**" : "`" + mechanism + "`";
    }
}
