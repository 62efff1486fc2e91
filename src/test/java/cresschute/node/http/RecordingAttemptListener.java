package cresschute.node.http;

import cresschute.dispatch.LoadReport;
import cresschute.dispatch.Outcome;
import cresschute.node.AttemptListener;
import cresschute.node.ResultStream;
import java.util.ArrayList;
import java.util.List;

/** Records the outcomes of an attempt, and fails on any other event. */
final class RecordingAttemptListener implements AttemptListener {

    final List<Outcome> ends = new ArrayList<>();

    @Override
    public long remainingUs() {
        return 1_000;
    }

    @Override
    public void progressed(double fractionDone) {
        throw new AssertionError("unexpected event of the attempt");
    }

    @Override
    public ResultStream resultBegins(String type, long length, LoadReport report) {
        throw new AssertionError("unexpected event of the attempt");
    }

    @Override
    public void resultEnded(boolean complete) {
        throw new AssertionError("unexpected event of the attempt");
    }

    @Override
    public void ended(Outcome outcome, LoadReport report, String result) {
        ends.add(outcome);
    }
}
