package cresschute.console;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import cresschute.console.KeyReader.Kind;
import cresschute.console.ScreenState.Action;
import cresschute.console.ScreenState.Mode;
import cresschute.console.ScreenView.ScreenFormat;
import cresschute.console.SiteModel.Freshness;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jline.utils.AttributedString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the drawn screen at several sizes and connection states, and the effects of keys. */
class ScreenTest {

    private static final long NOW = 1_700_000_100_000L;
    private static final ScreenFormat USUAL_FORMAT =
            new ScreenFormat(80, 24, false, false, ZoneOffset.UTC);

    private final SiteModel model = new SiteModel();
    private final ScreenState state = new ScreenState();

    private static String worker(String id, String condition, int out) {
        return "\"w/"
                + id
                + "\":{\"id\":\""
                + id
                + "\",\"state\":\""
                + condition
                + "\",\"why\":\"\",\"since_ms\":"
                + (NOW - 65_000)
                + ",\"address\":\"127.0.0.1:9101\",\"kind\":\"std\",\"cell\":0,\"listed\":\"serving\","
                + "\"in_flight\":"
                + out
                + ",\"in_flight_by_class\":{},\"rate\":1.25,\"failed\":0,\"p50_ms\":415,"
                + "\"p99_ms\":12800,\"p50_ms_10m\":400,\"p99_ms_10m\":900,\"sparks\":[0,0,0,1,2,3,4,5,6,7,8,4],"
                + "\"queue\":2,\"free\":-1,\"report_ms\":"
                + (NOW - 1_500)
                + "}";
    }

    private static String node(boolean stopping) {
        return "\"node\":{\"name\":\"desk-1\",\"list_version\":41,\"list_ms\":"
                + (NOW - 2_300)
                + ",\"fixed_list\":false,\"open\":12,\"worth_kept\":0.984,\"stopping\":"
                + stopping
                + ",\"consoles\":1,\"broken\":0}";
    }

    private static final String CLASS =
            "\"c/lookup\":{\"id\":\"lookup\",\"asked\":59,\"admitted\":0.97,"
                + "\"served\":55,\"refused\":2,\"failed\":1,\"in_time\":54,\"in_flight\":3,\"p50_ms\":400,"
                + "\"p99_ms\":1100,\"p50_ms_10m\":400,\"p99_ms_10m\":900}";

    private static JsonObject line(String text) {
        return JsonParser.parseString(text).getAsJsonObject();
    }

    private void load(String... rows) {
        model.connected(NOW);
        model.apply(
                line(
                        "{\"boot\":\"b\",\"number\":5,\"whole\":true,\"rows\":{"
                                + String.join(",", rows)
                                + "},\"gone\":[]}"),
                NOW);
    }

    private void change(String rows, String gone) {
        model.apply(
                line(
                        "{\"boot\":\"b\",\"number\":6,\"whole\":false,\"rows\":{"
                                + rows
                                + "},\"gone\":["
                                + gone
                                + "]}"),
                NOW);
    }

    private List<String> screen(ScreenFormat format) {
        return ScreenView.draw(model, state, format, NOW).stream()
                .map(AttributedString::toString)
                .map(String::stripTrailing)
                .toList();
    }

    private Action press(String keys) {
        Action action = Action.NOTHING;
        for (int i = 0; i < keys.length(); i++) {
            action = state.handleKey(new KeyReader.Key(Kind.CHAR, keys.charAt(i)), model);
        }
        return action;
    }

    @Test
    void drawsTablesOnUsualScreen() {
        load(
                worker("w1", "taking", 3),
                worker("w2", "silent", 10),
                worker("w10", "draining", 0),
                CLASS,
                node(false));
        model.apply(
                line(
                        "{\"boot\":\"b\",\"missed\":0,\"events\":[{\"n\":1,\"at_ms\":"
                                + NOW
                                + ",\"kind\":\"condition\",\"worker\":\"w2\",\"text\":\"w2 is"
                                + " silent\"}]}"),
                NOW);
        assertThat(String.join("\n", screen(USUAL_FORMAT)))
                .isEqualTo(
                        """
                         desk-1 | open 12 | worth kept 98% | list 41, 2s ago                       LIVE
                         WORKER*      STATE     OUT    /S    P50    P99 QUEUE FREE REPORT
                        >w1           taking      3   1.3  415ms    13s     2    -     1s
                         w2           silent     10   1.3  415ms    13s     2    -     1s
                         w10          draining    0   1.3  415ms    13s     2    -     1s











                         w1: taking for 65s
                         CLASS          ASKED   ADMIT  SERVED REFUSED  FAILED  INTIME     P99
                         lookup            59     97%      55       2       1      54  1100ms
                         22:15:00 w2 is silent



                         d drain  u undo  / filter  s sort  ? help  q quit\
                        """);
    }

