package cresschute.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Inserts tables into a Markdown page, between the markers that name them. */
public final class CapacityPage {

    private static final String BEGIN = "<!-- table: ";
    private static final String BEGIN_END = " -->";
    private static final String END = "<!-- end table -->";

    private CapacityPage() {}

    /**
     * Replaces the text between the markers with the tables.
     *
     * @param page the page's text
     * @param tables the text of each table, by the name in its marker
     * @throws MarkerException if a table has no marker or two, or a marker names no table or has no
     *     end
     */
    public static String write(String page, Map<String, String> tables) throws MarkerException {
        final List<String> lines = new ArrayList<>();
        final Set<String> written = new HashSet<>();
        String open = null;
        for (final String line : page.lines().toList()) {
            if (line.equals(END)) {
                if (open == null) {
                    throw new MarkerException("end marker without a begin marker before it");
                }
                open = null;
            } else if (line.startsWith(BEGIN) && line.endsWith(BEGIN_END)) {
                if (open != null) {
                    throw new MarkerException("table " + open + " has no end marker");
                }
                open = line.substring(BEGIN.length(), line.length() - BEGIN_END.length());
                lines.add(line);
                lines.addAll(table(tables, open, written).lines().toList());
                continue;
            }
            if (open == null) {
                lines.add(line);
            }
        }
        checkComplete(open, tables.keySet(), written);
        return String.join("\n", lines) + "\n";
    }

    private static String table(Map<String, String> tables, String name, Set<String> written)
            throws MarkerException {
        if (!tables.containsKey(name)) {
            throw new MarkerException("marker names an unknown table: " + name);
        }
        if (!written.add(name)) {
            throw new MarkerException("table " + name + " has two markers");
        }
        return tables.get(name);
    }

    private static void checkComplete(String open, Set<String> names, Set<String> written)
            throws MarkerException {
        if (open != null) {
            throw new MarkerException("table " + open + " has no end marker");
        }
        final List<String> missing =
                names.stream().filter(name -> !written.contains(name)).sorted().toList();
        if (!missing.isEmpty()) {
            throw new MarkerException("no marker for tables: " + String.join(", ", missing));
        }
    }
}
