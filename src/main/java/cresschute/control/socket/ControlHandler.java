package cresschute.control.socket;

import com.google.gson.JsonObject;
import cresschute.control.ControlRequest;
import cresschute.control.DrainOperation;
import cresschute.control.EventRing;
import cresschute.control.VersionedTable;
import java.util.function.Consumer;

/**
 * Handles the requests of the control socket; implemented by the node. All methods are called on
 * the node's event loop.
 */
public interface ControlHandler {

    /**
     * Returns the incarnation of the node. Table versions and event numbers of different
     * incarnations cannot be compared.
     */
    String incarnation();

    /** Returns the rows for consoles, as of the last {@link #refresh}. */
    VersionedTable table();

    /** Returns the events for consoles. */
    EventRing events();

    /** Updates all rows of the table. */
    void refresh();

    /**
     * Executes an operation.
     *
     * @param answer is called once with the fields of the answer, after the change was stored or
     *     failed to be stored; at once if the node has no state folder
     */
    void execute(DrainOperation operation, Consumer<JsonObject> answer);

    /**
     * Logs a request before it is executed.
     *
     * @param session the number of the console's session
     */
    void audit(long session, ControlRequest request);
}
