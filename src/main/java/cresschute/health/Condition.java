package cresschute.health;

import java.util.Locale;

/** What a worker is doing, as far as one can tell from outside. From well to gone. */
public enum Condition {
    /** It takes work and does it at the speed of others. */
    TAKING,
    /** Its last report had no free slot and jobs waiting, or it turned jobs away. */
    FULL,
    /** Its jobs run much longer than those of the same class elsewhere. */
    SLOWING,
    /** It has jobs and tells nothing of them, or cannot be connected to. */
    SILENT,
    /** It has started a short while ago and is not warm yet. */
    COLD,
    /** The list or an operator says that it gets nothing new. */
    DRAINING,
    /** The list does not have it any more. */
    GONE;

    /** The word for it, in messages and on screens. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
