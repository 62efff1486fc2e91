package cresschute.logs;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * A task that an executor repeats. It logs a failure and ends normally, because an executor ends
 * the repetition at the first failure. Runs on the executor's thread; stateless apart from the
 * task.
 */
public final class RepeatedTask implements Runnable {

    private static final Logger LOG = System.getLogger("cresschute.node");

    private final String name;
    private final Runnable task;

    /**
     * Creates a task.
     *
     * @param name its name in the log
     * @param task does the work
     */
    public RepeatedTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LogEvent.of(
                            "repeated_task_failed",
                            "a repeated task failed and goes on with its next turn: " + name)
                    .with("task", name)
                    .withCause(e)
                    .log(LOG, Level.ERROR);
        }
    }
}
