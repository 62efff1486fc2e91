package cresschute.control;

import com.google.gson.annotations.SerializedName;
import cresschute.dispatch.Placement;
import cresschute.dispatch.Worker;
import cresschute.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The operator's drains, laid over whatever the list says. Pure: the clock is passed in, and
 * nothing is read or written. Operations carry ids, so that one that is sent again after a cut has
 * no second effect. Not safe for several threads: its owner is the loop.
 */
public final class DrainRegistry {

    /** Operations whose outcome is remembered; an older one that is sent again counts as new. */
    static final int MAX_REMEMBERED = 1_024;

    /** Drains at a time; a site has fewer workers. */
    static final int MAX_DRAINS = 10_000;

    /** A drain without an end of its own. */
    public static final long FOREVER = Long.MAX_VALUE;

    /**
     * A drain that is in force.
     *
     * @param untilUs when it ends by itself, or {@link #FOREVER}
     * @param who who asked for it, in the words of their console
     */
    public record Drain(
            @SerializedName("worker") String worker,
            @SerializedName("sinceUs") long sinceUs,
            @SerializedName("untilUs") long untilUs,
            @SerializedName("who") String who,
            @SerializedName("reason") String reason) {}

    /**
     * What an operator asks for.
     *
     * @param id drawn by the console; the same operation sent again carries the same one
     * @param start whether to drain, or else to undo a drain
     * @param forUs how long, from when it is first heard; {@link #FOREVER} where it has no end
     * @param forced whether to drain although work would have nowhere to go
     */
    public record Operation(
            @SerializedName("id") String id,
            @SerializedName("start") boolean start,
            @SerializedName("worker") String worker,
            @SerializedName("forUs") long forUs,
            @SerializedName("who") String who,
            @SerializedName("reason") String reason,
            @SerializedName("forced") boolean forced) {
        public Operation {
            Objects.requireNonNull(id);
            Objects.requireNonNull(worker);
            if (forUs <= 0) {
                throw new IllegalArgumentException("a drain lasts longer than no time");
            }
        }
    }

    /** How an operation ended: it changed something, found it so already, or was refused. */
    public enum Kind {
        @SerializedName("DONE")
        DONE("done"),
        @SerializedName("ALREADY")
        ALREADY("already"),
        @SerializedName("REFUSED")
        REFUSED("refused");

        private final String wireName;

        Kind(String wireName) {
            this.wireName = wireName;
        }

        /** The word in an answer to a console; a snapshot's word is the one that Gson is told. */
        public String wireName() {
            return wireName;
        }
    }

    /** The outcome of an operation, with its reason where it is not done. */
    public record Outcome(@SerializedName("kind") Kind kind, @SerializedName("why") String why) {

        private static final Outcome DONE = new Outcome(Kind.DONE, "");

        private static Outcome already(String why) {
            return new Outcome(Kind.ALREADY, why);
        }

        private static Outcome refused(String why) {
            return new Outcome(Kind.REFUSED, why);
        }
    }

    /** A worker as the list has it, under its name. */
    public record Listed(String name, Worker worker) {}

    /** A class, and where its requests may be sent. */
    public record ClassBound(String name, Placement placement) {}

    /**
     * What a drain is judged by.
     *
     * @param workers the list without any overlay
     * @param boundCells cells that keyed requests may only be repeated in, as their first sends are
     *     out there
     */
    public record Site(List<Listed> workers, List<ClassBound> classes, Set<Integer> boundCells) {}

    /**
     * An operation that was carried out, and how it ended: what makes it harmless to send it again.
     */
    public record Remembered(
            @SerializedName("operation") Operation operation,
            @SerializedName("outcome") Outcome outcome) {}

    private final Map<String, Drain> drains = new LinkedHashMap<>();
    private final Map<String, Remembered> remembered = new LinkedHashMap<>();

    /** Carries an operation out, once: the same one again is told the same and changes nothing. */
    public Outcome apply(Operation operation, Site site, long nowUs) {
        final Remembered before = remembered.get(operation.id());
        if (before != null) {
            return before.operation().equals(operation)
                    ? before.outcome()
                    : Outcome.refused("operation " + operation.id() + " was another one before");
        }
        final Outcome outcome =
                operation.start() ? start(operation, site, nowUs) : cancel(operation);
        remembered.put(operation.id(), new Remembered(operation, outcome));
        if (remembered.size() > MAX_REMEMBERED) {
            remembered.remove(remembered.keySet().iterator().next());
        }
        return outcome;
    }

