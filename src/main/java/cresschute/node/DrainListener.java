package cresschute.node;

import cresschute.control.DrainOperation;
import java.util.List;

/**
 * Notified by {@link DurableDrains} when the drains in force change, in the same turn of the event
 * loop and before the change is stored. The listener queues the workers' new states for the
 * dispatcher, which gets them in its next turn. Called on the event loop.
 */
interface DrainListener {

    /** Called when an operation started or ended a drain. */
    void drainChanged(DrainOperation operation);

    /** Called when the drains of these workers expired. */
    void drainsExpired(List<String> workers);
}
