package cresschute.testbed;

import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.RequestClass;
import cresschute.settings.NodeSettings;
import java.util.ArrayList;
import java.util.List;

/**
 * A request class as the clients of the fleet send it and as the rules bind it.
 *
 * @param share weight of the class among all jobs
 * @param meanWorkUs mean running time at speed 1
 * @param maxAttempts how often one request may be sent to workers
 */
public record JobClass(
        String name,
        double priorityWeight,
        long latencyObjectiveUs,
        double latencyObjectiveStretch,
        long deadlineUs,
        Idempotency effect,
        DeduplicationScope scope,
        long repeatWindowUs,
        int maxAttempts,
        double share,
        long meanWorkUs) {

    /**
     * Returns the classes of the settings. Without a demand, a job takes a fifth of its latency
     * objective on average and the class has a share of 1.
     */
    static List<JobClass> of(NodeSettings settings, List<Demand> demands) {
        final List<JobClass> classes = new ArrayList<>();
        for (int i = 0; i < settings.classes().size(); i++) {
            final String name = settings.classes().get(i);
            final RequestClass stated = settings.dispatch().classes().get(i);
            final Demand demand =
                    demands.stream()
                            .filter(each -> each.className().equals(name))
                            .findFirst()
                            .orElse(new Demand(name, 1, stated.latencyObjectiveUs() / 5));
            classes.add(
                    new JobClass(
                            name,
                            stated.priorityWeight(),
                            stated.latencyObjectiveUs(),
                            stated.latencyObjectiveStretch(),
                            stated.deadlineUs(),
                            stated.idempotency(),
                            stated.deduplicationScope(),
                            stated.deduplicationWindowUs(),
                            Math.min(
                                    stated.maxAttempts(),
                                    settings.dispatch().limits().maxAttempts()),
                            demand.share(),
                            demand.meanWorkUs()));
        }
        return List.copyOf(classes);
    }

    /** The demand for a class. */
    record Demand(String className, double share, long meanWorkUs) {}

    /** Returns whether a response this long after the first attempt is in time. */
    boolean isInTime(long tookUs, long workUs) {
        return tookUs <= latencyObjectiveUs + latencyObjectiveStretch * workUs;
    }
}
