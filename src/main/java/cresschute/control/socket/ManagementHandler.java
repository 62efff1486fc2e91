package cresschute.control.socket;

import cresschute.control.ManagementCall;
import java.util.function.Consumer;

/** The node's side of the management listener. Called on the node's loop. */
public interface ManagementHandler {

    /**
     * Executes a call.
     *
     * @param answer is called once, on the loop, with a line that begins with 200 or 400
     */
    void call(ManagementCall call, Consumer<String> answer);
}
