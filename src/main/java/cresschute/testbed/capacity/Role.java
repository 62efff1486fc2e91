package cresschute.testbed.capacity;

import java.util.Locale;

/** The part of the experiment that a measure belongs to. */
public enum Role {

    /** A dispatcher process; figures are means over all dispatchers unless the name ends in max. */
    DISPATCHER,
    /** The stub workers; traffic figures are per listed worker. */
    WORKER,
    /** The stub discovery service. */
    DISCOVERY,
    /** The stub clients, and the outcomes of their requests. */
    CLIENT;

    /** The name in results. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
