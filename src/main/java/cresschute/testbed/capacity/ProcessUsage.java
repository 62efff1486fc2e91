package cresschute.testbed.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Resource usage of a local process, as reported by the kernel.
 *
 * @param cpuSeconds user and system time since the start of the process
 * @param rssMb resident memory, in MB
 * @param descriptors number of open files and sockets
 */
record ProcessUsage(double cpuSeconds, double rssMb, int descriptors) {

    /** The unit of times in /proc; the kernel uses it on all architectures. */
    private static final double TICKS_PER_SECOND = 100;

    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;
    private static final double KB_PER_MB = 1_024;
    private static final long COMMAND_TIMEOUT_SECONDS = 20;
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+([0-9]+) kB");
    private static final Pattern USED =
            Pattern.compile("generation\\s+total [0-9]+K, used ([0-9]+)K");

    static ProcessUsage of(long pid) throws IOException {
        final Path folder = Path.of("/proc", Long.toString(pid));
        final String stat = Files.readString(folder.resolve("stat"));
        final String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        final double cpuSeconds =
                (Long.parseLong(fields[USER_TIME_FIELD])
                                + Long.parseLong(fields[SYSTEM_TIME_FIELD]))
                        / TICKS_PER_SECOND;
        final Matcher resident = RESIDENT.matcher(Files.readString(folder.resolve("status")));
        try (Stream<Path> descriptors = Files.list(folder.resolve("fd"))) {
            return new ProcessUsage(
                    cpuSeconds,
                    resident.find() ? Long.parseLong(resident.group(1)) / KB_PER_MB : 0,
                    (int) descriptors.count());
        }
    }

    /** The sum with the usage of another process. */
    ProcessUsage plus(ProcessUsage other) {
        return new ProcessUsage(
                cpuSeconds + other.cpuSeconds,
                rssMb + other.rssMb,
                descriptors + other.descriptors);
    }

    /**
     * Heap in use of a Java process right after a garbage collection, MB; NaN if jcmd does not
     * report it.
     */
    static double heapMb(long pid) throws IOException {
        runJcmd(pid, "GC.run");
        final Matcher used = USED.matcher(runJcmd(pid, "GC.heap_info"));
        double sumKb = 0;
        boolean found = false;
        while (used.find()) {
            sumKb += Long.parseLong(used.group(1));
            found = true;
        }
        return found ? sumKb / KB_PER_MB : Double.NaN;
    }

    private static String runJcmd(long pid, String command) throws IOException {
        final Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        if (!Files.isExecutable(jcmd)) {
            return "";
        }
        final Process process =
                new ProcessBuilder(List.of(jcmd.toString(), Long.toString(pid), command))
                        .redirectErrorStream(true)
                        .start();
        final String out =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        try {
            process.waitFor(COMMAND_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return out;
    }
}
