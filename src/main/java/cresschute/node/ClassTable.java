package cresschute.node;

import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The classes of a node since its start, under the numbers by which the module knows them. A class
 * keeps its number for good. One that a new configuration no longer names, or names with another
 * meaning, is retired: requests under way keep it, and no new request is taken for it. A changed
 * one comes back under a new number, so that nothing under way changes its meaning. Pure and
 * immutable.
 */
final class ClassTable {

    /** Numbers that a node may give out since its start; each change of a class takes one. */
    static final int MAX_CLASSES = 64;

    /** A class under its number. */
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

    /** The classes of a start, numbered in their order. */
    static ClassTable of(List<String> names, List<RequestClass> classes) {
        final List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            entries.add(new Entry(names.get(i), classes.get(i), true));
        }
        return new ClassTable(entries);
    }

    /**
     * The table under a new configuration's classes: the same class under the same name keeps its
     * number, a new or changed one is added, and what is not named any more is retired.
     *
     * @throws IllegalArgumentException where more than {@value #MOST} numbers would be given out
     *     since the start, or a name comes twice
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
                            + " classes since the start; a restart "
                            + "takes this configuration");
        }
        return new ClassTable(next);
    }

    /**
     * What the module is told: the new settings with these classes, and the zones and kinds of
     * before, which only a start changes.
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

    /** Every class by its number, retired ones too: what the module is told. */
    List<RequestClass> classes() {
        return entries.stream().map(Entry::requestClass).toList();
    }

    /**
     * Every class's name by its number, retired ones too: for what the log says of requests under
     * way.
     */
    List<String> names() {
        return entries.stream().map(Entry::name).toList();
    }

    /** The numbers of the classes that new requests may be of, by name. */
    Map<String, Integer> live() {
        return live;
    }

    /** How many numbers are given out. */
    int size() {
        return entries.size();
    }

    /** Whether another table means the same. */
    boolean isSameAs(ClassTable other) {
        return entries.equals(other.entries);
    }

    /**
     * The names of the classes that are new here and retired here, against an older table, for the
     * log.
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
            parts.add("no longer taken: " + String.join(", ", retired));
        }
        return String.join("; ", parts);
    }
}
