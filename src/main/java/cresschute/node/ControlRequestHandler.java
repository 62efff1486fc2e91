package cresschute.node;

import com.google.gson.JsonObject;
import cresschute.control.ControlRequest;
import cresschute.control.DrainOperation;
import cresschute.control.EventRing;
import cresschute.control.OperationOutcome;
import cresschute.control.VersionedTable;
import cresschute.control.files.NotDurableException;
import cresschute.control.socket.ControlHandler;
import cresschute.logs.LogEvent;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

/**
 * Answers requests of consoles from the components of the {@link ControlService}. Owns only the
 * incarnation id of this process; used on the event loop.
 */
final class ControlRequestHandler implements ControlHandler {

    private static final Logger LOG = System.getLogger("cresschute.control");

    private final String incarnation = UUID.randomUUID().toString();
    private final ControlContext node;
    private final DurableDrains drains;
    private final WorkerHealthMonitor health;
    private final ConsoleTable consoleTable;

    /** Creates a handler that reads these components. */
    ControlRequestHandler(
            ControlContext node,
            DurableDrains drains,
            WorkerHealthMonitor health,
            ConsoleTable consoleTable) {
        this.node = node;
        this.drains = drains;
        this.health = health;
        this.consoleTable = consoleTable;
    }

    @Override
    public String incarnation() {
        return incarnation;
    }

    @Override
    public VersionedTable table() {
        return consoleTable.table();
    }

    @Override
    public EventRing events() {
        return node.events().events();
    }

    @Override
    public void refresh() {
        health.updateConditions();
        consoleTable.refreshAll();
    }

    @Override
    public void execute(DrainOperation operation, Consumer<JsonObject> answer) {
        drains.expire(node.nowUs());
        drains.apply(
                operation,
                node.fleetView(),
                node.nowUs(),
                (outcome, failure) -> answer.accept(answer(operation, outcome, failure)));
    }

    private JsonObject answer(
            DrainOperation operation,
            OperationOutcome outcome,
            Optional<NotDurableException> failure) {
        final JsonObject fields = new JsonObject();
        fields.addProperty("ok", true);
        fields.addProperty("outcome", outcome.result().wireName());
        fields.addProperty("why", outcome.reason());
        fields.addProperty("worker", operation.worker());
        fields.addProperty("in_flight", health.inFlight(operation.worker()));
        if (drains.hasStateFolder()) {
            fields.addProperty("kept", failure.isEmpty());
        }
        failure.ifPresent(
                each ->
                        fields.addProperty(
                                "keep_error",
                                "in force, but a restart would forget it: " + each.getMessage()));
        return fields;
    }

    @Override
    public void audit(long session, ControlRequest request) {
        final LogEvent event =
                LogEvent.of(
                                "console_asked",
                                "console " + session + " requested: " + describe(request))
                        .with("session", session)
                        .with("command", request.command().wireName());
        final DrainOperation operation = request.operation();
        if (operation != null) {
            event.with("worker", operation.worker())
                    .with("operation", operation.id())
                    .with("operator", operation.operator())
                    .with("reason", operation.reason())
                    .with("forced", operation.isForced());
        }
        event.log(LOG, Level.INFO);
    }

    private static String describe(ControlRequest request) {
        final String command = request.command().wireName();
        final DrainOperation operation = request.operation();
        return operation == null
                ? command
                : command + " " + operation.worker() + " by " + operation.operator();
    }
}
