package cresschute.dispatch;

import static cresschute.dispatch.Recorder.SECOND;
import static cresschute.dispatch.Recorder.bound;
import static cresschute.dispatch.Recorder.job;
import static cresschute.dispatch.Recorder.settings;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings changed while the module runs: new classes work at once, and attempts never grow under way. */
class RetunedTest {

    private static final RequestClass SAFE = job(1, Effect.SAFE, RepeatScope.ALL);

    private static Settings with(Settings plain, List<RequestClass> classes, int attempts) {
        return new Settings(plain.dispatchers(), plain.zone(), plain.zones(), plain.kinds(), classes,
            plain.tenants(), plain.overShareWorth(), plain.worthByWork(), new Limits(attempts, 0, false),
            plain.coldStart(), plain.goal(), plain.listMustBeAsked(), plain.askWithinUs(),
            plain.weightSource(), plain.reportsLoad(), plain.tellsStart(), plain.progressUs(),
            plain.crossZonePrice(), plain.probing(), plain.peerMessages(), plain.fetchPrice(),
            plain.fullMayHaveRun(), plain.closeOnDrainWithinUs());
    }

    private static Worker at(int id, int zone) {
        return new Worker(id, zone, 0, 0, WorkerState.READY, 1, 0);
    }

    @Test
    void aNewClassWithANewPlacementIsSentWithinIt() {
        final Settings start = settings(List.of(SAFE));
        final Recorder host = new Recorder(start).list(ListForm.CACHED, at(1, 0), at(2, 1), at(3, 1));
        final RequestClass second = bound(Effect.UNSAFE, RepeatScope.ALL, new Placement(List.of(1), null));
        host.module.retuned(host.nowUs, with(start, List.of(SAFE, second), 4));
        for (int id = 1; id <= 20; id++) {
            host.request(id, 1);
        }
        assertThat(host.sends).hasSize(20).allMatch(send -> send.worker() == 2 || send.worker() == 3);
        host.request(21, 0);
        assertThat(host.sends).hasSize(21);
        // A worker that comes after the change joins the new class's pool as well.
        host.list(ListForm.CHANGES, at(4, 1));
        final List<Integer> later = new ArrayList<>();
        for (int id = 22; id <= 60; id++) {
            host.request(id, 1);
            later.add(host.lastSend().worker());
        }
        assertThat(later).contains(4).doesNotContain(1);
    }

    @Test
    void fewerAttemptsHoldForReqsUnderWayAndMoreOnlyForLaterOnes() {
        final Settings start = settings(List.of(SAFE));
        final Recorder fewer = new Recorder(with(start, List.of(SAFE), 4)).list(ListForm.CACHED, at(1, 0),
            at(2, 0));
        fewer.request(1, 0);
        fewer.module.retuned(fewer.nowUs, with(start, List.of(SAFE), 1));
        fewer.end(1, 0, fewer.lastSend().worker(), Outcome.FULL);
        fewer.pass(SECOND);
        assertThat(fewer.sends).hasSize(1);
        assertThat(fewer.refused).containsExactly(1);

        final Recorder more = new Recorder(with(start, List.of(SAFE), 1)).list(ListForm.CACHED, at(1, 0),
            at(2, 0));
        more.request(1, 0);
        more.module.retuned(more.nowUs, with(start, List.of(SAFE), 4));
        more.end(1, 0, more.lastSend().worker(), Outcome.FULL);
        more.pass(SECOND);
        assertThat(more.sends).hasSize(1);
        more.request(2, 0);
        more.end(2, 0, more.lastSend().worker(), Outcome.FULL);
        more.pass(SECOND);
        assertThat(more.sends).hasSize(3);
    }

    /** A copy that the file read at SIGHUP allows was sent for reqs taken while there was to be none. */
    @ParameterizedTest(name = "copies before {0}, after {1}")
    @CsvSource({"false, true", "true, false"})
    void aSecondCopyNeedsBothTheSettingsOfItsTakingAndThoseInForce(boolean before, boolean after) {
        final List<RequestClass> classes = List.of(new RequestClass(1, SECOND, 2, 5 * SECOND, Effect.SAFE,
            RepeatScope.ALL, 0, Placement.ANYWHERE));
        final Settings with = Recorder.copying(classes);
        final Settings without = copies(with, false);
        final Recorder host = new Recorder(before ? with : without).list(ListForm.CACHED, at(1, 0), at(2, 0),
            at(3, 0), at(4, 0));
        host.request(1, 0);
        host.module.retuned(host.nowUs, after ? with : without);
        host.pass(SECOND * 5 / 2);
        assertThat(host.sends).hasSize(1);
        host.module.retuned(host.nowUs, with);
        host.request(2, 0);
        host.pass(SECOND * 5 / 2);
        assertThat(host.sends.stream().filter(send -> send.request() == 2)).hasSize(2);
    }

    private static Settings copies(Settings plain, boolean allowed) {
        return new Settings(plain.dispatchers(), plain.zone(), plain.zones(), plain.kinds(), plain.classes(),
            plain.tenants(), plain.overShareWorth(), plain.worthByWork(), new Limits(4, 0, allowed),
            plain.coldStart(), plain.goal(), plain.listMustBeAsked(), plain.askWithinUs(),
            plain.weightSource(), plain.reportsLoad(), plain.tellsStart(), plain.progressUs(),
            plain.crossZonePrice(), plain.probing(), plain.peerMessages(), plain.fetchPrice(),
            plain.fullMayHaveRun(), plain.closeOnDrainWithinUs());
    }

    @Test
    void refusesSettingsThatChangeAClassToldBefore() {
        final Settings start = settings(List.of(SAFE));
        final Recorder host = new Recorder(start);
        final RequestClass changed = job(2, Effect.SAFE, RepeatScope.ALL);
        assertThatThrownBy(() -> host.module.retuned(host.nowUs, with(start, List.of(changed), 4)))
            .isInstanceOf(IllegalArgumentException.class);
    }
}
