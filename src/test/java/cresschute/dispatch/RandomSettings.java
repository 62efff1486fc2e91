package cresschute.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates random valid settings, with one class of each idempotency. */
final class RandomSettings {

    private static final long SECOND = 1_000_000;

    private final Random random;

    RandomSettings(Random random) {
        this.random = random;
    }

    private <T> T any(T[] values) {
        return values[random.nextInt(values.length)];
    }

    DispatchSettings next() {
        final List<RequestClass> classes = new ArrayList<>();
        for (final Idempotency idempotency : Idempotency.values()) {
            final long latencyObjectiveUs = 50_000L + random.nextInt(2_000_000);
            classes.add(
                    new RequestClass(
                            1 + random.nextInt(12),
                            latencyObjectiveUs,
                            random.nextInt(3),
                            latencyObjectiveUs * (2 + random.nextInt(6)),
                            idempotency,
                            any(DeduplicationScope.values()),
                            random.nextInt(3_000_000),
                            new Placement(anyOf(3), anyOf(2))));
        }
        return new DispatchSettings(
                1 + random.nextInt(40),
                random.nextInt(3),
                3,
                2,
                classes,
                List.of(),
                0.1,
                random.nextBoolean(),
                new AttemptLimits(
                        1 + random.nextInt(5), random.nextInt(2) * SECOND, random.nextBoolean()),
                new SlowStartSettings(
                        0.1 + random.nextDouble() / 2, 10 * SECOND, 2 + random.nextInt(3), SECOND),
                new ObjectiveWeights(1, 0, 0, 0),
                random.nextBoolean(),
                10 * SECOND,
                any(WeightSource.values()),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextInt(2) * SECOND,
                0.03,
                random.nextBoolean(),
                random.nextBoolean(),
                0.1,
                random.nextBoolean(),
                random.nextBoolean() ? DispatchSettings.UNLIMITED : random.nextInt(1_000_000));
    }

    /**
     * Returns a random non-empty subset of the numbers below {@code count}, or null for no
     * restriction.
     */
    private List<Integer> anyOf(int count) {
        final List<Integer> some = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (random.nextInt(2) == 0) {
                some.add(i);
            }
        }
        return some.isEmpty() ? null : some;
    }
}
