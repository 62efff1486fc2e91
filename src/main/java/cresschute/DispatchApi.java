package cresschute;

import java.util.List;

/**
 * The whole interface between a dispatcher (the host) and its decision module, {@link Logic}.
 *
 * <p>The host builds one module for each dispatcher, calls {@link Events} in the order things happen, from
 * one thread at a time, and carries out {@link Actions} calls in the order made. All times are microseconds
 * of one clock that never runs backwards. Ids are opaque 32-bit values, returned unaltered. The module
 * keeps no reference to lists handed to it and shares nothing with other instances.
 */
public final class DispatchApi {

    private DispatchApi() {}

    /** What a repeat of a request may do. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** The workers among which a repeat of a keyed request is dropped. */
    public enum RepeatScope {
        ALL, ZONE, CELL
    }

    /** How an attempt ended; {@code UNUSABLE}: no fault of the worker, the request is none it can use. */
    public enum Outcome {
        SERVED("served"),
        ERROR("error"),
        FULL("full"),
        TIMED_OUT("timed_out"),
        CONNECT_FAILED("connect_failed"),
        BROKEN("broken"),
        CANCELLED("cancelled"),
        NOT_SENT("not_sent"),
        UNUSABLE("unusable");

        private final String wireName;

        Outcome(String wireName) {
            this.wireName = wireName;
        }

        /** The word in the log. */
        public String wireName() {
            return wireName;
        }
    }

    /** What the list says of a worker. */
    public enum WorkerState {
        READY("ready"),
        DRAINING("draining"),
        GONE("gone");

        private final String wireName;

        WorkerState(String wireName) {
            this.wireName = wireName;
        }

        /** The word in a row that consoles are shown. */
        public String wireName() {
            return wireName;
        }
    }

    /** What a piece of list news holds; {@code FAILED} means a watch or fetch failed and the list stands. */
    public enum ListForm {
        CHANGES, FULL, CACHED, FAILED
    }

    /** Meaning of a worker's weight. {@code LIVE} is its size over one plus the requests held by a core. */
    public enum WeightSource {
        NONE, NOMINAL, ROUGH, LIVE
    }

    /**
     * What came along of a worker's load, some while old. A negative value was not told.
     *
     * @param freeSlots slots that no job held
     * @param outstanding requests that it held, waiting ones included
     * @param waiting requests that waited for a slot
     */
    public record LoadReport(double freeSlots, double outstanding, double waiting) {

        /** Nothing came along. */
        public static final LoadReport NONE = new LoadReport(-1, -1, -1);
    }

    /**
     * Where a class may be sent, at every attempt. A list that is null sets no bound.
     *
     * @param zones the only zones open to it
     * @param kinds the only kinds of worker open to it
     */
    public record Placement(List<Integer> zones, List<Integer> kinds) {

        /** No bound. */
        public static final Placement ANYWHERE = new Placement(null, null);

        public Placement {
            require(zones == null || !zones.isEmpty(), "placement zones");
            require(kinds == null || !kinds.isEmpty(), "placement kinds");
            zones = sorted(zones);
            kinds = sorted(kinds);
        }

        /** Whether the bounds leave this worker open. */
        public boolean allows(Worker worker) {
            return (zones == null || zones.contains(worker.zone()))
                && (kinds == null || kinds.contains(worker.kind()));
        }

        /** Whether all that the other leaves open is open here too. */
        public boolean contains(Placement other) {
            return (zones == null || other.zones != null && zones.containsAll(other.zones))
                && (kinds == null || other.kinds != null && kinds.containsAll(other.kinds));
        }

        private static List<Integer> sorted(List<Integer> bound) {
            return bound == null ? null : bound.stream().sorted().distinct().toList();
        }

        private boolean isWithin(int zoneCount, int kindCount) {
            return (zones == null || zones.get(0) >= 0 && zones.get(zones.size() - 1) < zoneCount)
                && (kinds == null || kinds.get(0) >= 0 && kinds.get(kinds.size() - 1) < kindCount);
        }
    }

    /**
     * A class of requests.
     *
     * @param worth value of one request answered in time
     * @param aimUs an answer is in time within this plus {@code aimStretch} times the job's running time
     * @param deadlineUs when clients give up
     * @param repeatWindowUs keyed: how long repeats are dropped, from the first send that might have run
     * @param placement the only workers that it may be sent to
     * @param maxAttempts sends for one request at the most, within those that {@link Limits} allow
     */
    public record RequestClass(double worth, long aimUs, double aimStretch, long deadlineUs, Effect effect,
        RepeatScope scope, long repeatWindowUs, Placement placement,
        int maxAttempts) {

        /** A class with no bound of its own on attempts. */
        public RequestClass(double worth, long aimUs, double aimStretch, long deadlineUs, Effect effect,
            RepeatScope scope, long repeatWindowUs, Placement placement) {
            this(worth, aimUs, aimStretch, deadlineUs, effect, scope, repeatWindowUs, placement,
                Integer.MAX_VALUE);
        }

        public RequestClass {
            require(maxAttempts >= 1, "class maxAttempts");
            require(worth >= 0, "class worth");
            require(aimUs > 0, "class aimUs");
            require(aimStretch >= 0, "class aimStretch");
            require(deadlineUs > 0, "class deadlineUs");
            require(effect != null, "class effect");
            require(scope != null, "class scope");
            require(repeatWindowUs >= 0, "class repeatWindowUs");
            require(placement != null, "class placement");
        }
    }

