package cresschute.control.files;

import cresschute.control.OperatorState;

/**
 * Receives changes of a {@link SharedOperatorState} on the owner's executor. Every {@link
 * SharedOperatorState#change} is followed by exactly one {@link ChangeListener#stored} or {@link
 * ChangeListener#notDurable}, unless the executor has ended. After {@link
 * SharedOperatorState#close}, {@code notDurable} is called on the thread that calls {@code change}.
 */
public interface SharedStateListener {

    /** Called when another process has written a newer state to the file. */
    void stateChanged(OperatorState found);

    /** Receives the result of one change. */
    interface ChangeListener {

        /** Called when the file holds the change; {@code written} is the state after it. */
        void stored(OperatorState written);

        /** Called when writing the change failed; the file normally still holds the old state. */
        void notDurable(NotDurableException failure);
    }
}
