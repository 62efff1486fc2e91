package cresschute.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import cresschute.TestConsole;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a console whose rows drift from the state of the node: 1,000 workers, of which 200
 * per second change.
 */
@Timeout(60)
class LargeFleetTest {

    @TempDir private Path folder;

    private static void take(Map<String, JsonObject> held, JsonObject line) {
        if (line.has("rows")) {
            line.getAsJsonArray("gone").forEach(each -> held.remove(each.getAsString()));
            line.getAsJsonObject("rows")
                    .entrySet()
                    .forEach(each -> held.put(each.getKey(), each.getValue().getAsJsonObject()));
        }
    }

    @Test
    void consoleUpdatesMatchNodeStateUnderChurn() throws Exception {
        final Path socket = folder.resolve("s");
        try (LargeFleet site = new LargeFleet(1_000, 1, socket);
                TestConsole peer = new TestConsole(socket)) {
            final Map<String, JsonObject> held = new HashMap<>();
            take(held, peer.ask("\"do\":\"subscribe\""));
            while (held.size() < 1_002) {
                take(held, peer.read());
            }
            site.churn(200);
            int drains = 0;
            for (int i = 0; i < 12; i++) {
                final JsonObject news = peer.read();
                // The node sends changes and not the full state again.
                assertThat(news.has("whole") && news.get("whole").getAsBoolean()).isFalse();
                drains +=
                        news.has("rows")
                                ? (int)
                                        news.getAsJsonObject("rows").entrySet().stream()
                                                .filter(
                                                        each ->
                                                                each.getKey().startsWith("w/")
                                                                        && each.getValue()
                                                                                .getAsJsonObject()
                                                                                .get("listed")
                                                                                .getAsString()
                                                                                .equals("draining"))
                                                .count()
                                : 0;
                take(held, news);
            }
            assertThat(drains).isGreaterThan(50);
            // An operation of an operator takes effect immediately among these updates, and the
            // operator sees it.
            try (TestConsole operator = new TestConsole(socket)) {
                assertThat(operator.operate("drain", "o", "w500")).isEqualTo("done: ");
            }
            JsonObject row = held.get("w/w500");
            while (!row.has("drain")) {
                take(held, peer.read());
                row = held.get("w/w500");
            }
            assertThat(row.get("state").getAsString()).isEqualTo("draining");
        }
    }
}
