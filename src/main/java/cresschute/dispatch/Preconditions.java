package cresschute.dispatch;

/** Checks on the values of settings. */
final class Preconditions {

    private Preconditions() {}

    /**
     * Requires that a condition holds.
     *
     * @throws IllegalArgumentException naming the setting, if it does not
     */
    static void require(boolean holds, String field) {
        if (!holds) {
            throw new IllegalArgumentException("invalid or missing setting: " + field);
        }
    }
}
