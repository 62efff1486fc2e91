package cresschute.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ManagementCallTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            textBlock =
                    """
                    ready                         | READY          |
                    'ready '                      | READY          |
                    READY                         | READY          |
                    drain                         | DRAIN          |
                    resume                        | RESUME         |
                    disable-server s-0c44cbb4     | DISABLE_SERVER | s-0c44cbb4
                    'enable-server   s-1'         | ENABLE_SERVER  | s-1
                    'Disable-Server\ts-2'         | DISABLE_SERVER | s-2
                    """)
    void readsEachCall(String line, ManagementCommand command, String worker) throws Exception {
        assertThat(ManagementCall.parse(line)).isEqualTo(new ManagementCall(command, worker));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            textBlock =
                    """
                    ''                            | an empty call
                    '   '                         | an empty call
                    rdy                           | no call is named rdy
                    'ready now'                   | ready takes nothing more
                    disable-server                | disable-server takes one worker id
                    'enable-server a b'           | enable-server takes one worker id
                    """)
    void rejectsInvalidCalls(String line, String why) {
        assertThatThrownBy(() -> ManagementCall.parse(line))
                .isInstanceOf(InvalidManagementCallException.class)
                .hasMessageContaining(why)
                .message()
                .hasLineCount(1);
    }

    @Test
    void rejectsWorkerIdWithControlCharacters() {
        assertThatThrownBy(() -> ManagementCall.parse("disable-server s\u00071"))
                .hasMessageContaining("no list names a worker s?1");
    }

    @ParameterizedTest
    @CsvSource({"201", "513"})
    void rejectsIdsAndCallsOverTheLengthLimit(int length) {
        assertThatThrownBy(() -> ManagementCall.parse("disable-server " + "s".repeat(length)))
                .isInstanceOf(InvalidManagementCallException.class);
    }
}
