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
 * The full-screen console. One thread takes keys, the node's lines and the passing of time from one
 * queue and draws; a thread reads keys, and the link reads lines. An operation that was sent and
 * not answered is sent again, under the same id, once there is a connection again.
 */
public final class Console {

    private static final int MAX_QUEUED = 256;
    private static final long TICK_MS = 250;

    /** Drawn no more often than this, however much the node sends. */
    private static final long DRAW_MS = 100;

    private static final long RECONNECT_MS = 500;

    private final Terminal terminal;
    private final Path socket;
    private final String who;
    private final boolean colorWanted;
    private final BlockingQueue<Runnable> inputs = new ArrayBlockingQueue<>(MAX_QUEUED);
    private final SiteModel model = new SiteModel();
    private final ScreenState state = new ScreenState();
    private final Map<String, JsonObject> unanswered = new LinkedHashMap<>();
    private final Display display;
    private ControlLink link;
    private long connectAtMs;
    private int linkNumber;
    private int lastRequest;
    private boolean quit;
    private boolean dirty = true;
    private boolean resized = true;
    private long drawnMs;
    private Size size = new Size(0, 0);

    /** A console on a terminal, for the node at a control socket. */
    public Console(Terminal terminal, Path socket, String who, boolean colorWanted) {
        this.terminal = terminal;
        this.socket = socket;
        this.who = who;
        this.colorWanted = colorWanted;
        this.display = new Display(terminal, true);
    }

    /** Shows it until the person leaves; the terminal is then as it was. */
    public void run() throws IOException, InterruptedException {
        final Attributes before = terminal.enterRawMode();
        terminal.handle(Terminal.Signal.WINCH, signal -> offer(() -> resized = true));
        terminal.handle(Terminal.Signal.INT, signal -> offer(() -> quit = true));
        terminal.puts(Capability.enter_ca_mode);
        terminal.puts(Capability.cursor_invisible);
        terminal.flush();
        try {
            readKeys();
            while (!quit) {
                connectIfDue();
                draw();
                final Runnable input = inputs.poll(untilNextDraw(), TimeUnit.MILLISECONDS);
                dirty |= input == null;
                for (Runnable next = input; next != null; next = inputs.poll()) {
                    next.run();
                    dirty = true;
                }
            }
        } finally {
            if (link != null) {
                link.close();
            }
            terminal.puts(Capability.cursor_visible);
            terminal.puts(Capability.exit_ca_mode);
            terminal.setAttributes(before);
            terminal.flush();
        }
    }

    private long untilNextDraw() {
        return dirty ? Math.max(1, DRAW_MS - (System.currentTimeMillis() - drawnMs)) : TICK_MS;
    }

