package cresschute.dispatch;

/**
 * Holds the current settings. Every policy of a dispatcher reads them here at each decision, so
 * that a change applies to all policies at once. Used only on the dispatcher's thread.
 */
final class CurrentSettings {

    private DispatchSettings settings;

    CurrentSettings(DispatchSettings settings) {
        this.settings = settings;
    }

    DispatchSettings get() {
        return settings;
    }

    /**
     * Replaces the settings.
     *
     * @throws IllegalArgumentException if {@link DispatchSettings#canReplace} returns false
     */
    void replace(DispatchSettings next, ClassChanges classChanges) {
        if (!next.canReplace(settings, classChanges)) {
            throw new IllegalArgumentException(
                    "new settings must keep the current classes in order, the zone, and the numbers"
                            + " of zones and kinds");
        }
        settings = next;
    }
}
