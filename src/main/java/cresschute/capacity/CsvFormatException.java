package cresschute.capacity;

/** A measurement file is malformed; the message is one line that names the file and the line. */
public final class CsvFormatException extends Exception {

    private static final long serialVersionUID = 1;

    private final String file;
    private final int line;

    /**
     * Creates it with the location and the reason.
     *
     * @param line the number of the line, from 1
     */
    public CsvFormatException(String file, int line, String reason) {
        super(file + ":" + line + ": " + reason);
        this.file = file;
        this.line = line;
    }

    /** The file's name. */
    public String file() {
        return file;
    }

    /** The number of the line, from 1. */
    public int line() {
        return line;
    }
}
