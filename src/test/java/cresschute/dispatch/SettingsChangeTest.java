package cresschute.dispatch;

import static cresschute.dispatch.RecordingHost.SECOND;
import static cresschute.dispatch.TestSettings.placedClass;
import static cresschute.dispatch.TestSettings.requestClass;
import static cresschute.dispatch.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that settings changed at run time apply at once, and that a higher limit never adds
 * attempts to a pending request.
 */
class SettingsChangeTest {

    private static final RequestClass SAFE =
            requestClass(1, Idempotency.SAFE, DeduplicationScope.ALL);

    private static DispatchSettings with(List<RequestClass> classes, int attempts) {
        return new TestSettings(classes).limits(new AttemptLimits(attempts, 0, false)).build();
    }

    private static Worker at(int id, int zone) {
        return new Worker(id, zone, 0, 0, WorkerState.READY, 1, 0);
    }

    @Test
    void sendsNewClassWithinItsPlacement() {
        final DispatchSettings start = settings(List.of(SAFE));
        final RecordingHost host =
                new RecordingHost(start)
                        .list(EndpointListForm.CACHED, at(1, 0), at(2, 1), at(3, 1));
        final RequestClass second =
                placedClass(
                        Idempotency.UNSAFE,
                        DeduplicationScope.ALL,
                        new Placement(List.of(1), null));
        host.dispatcher.settingsChanged(host.nowUs, with(List.of(SAFE, second), 4));
        for (int id = 1; id <= 20; id++) {
            host.request(id, 1);
        }
        assertThat(host.sends)
                .hasSize(20)
                .allMatch(send -> send.worker() == 2 || send.worker() == 3);
        host.request(21, 0);
        assertThat(host.sends).hasSize(21);
        // A worker that is listed after the change also joins the new class's group.
        host.list(EndpointListForm.CHANGES, at(4, 1));
        final List<Integer> later = new ArrayList<>();
        for (int id = 22; id <= 60; id++) {
            host.request(id, 1);
            later.add(host.lastSend().worker());
        }
        assertThat(later).contains(4).doesNotContain(1);
    }

    @Test
    void appliesLowerLimitToPendingRequestsAndHigherOnlyToLaterOnes() {
        final RecordingHost fewer =
                new RecordingHost(with(List.of(SAFE), 4))
                        .list(EndpointListForm.CACHED, at(1, 0), at(2, 0));
        fewer.request(1, 0);
        fewer.dispatcher.settingsChanged(fewer.nowUs, with(List.of(SAFE), 1));
        fewer.end(1, 0, fewer.lastSend().worker(), Outcome.FULL);
        fewer.advanceTime(SECOND);
        assertThat(fewer.sends).hasSize(1);
        assertThat(fewer.rejected).containsExactly(1);

        final RecordingHost more =
                new RecordingHost(with(List.of(SAFE), 1))
                        .list(EndpointListForm.CACHED, at(1, 0), at(2, 0));
        more.request(1, 0);
        more.dispatcher.settingsChanged(more.nowUs, with(List.of(SAFE), 4));
        more.end(1, 0, more.lastSend().worker(), Outcome.FULL);
        more.advanceTime(SECOND);
        assertThat(more.sends).hasSize(1);
        more.request(2, 0);
        more.end(2, 0, more.lastSend().worker(), Outcome.FULL);
        more.advanceTime(SECOND);
        assertThat(more.sends).hasSize(3);
    }

