package cresschute.capacity;

/**
 * Limits of the resources that one node may use for control, as stated by the operators.
 *
 * @param cpuPercent processor time, in per cent of one core
 * @param memoryMb memory, in millions of bytes
 * @param bytesPerSecond bytes sent and received per second
 * @param machines machines reserved for control
 */
public record ControlLimits(double cpuPercent, int memoryMb, int bytesPerSecond, int machines) {

    /** The operators' limits; 4 KB are read as 4,000 bytes, the stricter interpretation. */
    public static final ControlLimits OPERATORS = new ControlLimits(2.6, 256, 4_000, 7);
}