    /** Whether an operation under this id was carried out and is still remembered. */
    public boolean isRemembered(String operationId) {
        return remembered.containsKey(operationId);
    }

    private Outcome start(Operation operation, Site site, long nowUs) {
        final Drain inForce = drains.get(operation.worker());
        if (inForce != null) {
            return Outcome.already(
                    "drained by "
                            + inForce.who()
                            + (inForce.reason().isEmpty() ? "" : ": " + inForce.reason()));
        }
        if (drains.size() >= MAX_DRAINS) {
            return Outcome.refused(MAX_DRAINS + " drains are in force; undo one first");
        }
        final String harm = operation.forced() ? null : harm(operation.worker(), site);
        if (harm != null) {
            return Outcome.refused(harm);
        }
        // Guards against a sum that wraps round for a drain of some hundred thousand years.
        final long untilUs =
                operation.forUs() > FOREVER - nowUs ? FOREVER : nowUs + operation.forUs();
        drains.put(
                operation.worker(),
                new Drain(operation.worker(), nowUs, untilUs, operation.who(), operation.reason()));
        return Outcome.DONE;
    }

    private Outcome cancel(Operation operation) {
        return drains.remove(operation.worker()) != null
                ? Outcome.DONE
                : Outcome.already("not drained by an operator");
    }

    /** Why a drain would leave work without a place, or null. */
    private String harm(String name, Site site) {
        final Worker leaving =
                site.workers().stream()
                        .filter(each -> each.name().equals(name))
                        .map(Listed::worker)
                        .findFirst()
                        .orElse(null);
        if (leaving == null) {
            return "no worker is called " + name;
        }
        if (over(name, leaving.state()) != WorkerState.READY) {
            // It takes nothing new as it is: a worker that is restarting just now comes back
            // drained.
            return null;
        }
        final List<Worker> left = new ArrayList<>();
        for (final Listed each : site.workers()) {
            if (!each.name().equals(name)
                    && over(each.name(), each.worker().state()) == WorkerState.READY) {
                left.add(each.worker());
            }
        }
        for (final ClassBound each : site.classes()) {
            if (each.placement().allows(leaving)
                    && left.stream().noneMatch(each.placement()::allows)) {
                return name + " is the last worker that may run " + each.name();
            }
        }
        if (site.boundCells().contains(leaving.cell())
                && left.stream().noneMatch(worker -> worker.cell() == leaving.cell())) {
            return name + " is the last of cell " + leaving.cell() + ", where keyed jobs are out";
        }
        return null;
    }

    /** The state that the module hears: the worse of what the list and the operator say. */
    public WorkerState over(String worker, WorkerState listed) {
        return listed == WorkerState.READY && drains.containsKey(worker)
                ? WorkerState.DRAINING
                : listed;
    }

    /**
     * Ends the drains whose time is up, and names their workers, whose state may have changed by
     * it.
     */
    public List<String> expire(long nowUs) {
        final List<String> ended =
                drains.values().stream()
                        .filter(each -> each.untilUs() <= nowUs)
                        .map(Drain::worker)
                        .toList();
        ended.forEach(drains::remove);
        return ended;
    }

    /** When the next drain ends by itself, or {@link #FOREVER}. */
    public long nextEndUs() {
        return drains.values().stream().mapToLong(Drain::untilUs).min().orElse(FOREVER);
    }

    /** The drain of a worker, or null. */
    public Drain of(String worker) {
        return drains.get(worker);
    }

    /** The drains in force, oldest first: what a snapshot holds. */
    public List<Drain> inForce() {
        return List.copyOf(drains.values());
    }

    /** The operations that are remembered, oldest first: a snapshot holds them too. */
    public List<Remembered> remembered() {
        return List.copyOf(remembered.values());
    }

    /** Drains of a snapshot, in place of all that were in force. */
    public void restore(List<Drain> kept) {
        restore(kept, List.of());
    }

    /** Drains and operations of a snapshot, in place of all that was known. */
    public void restore(List<Drain> kept, List<Remembered> operations) {
        drains.clear();
        kept.forEach(each -> drains.put(each.worker(), each));
        remembered.clear();
        operations.forEach(each -> remembered.put(each.operation().id(), each));
    }
}
