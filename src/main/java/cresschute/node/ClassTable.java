package cresschute.node;

import cresschute.dispatch.ClassChanges;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The request classes of a node by the numbers that the dispatcher uses. An unchanged class keeps
 * its number. A class that a new configuration omits or changes is retired: requests in flight keep
 * it, and new requests cannot use it. A new or changed class gets the lowest number that no class
 * in force and no request has, so that the table stays as small as the requests in flight allow,
 * however many configurations follow each other. Immutable.
 */
final class ClassTable {

    /**
     * A class; its number is its index.
     *
     * @param name its name
     * @param requestClass its definition
     * @param live whether new requests may use it
     */
    record Entry(String name, RequestClass requestClass, boolean live) {}

    private final List<Entry> entries;

    /** The numbers that named another class in the table before this one. */
    private final Set<Integer> replaced;

    private final Map<String, Integer> live;

    private ClassTable(List<Entry> entries, Set<Integer> replaced) {
        this.entries = List.copyOf(entries);
        this.replaced = Set.copyOf(replaced);
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
        return new ClassTable(entries, Set.of());
    }

    /**
     * Returns the table for the classes of a new configuration: an unchanged class keeps its
     * number, a new or changed one gets a free number, and one that is no longer named is retired.
     *
     * @param names the names of the new classes
     * @param classes the new classes, in the same order
     * @param inUse the numbers that requests have
     * @throws IllegalArgumentException if a name is duplicated
     */
    ClassTable updatedWith(List<String> names, List<RequestClass> classes, Set<Integer> inUse) {
        if (names.stream().distinct().count() != names.size()) {
            throw new IllegalArgumentException("a class is named twice");
        }
        final Set<Integer> kept = unchanged(names, classes);
        final List<Entry> next = new ArrayList<>();
        for (int number = 0; number < entries.size(); number++) {
            final Entry entry = entries.get(number);
            next.add(new Entry(entry.name(), entry.requestClass(), kept.contains(number)));
        }
        final Set<Integer> replacedNumbers = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            if (!kept.contains(live.get(names.get(i)))) {
                final Entry added = new Entry(names.get(i), classes.get(i), true);
                final int number = freeNumber(next, inUse);
                if (number < next.size()) {
                    next.set(number, added);
                    replacedNumbers.add(number);
                } else {
                    next.add(added);
                }
            }
        }
        return new ClassTable(next, replacedNumbers);
    }

    /** The numbers of the classes that are live and stay as they are. */
    private Set<Integer> unchanged(List<String> names, List<RequestClass> classes) {
        final Set<Integer> kept = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            final Integer number = live.get(names.get(i));
            if (number != null && entries.get(number).requestClass().equals(classes.get(i))) {
                kept.add(number);
            }
        }
        return kept;
    }

    /** The lowest number of a retired class that no request has, or the next new number. */
    private static int freeNumber(List<Entry> entries, Set<Integer> inUse) {
        int number = 0;
        while (number < entries.size() && (entries.get(number).live() || inUse.contains(number))) {
            number++;
        }
        return number;
    }

    /** The changes from the table before this one, for the dispatcher. */
    ClassChanges changes() {
        final Set<Integer> retired = new HashSet<>();
        for (int number = 0; number < entries.size(); number++) {
            if (!entries.get(number).live()) {
                retired.add(number);
            }
        }
        return new ClassChanges(replaced, retired);
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

    /** The count of numbers, those of retired classes included. */
    int size() {
        return entries.size();
    }

    /** Returns true if this table means the same as the one before it. */
    boolean isSameAs(ClassTable before) {
        return replaced.isEmpty() && entries.equals(before.entries);
    }

    /**
     * Describes the classes that are new, changed or retired compared with the table before.
     *
     * @param before the table that this one was made from
     * @return their names, for the log; empty if there is no difference
     */
    String changesFrom(ClassTable before) {
        final List<String> added = new ArrayList<>();
        final List<String> retired = new ArrayList<>();
        for (int number = 0; number < entries.size(); number++) {
            final Entry entry = entries.get(number);
            final boolean isReplaced = replaced.contains(number);
            if (isReplaced || number >= before.size()) {
                added.add(entry.name());
            }
            if (number < before.size()
                    && before.entries.get(number).live()
                    && (isReplaced || !entry.live())) {
                retired.add(before.entries.get(number).name());
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
