package cresschute.console;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jline.terminal.Attributes;
import org.jline.terminal.Size;
import org.jline.terminal.Terminal;
import org.jline.utils.Display;
import org.jline.utils.InfoCmp.Capability;

/**
 * The full-screen console. The thread that calls {@link #run} handles keys and the node's lines
 * from one queue, redraws periodically, and owns all state. One other thread reads keys, and the
 * link's thread reads lines; both only add to the queue. An operation without an answer is sent
 * again with the same operation id after a reconnection.
 */
public final class Console {

    private static final int MAX_QUEUED_INPUTS = 256;
    private static final long IDLE_DRAW_INTERVAL_MS = 250;

    /** Shortest time between two drawings, ms, however much the node sends. */
    private static final long MIN_DRAW_INTERVAL_MS = 100;

    private static final long RECONNECT_DELAY_MS = 500;

    private final Terminal terminal;
    private final Path socket;
    private final String userName;
    private final boolean colorWanted;
    private final BlockingQueue<Runnable> inputs = new ArrayBlockingQueue<>(MAX_QUEUED_INPUTS);
    private final SiteModel model = new SiteModel();
    private final ScreenState state = new ScreenState();
    private final Map<String, JsonObject> unanswered = new LinkedHashMap<>();
    private final Display display;
    private ControlLink link;
    private long nextConnectMs;
    private int lastLinkNumber;
    private int lastRequest;
    private boolean quit;
    private boolean redrawNeeded = true;
    private boolean resized = true;
    private long lastDrawnMs;
    private Size size = new Size(0, 0);

    /**
     * Creates a console.
     *
     * @param socket the control socket of the node
     * @param userName sent to the node with each operation
     * @param colorWanted whether to use colours if the terminal has at least 8
     */
    public Console(Terminal terminal, Path socket, String userName, boolean colorWanted) {
        this.terminal = terminal;
        this.socket = socket;
        this.userName = userName;
        this.colorWanted = colorWanted;
        this.display = new Display(terminal, true);
    }

    /**
     * Shows the console until the user quits or the terminal disconnects, and then restores the
     * terminal's settings.
     */
    public void run() throws IOException, InterruptedException {
        final Attributes originalAttributes = terminal.enterRawMode();
        terminal.handle(Terminal.Signal.WINCH, signal -> enqueue(() -> resized = true));
        terminal.handle(Terminal.Signal.INT, signal -> enqueue(() -> quit = true));
        terminal.puts(Capability.enter_ca_mode);
        terminal.puts(Capability.cursor_invisible);
        terminal.flush();
        try {
            readKeys();
            while (!quit) {
                connectIfDue();
                draw();
                final Runnable input = inputs.poll(msUntilNextDraw(), TimeUnit.MILLISECONDS);
                redrawNeeded |= input == null;
                for (Runnable next = input; next != null; next = inputs.poll()) {
                    next.run();
                    redrawNeeded = true;
                }
            }
        } finally {
            if (link != null) {
                link.close();
            }
            terminal.puts(Capability.cursor_visible);
            terminal.puts(Capability.exit_ca_mode);
            terminal.setAttributes(originalAttributes);
            terminal.flush();
        }
    }

    private long msUntilNextDraw() {
        return redrawNeeded
                ? Math.max(1, MIN_DRAW_INTERVAL_MS - (System.currentTimeMillis() - lastDrawnMs))
                : IDLE_DRAW_INTERVAL_MS;
    }

