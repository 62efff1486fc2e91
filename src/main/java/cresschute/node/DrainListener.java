package cresschute.node;

import cresschute.control.DrainOperation;
import java.util.List;

/**
 * Notified by {@link DurableDrains} when the drains in force change, so that the change reaches the
 * dispatcher in the same turn of the event loop, before it is stored. Called on the event loop.
 */
interface DrainListener {

    /** Called when an operation started or ended a drain. */
    void drainChanged(DrainOperation operation);

    /** Called when the drains of these workers expired. */
    void drainsExpired(List<String> workers);
}
