package cresschute.console;

import java.io.IOException;

/** Decodes the characters and escape sequences that a terminal sends into keys. */
final class KeyReader {

    private static final int ESC = 27;
    private static final int CTRL_C = 3;
    private static final int CTRL_D = 4;
    private static final int DELETE = 127;
    private static final int BACKSPACE = 8;

    /** Longest gap within an escape sequence, ms; after a longer one it was the Escape key. */
    private static final long MAX_SEQUENCE_GAP_MS = 60;

    enum Kind {
        CHAR,
        UP,
        DOWN,
        PAGE_UP,
        PAGE_DOWN,
        HOME,
        END,
        ENTER,
        ESCAPE,
        BACKSPACE,
        QUIT,
        UNKNOWN
    }

    /** One key; {@code character} is set only for {@link Kind#CHAR}. */
    record Key(Kind kind, char character) {

        static Key of(Kind kind) {
            return new Key(kind, '\0');
        }
    }

    /** A source of characters with the contract of JLine's reader. */
    interface Source {

        /**
         * Returns the next character, -1 at the end of input, or -2 after the timeout.
         *
         * @param timeoutMs 0 waits without limit
         */
        int read(long timeoutMs) throws IOException;
    }

    private final Source source;

    KeyReader(Source source) {
        this.source = source;
    }

    /** Waits for the next key; null at the end of input. */
    Key next() throws IOException {
        final int first = source.read(0);
        return switch (first) {
            case -1 -> null;
            case ESC -> readSequence();
            case '\r', '\n' -> Key.of(Kind.ENTER);
            case CTRL_C, CTRL_D -> Key.of(Kind.QUIT);
            case DELETE, BACKSPACE -> Key.of(Kind.BACKSPACE);
            default -> first >= ' ' ? new Key(Kind.CHAR, (char) first) : Key.of(Kind.UNKNOWN);
        };
    }

    private Key readSequence() throws IOException {
        final int second = source.read(MAX_SEQUENCE_GAP_MS);
        if (second < 0) {
            return Key.of(Kind.ESCAPE);
        }
        if (second != '[' && second != 'O') {
            return Key.of(Kind.UNKNOWN);
        }
        final StringBuilder parameters = new StringBuilder();
        int next = source.read(MAX_SEQUENCE_GAP_MS);
        // A sequence continues with digits and semicolons and ends with a letter or a tilde.
        while (next >= ' ' && next < '@' && parameters.length() < 8) {
            parameters.append((char) next);
            next = source.read(MAX_SEQUENCE_GAP_MS);
        }
        final Kind kind =
                switch (next) {
                    case 'A' -> Kind.UP;
                    case 'B' -> Kind.DOWN;
                    case 'H' -> Kind.HOME;
                    case 'F' -> Kind.END;
                    case '~' ->
                            switch (parameters.toString()) {
                                case "5" -> Kind.PAGE_UP;
                                case "6" -> Kind.PAGE_DOWN;
                                case "1", "7" -> Kind.HOME;
                                case "4", "8" -> Kind.END;
                                default -> Kind.UNKNOWN;
                            };
                    default -> Kind.UNKNOWN;
                };
        return Key.of(kind);
    }
}
