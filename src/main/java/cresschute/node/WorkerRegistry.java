package cresschute.node;

import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The workers that discovery has named so far, under numbers that hold for the life of the process.
 */
final class WorkerRegistry {

    private final Map<String, Integer> idNumbers = new HashMap<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<String> ids = new ArrayList<>();

    /** As last listed, by number; one that a whole list leaves out is gone. */
    private final List<Worker> listed = new ArrayList<>();

    private final Map<String, Integer> zones = new HashMap<>();
    private final Map<String, Integer> kinds = new HashMap<>();
    private long version = -1;

    WorkerRegistry(List<String> zones, List<String> kinds) {
        zones.forEach(zone -> number(this.zones, zone));
        kinds.forEach(kind -> number(this.kinds, kind));
    }

    /**
     * Takes in an answer and tells it in the module's terms; a changed address holds from now on.
     */
    List<Worker> apply(EndpointList list) {
        version = list.version();
        if (list.full()) {
            listed.replaceAll(
                    each ->
                            new Worker(
                                    each.id(),
                                    each.zone(),
                                    each.kind(),
                                    each.cell(),
                                    WorkerState.GONE,
                                    each.weight(),
                                    each.startedAtUs()));
        }
        final List<Worker> workers = new ArrayList<>();
        for (final EndpointList.Endpoint entry : list.entries()) {
            final int id = number(idNumbers, entry.id());
            if (id == addresses.size()) {
                addresses.add(entry.addr());
                ids.add(entry.id());
            } else {
                addresses.set(id, entry.addr());
            }
            final Worker worker =
                    new Worker(
                            id,
                            number(zones, entry.zone()),
                            number(kinds, entry.kind()),
                            entry.cell(),
                            entry.state(),
                            entry.weight(),
                            entry.startedMs() * 1000);
            if (id == listed.size()) {
                listed.add(worker);
            } else {
                listed.set(id, worker);
            }
            workers.add(worker);
        }
        return workers;
    }

    /** Names are opaque: each new one gets the next number. */
    private static int number(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, unseen -> numbers.size());
    }

    /** Every worker that was ever named, as last listed; its number is its place. */
    List<Worker> listed() {
        return Collections.unmodifiableList(listed);
    }

    /** The number of a worker, or -1 where no list has named it. */
    int number(String id) {
        return idNumbers.getOrDefault(id, -1);
    }

    /** The name of a kind of machine. */
    String kind(int number) {
        return kinds.entrySet().stream()
                .filter(each -> each.getValue() == number)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse("");
    }

    /** Where a worker listens, or null for a number that no list has named. */
    InetSocketAddress address(int id) {
        return id >= 0 && id < addresses.size() ? addresses.get(id) : null;
    }

    /** Discovery's name of a worker, or its number where no list has named it. */
    String name(int id) {
        return id >= 0 && id < ids.size() ? ids.get(id) : Integer.toString(id);
    }

    /** Version of the newest list, or -1 before the first. */
    long version() {
        return version;
    }
}