    /** A request is hedged only if hedging was allowed at its arrival and is allowed now. */
    @ParameterizedTest(name = "hedging allowed before {0}, after {1}")
    @CsvSource({"false, true", "true, false"})
    void hedgesOnlyIfSettingsAtArrivalAndCurrentOnesAllowIt(boolean before, boolean after) {
        final List<RequestClass> classes =
                List.of(
                        new RequestClass(
                                1,
                                SECOND,
                                2,
                                5 * SECOND,
                                Idempotency.SAFE,
                                DeduplicationScope.ALL,
                                0,
                                Placement.ANYWHERE));
        final DispatchSettings with = TestSettings.hedging(classes);
        final DispatchSettings without = new TestSettings(classes).progressUs(SECOND).build();
        final RecordingHost host =
                new RecordingHost(before ? with : without)
                        .list(EndpointListForm.CACHED, at(1, 0), at(2, 0), at(3, 0), at(4, 0));
        host.request(1, 0);
        host.dispatcher.settingsChanged(host.nowUs, after ? with : without);
        host.advanceTime(SECOND * 5 / 2);
        assertThat(host.sends).hasSize(1);
        host.dispatcher.settingsChanged(host.nowUs, with);
        host.request(2, 0);
        host.advanceTime(SECOND * 5 / 2);
        assertThat(host.sends.stream().filter(send -> send.request() == 2)).hasSize(2);
    }

    @Test
    void rejectsSettingsThatChangeCurrentClass() {
        final DispatchSettings start = settings(List.of(SAFE));
        final RecordingHost host = new RecordingHost(start);
        final RequestClass changed = requestClass(2, Idempotency.SAFE, DeduplicationScope.ALL);
        assertThatThrownBy(
                        () ->
                                host.dispatcher.settingsChanged(
                                        host.nowUs, with(List.of(changed), 4)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private static ClassChanges replaced(int number) {
        return new ClassChanges(Set.of(number), Set.of());
    }

    /** Guards against a stricter class under a number that was used before being repeated. */
    @Test
    void requestOfReplacedClassGoesByItsNewDefinition() {
        final RequestClass strict = requestClass(1, Idempotency.UNSAFE, DeduplicationScope.ALL);
        final RecordingHost host =
                new RecordingHost(with(List.of(SAFE), 4))
                        .list(EndpointListForm.CACHED, at(1, 0), at(2, 0));
        host.request(1, 0);
        host.end(1, 0, host.lastSend().worker(), Outcome.SERVED);
        host.dispatcher.settingsChanged(host.nowUs, with(List.of(strict), 4), replaced(0));
        host.request(2, 0);
        host.end(2, 0, host.lastSend().worker(), Outcome.BROKEN);
        host.advanceTime(SECOND);
        assertThat(host.sends.stream().filter(send -> send.request() == 2)).hasSize(1);
        assertThat(host.failed).containsExactly(2);
    }

    /**
     * Guards against state that grows with each change of a placement: a class that moves between
     * zones gets workers of its present zone, and workers listed later join its group.
     */
    @Test
    void followsPlacementOfClassThatIsReplacedManyTimes() {
        final int changes = 500;
        final RecordingHost host =
                new RecordingHost(settings(List.of(SAFE)))
                        .list(EndpointListForm.CACHED, at(1, 0), at(2, 1), at(3, 1));
        for (int i = 0; i < changes; i++) {
            final int zone = i % 2;
            final RequestClass placed =
                    placedClass(
                            Idempotency.SAFE,
                            DeduplicationScope.ALL,
                            new Placement(List.of(zone), null));
            host.dispatcher.settingsChanged(host.nowUs, with(List.of(placed), 4), replaced(0));
            host.list(EndpointListForm.CHANGES, at(10 + i, zone));
            host.request(i, 0);
            final int worker = host.lastSend().worker();
            assertThat(worker < 10 ? (worker == 1 ? 0 : 1) : (worker - 10) % 2).isEqualTo(zone);
            host.end(i, 0, worker, Outcome.SERVED);
        }
    }

    @Test
    void rejectsChangeOfClassThatIsNotReplaced() {
        final RequestClass changed = requestClass(2, Idempotency.SAFE, DeduplicationScope.ALL);
        final RecordingHost host = new RecordingHost(settings(List.of(SAFE, SAFE)));
        assertThatThrownBy(
                        () ->
                                host.dispatcher.settingsChanged(
                                        host.nowUs,
                                        with(List.of(changed, changed), 4),
                                        replaced(0)))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
