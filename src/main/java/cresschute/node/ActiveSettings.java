package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.Outcome;
import cresschute.dispatch.RequestClass;
import cresschute.settings.NodeSettings.ClassBodies;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

/**
 * The request settings in force: the request classes, indexed by their dispatcher numbers and
 * including retired ones, and the limits of local replies. A reload replaces all of them at once.
 * Call from the event loop.
 */
final class ActiveSettings {

    /** Retry-After of the node's own local replies if the settings allow one, microseconds. */
    private static final long LOCAL_RETRY_AFTER_US = 1_000_000;

    private List<String> classNames;
    private List<RequestClass> classes;
    private Set<Integer> retired;
    private boolean fullMayHaveRun;
    private long retryAfterUs;
    private boolean allowsPeerMessages;

    /** By class number: true if the first byte of a long result meets the deadline. */
    private List<Boolean> deadlineIsToFirstByte;

    /** Creates the settings that a node starts with. */
    ActiveSettings(NodeConfig config) {
        deadlineIsToFirstByte =
                config.bodies() == null
                        ? Collections.nCopies(config.classes().size(), false)
                        : config.bodies().classes().stream()
                                .map(ClassBodies::deadlineToFirstByte)
                                .toList();
        apply(config.classes(), config.settings(), Set.of());
    }

    /**
     * Replaces the settings.
     *
     * @param names the classes' names by number, with the earlier classes first
     * @param settings the settings passed to the dispatcher
     * @param retiredClasses the numbers of the classes that no new request has
     */
    void replace(List<String> names, DispatchSettings settings, Set<Integer> retiredClasses) {
        final int added = names.size() - deadlineIsToFirstByte.size();
        if (added > 0) {
            // Classes cannot change if long results are allowed, so added classes have no long
            // results.
            final List<Boolean> grown = new ArrayList<>(deadlineIsToFirstByte);
            grown.addAll(Collections.nCopies(added, false));
            deadlineIsToFirstByte = List.copyOf(grown);
        }
        apply(names, settings, retiredClasses);
    }

    private void apply(List<String> names, DispatchSettings settings, Set<Integer> retiredClasses) {
        classNames = names;
        classes = settings.classes();
        retired = retiredClasses;
        fullMayHaveRun = settings.fullMayHaveRun();
        retryAfterUs = Math.min(LOCAL_RETRY_AFTER_US, settings.limits().maxRetryAfterUs());
        allowsPeerMessages = settings.allowsPeerMessages();
    }

    /** The name of a class. */
    String className(int requestClass) {
        return classNames.get(requestClass);
    }

    /** A class by its number. */
    RequestClass requestClass(int number) {
        return classes.get(number);
    }

    /** Returns true if requests of a class may be repeated without restriction. */
    boolean isSafe(int requestClass) {
        return classes.get(requestClass).idempotency() == Idempotency.SAFE;
    }

    /** Returns true if the first byte of a long result meets the deadline of a class. */
    boolean deadlineIsToFirstByte(int requestClass) {
        return deadlineIsToFirstByte.get(requestClass);
    }

    /** The longest deadline of any class that new requests may have, microseconds. */
    long longestDeadlineUs() {
        long longestUs = 0;
        for (int number = 0; number < classes.size(); number++) {
            if (!retired.contains(number)) {
                longestUs = Math.max(longestUs, classes.get(number).deadlineUs());
            }
        }
        return longestUs;
    }

    /**
     * Retry-After of rejections that the node sends without the dispatcher, microseconds; 0 if the
     * settings allow none.
     */
    long retryAfterUs() {
        return retryAfterUs;
    }

    /** Returns true if the dispatcher may send messages to other dispatchers. */
    boolean allowsPeerMessages() {
        return allowsPeerMessages;
    }

    /**
     * Returns true if an attempt with this outcome may have run. A cancelled attempt has not: while
     * its request is open, an attempt is cancelled only before its last byte is written.
     */
    boolean mayHaveRun(Outcome outcome) {
        return outcome != Outcome.CONNECT_FAILED
                && outcome != Outcome.NOT_SENT
                && outcome != Outcome.CANCELLED
                && (outcome != Outcome.FULL || fullMayHaveRun);
    }
}
