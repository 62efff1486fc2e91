package cresschute.capacity;

/**
 * The limit of a cost.
 *
 * @param value in the unit of the cost
 * @param source who states it
 */
public record Limit(double value, String source) {

    /** Cost divided by limit; infinite where the limit is 0 and the cost is not. */
    public double ratio(double need) {
        if (value > 0) {
            return need / value;
        }
        return need > 0 ? Double.POSITIVE_INFINITY : 0;
    }
}
