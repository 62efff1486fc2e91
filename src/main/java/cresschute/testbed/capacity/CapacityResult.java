package cresschute.testbed.capacity;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The result of one experiment.
 *
 * @param plan the planned size
 * @param measures the figures of each role
 * @param ruleViolations one line for each broken rule or invariant
 * @param partial why the measurement is incomplete, or null if it is complete
 */
public record CapacityResult(
        CapacityPlan plan, Measures measures, List<String> ruleViolations, String partial) {

    /** The whole result as one JSON object. */
    public JsonObject json() {
        final JsonObject json = new JsonObject();
        json.addProperty("workers", plan.workers());
        json.addProperty("running", (long) figure(Role.WORKER, "running"));
        json.addProperty("running_asked", plan.running());
        json.addProperty(
                "starts_per_second", Measures.rounded(figure(Role.CLIENT, "requests_per_second")));
        json.addProperty("starts_per_second_asked", plan.startsPerSecond());
        json.addProperty("dispatchers", plan.dispatchers());
        json.addProperty("tenants", plan.tenants());
        json.addProperty("zones", plan.zones());
        json.addProperty("regions", plan.regions());
        json.addProperty("seconds", Measures.rounded(figure(Role.CLIENT, "measured_seconds")));
        json.addProperty("seed", plan.seed());
        json.addProperty("unanswered", (long) figure(Role.CLIENT, "unanswered"));
        final JsonArray broken = new JsonArray();
        ruleViolations.forEach(broken::add);
        json.add("rules_broken", broken);
        json.addProperty("partial", partial != null);
        if (partial != null) {
            json.addProperty("partial_because", partial);
        }
        json.add("urgent_start_ms", urgent());
        json.add("gangs", gangs());
        json.addProperty("served_share", Measures.rounded(figure(Role.CLIENT, "served_share")));
        json.addProperty("refused_share", Measures.rounded(figure(Role.CLIENT, "refused_share")));
        json.addProperty("handshake_bytes_reckoned", Traffic.HANDSHAKE_BYTES);
        json.add("roles", measures.json());
        return json;
    }

    /** The result as a Markdown table, followed by its completeness and the broken rules. */
    public List<String> table() {
        final List<String> lines = new ArrayList<>();
        lines.add(
                "| "
                        + plan.workers()
                        + " workers, "
                        + plan.running()
                        + " running, "
                        + plan.startsPerSecond()
                        + " starts a second, "
                        + plan.dispatchers()
                        + " dispatchers | |");
        lines.add("| --- | --- |");
        for (final Role role : Role.values()) {
            new TreeMap<>(measures.of(role))
                    .forEach(
                            (measure, value) ->
                                    lines.add(
                                            "| "
                                                    + role.label()
                                                    + " "
                                                    + measure.replace('_', ' ')
                                                    + " | "
                                                    + Measures.rounded(value)
                                                    + " |"));
        }
        lines.add("");
        lines.add(partial == null ? "Measured whole." : "PARTIAL: " + partial);
        ruleViolations.forEach(each -> lines.add("RULE BROKEN: " + each));
        return lines;
    }

    private JsonObject urgent() {
        final JsonObject urgent = new JsonObject();
        urgent.addProperty("p50", Measures.rounded(figure(Role.CLIENT, "urgent_start_p50_ms")));
        urgent.addProperty("p99", Measures.rounded(figure(Role.CLIENT, "urgent_start_p99_ms")));
        urgent.addProperty("p99.9", Measures.rounded(figure(Role.CLIENT, "urgent_start_p999_ms")));
        urgent.addProperty("not_started", (long) figure(Role.CLIENT, "urgent_not_started"));
        return urgent;
    }

    private JsonObject gangs() {
        final JsonObject gangs = new JsonObject();
        gangs.addProperty("whole", (long) figure(Role.CLIENT, "gangs_whole"));
        gangs.addProperty("partly", (long) figure(Role.CLIENT, "gangs_partial"));
        gangs.addProperty("none", (long) figure(Role.CLIENT, "gangs_refused"));
        return gangs;
    }

    private double figure(Role role, String measure) {
        return measures.get(role, measure).orElse(0.0);
    }

    /** Returns whether it is complete, every request was answered and no rule was broken. */
    public boolean isSuccessful() {
        return partial == null
                && ruleViolations.isEmpty()
                && figure(Role.CLIENT, "unanswered") == 0;
    }
}
