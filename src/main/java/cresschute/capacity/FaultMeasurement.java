package cresschute.capacity;

/**
 * One value measured over a fault in the model of a fleet.
 *
 * @param run the run's name
 * @param commit the commit that was measured
 * @param date when it was measured, as the file says
 * @param seed the seed of the run's random choices
 * @param fault the fault
 * @param repetition which repetition of the run this is
 * @param measure what was measured, with its unit in the name
 * @param value the value
 * @param partial whether the run did not reach the size or the duration that it was to have
 */
public record FaultMeasurement(
        String run,
        String commit,
        String date,
        String seed,
        FaultKind fault,
        int repetition,
        String measure,
        double value,
        boolean partial) {}