    /** A customer's share: requests a second within it, over all dispatchers together. */
    public record Tenant(String name, double quotaPerS) {
        public Tenant {
            require(name != null, "tenant name");
            require(quotaPerS >= 0, "tenant quotaPerS");
        }
    }

    /**
     * What the host allows. {@code maxRetryAfterUs} is 0 where clients take no advice; {@code secondCopies}
     * tells whether a request may be out twice at a time.
     */
    public record Limits(int maxAttempts, long maxRetryAfterUs, boolean secondCopies) {
        public Limits {
            require(maxAttempts >= 1, "limits maxAttempts");
            require(maxRetryAfterUs >= 0, "limits maxRetryAfterUs");
        }
    }

    /**
     * The stated behaviour of a worker that has just started: sent more than {@code overloadFactor} times its
     * capacity of the moment for {@code tipAfterUs}, it falls over.
     */
    public record ColdStart(double fromShare, long warmWithinUs, double overloadFactor, long tipAfterUs) {

        /** Slack for chance in the bound of a cold worker: roots of the stated jobs, and jobs besides. */
        private static final double CHANCE_SLACK = 2;

        public ColdStart {
            require(fromShare > 0 && fromShare <= 1, "coldStart fromShare");
            require(warmWithinUs >= 0, "coldStart warmWithinUs");
            require(overloadFactor > 0, "coldStart overloadFactor");
            require(tipAfterUs >= 0, "coldStart tipAfterUs");
        }

        /**
         * Jobs of mean work within {@code tipAfterUs} beyond which a cold worker falls, with the slack for
         * chance.
         *
         * @param stated how many of them {@code overloadFactor} times its capacity of the moment are
         */
        public double jobsBorne(double stated) {
            return stated + CHANCE_SLACK * (Math.sqrt(stated) + 1);
        }
    }

    /** Weights of the goal's parts; only their proportions count. */
    public record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {
        public Goal {
            require(whole >= 0 && worstWindow >= 0 && worstClass >= 0 && worstTenant >= 0, "goal weights");
        }
    }

