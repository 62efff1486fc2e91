package cresschute.dispatch;

import java.util.List;

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
        Preconditions.require(dispatchers >= 1, "dispatchers");
        Preconditions.require(zones >= 1 && zone >= 0 && zone < zones, "zone");
        Preconditions.require(kinds >= 1, "kinds");
        Preconditions.require(classes != null && !classes.isEmpty(), "classes");
        Preconditions.require(tenants != null, "tenants");
        Preconditions.require(limits != null, "limits");
        Preconditions.require(coldStart != null, "coldStart");
        Preconditions.require(goal != null, "goal");
        Preconditions.require(askWithinUs >= 0, "askWithinUs");
        Preconditions.require(progressUs >= 0, "progressUs");
        Preconditions.require(weightSource != null, "weightSource");
        Preconditions.require(closeOnDrainWithinUs >= 0, "closeOnDrainWithinUs");
        for (final RequestClass stated : classes) {
            Preconditions.require(stated.placement().isWithin(zones, kinds), "class placement");
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
