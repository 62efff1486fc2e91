package cresschute.dispatch;

/**
 * The settings in force. Every rule of a dispatcher reads them here at each decision, so a change
 * holds for all rules at once. Used on the dispatcher's thread alone.
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
     * Puts new settings in force.
     *
     * @throws IllegalArgumentException if they may not follow those in force, by {@link
     *     DispatchSettings#canReplace}
     */
    void replace(DispatchSettings next) {
        if (!next.canReplace(settings)) {
            throw new IllegalArgumentException(
                    "new settings must keep the classes, zones and kinds in force");
        }
        settings = next;
    }
}
