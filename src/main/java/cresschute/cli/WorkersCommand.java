package cresschute.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import cresschute.cli.ControlClient.RequestFailedException;
import cresschute.console.ControlLink;
import cresschute.console.SiteModel;
import cresschute.console.WorkerTable;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints who is well. */
@Command(
        name = "workers",
        mixinStandardHelpOptions = true,
        description =
                "Prints the workers of a node: who takes work, is slowing or silent, is draining.",
        footer = {"", "Example: cresschute workers --watch"})
final class WorkersCommand implements Callable<Integer> {

    private static final long PRINT_INTERVAL_MS = 2_000;

    @Mixin private ControlSocketOptions controlSocket;

    @Option(names = "--watch", description = "print them again every 2 s until interrupted")
    private boolean watch;

    @Option(names = "--json", description = "print one JSON object a picture")
    private boolean json;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws InterruptedException {
        return print(spec, controlSocket.find(spec, System.getenv()), watch, json);
    }

    /** Prints them once, or again and again. */
    static int print(CommandSpec spec, Path socket, boolean watch, boolean json)
            throws InterruptedException {
        final PrintWriter out = spec.commandLine().getOut();
        final SiteModel model = new SiteModel();
        try (ControlClient client = new ControlClient(socket)) {
            model.apply(
                    client.request(ControlLink.request("1", watch ? "subscribe" : "workers")),
                    System.currentTimeMillis());
            print(out, model, json);
            long printedMs = System.currentTimeMillis();
            // A reader that has gone, as after `| head`, ends it.
            while (watch && !out.checkError()) {
                final JsonObject line = client.nextLine(PRINT_INTERVAL_MS);
                if (line != null) {
                    model.apply(line, System.currentTimeMillis());
                }
                if (System.currentTimeMillis() - printedMs >= PRINT_INTERVAL_MS) {
                    if (!json) {
                        out.println();
                    }
                    print(out, model, json);
                    printedMs = System.currentTimeMillis();
                }
            }
            return ExitCodes.DONE;
        } catch (RequestFailedException e) {
            spec.commandLine().getErr().println("cresschute: " + e.getMessage());
            return ExitCodes.FAILED;
        }
    }

    private static void print(PrintWriter out, SiteModel model, boolean json) {
        if (json) {
            final JsonObject snapshot = new JsonObject();
            snapshot.add("node", model.node());
            final JsonArray workers = new JsonArray();
            model.workers().forEach(workers::add);
            snapshot.add("workers", workers);
            final JsonArray classes = new JsonArray();
            model.classes().forEach(classes::add);
            snapshot.add("classes", classes);
            out.println(snapshot);
        } else {
            WorkerTable.lines(model, System.currentTimeMillis()).forEach(out::println);
        }
        out.flush();
    }
}
