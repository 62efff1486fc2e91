package cresschute.cli;

import com.google.gson.JsonObject;
import cresschute.cli.ControlClient.NoAnswer;
import cresschute.console.ControlLink;
import cresschute.console.SiteModel;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Options and execution of draining and its undoing: one operation is sent to the node, and again
 * under the same id if the connection breaks, until its outcome is known.
 */
final class WorkerOperation {

    @Mixin private ControlSocket node;

    @Parameters(paramLabel = "WORKER", description = "its name, as the list has it")
    private String worker;

    @Option(
            names = "--operation",
            paramLabel = "ID",
            description =
                    "the mark of the operation: the same one again has no second effect (default:"
                            + " drawn)")
    private String operation;

    @Option(names = "--json", description = "print the node's answer as one JSON object")
    private boolean json;

    /**
     * How long a node may be away, as while it starts again, before the outcome counts as unknown.
     */
    private static final long MAX_ABSENCE_MS = 15_000;

    private static final long RETRY_INTERVAL_MS = 300;
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");
    private static final Map<String, Long> UNITS =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);

    /**
     * A time such as 90s or 2h in milliseconds; anything else is an {@link
     * IllegalArgumentException}.
     */
    static long durationMs(String text) {
        final Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("'" + text + "' is no time");
        }
        return Long.parseLong(matcher.group(1)) * UNITS.get(matcher.group(2));
    }

    /**
     * Carries it out and prints the outcome; with {@code wait}, once nothing is out at the worker.
     *
     * @param what {@code drain} or {@code undrain}
     * @param further fields of the request
     */
    int run(CommandSpec spec, String what, Map<String, Object> further, boolean wait)
            throws InterruptedException {
        final Map<String, Object> fields = new LinkedHashMap<>(further);
        fields.put("op", operation == null ? UUID.randomUUID().toString() : operation);
        fields.put("worker", worker);
        fields.put("who", ControlSocket.who(System.getenv()));
        final JsonObject request = ControlLink.request("1", what, fields);
        final Path socket = node.find(spec, System.getenv());
        final PrintWriter out = spec.commandLine().getOut();
        final PrintWriter err = spec.commandLine().getErr();
        final long untilMs = System.currentTimeMillis() + MAX_ABSENCE_MS;
        boolean sent = false;
        while (true) {
            try (ControlClient talk = new ControlClient(socket)) {
                sent = true;
                final JsonObject answer = talk.ask(request);
                return printOutcome(request, answer, talk, wait, json, out, err);
            } catch (NoAnswer e) {
                // The node may have received it; its id makes a retry idempotent. A node that was
                // never reached is reported at once.
                if (!e.isRetryable() || !sent || System.currentTimeMillis() >= untilMs) {
                    err.println("cresschute: " + e.getMessage());
                    return ExitCodes.FAILED;
                }
                Thread.sleep(RETRY_INTERVAL_MS);
            }
        }
    }

    private static int printOutcome(
            JsonObject request,
            JsonObject answer,
            ControlClient talk,
            boolean wait,
            boolean json,
            PrintWriter out,
            PrintWriter err)
            throws NoAnswer, InterruptedException {
        final String worker = answer.get("worker").getAsString();
        final String outcome = answer.get("outcome").getAsString();
        final boolean drain = request.get("do").getAsString().equals("drain");
        final int inFlight = answer.get("in_flight").getAsInt();
        if (answer.has("keep_error")) {
            err.println("cresschute: " + worker + ": " + answer.get("keep_error").getAsString());
        }
        if (json) {
            out.println(answer);
        } else if (outcome.equals("done")) {
            out.println(
                    worker
                            + (drain
                                    ? " is draining; " + inFlight + " still out"
                                    : " is no longer drained by an operator"));
        } else if (outcome.equals("already")) {
            out.println(worker + ": " + answer.get("why").getAsString());
        }
        out.flush();
        if (outcome.equals("refused")) {
            if (!json) {
                err.println(
                        "cresschute: "
                                + answer.get("why").getAsString()
                                + (drain ? "; --force drains it anyway" : ""));
            }
            return ExitCodes.FAILED;
        }
        if (wait && drain) {
            awaitNothingInFlight(worker, talk);
            if (!json) {
                out.println(worker + ": nothing is out there any more");
                out.flush();
            }
        }
        return ExitCodes.DONE;
    }

    private static void awaitNothingInFlight(String worker, ControlClient talk)
            throws NoAnswer, InterruptedException {
        final SiteModel model = new SiteModel();
        model.apply(talk.ask(ControlLink.request("2", "subscribe")), System.currentTimeMillis());
        while (model.worker(worker) != null
                && model.worker(worker).get("in_flight").getAsInt() > 0) {
            final JsonObject line = talk.next(SiteModel.STALE_AFTER_MS * 4);
            if (line == null) {
                throw new NoAnswer("the node has gone silent", true);
            }
            model.apply(line, System.currentTimeMillis());
        }
    }
}