    @Test
    void narrowScreenKeepsNamesAndStates() {
        load(
                worker("w1", "taking", 3),
                worker("a-worker-with-a-long-name", "slowing", 1),
                CLASS,
                node(false));
        assertThat(
                        String.join(
                                "\n",
                                screen(new ScreenFormat(40, 14, false, false, ZoneOffset.UTC))))
                .isEqualTo(
                        """
                         desk-1 | open 12 | worth kept 98% LIVE
                         WORKER*      STATE     OUT    P99
                        >a-worker-wi~ slowing     1    13s
                         w1           taking      3    13s






                         a-worker-with-a-long-name: slowing for
                         CLASS          ASKED  SERVED REFUSED
                         lookup            59      55       2
                         d drain  u undo  ? help  q quit\
                        """);
    }

    /** Every line is exactly as wide as the screen, and there is one line for each row. */
    @Property(tries = 200, seed = "83")
    void everyLineFillsTheScreen(@ForAll Random random) {
        final List<String> rows = new ArrayList<>(List.of(node(random.nextBoolean())));
        final int workers = random.nextInt(40);
        for (int i = 0; i < workers; i++) {
            rows.add(
                    worker(
                            (random.nextInt(5) == 0 ? "日本" : "w") + i,
                            List.of(
                                            "taking",
                                            "full",
                                            "slowing",
                                            "silent",
                                            "cold",
                                            "draining",
                                            "gone")
                                    .get(random.nextInt(7)),
                            random.nextInt(1_000)));
        }
        load(rows.toArray(String[]::new));
        for (int i = 0; i < random.nextInt(30); i++) {
            press(String.valueOf("jkgGsd/?yn".charAt(random.nextInt(10))));
        }
        final ScreenFormat format =
                new ScreenFormat(
                        40 + random.nextInt(120),
                        6 + random.nextInt(60),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        ZoneOffset.UTC);
        final List<AttributedString> drawn = ScreenView.draw(model, state, format, NOW);
        assertThat(drawn).hasSize(format.rows());
        assertThat(drawn).allMatch(each -> each.columnLength() == format.columns());
    }

    @Test
    void loadingStaleAndReconnectingAreNeverShownAsLive() {
        assertThat(model.freshness(NOW)).isEqualTo(Freshness.LOADING);
        assertThat(String.join("\n", screen(USUAL_FORMAT)))
                .contains("LOADING", "the node has sent no rows yet");
        model.connected(NOW);
        assertThat(model.freshness(NOW)).isEqualTo(Freshness.LOADING);
        load(worker("w1", "taking", 3), node(false));
        assertThat(model.freshness(NOW + SiteModel.STALE_AFTER_MS - 1)).isEqualTo(Freshness.LIVE);
        assertThat(model.freshness(NOW + SiteModel.STALE_AFTER_MS)).isEqualTo(Freshness.STALE);
        assertThat(ScreenView.draw(model, state, USUAL_FORMAT, NOW + 9_000).get(0).toString())
                .endsWith("STALE since 22:15:00 ");
        model.disconnected();
        assertThat(screen(USUAL_FORMAT).get(0)).endsWith("RECONNECTING, STALE since 22:15:00");
        // The last known rows stay on the screen.
        assertThat(screen(USUAL_FORMAT).get(2)).startsWith(">w1");
    }

    @Test
    void showsThatNodeIsStopping() {
        load(worker("w1", "taking", 3), node(true));
        assertThat(screen(USUAL_FORMAT).get(0)).contains("STOPPING");
    }

    /** The selection stays with its worker while others join, leave and are re-sorted. */
    @Test
    void selectionFollowsTheWorker() {
        load(
                worker("w2", "taking", 3),
                worker("w4", "taking", 1),
                worker("w6", "taking", 2),
                node(false));
        screen(USUAL_FORMAT);
        press("j");
        assertThat(state.selected()).isEqualTo("w4");
        change(worker("w1", "taking", 9) + "," + worker("w3", "silent", 9), "\"w/w2\"");
        screen(USUAL_FORMAT);
        assertThat(state.selected()).isEqualTo("w4");
        press("ss");
        screen(USUAL_FORMAT);
        assertThat(state.selected()).isEqualTo("w4");
        assertThat(state.order()).isEqualTo(ScreenState.Order.OUT);
        // If the selected worker leaves, the row now in its place is selected, not the first row.
        final List<JsonObject> rows = state.rows(model);
        change("", "\"w/w4\"");
        screen(USUAL_FORMAT);
        assertThat(state.selected()).isEqualTo(ScreenState.text(rows.get(rows.size() - 2), "id"));
        change("", "\"w/w1\",\"w/w3\",\"w/w6\"");
        assertThat(String.join("\n", screen(USUAL_FORMAT)))
                .contains("no workers on the endpoint list");
        assertThat(press("d")).isEqualTo(Action.NOTHING);
        assertThat(state.message()).isEqualTo("no worker is selected");
    }

