package cresschute.capacity;

/** The kind of cost that a measure states. */
public enum MeasureKind {
    /** Messages and their bytes. */
    MESSAGES("messages"),
    /** Processor time. */
    PROCESSOR("processor"),
    /** Processor time while no request arrives and none is in flight. */
    PROCESSOR_WITHOUT_REQUESTS("processor, no requests"),
    /** Memory and descriptors. */
    MEMORY("memory"),
    /** Quality of the service that clients get. */
    SERVICE("service");

    private final String label;

    MeasureKind(String label) {
        this.label = label;
    }

    /** The kind in words. */
    public String label() {
        return label;
    }
}
