package cresschute.capacity;

/**
 * The limits of what one node may use for control, as the operators state them.
 *
 * @param cpuPercent processor time, in per cent of one core
 * @param memoryMb memory, in millions of bytes
 * @param bytesPerSecond bytes sent and received per second
 * @param machines machines set aside for control
 */
public record ControlLimits(double cpuPercent, int memoryMb, int bytesPerSecond, int machines) {

    /** The operators' limits; 4 KB are 4,000 bytes, the stricter reading. */
    public static final ControlLimits OPERATORS = new ControlLimits(2.6, 256, 4_000, 7);
}
