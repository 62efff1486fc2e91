package cresschute.node;

import cresschute.control.DrainOperation;
import java.util.List;

/**
 * Is notified by {@link DurableDrains} when the drains in force changed, so that the change reaches
 * the dispatcher in the same turn of the loop, before it is stored. On the loop.
 */
interface DrainListener {

    /** An operation started or ended a drain. */
    void drainChanged(DrainOperation operation);

    /** The drains of these workers ended by themselves. */
    void drainsExpired(List<String> workers);
}
