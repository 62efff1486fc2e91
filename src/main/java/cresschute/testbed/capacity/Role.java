package cresschute.testbed.capacity;

import java.util.Locale;

/** Whose use is measured. */
public enum Role {

    /** A dispatcher process; figures are means over them unless their name says more. */
    DISPATCHER,
    /** The hollow workers; figures of traffic are for each listed worker. */
    WORKER,
    /** The discovery stand-in. */
    DISCOVERY,
    /** The hollow clients, and what became of their requests. */
    CLIENT;

    /** Its name in results. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
