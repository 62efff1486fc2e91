package cresschute.control;

import java.util.Optional;
import java.util.stream.Stream;

/** The commands of the platform's operators. */
public enum ManagementCommand {
    /** Asks whether the node is ready to serve. */
    READY("ready", false),
    /** Bans a worker: it gets no new requests until it is enabled again. */
    DISABLE_SERVER("disable-server", true),
    /** Ends a worker's ban. */
    ENABLE_SERVER("enable-server", true),
    /** Drains the node: it reports not ready and closes its clients' connections. */
    DRAIN("drain", false),
    /** Ends the node's drain. */
    RESUME("resume", false);

    private final String word;
    private final boolean takesWorker;

    ManagementCommand(String word, boolean takesWorker) {
        this.word = word;
        this.takesWorker = takesWorker;
    }

    /** Returns the command's word in a call. */
    public String word() {
        return word;
    }

    /** Returns whether a worker's id follows the command. */
    boolean takesWorker() {
        return takesWorker;
    }

    /** Returns the command with this word, or empty if there is none. */
    static Optional<ManagementCommand> ofWord(String word) {
        return Stream.of(values()).filter(each -> each.word.equals(word)).findFirst();
    }
}
