package cresschute.capacity;

/**
 * What one node may spend on control, as the operators state it.
 *
 * @param cpuPercent processor time, in per cent of one core
 * @param memoryMb memory, in millions of bytes
 * @param bytesPerSecond bytes sent and received a second
 * @param machines machines set aside for control
 */
public record ControlLimits(double cpuPercent, int memoryMb, int bytesPerSecond, int machines) {

    /** The operators' limits; 4 KB are read as 4,000 bytes, the stricter way. */
    public static final ControlLimits OPERATORS = new ControlLimits(2.6, 256, 4_000, 7);
}
