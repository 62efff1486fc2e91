package cresschute.capacity;

/** How the page names what causes or bounds a cost: the simple name of a class, or missing. */
public final class Mechanism {

    /** No class does. */
    public static final String MISSING = "missing";

    private Mechanism() {}

    /** A mechanism as Markdown. */
    static String markdown(String mechanism) {
        return mechanism.equals(MISSING) ? "**missing**" : "`" + mechanism + "`";
    }
}