    /**
     * A confirmed drain applies to the worker that the prompt names, even if rows changed since.
     */
    @Test
    void confirmationKeepsItsWorkerWhileRowsChange() {
        load(worker("w1", "taking", 3), worker("w2", "taking", 7), node(false));
        screen(USUAL_FORMAT);
        press("jd");
        assertThat(state.mode()).isEqualTo(Mode.CONFIRM_DRAIN);
        change("", "\"w/w2\"");
        assertThat(screen(USUAL_FORMAT).get(23)).isEqualTo(" Drain w2? 0 in flight. y or n");
        change(worker("w2", "taking", 7), "");
        assertThat(screen(USUAL_FORMAT).get(23)).isEqualTo(" Drain w2? 7 in flight. y or n");
        assertThat(press("y")).isEqualTo(Action.DRAIN);
        assertThat(state.target()).isEqualTo("w2");
        press("d");
        assertThat(press("n")).isEqualTo(Action.NOTHING);
        assertThat(state.message()).endsWith(": drain cancelled");
        state.confirmForcedDrain("w2", "w2 is the last worker that may run file");
        assertThat(screen(USUAL_FORMAT).get(23))
                .isEqualTo(" w2 is the last worker that may run file. F drains it anyway");
        assertThat(press("f")).isEqualTo(Action.NOTHING);
        state.confirmForcedDrain("w2", "w2 is the last worker that may run file");
        assertThat(press("F")).isEqualTo(Action.FORCED_DRAIN);
    }

    @Test
    void filterLimitsRowsAndEscapeClearsIt() {
        load(
                worker("w1", "taking", 3),
                worker("w2", "silent", 7),
                worker("x1", "taking", 0),
                node(false));
        press("/SIL");
        assertThat(screen(USUAL_FORMAT).get(23)).isEqualTo("/SIL_");
        assertThat(state.rows(model)).hasSize(1);
        state.handleKey(KeyReader.Key.of(Kind.ENTER), model);
        assertThat(screen(USUAL_FORMAT).get(23)).startsWith("[/SIL] d drain");
        assertThat(state.selected()).isEqualTo("w2");
        state.handleKey(KeyReader.Key.of(Kind.ESCAPE), model);
        assertThat(state.rows(model)).hasSize(3);
        assertThat(state.selected()).isEqualTo("w2");
        press("/zz");
        assertThat(String.join("\n", screen(USUAL_FORMAT)))
                .contains("no worker matches 'zz'; Esc shows all");
    }

    /**
     * Names and reasons come from outside: control characters in them must not move the cursor or
     * reverse the text's direction.
     */
    @ParameterizedTest
    @ValueSource(strings = {"a\u001b[2Jb", "a\u0007b", "a\u202eb", "a\nb", "a\u009bb"})
    void replacesControlCharactersInReceivedText(String text) {
        assertThat(ScreenText.replaceControlCharacters(text)).matches("a\\?[^\\p{Cntrl}]*b");
    }

    @Test
    void omitsColourWhereItIsNotWanted() {
        load(worker("w1", "silent", 3), worker("w2", "silent", 3), node(false));
        final String plain = ScreenView.draw(model, state, USUAL_FORMAT, NOW).get(3).toAnsi();
        final String colored =
                ScreenView.draw(
                                model,
                                state,
                                new ScreenFormat(80, 24, true, true, ZoneOffset.UTC),
                                NOW)
                        .get(3)
                        .toAnsi();
        assertThat(plain).doesNotContain("[31").doesNotContain(";31");
        assertThat(colored).contains("31");
    }

    /** A restarted node numbers from 1 again, so earlier rows and events are dropped. */
    @Test
    void newIncarnationResetsRowsAndEvents() {
        load(worker("w1", "taking", 3), node(false));
        model.apply(
                line(
                        "{\"boot\":\"b\",\"missed\":0,\"events\":[{\"n\":7,\"at_ms\":1,\"kind\":\"k\","
                            + "\"text\":\"old\"}]}"),
                NOW);
        assertThat(model.lastEventNumber()).isEqualTo(7);
        model.apply(
                line(
                        "{\"boot\":\"c\",\"number\":1,\"whole\":true,\"rows\":{"
                                + worker("w9", "cold", 0)
                                + "},\"gone\":[]}"),
                NOW);
        assertThat(model.lastEventNumber()).isZero();
        assertThat(model.events()).isEmpty();
        assertThat(model.workers()).hasSize(1);
    }
}