    private void enqueue(Runnable input) {
        try {
            inputs.put(input);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readKeys() {
        final KeyReader keys = new KeyReader(timeoutMs -> terminal.reader().read(timeoutMs));
        final Thread reader =
                new Thread(
                        () -> {
                            try {
                                KeyReader.Key key = keys.next();
                                while (key != null) {
                                    final KeyReader.Key pressed = key;
                                    enqueue(() -> perform(state.handleKey(pressed, model)));
                                    key = keys.next();
                                }
                            } catch (IOException e) {
                                // The terminal is gone, as after a dropped connection: the
                                // console quits below.
                            }
                            enqueue(() -> quit = true);
                        },
                        "console-keys");
        reader.setDaemon(true);
        reader.start();
    }

    // ---- The node ----

    private void connectIfDue() {
        if (link != null || System.currentTimeMillis() < nextConnectMs) {
            return;
        }
        final int linkNumber = ++lastLinkNumber;
        try {
            link =
                    ControlLink.open(
                            socket,
                            line -> enqueue(() -> receiveLine(linkNumber, line)),
                            reason -> enqueue(() -> connectionEnded(linkNumber, reason)));
            model.connected(System.currentTimeMillis());
            if (linkNumber > 1) {
                state.showMessage("connected");
            }
            final JsonObject subscription = ControlLink.request("rows", "subscribe");
            subscription.addProperty("from", model.version());
            subscription.addProperty("boot", model.incarnation());
            link.send(subscription);
            final JsonObject events = ControlLink.request("events", "events");
            events.addProperty("after", model.lastEventNumber());
            events.addProperty("boot", model.incarnation());
            link.send(events);
            // The node may have received these operations before the disconnection; their operation
            // ids make them idempotent.
            for (final JsonObject each : unanswered.values()) {
                link.send(each);
            }
        } catch (IOException e) {
            connectionEnded(linkNumber, e.getMessage());
        }
    }

    private void connectionEnded(int linkNumber, String reason) {
        if (linkNumber != lastLinkNumber) {
            return;
        }
        if (link != null) {
            link.close();
        }
        link = null;
        model.disconnected();
        nextConnectMs = System.currentTimeMillis() + RECONNECT_DELAY_MS;
        state.showMessage(reason);
    }

    private void receiveLine(int linkNumber, JsonObject line) {
        if (linkNumber != lastLinkNumber) {
            return;
        }
        if (line.has("ok") && !line.get("ok").getAsBoolean()) {
            unanswered.remove(ScreenState.text(line, "re"));
            state.showMessage(ScreenState.text(line, "error"));
            return;
        }
        model.apply(line, System.currentTimeMillis());
        final JsonObject request =
                line.has("outcome") ? unanswered.remove(ScreenState.text(line, "re")) : null;
        if (request != null) {
            showOutcome(request, line);
        }
    }

    private void showOutcome(JsonObject request, JsonObject answer) {
        final String worker = ScreenState.text(answer, "worker");
        final boolean drain = request.get("do").getAsString().equals("drain");
        switch (ScreenState.text(answer, "outcome")) {
            case "done" ->
                    state.showMessage(
                            drain
                                    ? worker
                                            + " is draining; "
                                            + answer.get("in_flight").getAsInt()
                                            + " still out"
                                    : worker + " takes work again, unless the list says otherwise");
            case "already" -> state.showMessage(worker + ": " + ScreenState.text(answer, "why"));
            default -> {
                if (drain && !request.has("force")) {
                    state.confirmForcedDrain(worker, ScreenState.text(answer, "why"));
                } else {
                    state.showMessage(ScreenState.text(answer, "why"));
                }
            }
        }
        if (answer.has("keep_error")) {
            state.showMessage(worker + ": " + ScreenState.text(answer, "keep_error"));
        }
    }

    private void perform(ScreenState.Action action) {
        switch (action) {
            case QUIT -> quit = true;
            case DRAIN -> sendOperation("drain", false);
            case FORCED_DRAIN -> sendOperation("drain", true);
            case UNDRAIN -> sendOperation("undrain", false);
            case NOTHING -> {}
        }
    }

    private void sendOperation(String operation, boolean force) {
        final String id = "o" + ++lastRequest;
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("op", UUID.randomUUID().toString());
        fields.put("worker", state.target());
        fields.put("who", userName);
        if (force) {
            fields.put("force", true);
        }
        final JsonObject request = ControlLink.request(id, operation, fields);
        unanswered.put(id, request);
        state.showMessage(
                operation
                        + " of "
                        + state.target()
                        + (link == null ? " waits for the connection" : " sent"));
        if (link != null) {
            try {
                link.send(request);
            } catch (IOException e) {
                connectionEnded(lastLinkNumber, "connection to the node failed: " + e.getMessage());
            }
        }
    }

    // ---- The screen ----

    private void draw() {
        final long nowMs = System.currentTimeMillis();
        if (!redrawNeeded || (nowMs - lastDrawnMs < MIN_DRAW_INTERVAL_MS && !resized)) {
            return;
        }
        if (resized) {
            resized = false;
            final Size reported = terminal.getSize();
            // A terminal that does not report its size is assumed to have the usual one.
            size =
                    new Size(
                            reported.getColumns() <= 0 ? 80 : reported.getColumns(),
                            reported.getRows() <= 0 ? 24 : reported.getRows());
            display.resize(size.getRows(), size.getColumns());
            display.clear();
            terminal.puts(Capability.clear_screen);
        }
        redrawNeeded = false;
        lastDrawnMs = nowMs;
        final Integer colors = terminal.getNumericCapability(Capability.max_colors);
        final Charset charset = terminal.encoding();
        display.update(
                ScreenView.draw(
                        model,
                        state,
                        new ScreenView.ScreenFormat(
                                Math.max(ScreenView.MIN_COLUMNS, size.getColumns()),
                                Math.max(ScreenView.MIN_ROWS, size.getRows()),
                                colorWanted && colors != null && colors >= 8,
                                StandardCharsets.UTF_8.equals(charset),
                                ZoneId.systemDefault()),
                        nowMs),
                -1);
    }
}
