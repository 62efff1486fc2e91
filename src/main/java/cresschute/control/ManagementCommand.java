package cresschute.control;

import java.util.Optional;
import java.util.stream.Stream;

/** What the platform's operators may call, each under the word that they write. */
public enum ManagementCommand {
    /** Asks whether this process is ready to serve. */
    READY("ready", false),
    /** Bans a worker: it gets no new work until it is enabled again. */
    DISABLE_SERVER("disable-server", true),
    /** Ends a worker's ban. */
    ENABLE_SERVER("enable-server", true),
    /** Drains the node: it is not ready, and closes its clients' connections. */
    DRAIN("drain", false),
    /** Ends the node's drain. */
    RESUME("resume", false);

    private final String word;
    private final boolean takesWorker;

    ManagementCommand(String word, boolean takesWorker) {
        this.word = word;
        this.takesWorker = takesWorker;
    }

    /** The word of the call. */
    public String word() {
        return word;
    }

    /** Whether a worker's id follows the word. */
    boolean takesWorker() {
        return takesWorker;
    }

    /** The command of this word, if there is one. */
    static Optional<ManagementCommand> ofWord(String word) {
        return Stream.of(values()).filter(each -> each.word.equals(word)).findFirst();
    }
}
