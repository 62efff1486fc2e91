package cresschute.cli;

import com.google.gson.JsonObject;
import cresschute.cli.ControlClient.RequestFailedException;
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

    @Mixin private ControlSocketOptions controlSocket;

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
    private static final long MAX_UNAVAILABLE_MS = 15_000;

    private static final long RETRY_INTERVAL_MS = 300;
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");
    private static final Map<String, Long> MS_PER_UNIT =
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
        return Long.parseLong(matcher.group(1)) * MS_PER_UNIT.get(matcher.group(2));
    }

    /**
     * Carries it out and prints the outcome; with {@code wait}, once nothing is out at the worker.
     *
     * @param type {@code drain} or {@code undrain}
     * @param extraFields fields of the request
     */
    int run(CommandSpec spec, String type, Map<String, Object> extraFields, boolean wait)
            throws InterruptedException {
        final Map<String, Object> fields = new LinkedHashMap<>(extraFields);
        fields.put("op", operation == null ? UUID.randomUUID().toString() : operation);
        fields.put("worker", worker);
        fields.put("who", ControlSocketOptions.userName(System.getenv()));
        final JsonObject request = ControlLink.request("1", type, fields);
        final Path socket = controlSocket.find(spec, System.getenv());
        final PrintWriter out = spec.commandLine().getOut();
        final PrintWriter err = spec.commandLine().getErr();
        final long deadlineMs = System.currentTimeMillis() + MAX_UNAVAILABLE_MS;
        boolean connected = false;
        while (true) {
            try (ControlClient client = new ControlClient(socket)) {
                connected = true;
                final JsonObject answer = client.request(request);
                return printOutcome(request, answer, client, wait, json, out, err);
            } catch (RequestFailedException e) {
                // The node may have received it; its id makes a retry idempotent. A node that was
                // never reached is reported at once.
                if (!e.isRetryable() || !connected || System.currentTimeMillis() >= deadlineMs) {
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
            ControlClient client,
            boolean wait,
            boolean json,
            PrintWriter out,
            PrintWriter err)
            throws RequestFailedException, InterruptedException {
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
            awaitNoRequestInFlight(worker, client);
            if (!json) {
                out.println(worker + ": no request is in flight any more");
                out.flush();
            }
        }
        return ExitCodes.DONE;
    }

    private static void awaitNoRequestInFlight(String worker, ControlClient client)
            throws RequestFailedException, InterruptedException {
        final SiteModel model = new SiteModel();
        model.apply(
                client.request(ControlLink.request("2", "subscribe")), System.currentTimeMillis());
        while (model.worker(worker) != null
                && model.worker(worker).get("in_flight").getAsInt() > 0) {
            final JsonObject line = client.nextLine(SiteModel.STALE_AFTER_MS * 4);
            if (line == null) {
                throw new RequestFailedException("the node has gone silent", true);
            }
            model.apply(line, System.currentTimeMillis());
        }
    }
}
