package cresschute.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the conversion between the simulator's wire protocol and the dispatchers. */
class SimulatorAdapterTest {

    private final ByteArrayOutputStream input = new ByteArrayOutputStream();
    private int batches;

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static byte[] record(int code, ByteBuffer fields) {
        return buffer(5 + fields.position())
                .put((byte) code)
                .putInt(fields.position())
                .put(fields.flip())
                .array();
    }

    private static byte[] launch(int instance, String settings) {
        final byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return record(
                1,
                buffer(16 + text.length).putInt(instance).putLong(5).putInt(text.length).put(text));
    }

    private static byte[] catalog(int number, int worker) {
        return record(
                11,
                buffer(30)
                        .putInt(number)
                        .putInt(1)
                        .putInt(worker)
                        .put((byte) 0)
                        .putShort((short) 3)
                        .putShort((short) 0)
                        .put((byte) 1)
                        .putFloat(1)
                        .putLong(0));
    }

    private static byte[] registry(int instance, int form, int catalog) {
        return record(2, buffer(17).putInt(instance).put((byte) form).putLong(1).putInt(catalog));
    }

    private static byte[] incoming(int instance, int request) {
        return record(
                3,
                buffer(43)
                        .putInt(instance)
                        .putInt(request)
                        .putShort((short) 0)
                        .putLong(0)
                        .put((byte) 0)
                        .putFloat(1)
                        .putInt(0)
                        .putFloat(0)
                        .putInt(0)
                        .putLong(6_000_000));
    }

    private void batch(byte[]... records) {
        int length = 20;
        for (final byte[] record : records) {
            length += record.length;
        }
        final ByteBuffer frame =
                buffer(length)
                        .putLong(1_000_000)
                        .putInt(length)
                        .putInt(records.length)
                        .putInt(++batches);
        for (final byte[] record : records) {
            frame.put(record);
        }
        final byte[] bytes = new byte[length];
        frame.flip().get(bytes);
        input.writeBytes(bytes);
    }

    /** Runs all batches and returns the actions of the last reply, each with its record header. */
    private List<ByteBuffer> lastReply() throws IOException {
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input.toByteArray()), out).run();
        final ByteBuffer all = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        final List<ByteBuffer> actions = new ArrayList<>();
        for (int batch = 1; batch <= batches; batch++) {
            actions.clear();
            final int count = all.getInt();
            all.getInt();
            assertThat(all.getInt()).isEqualTo(batch);
            for (int i = 0; i < count; i++) {
                final int start = all.position();
                final int length = 5 + all.getInt(start + 1);
                actions.add(all.slice(start, length).order(ByteOrder.LITTLE_ENDIAN));
                all.position(start + length);
            }
        }
        assertThat(all.remaining()).isZero();
        return actions;
    }

    private static List<Integer> codes(List<ByteBuffer> actions) {
        return actions.stream().map(action -> (int) action.get(0)).toList();
    }

    @Test
    void sendsRequestToWorkerOfItsOwnInstancesList() throws IOException {
        batch(
                launch(1, SettingsParserTest.SMALL),
                launch(2, SettingsParserTest.SMALL),
                catalog(0, 77),
                registry(1, 2, 0),
                catalog(0, 88),
                registry(2, 2, 0));
        batch(incoming(1, 5), incoming(2, 6));
        final List<ByteBuffer> actions = lastReply();
        assertThat(codes(actions)).containsExactly(WireCodes.PLACE, WireCodes.PLACE);
        assertThat(actions.get(0).getInt(5)).isEqualTo(1);
        assertThat(actions.get(0).getInt(21)).isEqualTo(77);
        assertThat(actions.get(1).getInt(5)).isEqualTo(2);
        assertThat(actions.get(1).getInt(21)).isEqualTo(88);
    }

    @Test
    void startsNewDispatcherAfterExitAndLaunchInOneBatch() throws IOException {
        batch(launch(1, SettingsParserTest.SMALL), catalog(0, 77), registry(1, 2, 0));
        batch(
                record(10, buffer(4).putInt(1)),
                launch(1, SettingsParserTest.SMALL),
                catalog(1, 99),
                registry(1, 2, 1),
                incoming(1, 5));
        final List<ByteBuffer> actions = lastReply();
        assertThat(codes(actions)).containsExactly(WireCodes.SLEEP, WireCodes.PLACE);
        assertThat(actions.get(1).getInt(21)).isEqualTo(99);
    }

    @Test
    void reportsDispatcherExceptionForItsInstance() throws IOException {
        batch(launch(4, SettingsParserTest.SMALL.replace("balancers=2\n", "")));
        final List<ByteBuffer> actions = lastReply();
        assertThat(codes(actions)).containsExactly(WireCodes.DIE);
        assertThat(actions.get(0).getInt(5)).isEqualTo(4);
        final byte[] text = new byte[actions.get(0).getShort(9)];
        actions.get(0).get(11, text);
        assertThat(new String(text, StandardCharsets.UTF_8)).contains("balancers");
    }

    @Test
    void ignoresEventsOfUnknownInstance() throws IOException {
        batch(incoming(3, 1), record(200, buffer(2).putShort((short) 1)));
        assertThat(lastReply()).isEmpty();
    }

    @Test
    void rejectsUnknownCatalog() {
        batch(launch(1, SettingsParserTest.SMALL), registry(1, 2, 7));
        assertThatThrownBy(this::lastReply)
                .isInstanceOf(MalformedInputException.class)
                .hasMessageContaining("catalog 7");
    }
}
