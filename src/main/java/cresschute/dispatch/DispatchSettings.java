package cresschute.dispatch;

import java.util.List;

/**
 * The settings of one dispatcher.
 *
 * @param dispatchers number of dispatchers that serve the same workers, this one included; at least
 *     1
 * @param zone the zone of this dispatcher, from 0 and below {@code zones}
 * @param zones number of zones, at least 1
 * @param kinds number of kinds of worker, at least 1
 * @param classes the request classes, at least one; requests name them by their index
 * @param tenants the tenants with quotas; requests name them by their index
 * @param overQuotaWeightFactor factor on the priority weight of a request beyond its tenant's quota
 * @param priorityWeightPerWork whether a class's priority weight applies to a job of mean work and
 *     scales with the work of each job
 * @param limits limits on the attempts of every request
 * @param slowStart behaviour of workers that are warming up
 * @param objectiveWeights weights of the parts of the objective
 * @param endpointListIsPolled whether changes of the list are delivered only after {@link
 *     DispatcherActions#pollEndpointList()}
 * @param pollWithinUs if the list is polled: longest time without a watch, us; at least 0
 * @param weightSource meaning of the weights in the endpoint list
 * @param reportsLoad whether load reports come with answers or load queries
 * @param reportsJobStart whether {@link DispatcherEvents#jobProgressed} is called at a job's start
 * @param progressUs interval of progress reports after the start, us; 0 if there are none
 * @param crossZonePrice price of an attempt that crosses zones, as a fraction of one request's
 *     value
 * @param allowsLoadQueries whether {@link DispatcherActions#queryLoad} is allowed
 * @param allowsPeerMessages whether {@link DispatcherActions#reportUnresponsive} is allowed
 * @param dataTransferPrice price of a job whose worker must load its data, as a fraction of one
 *     request's value
 * @param fullMayHaveRun whether a worker may answer {@link Outcome#FULL} for a job that it had
 *     started
 * @param closeOnDrainWithinUs longest time that idle connections to a draining worker may stay open
 *     after the drain notice or the last outcome there, us; {@link #UNLIMITED} if not set
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

    /** A duration without a limit. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    /**
     * Checks and copies the settings.
     *
     * @throws IllegalArgumentException if one is missing or out of bounds; the message names the
     *     first such setting
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

    /** Returns whether load queries are allowed and answered with a load report. */
    boolean canQueryLoad() {
        return allowsLoadQueries && reportsLoad;
    }

    /**
     * Returns whether these settings may replace others while a dispatcher runs: they must list the
     * classes of the others first and in order, unchanged but for those with replaced numbers, and
     * keep the zone and the numbers of zones and kinds.
     */
    public boolean canReplace(DispatchSettings before, ClassChanges classChanges) {
        return keepsClassesOf(before, classChanges)
                && zone == before.zone
                && zones == before.zones
                && kinds == before.kinds;
    }

    private boolean keepsClassesOf(DispatchSettings before, ClassChanges classChanges) {
        if (classes.size() < before.classes.size()) {
            return false;
        }
        for (int number = 0; number < before.classes.size(); number++) {
            if (!classChanges.replaced().contains(number)
                    && !classes.get(number).equals(before.classes.get(number))) {
                return false;
            }
        }
        return true;
    }
}
