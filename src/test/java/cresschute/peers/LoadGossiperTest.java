package cresschute.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests when messages are sent and what they contain. */
class LoadGossiperTest {

    private static final long MS = 1_000;
    private static final long S = 1_000_000;

    private final InFlightCounts counts = new InFlightCounts();
    private long nowUs = 100 * S;

    private LoadGossiper gossiper(int peers, long bytesPerS, long refreshUs) {
        return new LoadGossiper(
                new ExchangeSettings("n0", peers, bytesPerS, refreshUs), counts, nowUs);
    }

    private static List<Integer> keys(LoadMessage message) {
        return message.entries().stream().map(LoadEntry::key).toList();
    }

    /** Advances the time until the next message and returns it. */
    private LoadMessage next(LoadGossiper gossiper) {
        for (int i = 0; i < 1_000; i++) {
            nowUs += 10 * MS;
            final Optional<LoadMessage> message = gossiper.poll(nowUs);
            if (message.isPresent()) {
                return message.get();
            }
        }
        throw new AssertionError("no message in 10 s");
    }

    @Test
    void sendsChangesAfter250MsAndHeartbeatsAfterOneSecond() {
        final LoadGossiper gossiper = gossiper(2, 100_000, 60 * S);
        counts.attemptStarted(5);
        final long startUs = nowUs;
        final LoadMessage change = next(gossiper);
        assertThat(nowUs - startUs).isEqualTo(250 * MS);
        assertThat(change.entries()).containsExactly(new LoadEntry(5, 1));
        assertThat(change.sequence()).isEqualTo(1);
        assertThat(change.incarnation()).isEqualTo(startUs);
        final long changeUs = nowUs;
        final LoadMessage heartbeat = next(gossiper);
        assertThat(nowUs - changeUs).isEqualTo(S);
        assertThat(heartbeat.sequence()).isEqualTo(2);
        counts.attemptStarted(5);
        counts.attemptEnded(5);
        next(gossiper);
        assertThat(nowUs - changeUs)
                .as("count equals the advertised one: no change")
                .isEqualTo(2 * S);
    }

    @Test
    void changesOfAWorkerAreOneEntryAndTheOldestChangeIsFirst() {
        // 100 bytes per second for one peer: a heartbeat has space for five entries.
        final LoadGossiper gossiper = gossiper(1, 100, 3_600 * S);
        for (int key = 20; key > 10; key--) {
            counts.attemptStarted(key);
        }
        counts.attemptStarted(20);
        final LoadMessage first = next(gossiper);
        assertThat(first.entries()).first().isEqualTo(new LoadEntry(20, 2));
        final List<Integer> stated = new ArrayList<>(keys(first));
        while (stated.size() < 10) {
            stated.addAll(keys(next(gossiper)));
        }
        assertThat(stated.stream().distinct().toList())
                .containsExactly(20, 19, 18, 17, 16, 15, 14, 13, 12, 11);
    }

    @Test
    void cycleContainsEveryCountInRangesThatCoverAllKeys() {
        final LoadGossiper gossiper = gossiper(2, 50_000, 10 * S);
        final Set<Integer> inFlight = new TreeSet<>(Integer::compareUnsigned);
        for (int i = 0; i < 100; i++) {
            inFlight.add(i * 0x2345_6789);
        }
        inFlight.add(KeyRange.MIN_KEY);
        inFlight.add(KeyRange.MAX_KEY);
        inFlight.forEach(counts::attemptStarted);
        long cycle = 1;
        for (int cycles = 0; cycles < 3; cycles++) {
            final Set<Integer> refreshed = new TreeSet<>(Integer::compareUnsigned);
            long first = 0;
            final long startUs = nowUs;
            while (first <= 0xffff_ffffL) {
                final LoadMessage message = next(gossiper);
                assertThat(message.cycle()).isEqualTo(cycle);
                if (!message.range().isEmpty()) {
                    assertThat(Integer.toUnsignedLong(message.range().first())).isEqualTo(first);
                    first = Integer.toUnsignedLong(message.range().last()) + 1;
                    final Set<Integer> stated = Set.copyOf(keys(message));
                    assertThat(stated)
                            .containsAll(
                                    inFlight.stream()
                                            .filter(message.range()::contains)
                                            .collect(Collectors.toSet()));
                    refreshed.addAll(stated);
                }
            }
            cycle++;
            assertThat(refreshed).isEqualTo(inFlight);
            assertThat(nowUs - startUs).isBetween(8 * S, 11 * S);
        }
    }

    @Test
    void shortBudgetExtendsCyclesWithoutLosingCounts() {
        final LoadGossiper gossiper = gossiper(29, 3_000, 10 * S);
        for (int key = 0; key < 60; key++) {
            counts.attemptStarted(key * 1_000);
        }
        final Set<Integer> refreshed = new TreeSet<>();
        final long startUs = nowUs;
        for (LoadMessage message = next(gossiper); message.cycle() == 1; message = next(gossiper)) {
            refreshed.addAll(keys(message));
        }
        assertThat(refreshed).hasSize(60);
        assertThat(nowUs - startUs).isGreaterThan(15 * S);
    }

    @Test
    void sendsLeaveMessageOnlyWithinBudget() {
        final LoadGossiper gossiper = gossiper(2, 1_000, 60 * S);
        assertThat(gossiper.leave(nowUs)).as("no budget yet").isEmpty();
        nowUs += S;
        final LoadMessage message = gossiper.leave(nowUs).orElseThrow();
        assertThat(message.leaving()).isTrue();
        assertThat(message.entries()).isEmpty();
    }
}