    /**
     * All that an instance is told when it starts.
     *
     * @param dispatchers how many dispatchers serve the same workers, this one included
     * @param zone the zone of this dispatcher, one of {@code zones} counted from 0
     * @param zones how many zones there are
     * @param kinds how many kinds of worker there are
     * @param listMustBeAsked whether list news comes only after {@link Actions#watchList()}
     * @param askWithinUs with that: the longest time to be without a watch before a list counts as told
     * @param reportsLoad whether load reports come along with answers or probes
     * @param worthByWork whether a class's worth is that of a mean job and counts in proportion to work
     * @param tellsStart whether {@link Events#jobProgressed} comes at a job's start
     * @param progressUs its interval after that, or 0 where it does not come
     * @param overShareWorth worth of a request beyond its tenant's share, as a fraction
     * @param crossZonePrice points for each attempt that crosses zones, in parts of one request's worth
     * @param probing whether {@link Actions#probe} is allowed
     * @param peerMessages whether {@link Actions#tellSilent} is allowed
     * @param fetchPrice points for each job whose worker must fetch its data, in parts of one request's worth
     * @param fullMayHaveRun whether a worker may answer {@link Outcome#FULL} for work it had begun
     * @param closeOnDrainWithinUs how long idle connections to a draining worker may stay open after the
     *     notice or the last outcome there; {@link #UNLIMITED} where nothing is stated
     */
    public record Settings(int dispatchers, int zone, int zones, int kinds, List<RequestClass> classes,
        List<Tenant> tenants, double overShareWorth, boolean worthByWork,
        Limits limits, ColdStart coldStart, Goal goal,
        boolean listMustBeAsked, long askWithinUs, WeightSource weightSource,
        boolean reportsLoad, boolean tellsStart, long progressUs,
        double crossZonePrice, boolean probing, boolean peerMessages, double fetchPrice,
        boolean fullMayHaveRun, long closeOnDrainWithinUs) {

        /** A time that is never up. */
        public static final long UNLIMITED = Long.MAX_VALUE;

        public Settings {
            require(dispatchers >= 1, "dispatchers");
            require(zones >= 1 && zone >= 0 && zone < zones, "zone");
            require(kinds >= 1, "kinds");
            require(classes != null && !classes.isEmpty(), "classes");
            require(tenants != null, "tenants");
            require(limits != null, "limits");
            require(coldStart != null, "coldStart");
            require(goal != null, "goal");
            require(askWithinUs >= 0, "askWithinUs");
            require(progressUs >= 0, "progressUs");
            require(weightSource != null, "weightSource");
            require(closeOnDrainWithinUs >= 0, "closeOnDrainWithinUs");
            for (final RequestClass stated : classes) {
                require(stated.placement().isWithin(zones, kinds), "class placement");
            }
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        /** Whether workers may be asked for their load at any time. */
        boolean asksLoad() {
            return probing && reportsLoad;
        }

        /**
         * Whether these settings may follow others while a module runs: the classes of before come first,
         * unchanged, and the dispatcher's zone and the numbers of zones and kinds are the same.
         */
        public boolean mayFollow(Settings before) {
            return classes.size() >= before.classes.size()
                && classes.subList(0, before.classes.size()).equals(before.classes)
                && zone == before.zone && zones == before.zones && kinds == before.kinds;
        }
    }

    /** One entry of the worker list; {@code startedAtUs} is 0 where it started long ago. */
    public record Worker(int id, int zone, int kind, int cell, WorkerState state, double weight,
        long startedAtUs) {}

    /**
     * What is known of a request when it arrives.
     *
     * @param tenant ignored where there are none
     * @param slots slots that it takes while it runs
     * @param runHintUs expected running time at speed 1, or 0 where nothing tells
     * @param dataKey what it concerns; jobs of one key need the same data at their worker. 0: nothing
     * @param repeated set where clients mark their retries
     */
    public record Job(int requestClass, int tenant, double slots, long runHintUs, long dataKey,
        boolean repeated) {}

    /** What the host tells the module. Each call carries the clock of the moment. */
    public interface Events {

        /** The list or a change to it; the first call after the start has form {@code CACHED}. */
        void listed(long nowUs, ListForm form, List<Worker> entries);

        /** A client's request, to be answered once by {@code giveUpUs}. */
        void requested(long nowUs, int requestId, Job job, long giveUpUs);

        /** The client left or was answered otherwise: nothing is owed any more. */
        void clientLeft(long nowUs, int requestId);

        /** A job has started to run (share 0), or how much of it is done. */
        void jobProgressed(long nowUs, int requestId, int attempt, int workerId, double shareDone);

        /** An attempt ended, once for each send. {@code requestClosed}: no answer is owed any more. */
        void ended(long nowUs, int requestId, int attempt, int workerId, Outcome outcome, long elapsedUs,
            boolean requestClosed, LoadReport report);

        /** A probe ended, one call for each, or a load is known unasked; {@code SERVED} where known. */
        void probed(long nowUs, int workerId, Outcome outcome, LoadReport report);

        /** Another dispatcher says that jobs of a class do not start at a worker. */
        void toldSilent(long nowUs, int workerId, int requestClass);

        /** A timer asked for by {@link Actions#wakeAfter} is due. */
        void woken(long nowUs, long token);

        /**
         * The settings change while the module runs, as an operator changed them. The classes told before
         * come first, unchanged and in their order, and new ones may follow; a class that no longer comes
         * stays and is simply not asked for any more, so a request under way keeps its class. The number of
         * attempts allowed may fall: that holds for requests under way too, while a rise holds only for those
         * that arrive later. The dispatcher's zone and the numbers of zones and kinds stay as they were.
         *
         * @throws IllegalArgumentException where the classes told before, the zones or the kinds differ
         */
        void retuned(long nowUs, Settings settings);
    }

    /** What the module asks of the host. */
    public interface Actions {

        /** Starts the request's next attempt, counted from 0; it ends at {@code giveUpUs} at the latest. */
        void send(int requestId, int workerId, long giveUpUs);

        /** Final answer: turned away, and a retry does no harm. Advice of 0 is none. */
        void refuse(int requestId, long retryAfterUs);

        /** Final answer: failed; it may or may not have run. */
        void fail(int requestId);

        /** Asks for {@link Events#woken} after a delay. */
        void wakeAfter(long token, long delayUs);

        /** Asks for list changes from now on; answered by one {@link Events#listed}. */
        void watchList();

        /** Asks a worker for a sign of life and its load report; only where the host allows it. */
        void probe(int workerId);

        /** Tells all other dispatchers that jobs of a class do not start at a worker; only where allowed. */
        void tellSilent(int workerId, int requestClass);

        /** Closes the connections to a worker that no attempt is using now. */
        void closeIdle(int workerId);
    }

    private static void require(boolean holds, String field) {
        if (!holds) {
            throw new IllegalArgumentException("invalid or missing setting: " + field);
        }
    }
}
