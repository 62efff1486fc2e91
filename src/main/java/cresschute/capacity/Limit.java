package cresschute.capacity;

/**
 * The limit of a cost.
 *
 * @param value the limit, in the unit of the cost
 * @param source who or what states the limit
 */
public record Limit(double value, String source) {

    /** Divides a cost by the limit; infinite if the limit is 0 and the cost is positive. */
    public double ratio(double need) {
        if (value > 0) {
            return need / value;
        }
        return need > 0 ? Double.POSITIVE_INFINITY : 0;
    }
}
