package cresschute.capacity;

import java.util.Optional;

/**
 * State in memory by role: entries at the planned size, and bytes of an entry as the slope of the
 * heap size.
 */
final class StateTable {

    private static final double BYTES_PER_MB = 1e6;
    private static final MeasureKey HEAP = new MeasureKey(Role.DISPATCHER, "heap_mb");

    private final CapacityModel model;
    private final MarkdownTable table =
            new MarkdownTable(
                    "role",
                    "state",
                    "carried by",
                    "entries",
                    "bytes an entry (95 %)",
                    "MB at the planned size");

    private StateTable(CapacityModel model) {
        this.model = model;
    }

    /** The table as Markdown. */
    static String text(CapacityModel model) {
        final StateTable state = new StateTable(model);
        final PlannedSize size = PlannedSize.OPERATORS;
        state.addUnmeasuredRow(
                "client",
                "nothing of the project's",
                Mechanism.MISSING,
                "clients are the operators' own");
        state.addDispatcherRow(
                "worker list and what is learned of each worker",
                "WorkerIndex",
                Axis.WORKERS,
                size.workers());
        state.addDispatcherRow(
                "open requests and their attempts; one dispatcher's part, the slope is of all",
                "RequestLifecycle",
                Axis.RUNNING,
                size.running());
        state.addDispatcherRow("tenants' share meters", "QuotaMeter", Axis.TENANTS, size.tenants());
        state.addUnmeasuredRow(
                "worker", "load report, running tasks", Mechanism.MISSING, "stand-ins");
        state.addUnmeasuredRow(
                "discovery", "the list and its versions", Mechanism.MISSING, "a stand-in");
        state.addUnmeasuredRow(
                "console",
                "rows and health of each worker, events",
                "HealthTracker",
                "not in the sweep; see the console above");
        return state.table.textOr("");
    }

    private void addDispatcherRow(String description, String mechanism, Axis axis, int entries) {
        final Optional<LinearFit> fit = Optional.ofNullable(model.fits(HEAP).get(axis));
        table.row(
                "dispatcher",
                description,
                Mechanism.markdown(mechanism),
                Figures.number(entries),
                fit.map(
                                each ->
                                        Figures.number(each.slope() * BYTES_PER_MB)
                                                + " ("
                                                + Figures.number(
                                                        (each.slope() - each.slopeHalfWidth())
                                                                * BYTES_PER_MB)
                                                + " to "
                                                + Figures.number(
                                                        (each.slope() + each.slopeHalfWidth())
                                                                * BYTES_PER_MB)
                                                + ")")
                        .orElse("**" + Figures.NOT_MEASURED + "**: no sweep over " + axis.unit()),
                fit.map(each -> Figures.number(each.slope() * entries)).orElse("-"));
    }

    private void addUnmeasuredRow(
            String role, String description, String mechanism, String reason) {
        table.row(
                role,
                description,
                Mechanism.markdown(mechanism),
                "-",
                "**" + Figures.NOT_MEASURED + "**: " + reason,
                "-");
    }
}
