package cresschute.control.files;

/** Receives the result of one {@link StateFolder#store}: one call, on the executor passed to it. */
public interface SnapshotListener {

    /** Called when the snapshot is on the disk. */
    void stored();

    /** Called when the snapshot could not be stored; the previous snapshot is unchanged. */
    void notDurable(NotDurableException failure);
}
