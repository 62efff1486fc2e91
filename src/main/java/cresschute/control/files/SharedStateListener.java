package cresschute.control.files;

import cresschute.control.OperatorState;

/**
 * Is notified of changes of a {@link SharedOperatorState}, on the executor of its owner. Every
 * {@link SharedOperatorState#change} is followed by exactly one {@link ChangeListener#stored} or
 * {@link Change#notDurable}, unless the executor has ended.
 */
public interface SharedStateListener {

    /** A state newer than any before was found in the file, as another process wrote it. */
    void stateChanged(OperatorState found);

    /** Is notified of the end of one change. */
    interface ChangeListener {

        /** The change is in the file; {@code written} is the state with it. */
        void stored(OperatorState written);

        /** The change could not be written; the file is unchanged. */
        void notDurable(NotDurableException failure);
    }
}
