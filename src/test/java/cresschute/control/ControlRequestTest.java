package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsing of lines from consoles and the reasons for which they are rejected. */
class ControlRequestTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    nothing                                              | a request is one JSON object a line
                    [1]                                                  | a request is one JSON object a line
                    {"v":1                                               | a request is one JSON object a line; this is no JSON
                    {"v":1,"do":"workers"}                               | id is missing: the answer would carry it
                    {"v":1,"id":7,"do":"workers"}                        | id is no text
                    {"id":"1","do":"workers"}                            | v is missing; this node speaks version 1
                    {"v":2,"id":"1","do":"workers"}                      | version 2 is not spoken here; this node speaks version 1
                    {"v":1.5,"id":"1","do":"workers"}                    | v is no whole number that fits
                    {"v":1,"id":"1","do":"reboot"}                       | do is 'reboot'; there are workers, subscribe, events, drain, undrain
                    {"v":1,"id":"1"}                                     | do is ''; there are workers, subscribe, events, drain, undrain
                    {"v":1,"id":"1","do":"workers","wrker":"x"}          | there is no field 'wrker'
                    {"v":1,"id":"1","do":"drain","worker":"w"}           | op is missing
                    {"v":1,"id":"1","do":"drain","op":"o"}               | worker is missing
                    {"v":1,"id":"1","do":"drain","op":"o","worker":5}    | worker is no text
                    {"v":1,"id":"1","do":"drain","op":"o","worker":"w","for_ms":0}     | for_ms is 0; allowed: 1 to 3162240000000
                    {"v":1,"id":"1","do":"drain","op":"o","worker":"w","for_ms":"2h"}  | for_ms is no whole number
                    {"v":1,"id":"1","do":"drain","op":"o","worker":"w","for_ms":1e99}  | for_ms is no whole number that fits
                    {"v":1,"id":"1","do":"drain","op":"o","worker":"w","force":"yes"}  | force is neither true nor false
                    {"v":1,"id":"1","do":"drain","op":"o","worker":"w\\u001b[2J"}      | worker has control characters, or more than 200
                    """)
    void rejectsInvalidLinesWithTheReason(String line, String error) {
        assertThatThrownBy(() -> ControlRequest.parse(line))
                .isInstanceOf(InvalidControlRequestException.class)
                .hasMessageContaining(error);
    }

    @Test
    void rejectsDeepNesting() {
        assertThatThrownBy(() -> ControlRequest.parse("[".repeat(ControlRequest.MAX_LINE_LENGTH)))
                .isInstanceOf(InvalidControlRequestException.class);
        assertThatThrownBy(() -> ControlRequest.parse("{\"a\":".repeat(3_000)))
                .isInstanceOf(InvalidControlRequestException.class);
    }

    @Test
    void readsAllFields() throws Exception {
        final ControlRequest drain =
                ControlRequest.parse(
                        "{\"v\":1,\"id\":\"1\",\"do\":\"drain\",\"op\":\"o\","
                            + "\"worker\":\"w1\",\"for_ms\":2000,\"who\":\"ann\",\"reason\":\"disk\",\"force\":true}");
        assertThat(drain.command()).isEqualTo(ControlCommand.DRAIN);
        assertThat(drain.operation())
                .isEqualTo(new DrainOperation("o", true, "w1", 2_000_000, "ann", "disk", true));
        final ControlRequest undrain =
                ControlRequest.parse(
                        "{\"v\":1,\"id\":\"1\",\"do\":\"undrain\",\"op\":\"o\",\"worker\":\"w1\"}");
        assertThat(undrain.operation())
                .isEqualTo(
                        new DrainOperation(
                                "o", false, "w1", DrainRegistry.NO_END_US, "somebody", "", false));
        final ControlRequest follow =
                ControlRequest.parse(
                        "{\"v\":1,\"id\":\"s\",\"do\":\"subscribe\",\"from\":9,\"boot\":\"b\"}");
        assertThat(follow)
                .isEqualTo(new ControlRequest("s", ControlCommand.SUBSCRIBE, 9, "b", 0, null));
    }
}
