package cresschute.control.socket;

import cresschute.control.ManagementCall;
import java.util.function.Consumer;

/**
 * Handles the calls of the management listener; implemented by the node. Called on the node's event
 * loop.
 */
public interface ManagementHandler {

    /**
     * Executes a call.
     *
     * @param answer is called once, on the event loop, with a line that begins with 200 or 400
     */
    void call(ManagementCall call, Consumer<String> answer);
}
