package cresschute.capacity;

/**
 * A bound that a need is held against.
 *
 * @param value the bound, in the unit of the need
 * @param source who states it
 */
public record Limit(double value, String source) {

    /** Need over limit; infinite where a need is held against a limit of 0. */
    public double ratio(double need) {
        if (value > 0) {
            return need / value;
        }
        return need > 0 ? Double.POSITIVE_INFINITY : 0;
    }
}
