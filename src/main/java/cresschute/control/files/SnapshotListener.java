package cresschute.control.files;

/** Is notified of the end of one {@link StateFolder#store}, once, on the executor given to it. */
public interface SnapshotListener {

    /** The snapshot is on the disk. */
    void stored();

    /** The snapshot could not be written; earlier ones are unchanged. */
    void notDurable(NotDurableException failure);
}