    private void offer(Runnable input) {
        try {
            inputs.put(input);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readKeys() {
        final Keys keys = new Keys(timeoutMs -> terminal.reader().read(timeoutMs));
        final Thread reader =
                new Thread(
                        () -> {
                            try {
                                Keys.Key key = keys.next();
                                while (key != null) {
                                    final Keys.Key taken = key;
                                    offer(() -> act(state.key(taken, model)));
                                    key = keys.next();
                                }
                            } catch (IOException e) {
                                // The terminal is gone, as when a line is cut: there is nobody to
                                // show anything to.
                            }
                            offer(() -> quit = true);
                        },
                        "console-keys");
        reader.setDaemon(true);
        reader.start();
    }

    // ---- The node ----

    private void connectIfDue() {
        if (link != null || System.currentTimeMillis() < connectAtMs) {
            return;
        }
        final int mine = ++linkNumber;
        try {
            link =
                    ControlLink.open(
                            socket,
                            line -> offer(() -> taken(mine, line)),
                            why -> offer(() -> ended(mine, why)));
            model.connected(System.currentTimeMillis());
            if (mine > 1) {
                state.say("connected");
            }
            final JsonObject follow = ControlLink.request("rows", "subscribe");
            follow.addProperty("from", model.number());
            follow.addProperty("boot", model.boot());
            link.send(follow);
            final JsonObject events = ControlLink.request("events", "events");
            events.addProperty("after", model.lastEvent());
            events.addProperty("boot", model.boot());
            link.send(events);
            // The node may have received them before the disconnection; their ids make them
            // idempotent.
            for (final JsonObject each : unanswered.values()) {
                link.send(each);
            }
        } catch (IOException e) {
            ended(mine, e.getMessage());
        }
    }

    private void ended(int of, String why) {
        if (of != linkNumber) {
            return;
        }
        if (link != null) {
            link.close();
        }
        link = null;
        model.disconnected();
        connectAtMs = System.currentTimeMillis() + RECONNECT_MS;
        state.say(why);
    }

    private void taken(int of, JsonObject line) {
        if (of != linkNumber) {
            return;
        }
        if (line.has("ok") && !line.get("ok").getAsBoolean()) {
            unanswered.remove(ScreenState.text(line, "re"));
            state.say(ScreenState.text(line, "error"));
            return;
        }
        model.take(line, System.currentTimeMillis());
        final JsonObject request =
                line.has("outcome") ? unanswered.remove(ScreenState.text(line, "re")) : null;
        if (request != null) {
            answered(request, line);
        }
    }

    private void answered(JsonObject request, JsonObject answer) {
        final String worker = ScreenState.text(answer, "worker");
        final boolean drain = request.get("do").getAsString().equals("drain");
        switch (ScreenState.text(answer, "outcome")) {
            case "done" ->
                    state.say(
                            drain
                                    ? worker
                                            + " is draining; "
                                            + answer.get("in_flight").getAsInt()
                                            + " still out"
                                    : worker + " takes work again, unless the list says otherwise");
            case "already" -> state.say(worker + ": " + ScreenState.text(answer, "why"));
            default -> {
                if (drain && !request.has("force")) {
                    state.offerForce(worker, ScreenState.text(answer, "why"));
                } else {
                    state.say(ScreenState.text(answer, "why"));
                }
            }
        }
        if (answer.has("keep_error")) {
            state.say(worker + ": " + ScreenState.text(answer, "keep_error"));
        }
    }

    private void act(ScreenState.Action action) {
        switch (action) {
            case QUIT -> quit = true;
            case DRAIN -> operate("drain", false);
            case FORCED_DRAIN -> operate("drain", true);
            case UNDRAIN -> operate("undrain", false);
            case NOTHING -> {}
        }
    }

    private void operate(String what, boolean force) {
        final String id = "o" + ++lastRequest;
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("op", UUID.randomUUID().toString());
        fields.put("worker", state.asked());
        fields.put("who", who);
        if (force) {
            fields.put("force", true);
        }
        final JsonObject request = ControlLink.request(id, what, fields);
        unanswered.put(id, request);
        state.say(
                what
                        + " of "
                        + state.asked()
                        + (link == null ? " waits for the connection" : " sent"));
        if (link != null) {
            try {
                link.send(request);
            } catch (IOException e) {
                ended(linkNumber, "the connection broke: " + e.getMessage());
            }
        }
    }

    // ---- The screen ----

    private void draw() {
        final long nowMs = System.currentTimeMillis();
        if (!dirty || (nowMs - drawnMs < DRAW_MS && !resized)) {
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
        dirty = false;
        drawnMs = nowMs;
        final Integer colors = terminal.getNumericCapability(Capability.max_colors);
        final Charset charset = terminal.encoding();
        display.update(
                ScreenView.draw(
                        model,
                        state,
                        new ScreenView.Look(
                                Math.max(ScreenView.MIN_COLUMNS, size.getColumns()),
                                Math.max(ScreenView.MIN_ROWS, size.getRows()),
                                colorWanted && colors != null && colors >= 8,
                                StandardCharsets.UTF_8.equals(charset),
                                ZoneId.systemDefault()),
                        nowMs),
                -1);
    }
}
