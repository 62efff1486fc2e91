package cresschute.capacity;

import java.util.Optional;
import java.util.stream.Stream;

/** A kind of fault that the operators expect. */
public enum FaultKind {

    /** Machines that fail on an ordinary day. */
    MACHINE_FAILURE("machine-failure", "a worker's machine fails"),
    /** Machines that are restarted or replaced on an ordinary day. */
    MACHINE_REPLACEMENT("machine-replacement", "a worker's machine is restarted or replaced"),
    /** Machines with a dispatcher that fail. */
    DISPATCHER_FAILURE("dispatcher-failure", "a dispatcher's machine fails"),
    /** Loss of a rack or a switch. */
    RACK_LOSS("rack-loss", "a rack or switch goes"),
    /** Loss of a zone. */
    ZONE_LOSS("zone-loss", "a zone goes"),
    /** Regions that cannot reach each other. */
    REGION_PARTITION("region-partition", "the regions lose each other"),
    /** All faults of a day together. */
    DAY("day", "a compressed day with all of these");

    private final String label;
    private final String words;

    FaultKind(String label, String words) {
        this.label = label;
        this.words = words;
    }

    /** The name in the column {@code fault} of a file of faults. */
    public String label() {
        return label;
    }

    /** The fault in words. */
    public String words() {
        return words;
    }

    /** The fault with this name; empty if there is none. */
    public static Optional<FaultKind> of(String label) {
        return Stream.of(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }
}
