package cresschute.testbed.model;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Counts the attempts, load queries and load reports of one simulated dispatcher. */
public final class DispatcherMeter {

    private static final int INITIAL_CAPACITY = 1024;

    private final Map<Integer, Long> reportedAtUs = new HashMap<>();
    private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    private long[] agesUs = new long[INITIAL_CAPACITY];
    private int ages;
    private long sends;
    private long sendsWithoutLoadReport;
    private long loadQueries;
    private long unreachableCalls;
    private final Map<Integer, Long> repeatedStarts = new HashMap<>();

    /** Resets the counts; the times of the last load reports stay. */
    public void reset() {
        outcomes.clear();
        ages = 0;
        sends = 0;
        sendsWithoutLoadReport = 0;
        loadQueries = 0;
        unreachableCalls = 0;
        repeatedStarts.clear();
    }

    /** Resets the count of calls to unreachable workers. */
    public void resetUnreachableCalls() {
        unreachableCalls = 0;
    }

    void sent(long nowUs, int workerId) {
        sends++;
        final Long atUs = reportedAtUs.get(workerId);
        if (atUs == null) {
            sendsWithoutLoadReport++;
            return;
        }
        agesUs = ages == agesUs.length ? Arrays.copyOf(agesUs, 2 * ages) : agesUs;
        agesUs[ages++] = nowUs - atUs;
    }

    void unreachableCall() {
        unreachableCalls++;
    }

    void started(int requestClass, int startsBefore) {
        if (startsBefore > 0) {
            repeatedStarts.merge(requestClass, 1L, Long::sum);
        }
    }

    void loadQuerySent() {
        loadQueries++;
    }

    void ended(long nowUs, int workerId, Outcome outcome, LoadReport report) {
        outcomes.merge(outcome, 1L, Long::sum);
        reported(nowUs, workerId, report);
    }

    void reported(long nowUs, int workerId, LoadReport report) {
        if (!report.equals(LoadReport.NONE)) {
            reportedAtUs.put(workerId, nowUs);
        }
    }

    /** The number of attempts sent. */
    public long sends() {
        return sends;
    }

    /**
     * The number of attempts sent to a worker that had not yet reported its load to this
     * dispatcher.
     */
    public long sendsWithoutLoadReport() {
        return sendsWithoutLoadReport;
    }

    /**
     * The number of attempts and load queries sent to a worker that was down or beyond a cut
     * network.
     */
    public long unreachableCalls() {
        return unreachableCalls;
    }

    /** The number of job starts in a request class whose request already had a job started. */
    public long repeatedStarts(int requestClass) {
        return repeatedStarts.getOrDefault(requestClass, 0L);
    }

    /** The number of load queries sent. */
    public long loadQueries() {
        return loadQueries;
    }

    /** The number of attempts that ended with this outcome. */
    public long ended(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /**
     * The time from a worker's last load report to this dispatcher until each send to that worker,
     * in ascending order, us. The report may have been older on arrival, because workers refresh
     * and deliver their reports with a delay.
     */
    public long[] loadReportAgesUs() {
        final long[] sorted = Arrays.copyOf(agesUs, ages);
        Arrays.sort(sorted);
        return sorted;
    }
}
