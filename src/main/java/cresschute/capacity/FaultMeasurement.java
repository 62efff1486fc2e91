package cresschute.capacity;

/**
 * One value measured during a fault in the fleet model.
 *
 * @param run the run's name
 * @param commit the commit that was measured
 * @param date the date of the measurement, as written in the file
 * @param seed the seed of the run's random choices
 * @param fault the fault that the run injected
 * @param repetition the number of this repetition of the run
 * @param measure name of the measured quantity, with its unit
 * @param value the value
 * @param partial whether the run did not reach its intended size or duration
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
