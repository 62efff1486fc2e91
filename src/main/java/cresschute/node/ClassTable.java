package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All request classes of a node since its start, by the numbers that the dispatcher uses. A class
 * keeps its number for the life of the process. A class that a new configuration omits or changes
 * is retired: requests in flight keep it, and new requests cannot use it. A changed class gets a
 * new number. Immutable.
 */
final class ClassTable {

    /**
     * Maximum number of class numbers of a node, counted from its start; each change of a class
     * uses one.
     */
    static final int MAX_CLASSES = 64;

    /**
     * A class; its number is its index.
     *
     * @param name its name
     * @param requestClass its definition
     * @param live whether new requests may use it
     */
    record Entry(String name, RequestClass requestClass, boolean live) {}

    private final List<Entry> entries;
    private final Map<String, Integer> live;

    private ClassTable(List<Entry> entries) {
        this.entries = List.copyOf(entries);
        final Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).live()) {
                numbers.put(entries.get(i).name(), i);
            }
        }
        this.live = Map.copyOf(numbers);
    }

    /** Creates the table that a node starts with; the classes are numbered in their order. */
    static ClassTable of(List<String> names, List<RequestClass> classes) {
        final List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            entries.add(new Entry(names.get(i), classes.get(i), true));
        }
        return new ClassTable(entries);
    }

    /**
     * Returns the table for the classes of a new configuration: an unchanged class keeps its
     * number, a new or changed one is added, and one that is no longer named is retired.
     *
     * @param names the names of the new classes
     * @param classes the new classes, in the same order
     * @throws IllegalArgumentException if more than {@value #MAX_CLASSES} numbers would be assigned
     *     since the start, or a name is duplicated
     */
    ClassTable updatedWith(List<String> names, List<RequestClass> classes) {
        if (names.stream().distinct().count() != names.size()) {
            throw new IllegalArgumentException("a class is named twice");
        }
        final List<Entry> next = new ArrayList<>();
        final List<Integer> kept = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            final Integer number = live.get(names.get(i));
            if (number != null && entries.get(number).requestClass().equals(classes.get(i))) {
                kept.add(number);
            }
        }
        for (int number = 0; number < entries.size(); number++) {
            final Entry entry = entries.get(number);
            next.add(new Entry(entry.name(), entry.requestClass(), kept.contains(number)));
        }
        for (int i = 0; i < names.size(); i++) {
            final Integer number = live.get(names.get(i));
            if (number == null || !kept.contains(number)) {
                next.add(new Entry(names.get(i), classes.get(i), true));
            }
        }
        if (next.size() > MAX_CLASSES) {
            throw new IllegalArgumentException(
                    "more than "
                            + MAX_CLASSES
                            + " classes since the start; restart the node "
                            + "to apply this configuration");
        }
        return new ClassTable(next);
    }

    /**
     * Returns the settings to pass to the dispatcher: the new settings with the classes of this
     * table and with the zones and kinds in force, which only a restart changes.
     *
     * @param next the settings of the new configuration
     * @param before the settings in force
     */
    DispatchSettings settingsFor(DispatchSettings next, DispatchSettings before) {
        return new DispatchSettings(
                next.dispatchers(),
                before.zone(),
                before.zones(),
                before.kinds(),
                classes(),
                next.tenants(),
                next.overQuotaWeightFactor(),
                next.priorityWeightPerWork(),
                next.limits(),
                next.slowStart(),
                next.objectiveWeights(),
                next.endpointListIsPolled(),
                next.pollWithinUs(),
                next.weightSource(),
                next.reportsLoad(),
                next.reportsJobStart(),
                next.progressUs(),
                next.crossZonePrice(),
                next.allowsLoadQueries(),
                next.allowsPeerMessages(),
                next.dataTransferPrice(),
                next.fullMayHaveRun(),
                next.closeOnDrainWithinUs());
    }

    /** All classes by number, retired ones included. */
    List<RequestClass> classes() {
        return entries.stream().map(Entry::requestClass).toList();
    }

    /** The names of all classes by number, retired ones included. */
    List<String> names() {
        return entries.stream().map(Entry::name).toList();
    }

    /** The numbers, by name, of the classes that new requests may use. */
    Map<String, Integer> live() {
        return live;
    }

    /** The count of assigned numbers. */
    int size() {
        return entries.size();
    }

    /** Returns true if another table has the same entries. */
    boolean isSameAs(ClassTable other) {
        return entries.equals(other.entries);
    }

    /**
     * Describes the classes that are new, changed or retired compared with an earlier table.
     *
     * @param before an earlier table of this node
     * @return their names, for the log; empty if there is no difference
     */
    String changesFrom(ClassTable before) {
        final List<String> added = new ArrayList<>();
        final List<String> retired = new ArrayList<>();
        for (int number = 0; number < entries.size(); number++) {
            final Entry entry = entries.get(number);
            if (number >= before.size()) {
                added.add(entry.name());
            } else if (before.entries.get(number).live() && !entry.live()) {
                retired.add(entry.name());
            }
        }
        final List<String> changed = added.stream().filter(retired::contains).toList();
        added.removeAll(changed);
        retired.removeAll(changed);
        final List<String> parts = new ArrayList<>();
        if (!added.isEmpty()) {
            parts.add("new: " + String.join(", ", added));
        }
        if (!changed.isEmpty()) {
            parts.add("changed: " + String.join(", ", changed));
        }
        if (!retired.isEmpty()) {
            parts.add("retired: " + String.join(", ", retired));
        }
        return String.join("; ", parts);
    }
}
