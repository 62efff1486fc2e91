package cresschute.control.socket;

import com.google.gson.JsonObject;
import cresschute.control.ControlRequest;
import cresschute.control.DrainOperation;
import cresschute.control.EventRing;
import cresschute.control.VersionedTable;
import java.util.function.Consumer;

/** The node's side of the control socket. All methods are called on the node's loop. */
public interface ControlHandler {

    /**
     * Identifies this run of the node: table versions and event numbers of different runs cannot be
     * compared.
     */
    String incarnation();

    /** The rows for consoles, as of the last {@link #refresh}. */
    VersionedTable table();

    /** The events for consoles. */
    EventRing events();

    /** Brings all rows of the table up to date now. */
    void refresh();

    /**
     * Executes an operation.
     *
     * @param answer is called once with the answer's fields, after the change is stored or could
     *     not be stored
     */
    void execute(DrainOperation operation, Consumer<JsonObject> answer);

    /**
     * Logs a request before it is executed.
     *
     * @param session the number of the console's session
     */
    void audit(long session, ControlRequest request);
}
