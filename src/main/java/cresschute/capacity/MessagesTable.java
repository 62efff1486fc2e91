package cresschute.capacity;

import java.util.Optional;

/** The messages of each role by kind: number per second, bytes per second and bytes of one. */
final class MessagesTable {

    private final CapacityModel model;
    private final MarkdownTable table =
            new MarkdownTable(
                    "role", "messages", "carried by", "a second", "bytes a second", "bytes of one");

    private MessagesTable(CapacityModel model) {
        this.model = model;
    }

    /** The table as Markdown. */
    static String text(CapacityModel model) {
        final MessagesTable messages = new MessagesTable(model);
        messages.row(Role.CLIENT, "requests", "ClientListener", "requests_per_second", null);
        messages.row(
                Role.DISPATCHER,
                "probes",
                "HttpLoadQuery",
                "probes_per_second",
                "probe_bytes_per_second");
        messages.row(
                Role.DISPATCHER,
                "handshakes",
                "WorkerConnectionPool",
                "handshake_per_second",
                null);
        messages.row(Role.DISPATCHER, "the list", "DiscoveryClient", null, "list_bytes_per_second");
        messages.row(
                Role.DISPATCHER,
                "load reports",
                "LoadReportParser",
                null,
                "report_bytes_per_second");
        messages.row(
                Role.DISPATCHER, "all control", "NodeServer", null, "control_bytes_per_second");
        messages.row(
                Role.DISPATCHER,
                "attempts: requests to workers",
                "WorkerConnectionPool",
                "attempts_per_second",
                "request_bytes_per_second");
        messages.row(
                Role.DISPATCHER,
                "starts told by workers",
                "ProgressLine",
                null,
                "start_line_bytes_per_second");
        messages.row(
                Role.DISPATCHER,
                "progress told by workers",
                "ProgressLine",
                null,
                "progress_line_bytes_per_second");
        messages.row(
                Role.DISPATCHER, "results", "ProgressLine", null, "result_line_bytes_per_second");
        messages.row(Role.WORKER, "probes", "HttpLoadQuery", "probes_per_second", null);
        messages.row(
                Role.WORKER, "handshakes", "WorkerConnectionPool", "handshakes_per_second", null);
        messages.row(
                Role.WORKER,
                "all control",
                "WorkerConnectionPool",
                null,
                "control_bytes_per_second");
        messages.row(
                Role.DISCOVERY,
                "calls and answers",
                "DiscoveryClient",
                "calls_per_second",
                "bytes_per_second");
        messages.row(Role.CONSOLE, "rows and events", "VersionedTable", null, "bytes_per_second");
        return messages.table.textOr("");
    }

    private void row(
            Role role,
            String description,
            String mechanism,
            String countMeasure,
            String bytesMeasure) {
        final Optional<Estimate> count = estimate(role, countMeasure);
        final Optional<Estimate> size = estimate(role, bytesMeasure);
        final Optional<Double> bytesPerMessage =
                count.flatMap(number -> size.map(each -> each.value() / number.value()));
        table.row(
                role.label(),
                description,
                Mechanism.markdown(mechanism),
                cell(count),
                cell(size),
                bytesPerMessage.filter(Double::isFinite).map(Figures::number).orElse("-"));
    }

    private Optional<Estimate> estimate(Role role, String measure) {
        return measure == null
                ? Optional.empty()
                : model.estimate(new MeasureKey(role, measure), PlannedSize.OPERATORS.sizes());
    }

    private static String cell(Optional<Estimate> estimate) {
        return estimate.map(Figures::estimate).orElse(Figures.NOT_MEASURED);
    }
}
