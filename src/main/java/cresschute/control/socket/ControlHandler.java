package cresschute.control.socket;

import com.google.gson.JsonObject;
import cresschute.control.ControlRequest;
import cresschute.control.DrainRegistry.Operation;
import cresschute.control.EventRing;
import cresschute.control.VersionedTable;
import java.util.function.Consumer;

/** What the control socket stands before: the node's own part. All calls are on the loop. */
public interface ControlHandler {

    /**
     * The run of the node: another one after each start, so that numbers of different runs do not
     * mix.
     */
    String boot();

    /** What is to be seen; {@link #look} brings it up to date. */
    VersionedTable board();

    /** What has happened. */
    EventRing events();

    /** Brings the board up to date now. */
    void look();

    /** Carries an operation out; the answer's fields come once what it changed is kept. */
    void carryOut(Operation operation, Consumer<JsonObject> answer);

    /** Notes what a console asked for in the log. */
    void audit(long session, ControlRequest request);
}
