package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the node, started as the platform does: {@code run} of the deploy file. */
final class Node implements AutoCloseable {
    private final Process process;

    Node(Path root, Path config, Path tmp, Map<String, String> environment, Record record)
            throws IOException {
        final String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .findFirst().orElseThrow()
                .replaceFirst("^run = \"", "").replaceFirst("\"\\s*$", "");
        final ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root.toFile()).redirectErrorStream(true);
        builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.environment().putAll(environment);
        process = builder.start();
        record.add("node: process %d started", process.pid());
        Threads.start("node log", () -> {
            final BufferedReader log = new BufferedReader(
                    new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                record.add("node %d: %s", process.pid(), line);
            }
        });
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a signal by its name. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        kill();
    }
}
