package cresschute.testbed.capacity;

import com.google.gson.JsonObject;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Named figures of each role, in insertion order. */
public final class Measures {

    private final Map<Role, Map<String, Double>> values = new EnumMap<>(Role.class);

    /** Creates it without figures. */
    public Measures() {
        for (final Role role : Role.values()) {
            values.put(role, new LinkedHashMap<>());
        }
    }

    void put(Role role, String measure, double value) {
        if (Double.isFinite(value)) {
            values.get(role).put(measure, value);
        }
    }

    /** A figure; empty if it was not measured. */
    public Optional<Double> get(Role role, String measure) {
        return Optional.ofNullable(values.get(role).get(measure));
    }

    /** All figures of a role. */
    public Map<String, Double> of(Role role) {
        return Map.copyOf(values.get(role));
    }

    JsonObject json() {
        final JsonObject json = new JsonObject();
        for (final Role role : Role.values()) {
            final JsonObject figures = new JsonObject();
            values.get(role).forEach((name, value) -> figures.addProperty(name, rounded(value)));
            json.add(role.label(), figures);
        }
        return json;
    }

    static double rounded(double value) {
        final double unit = Math.abs(value) < 1 ? 1e4 : 1e2;
        return Math.round(value * unit) / unit;
    }
}
