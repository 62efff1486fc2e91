package cresschute.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import cresschute.cli.ControlClient.RequestFailedException;
import cresschute.console.ControlLink;
import java.io.PrintWriter;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints what happened at a site. */
@Command(
        name = "events",
        mixinStandardHelpOptions = true,
        description =
                "Prints what has happened: drains, changes of the list, workers that slow or fall"
                        + " silent.",
        footer = {"", "Example: cresschute events --follow"})
final class EventsCommand implements Callable<Integer> {

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss", Locale.ROOT);
    private static final long POLL_MS = 1_000;

    @Mixin private ControlSocketOptions controlSocket;

    @Option(names = "--follow", description = "go on until interrupted")
    private boolean follow;

    @Option(
            names = "--after",
            paramLabel = "N",
            defaultValue = "0",
            description = "only those with a higher number")
    private long after;

    @Option(names = "--json", description = "print one JSON object a line")
    private boolean json;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        final PrintWriter out = spec.commandLine().getOut();
        try (ControlClient client = new ControlClient(controlSocket.find(spec, System.getenv()))) {
            final JsonObject request = ControlLink.request("1", "events");
            request.addProperty("after", after);
            print(out, client.request(request));
            // A reader that has gone, as after `| head`, ends it.
            while (follow && !out.checkError()) {
                final JsonObject line = client.nextLine(POLL_MS);
                if (line != null) {
                    print(out, line);
                }
            }
            return ExitCodes.DONE;
        } catch (RequestFailedException e) {
            spec.commandLine().getErr().println("cresschute: " + e.getMessage());
            return ExitCodes.FAILED;
        }
    }

    private void print(PrintWriter out, JsonObject line) {
        if (line.has("missed") && line.get("missed").getAsLong() > 0 && !json) {
            out.println(
                    "... " + line.get("missed").getAsLong() + " older ones are not kept any more");
        }
        if (line.has("events")) {
            for (final JsonElement each : line.getAsJsonArray("events")) {
                final JsonObject event = each.getAsJsonObject();
                out.println(
                        json
                                ? event.toString()
                                : TIME.format(
                                                Instant.ofEpochMilli(event.get("at_ms").getAsLong())
                                                        .atZone(ZoneId.systemDefault()))
                                        + " "
                                        + event.get("text")
                                                .getAsString()
                                                .replaceAll("\\p{Cntrl}", "?"));
            }
        }
        out.flush();
    }
}
