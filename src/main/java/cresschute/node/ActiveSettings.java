package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.RequestClass;
import cresschute.settings.ApplianceSettings.ClassBodies;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The settings in force for requests: the request classes by the numbers that the dispatcher knows
 * them by, retired ones included, and the limits of local replies. Owns nothing else; replaced as a
 * whole at a reload. Call from the event loop.
 */
final class ActiveSettings {

    /** Retry-After of the node's own local replies where advice is allowed, microseconds. */
    private static final long LOCAL_RETRY_AFTER_US = 1_000_000;

    private List<String> classNames;
    private List<RequestClass> classes;
    private boolean fullMayHaveRun;
    private long retryAfterUs;

    /** By class, whether the deadline is met by the first byte of a long result. */
    private List<Boolean> deadlineIsToFirstByte;

    /** The settings of a start. */
    ActiveSettings(NodeConfig config) {
        deadlineIsToFirstByte =
                config.bodies() == null
                        ? Collections.nCopies(config.classes().size(), false)
                        : config.bodies().classes().stream()
                                .map(ClassBodies::deadlineToFirst)
                                .toList();
        apply(config.classes(), config.settings());
    }

    /**
     * Replaces the settings.
     *
     * @param names the classes' names by number, with the earlier classes first
     * @param settings what the dispatcher is notified of
     */
    void replace(List<String> names, DispatchSettings settings) {
        final int added = names.size() - deadlineIsToFirstByte.size();
        if (added > 0) {
            // Classes cannot change where long results are allowed, so that new ones have none.
            final List<Boolean> grown = new ArrayList<>(deadlineIsToFirstByte);
            grown.addAll(Collections.nCopies(added, false));
            deadlineIsToFirstByte = List.copyOf(grown);
        }
        apply(names, settings);
    }

    private void apply(List<String> names, DispatchSettings settings) {
        classNames = names;
        classes = settings.classes();
        fullMayHaveRun = settings.fullMayHaveRun();
        retryAfterUs = Math.min(LOCAL_RETRY_AFTER_US, settings.limits().maxRetryAfterUs());
    }

    /** The name of a class. */
    String className(int requestClass) {
        return classNames.get(requestClass);
    }

    /** A class by its number. */
    RequestClass requestClass(int number) {
        return classes.get(number);
    }

    /** Whether a class may be repeated freely. */
    boolean isSafe(int requestClass) {
        return classes.get(requestClass).idempotency() == Idempotency.SAFE;
    }

    /** Whether the deadline of a class is met by the first byte of a long result. */
    boolean deadlineIsToFirstByte(int requestClass) {
        return deadlineIsToFirstByte.get(requestClass);
    }

    /** The longest deadline of any class, microseconds; 0 without classes. */
    long longestDeadlineUs() {
        return classes.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    /** Retry-After of the node's own local replies, microseconds; 0 where none is allowed. */
    long retryAfterUs() {
        return retryAfterUs;
    }

    /**
     * Whether an attempt that ended so may have run. While its request is open, an attempt is
     * cancelled only before its last byte is written, so that one did not run.
     */
    boolean mayHaveRun(Outcome outcome) {
        return outcome != Outcome.CONNECT_FAILED
                && outcome != Outcome.NOT_SENT
                && outcome != Outcome.CANCELLED
                && (outcome != Outcome.FULL || fullMayHaveRun);
    }
}
