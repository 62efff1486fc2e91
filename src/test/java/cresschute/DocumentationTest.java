package cresschute;

import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaCodeUnit;
import com.tngtech.archunit.core.domain.JavaMember;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The names of code in the glossary and on the architecture page are names that exist. */
class DocumentationTest {

    private static final JavaClasses CLASSES = new ClassFileImporter().importPackages("cresschute");
    private static final Path GLOSSARY = Path.of("docs/glossary.md");
    private static final Path ARCHITECTURE = Path.of("docs/architecture.md");

    /** The column of the glossary that says where a term stands. */
    private static final int WHERE_COLUMN = 3;

    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");

    /** A type, perhaps after its package and before a member. */
    private static final Pattern TYPE_REFERENCE =
            Pattern.compile(
                    "(?:[a-z]+\\.)*((?:[A-Z]\\w*[a-z]\\w*)(?:\\.[A-Z]\\w*)*)(?:[.#]([a-z]\\w*))?");

    private static final Pattern DIAGRAM = Pattern.compile("```mermaid\n(.*?)```", Pattern.DOTALL);

    /** Two humps at least, so that a diagram's own words are none. */
    private static final Pattern TYPE_IN_DIAGRAM =
            Pattern.compile("\\b[A-Z][a-z]+(?:[A-Z][a-z]+)+\\b");

    private static final Set<String> SIMPLE_NAMES =
            CLASSES.stream().map(JavaClass::getSimpleName).collect(Collectors.toSet());

    private static boolean hasMember(JavaClass type, String name) {
        return type.getAllMembers().stream()
                .filter(member -> !(member instanceof JavaCodeUnit unit && unit.isConstructor()))
                .map(JavaMember::getName)
                .anyMatch(name::equals);
    }

    /** Whether {@code package.Type} or {@code package.Type#member} is part of the program. */
    private static boolean exists(String where) {
        final String[] parts = where.split("#", 2);
        final String typeName = "cresschute." + parts[0];
        return CLASSES.stream()
                .filter(type -> type.getName().replace('$', '.').equals(typeName))
                .anyMatch(type -> parts.length == 1 || hasMember(type, parts[1]));
    }

    @Test
    void glossaryNamesExistingTypesAndMembers() throws IOException {
        final List<String> named = new ArrayList<>();
        for (final String line : Files.readAllLines(GLOSSARY)) {
            if (line.startsWith("| ") && !line.startsWith("| ---") && !line.contains("| where |")) {
                final String where = line.split("\\|")[WHERE_COLUMN].strip();
                assertThat(where).as(line).matches("`[^`]+`");
                named.add(where.substring(1, where.length() - 1));
            }
        }
        assertThat(named).hasSizeGreaterThan(40);
        assertThat(named).filteredOn(where -> !exists(where)).isEmpty();
    }

    private static boolean existsBySimpleName(MatchResult type) {
        final String[] nested = type.group(1).split("\\.");
        final String simpleName = nested[nested.length - 1];
        return CLASSES.stream()
                .filter(each -> each.getSimpleName().equals(simpleName))
                .anyMatch(each -> type.group(2) == null || hasMember(each, type.group(2)));
    }

    @Test
    void architecturePageNamesExistingTypes() throws IOException {
        final String page = Files.readString(ARCHITECTURE);
        final List<MatchResult> types = new ArrayList<>();
        CODE_SPAN
                .matcher(page)
                .results()
                .map(span -> TYPE_REFERENCE.matcher(span.group(1)))
                .filter(type -> type.matches())
                .forEach(type -> types.add(type.toMatchResult()));
        assertThat(types).hasSizeGreaterThan(40);
        assertThat(types)
                .filteredOn(type -> !existsBySimpleName(type))
                .extracting(MatchResult::group)
                .isEmpty();
    }

    @Test
    void architectureDiagramsNameExistingTypes() throws IOException {
        final List<String> named =
                DIAGRAM.matcher(Files.readString(ARCHITECTURE))
                        .results()
                        .flatMap(diagram -> TYPE_IN_DIAGRAM.matcher(diagram.group(1)).results())
                        .map(MatchResult::group)
                        .distinct()
                        .toList();
        assertThat(named).hasSizeGreaterThan(8);
        assertThat(SIMPLE_NAMES).containsAll(named);
    }
}
