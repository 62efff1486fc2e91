package cresschute.capacity;

import java.util.Optional;
import java.util.stream.Stream;

/** A dimension of size along which a sweep measures, with the column that holds its value. */
public enum Axis {

    /** Workers on the endpoint list. */
    WORKERS("workers", "workers", "workers"),
    /** Requests in flight, over all dispatchers. */
    RUNNING("running", "running", "open requests"),
    /** Attempts per second, over all dispatchers. */
    STARTS("starts", "starts_per_second", "starts a second"),
    /** Tenants with a quota. */
    TENANTS("tenants", "tenants", "tenants"),
    /** Dispatchers among which the traffic is divided. */
    DISPATCHERS("dispatchers", "dispatchers", "dispatchers"),
    /** Changes of the endpoint list per second. */
    LIST_CHANGES("list-changes", "list_changes_per_second", "list changes a second"),
    /** Settings reloads per second. */
    SETTINGS_CHANGES(
            "settings-changes", "settings_changes_per_second", "settings changes a second");

    /**
     * The axis name of a run at full size, which varies no single dimension and must be held out.
     */
    public static final String FULL = "full";

    /** The axis name of a run that varies no dimension; no fit uses such a run. */
    public static final String NONE = "none";

    private final String label;
    private final String column;
    private final String unit;

    Axis(String label, String column, String unit) {
        this.label = label;
        this.column = column;
        this.unit = unit;
    }

    /** The name in the column {@code axis} of a measurement file. */
    public String label() {
        return label;
    }

    /** The column of a measurement file that holds the size along this axis. */
    public String column() {
        return column;
    }

    /** The unit of the size, in words. */
    public String unit() {
        return unit;
    }

    /** The axis with this name; empty if there is none. */
    public static Optional<Axis> of(String label) {
        return Stream.of(values()).filter(axis -> axis.label.equals(label)).findFirst();
    }
}
