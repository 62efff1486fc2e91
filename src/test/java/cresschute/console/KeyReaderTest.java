package cresschute.console;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.console.KeyReader.Kind;
import java.io.IOException;
import java.io.StringReader;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that sequences of common terminals are decoded into the right keys. */
class KeyReaderTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            ignoreLeadingAndTrailingWhitespace = true,
            textBlock =
                    """
                    j            | CHAR
                    \u001b[A     | UP
                    \u001bOB     | DOWN
                    \u001b[5~    | PAGE_UP
                    \u001b[6~    | PAGE_DOWN
                    \u001b[H     | HOME
                    \u001b[1~    | HOME
                    \u001b[F     | END
                    \u001b[3~    | UNKNOWN
                    \u001b[1;5C  | UNKNOWN
                    \u001b       | ESCAPE
                    \u0003       | QUIT
                    \u0004       | QUIT
                    \u007f       | BACKSPACE
                    """)
    void decodesTerminalSequences(String typed, Kind kind) throws IOException {
        // CsvSource trims control characters at both ends like blanks; they are restored here.
        final String sequence =
                typed == null
                        ? String.valueOf(
                                (char)
                                        switch (kind) {
                                            case ESCAPE -> 27;
                                            case QUIT -> 3;
                                            default -> 127;
                                        })
                        : typed.charAt(0) == '[' || typed.charAt(0) == 'O'
                                ? "\u001b" + typed
                                : typed;
        final StringReader in = new StringReader(sequence);
        final KeyReader keys =
                new KeyReader(
                        timeoutMs -> {
                            final int next = in.read();
                            return next < 0 && timeoutMs > 0 ? -2 : next;
                        });
        assertThat(keys.next().kind()).isEqualTo(kind);
        assertThat(keys.next()).isNull();
    }
}
