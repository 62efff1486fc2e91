package cresschute.testbed.model;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Counts what one dispatcher of the model sends, asks and learns. */
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

    /** Forgets the counts; what is believed of workers stays. */
    public void reset() {
        outcomes.clear();
        ages = 0;
        sends = 0;
        sendsWithoutLoadReport = 0;
        loadQueries = 0;
        unreachableCalls = 0;
        repeatedStarts.clear();
    }

    /** Forgets how many calls were in vain. */
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

    /** Attempts sent. */
    public long sends() {
        return sends;
    }

    /** Attempts sent to a worker that had reported nothing to this dispatcher yet. */
    public long sendsWithoutLoadReport() {
        return sendsWithoutLoadReport;
    }

    /** Attempts and probes sent to a worker that was down or beyond a cut network. */
    public long unreachableCalls() {
        return unreachableCalls;
    }

    /** Starts of jobs of a class whose request had a job started before. */
    public long repeatedStarts(int requestClass) {
        return repeatedStarts.getOrDefault(requestClass, 0L);
    }

    /** Probes sent. */
    public long loadQueries() {
        return loadQueries;
    }

    /** Attempts that ended so. */
    public long ended(Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /**
     * Time between a worker's last report to this dispatcher and each send to it, in rising order,
     * us. The report itself may have been old by the worker's own refresh and delay.
     */
    public long[] loadReportAgesUs() {
        final long[] sorted = Arrays.copyOf(agesUs, ages);
        Arrays.sort(sorted);
        return sorted;
    }
}
