package cresschute.testbed.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.Gson;
import cresschute.testbed.Observation;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compatibility of the file format: one line of each type, as an earlier version wrote it, is read
 * and written without change.
 */
class ObservationFileFormatTest {

    private static final String LINES =
            """
            {"us":1,"id":"i","origin":"o","className":"c","key":"k","workUs":2,"slots":0.5,"deadlineUs":3,\
            "type":"ReqSent"}
            {"us":2,"id":"i","status":200,"body":"b","type":"ReqAnswered"}
            {"us":3,"id":"i","type":"ReqLost"}
            {"us":4,"id":"i","type":"ReqUnanswered"}
            {"us":5,"what":"w","type":"AnswerTooMany"}
            {"us":6,"id":"i","type":"ReqUnfinished"}
            {"us":7,"firstByteUs":6,"worker":"w1","cell":4,"id":"i","key":"k","work":1.5,"type":"SendCame"}
            {"us":8,"worker":"w1","id":"i","type":"SendTurnedAway"}
            {"us":9,"worker":"w1","id":"i","type":"RunStarted"}
            {"us":10,"worker":"w1","id":"i","result":"r","type":"RunDone"}
            {"us":11,"worker":"w1","id":"i","key":"k","type":"EffectMade"}
            {"us":12,"worker":"w1","capacity":2.5,"type":"WorkerBooted"}
            {"us":13,"worker":"w1","type":"WorkerFell"}
            {"us":14,"worker":"w1","state":"serving","startedMs":5,"type":"WorkerTold"}
            {"us":15,"worker":"w1","start":true,"type":"OperatorDrained"}
            """;

    @TempDir private Path folder;

    @Test
    void readsAndRewritesLinesOfEarlierVersion() throws Exception {
        final Path earlier = folder.resolve("earlier");
        Files.writeString(earlier, LINES);
        final List<Observation> read = ObservationFile.read(List.of(earlier));
        assertThat(read).hasSize(Observation.class.getPermittedSubclasses().length);
        assertThat(read.get(0))
                .isEqualTo(new Observation.RequestSent(1, "i", "o", "c", "k", 2, 0.5, 3));
        assertThat(read.get(6))
                .isEqualTo(new Observation.AttemptReceived(7, 6, "w1", 4, "i", "k", 1.5));
        assertThat(read.get(13)).isEqualTo(new Observation.WorkerListed(14, "w1", "serving", 5));
        final Path again = folder.resolve("again");
        try (ObservationFile file = new ObservationFile(again)) {
            read.forEach(file);
        }
        assertThat(Files.readString(again)).isEqualTo(LINES);
    }

    /** The plan and the clock, which the experiment sends to its stub processes. */
    @Test
    void planAndClockKeepSerializedForm() {
        final Gson gson = new Gson();
        final String plan =
                """
                {"workers":1,"accelerators":2,"running":3,"startsPerSecond":4.5,"tenants":5,"dispatchers":6,\
                "zones":8,"regions":7,"gang":9,"changesADay":10.0,"listChangesPerSecond":11.0,\
                "seconds":12.0,"seed":13,"memoryMb":0}\
                """;
        final CapacityPlan read = gson.fromJson(plan, CapacityPlan.class);
        assertThat(read)
                .isEqualTo(new CapacityPlan(1, 2, 3, 4.5, 5, 6, 8, 7, 9, 10, 11, 12, 13, 0));
        assertThat(gson.toJson(read)).isEqualTo(plan);
        final String clock = "{\"startUs\":1,\"startNs\":2}";
        assertThat(gson.fromJson(clock, SharedClock.class)).isEqualTo(new SharedClock(1, 2));
        assertThat(gson.toJson(new SharedClock(1, 2))).isEqualTo(clock);
    }
}
