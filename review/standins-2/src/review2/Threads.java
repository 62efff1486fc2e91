package review2;

import java.io.IOException;

/** Daemon threads, which end with the process. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        final Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The peer has gone, or the case has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
