package cresschute.dispatch;

import java.util.List;

/**
 * The settings of one dispatcher.
 *
 * @param dispatchers how many dispatchers serve the same workers, this one included; at least 1
 * @param zone the zone of this dispatcher, from 0 and below {@code zones}
 * @param zones how many zones there are, at least 1
 * @param kinds how many kinds of worker there are, at least 1
 * @param classes the request classes, at least one; requests name them by their index
 * @param tenants the tenants with quotas; requests name them by their index
 * @param overQuotaWeightFactor factor on the priority weight of a request beyond its tenant's quota
 * @param priorityWeightPerWork whether a class's priority weight is that of a mean job and counts
 *     in proportion to work
 * @param limits limits on the attempts of every request
 * @param slowStart behaviour of workers that are warming up
 * @param objectiveWeights weights of the parts of the objective
 * @param endpointListIsPolled whether changes of the list come only after {@link
 *     DispatcherActions#pollEndpointList()}
 * @param pollWithinUs with that: longest time without a watch, us; at least 0
 * @param weightSource what the weights in the endpoint list mean
 * @param reportsLoad whether load reports come with answers or load queries
 * @param reportsJobStart whether {@link DispatcherEvents#jobProgressed} comes at a job's start
 * @param progressUs interval of progress reports after that, us; 0 where none come
 * @param crossZonePrice price of an attempt that crosses zones, in parts of one request's value
 * @param allowsLoadQueries whether {@link DispatcherActions#queryLoad} is allowed
 * @param allowsPeerMessages whether {@link DispatcherActions#reportUnresponsive} is allowed
 * @param dataTransferPrice price of a job whose worker must load its data, in parts of one
 *     request's value
 * @param fullMayHaveRun whether a worker may answer {@link Outcome#FULL} for work it had begun
 * @param closeOnDrainWithinUs how long idle connections to a draining worker may stay open after
 *     the notice or the last outcome there, us; {@link #UNLIMITED} where nothing is stated
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

    /** A time without an end. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    /**
     * Checks and copies the settings.
     *
     * @throws IllegalArgumentException naming the first setting that is missing or out of bounds
     */
    public DispatchSettings {
        Preconditions.require(dispatchers >= 1, "dispatchers");
        Preconditions.require(zones >= 1 && zone >= 0 && zone < zones, "zone");
        Preconditions.require(kinds >= 1, "kinds");
        Preconditions.require(classes != null && !classes.isEmpty(), "classes");
        Preconditions.require(tenants != null, "tenants");
        Preconditions.require(limits != null, "limits");
        Preconditions.require(slowStart != null, "slowStart");
        Preconditions.require(objectiveWeights != null, "objectiveWeights");
        Preconditions.require(pollWithinUs >= 0, "pollWithinUs");
        Preconditions.require(progressUs >= 0, "progressUs");
        Preconditions.require(weightSource != null, "weightSource");
        Preconditions.require(closeOnDrainWithinUs >= 0, "closeOnDrainWithinUs");
        for (final RequestClass requestClass : classes) {
            Preconditions.require(
                    requestClass.placement().isWithin(zones, kinds), "class placement");
        }
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /** Whether a load query is allowed and brings a load report. */
    boolean canQueryLoad() {
        return allowsLoadQueries && reportsLoad;
    }

    /**
     * Whether these settings may replace others while a dispatcher runs: the classes in force come
     * first, unchanged, and the zone and the numbers of zones and kinds are the same.
     */
    public boolean canReplace(DispatchSettings before) {
        return classes.size() >= before.classes.size()
                && classes.subList(0, before.classes.size()).equals(before.classes)
                && zone == before.zone
                && zones == before.zones
                && kinds == before.kinds;
    }
}
