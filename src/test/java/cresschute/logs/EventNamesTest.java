package cresschute.logs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the on-call page lists the name of every log event. */
class EventNamesTest {

    private static final Pattern NAMED = Pattern.compile("LogEvent\\.of\\(\\s*\"([a-z_]+)\"");

    @Test
    void onCallPageListsEveryEvent() throws IOException {
        final Set<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            for (final Path file : files.filter(Files::isRegularFile).toList()) {
                final Matcher matcher = NAMED.matcher(Files.readString(file));
                while (matcher.find()) {
                    names.add(matcher.group(1));
                }
            }
        }
        assertThat(names).contains("listening", "request_answered");
        final String page = Files.readString(Path.of("docs/on-call.md"));
        assertThat(names).allMatch(name -> page.contains("`" + name + "`"));
    }
}
