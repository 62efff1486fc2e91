package cresschute.dispatch;

import java.util.List;

/**
 * All that an instance is told when it starts.
 *
 * @param dispatchers how many dispatchers serve the same workers, this one included
 * @param zone the zone of this dispatcher, one of {@code zones} counted from 0
 * @param zones how many zones there are
 * @param kinds how many kinds of worker there are
 * @param endpointListIsPolled whether list news comes only after {@link
 *     DispatcherActions#pollEndpointList()}
 * @param pollWithinUs with that: the longest time to be without a watch before a list counts as
 *     told
 * @param reportsLoad whether load reports come along with answers or probes
 * @param priorityWeightPerWork whether a class's worth is that of a mean job and counts in
 *     proportion to work
 * @param reportsJobStart whether {@link DispatcherEvents#jobProgressed} comes at a job's start
 * @param progressUs its interval after that, or 0 where it does not come
 * @param overQuotaWeightFactor worth of a request beyond its tenant's share, as a fraction
 * @param crossZonePrice points for each attempt that crosses zones, in parts of one request's worth
 * @param allowsLoadQueries whether {@link DispatcherActions#queryLoad} is allowed
 * @param allowsPeerMessages whether {@link DispatcherActions#reportUnresponsive} is allowed
 * @param dataTransferPrice points for each job whose worker must attempt its data, in parts of one
 *     request's worth
 * @param fullMayHaveRun whether a worker may answer {@link Outcome#FULL} for work it had begun
 * @param closeOnDrainWithinUs how long idle connections to a draining worker may stay open after
 *     the notice or the last outcome there; {@link #UNLIMITED} where nothing is stated
 */
public record DispatchSettings(
        int dispatchers,
        int zone,
        int zones,
        int kinds,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overQuotaWeightFactor,
        boolean priorityWeightPerWork,
        AttemptLimits limits,
        SlowStartSettings slowStart,
        ObjectiveWeights objectiveWeights,
        boolean endpointListIsPolled,
        long pollWithinUs,
        WeightSource weightSource,
        boolean reportsLoad,
        boolean reportsJobStart,
        long progressUs,
        double crossZonePrice,
        boolean allowsLoadQueries,
        boolean allowsPeerMessages,
        double dataTransferPrice,
        boolean fullMayHaveRun,
        long closeOnDrainWithinUs) {

    /** A time that is never up. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    public DispatchSettings {
        Preconditions.require(dispatchers >= 1, "dispatchers");
        Preconditions.require(zones >= 1 && zone >= 0 && zone < zones, "zone");
        Preconditions.require(kinds >= 1, "kinds");
        Preconditions.require(classes != null && !classes.isEmpty(), "classes");
        Preconditions.require(tenants != null, "tenants");
        Preconditions.require(limits != null, "limits");
        Preconditions.require(slowStart != null, "coldStart");
        Preconditions.require(objectiveWeights != null, "goal");
        Preconditions.require(pollWithinUs >= 0, "askWithinUs");
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
    boolean canQueryLoad() {
        return allowsLoadQueries && reportsLoad;
    }

    /**
     * Whether these settings may follow others while a module runs: the classes of before come
     * first, unchanged, and the dispatcher's zone and the numbers of zones and kinds are the same.
     */
    public boolean canReplace(DispatchSettings before) {
        return classes.size() >= before.classes.size()
                && classes.subList(0, before.classes.size()).equals(before.classes)
                && zone == before.zone
                && zones == before.zones
                && kinds == before.kinds;
    }
}
