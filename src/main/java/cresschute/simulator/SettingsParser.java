package cresschute.simulator;

import cresschute.dispatch.AttemptLimits;
import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.ObjectiveWeights;
import cresschute.dispatch.Placement;
import cresschute.dispatch.RequestClass;
import cresschute.dispatch.SlowStartSettings;
import cresschute.dispatch.Tenant;
import cresschute.dispatch.WeightSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the {@code path=value} lines of a launch record into {@link DispatchSettings}. It maps the
 * names on the wire to the terms of the dispatch package and ignores unknown keys.
 */
public final class SettingsParser {

    /** Kind number on the wire of a class that may run at workers of any kind. */
    private static final int ANY_KIND = -1;

    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String text) {
        for (final String line : text.split("\n")) {
            final int split = line.indexOf('=');
            if (split > 0) {
                values.put(line.substring(0, split).strip(), line.substring(split + 1).strip());
            }
        }
    }

    /**
     * Parses the settings that an instance is launched with.
     *
     * @throws IllegalArgumentException if a setting is missing or invalid; the message names it
     */
    public static DispatchSettings parse(String text) {
        return new SettingsParser(text).settings();
    }

    /** Returns the positions of the known values in load reports, according to these settings. */
    static ReportLayout reportLayout(String text) {
        final SettingsParser parser = new SettingsParser(text);
        final List<String> fields = parser.list("report.fields");
        final boolean x0IsFreeSlots = parser.string("extra.reportX0", "").equals("free_slots");
        return new ReportLayout(
                x0IsFreeSlots ? fields.indexOf("x0") : ReportLayout.MISSING,
                fields.indexOf("outstanding"),
                fields.indexOf("backlog"));
    }

    private DispatchSettings settings() {
        final long warmUpDurationUs = (long) number("rules.warmWithinUs", 0);
        return new DispatchSettings(
                (int) number("balancers"),
                (int) number("myZone", 0),
                Math.max(1, list("zones").size()),
                Math.max(1, list("hostTypes").size()),
                classes(),
                tenants(),
                number("overShareWorth", 1),
                string("worthBy", "request").equals("work"),
                new AttemptLimits(
                        (int) number("limits.maxAttempts", 1),
                        flag("limits.retryAfter", false)
                                ? (long) number("limits.maxRetryAfterUs", 0)
                                : 0,
                        flag("limits.parallelTries", false)),
                new SlowStartSettings(
                        number("rules.coldFrom", 1),
                        warmUpDurationUs,
                        number("rules.overloadFactor", 1),
                        (long) number("rules.tipAfterUs", 0)),
                new ObjectiveWeights(
                        number("goal.whole", 1),
                        number("goal.worstWindow", 0),
                        number("goal.worstClass", 0),
                        number("goal.worstTenant", 0)),
                string("membershipMode", "push").equals("ask"),
                (long) number("rules.askWithinUs", 0),
                weightSource(string("weightSource", "off")),
                !string("report.how", "off").equals("off"),
                flag("extra.tellsStart", false),
                (long) number("extra.progressUs", 0),
                number("prices.crossZone", 0),
                flag("limits.probing", false),
                flag("limits.peerMessages", false),
                number("prices.origin", 0),
                flag("rules.busyIsNoProof", false),
                (long) number("rules.closeOnDrainWithinUs", DispatchSettings.UNLIMITED));
    }

    private List<RequestClass> classes() {
        final int count = (int) number("classes.count");
        final List<String> kinds = list("extra.classKind");
        final List<String> stretches = list("extra.classStretch");
        final List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final String prefix = "classes." + i + ".";
            final double defaultStretch =
                    i < stretches.size() ? parse("extra.classStretch", stretches.get(i)) : 0;
            classes.add(
                    new RequestClass(
                            number(prefix + "worth", 1),
                            (long) number(prefix + "goalTimeUs"),
                            number(prefix + "aimStretch", defaultStretch),
                            (long) number(prefix + "deadlineUs"),
                            idempotency(prefix + "idempotency"),
                            scope(string(prefix + "group", "all")),
                            (long) number(prefix + "keyTtlUs", 0),
                            placement(
                                    prefix,
                                    i < kinds.size()
                                            ? (int) parse("extra.classKind", kinds.get(i))
                                            : ANY_KIND)));
        }
        return classes;
    }

    /**
     * Parses the placement of a class.
     *
     * @param onlyKind the only kind of worker that can run the class, or {@link #ANY_KIND}
     */
    private Placement placement(String prefix, int onlyKind) {
        final List<Integer> runsOn = numbers(prefix + "runsOn");
        if (onlyKind < 0) {
            return new Placement(numbers(prefix + "zonesOpen"), runsOn);
        }
        final boolean open = runsOn == null || runsOn.contains(onlyKind);
        return new Placement(numbers(prefix + "zonesOpen"), open ? List.of(onlyKind) : List.of());
    }

    /** Parses a list of numbers. Returns null, which means no restriction, if the key is absent. */
    private List<Integer> numbers(String key) {
        return values.containsKey(key)
                ? list(key).stream().map(value -> (int) parse(key, value)).toList()
                : null;
    }

    private List<Tenant> tenants() {
        final int count = (int) number("tenants.count", 0);
        final List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tenants.add(
                    new Tenant(
                            string("tenants." + i + ".name", Integer.toString(i)),
                            number("tenants." + i + ".quotaPerS")));
        }
        // Requests refer to a tenant by its index, so two tenants of the same name would split its
        // quota.
        if (tenants.stream().map(Tenant::name).distinct().count() != count) {
            throw new IllegalArgumentException("tenants.*.name: two tenants have the same name");
        }
        return tenants;
    }

    private Idempotency idempotency(String key) {
        final String value = required(key);
        return switch (value) {
            case "pure" -> Idempotency.SAFE;
            case "token" -> Idempotency.KEYED;
            case "side_effect" -> Idempotency.UNSAFE;
            default -> throw invalidValue(key, value);
        };
    }

    private static DeduplicationScope scope(String value) {
        return switch (value) {
            case "cell" -> DeduplicationScope.CELL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.ALL;
        };
    }

    private static WeightSource weightSource(String value) {
        return switch (value) {
            case "nominal" -> WeightSource.NOMINAL;
            case "rough" -> WeightSource.ROUGH;
            case "live" -> WeightSource.LIVE;
            default -> WeightSource.NONE;
        };
    }

    private double number(String key) {
        return parse(key, required(key));
    }

    private double number(String key, double defaultValue) {
        final String value = values.get(key);
        return value == null || value.isEmpty() ? defaultValue : parse(key, value);
    }

    private boolean flag(String key, boolean defaultValue) {
        return Boolean.parseBoolean(string(key, Boolean.toString(defaultValue)));
    }

    private String string(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    private List<String> list(String key) {
        final String value = string(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private String required(String key) {
        final String value = values.get(key);
        if (value == null) {
            throw new IllegalArgumentException("setting " + key + " is missing");
        }
        return value;
    }

    private static double parse(String key, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalidValue(key, value);
        }
    }

    private static IllegalArgumentException invalidValue(String key, String value) {
        return new IllegalArgumentException("setting " + key + " has an invalid value: " + value);
    }
}
