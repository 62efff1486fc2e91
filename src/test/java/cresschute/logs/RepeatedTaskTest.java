package cresschute.logs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a periodic task that is never run again after one failure. */
class RepeatedTaskTest {

    @Test
    void isRepeatedAfterExceptionsAndErrors() throws Exception {
        final CountDownLatch runs = new CountDownLatch(4);
        final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        try {
            executor.scheduleWithFixedDelay(
                    new RepeatedTask(
                            "test",
                            () -> {
                                runs.countDown();
                                if (runs.getCount() % 2 == 0) {
                                    throw new IllegalStateException("failure of the test");
                                }
                                throw new OutOfMemoryError("error of the test");
                            }),
                    0,
                    1,
                    TimeUnit.MILLISECONDS);
            assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            executor.shutdownNow();
        }
    }
}
