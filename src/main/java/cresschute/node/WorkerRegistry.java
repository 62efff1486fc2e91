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
 * All workers that discovery has listed since the start of the process, by numbers that never
 * change: their names, addresses and states, and the version of the list. Lives as long as the
 * node; {@link EndpointListPublisher} alone changes it. Call from the event loop.
 */
final class WorkerRegistry {

    private static final long US_PER_MS = 1_000;
    private static final int UNKNOWN = -1;

    private final Map<String, Integer> numbers = new HashMap<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<String> names = new ArrayList<>();

    /** The workers as last listed, by number; a worker missing from a full list is gone. */
    private final List<Worker> listed = new ArrayList<>();

    private final Map<String, Integer> zones = new HashMap<>();
    private final Map<String, Integer> kinds = new HashMap<>();
    private long version = -1;

    /**
     * Creates a registry without workers.
     *
     * @param zones the names of the settings' zones, by number
     * @param kinds the names of the settings' kinds of machines, by number
     */
    WorkerRegistry(List<String> zones, List<String> kinds) {
        zones.forEach(zone -> numberOf(this.zones, zone));
        kinds.forEach(kind -> numberOf(this.kinds, kind));
    }

    /**
     * Applies an answer of discovery; a changed address takes effect at once.
     *
     * @return the workers that the answer names, as the dispatcher knows them
     */
    List<Worker> apply(EndpointList list) {
        version = list.version();
        if (list.full()) {
            listed.replaceAll(each -> withState(each, WorkerState.GONE));
        }
        final List<Worker> workers = new ArrayList<>();
        for (final EndpointList.Endpoint entry : list.entries()) {
            workers.add(apply(entry));
        }
        return workers;
    }

    private Worker apply(EndpointList.Endpoint entry) {
        final int number = numberOf(numbers, entry.id());
        final Worker worker =
                new Worker(
                        number,
                        numberOf(zones, entry.zone()),
                        numberOf(kinds, entry.kind()),
                        entry.cell(),
                        entry.state(),
                        entry.weight(),
                        entry.startedMs() * US_PER_MS);
        if (number == listed.size()) {
            addresses.add(entry.addr());
            names.add(entry.id());
            listed.add(worker);
        } else {
            addresses.set(number, entry.addr());
            listed.set(number, worker);
        }
        return worker;
    }

    /** Returns a copy of a worker with another state. */
    static Worker withState(Worker worker, WorkerState state) {
        return new Worker(
                worker.id(),
                worker.zone(),
                worker.kind(),
                worker.cell(),
                state,
                worker.weight(),
                worker.startedAtUs());
    }

    /** Names are opaque: each new one gets the next number. */
    private static int numberOf(Map<String, Integer> numbers, String name) {
        return numbers.computeIfAbsent(name, unseen -> numbers.size());
    }

    /**
     * All workers that were ever listed, as last listed; a worker's number is its index. Read-only.
     */
    List<Worker> listed() {
        return Collections.unmodifiableList(listed);
    }

    /** The number of a worker, or -1 if no list has named it. */
    int number(String name) {
        return numbers.getOrDefault(name, UNKNOWN);
    }

    /** The name of a kind of machine; empty for an unknown number. */
    String kind(int number) {
        return kinds.entrySet().stream()
                .filter(each -> each.getValue() == number)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse("");
    }

    /** The address of a worker, or null for a number that no list has named. */
    InetSocketAddress address(int number) {
        return isKnown(number) ? addresses.get(number) : null;
    }

    /** Discovery's name of a worker, or the number itself if no list has named it. */
    String name(int number) {
        return isKnown(number) ? names.get(number) : Integer.toString(number);
    }

    private boolean isKnown(int number) {
        return number >= 0 && number < listed.size();
    }

    /** Version of the newest list, or -1 before the first. */
    long version() {
        return version;
    }
}
