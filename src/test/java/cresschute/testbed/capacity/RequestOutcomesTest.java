package cresschute.testbed.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import cresschute.testbed.Observation;
import cresschute.testbed.Observation.AttemptReceived;
import cresschute.testbed.Observation.RequestAnswered;
import cresschute.testbed.Observation.RequestLost;
import cresschute.testbed.Observation.RequestSent;
import cresschute.testbed.Observation.RunStarted;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Request outcomes from constructed observations. */
class RequestOutcomesTest {

    private final List<Observation> seen = new ArrayList<>();

    private void sent(long us, String id, String origin, String className) {
        seen.add(new RequestSent(us, id, origin, className, null, 1, 1, 1));
    }

    private void answered(long us, String id, int status) {
        seen.add(new RequestAnswered(us, id, status, ""));
    }

    private RequestOutcomes outcomes() {
        return RequestOutcomes.of(seen, 0, 1_000_000);
    }

    @Test
    void countsRejectedThenServedRequestAsServed() {
        sent(1, "a", "a", "batch");
        answered(2, "a", 503);
        sent(3, "again-a", "a", "batch");
        answered(4, "again-a", 200);
        sent(5, "b", "b", "batch");
        answered(6, "b", 429);
        sent(2_000_000, "late", "late", "batch");
        assertThat(outcomes().requests()).isEqualTo(2);
        assertThat(outcomes().servedFraction()).isEqualTo(0.5);
        assertThat(outcomes().rejectedFraction()).isEqualTo(0.5);
        assertThat(outcomes().firstRejectedFraction()).isEqualTo(1);
        assertThat(outcomes().retriesPerRequest()).isEqualTo(0.5);
        assertThat(outcomes().unanswered()).isZero();
    }

    @Test
    void countsLostRequestAsUnanswered() {
        sent(1, "a", "a", "batch");
        seen.add(new RequestLost(2, "a"));
        assertThat(outcomes().unanswered()).isEqualTo(1);
        assertThat(outcomes().rejectedFraction()).isZero();
    }

    /**
     * Also if the worker records the start before the client records the send; only the first start
     * counts.
     */
    @Test
    void measuresUrgentStartFromFirstTry() {
        sent(1_000, "a", "a", ExperimentSetup.URGENT);
        answered(2_000, "a", 503);
        seen.add(new RunStarted(8_999, "w1", "again-a"));
        sent(9_000, "again-a", "a", ExperimentSetup.URGENT);
        seen.add(new RunStarted(20_000, "w2", "again-a"));
        sent(10_000, "b", "b", ExperimentSetup.URGENT);
        assertThat(outcomes().urgentStartMs(50)).isCloseTo(8, within(0.01));
        assertThat(outcomes().urgentNotStarted()).isEqualTo(1);
    }

    @Test
    void countsGangsByOutcomeOfFirstTries() {
        for (final String id :
                List.of("gang-1-1-x", "gang-1-2-x", "gang-2-3-x", "gang-2-4-x", "gang-3-5-x")) {
            sent(1, id, id, "batch");
        }
        answered(2, "gang-2-3-x", 503);
        answered(2, "gang-3-5-x", 503);
        assertThat(outcomes().gangs()).containsExactly(1, 1, 1);
    }

    @Test
    void readsObservationsOfKilledProcess(@TempDir Path folder) throws Exception {
        final Path first = folder.resolve("first");
        final Path second = folder.resolve("second");
        final AttemptReceived came = new AttemptReceived(7, 6, "w1", 3, "a", null, 12);
        final RequestSent sent = new RequestSent(5, "a", "a", "batch", "key", 1, 1, 1);
        try (ObservationFile one = new ObservationFile(first);
                ObservationFile two = new ObservationFile(second)) {
            one.accept(came);
            two.accept(sent);
        }
        Files.writeString(
                second, Files.readString(second) + "{\"type\":\"RunDone\",\"us\":9,\"wor");
        assertThat(ObservationFile.read(List.of(first, second, folder.resolve("none"))))
                .containsExactly(sent, came);
    }
}
