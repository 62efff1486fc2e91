package cresschute.settings.script;

import java.util.Collection;
import java.util.Comparator;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests the known name that is most similar to a misspelt one. */
public final class Suggestion {

    private static final LevenshteinDistance DISTANCE = LevenshteinDistance.getDefaultInstance();

    private Suggestion() {}

    /**
     * Returns a suffix for an error message that suggests the most similar known name; empty if no
     * known name is similar.
     */
    public static String hint(String name, Collection<String> known) {
        return known.stream()
                .filter(other -> distance(name, other) <= Math.max(1, (other.length() + 2) / 3))
                .min(
                        Comparator.comparingInt((String other) -> distance(name, other))
                                .thenComparing(Comparator.naturalOrder()))
                .map(other -> "; did you mean '" + other + "'?")
                .orElse("");
    }

    private static int distance(String a, String b) {
        // Long names are skipped, because the computation takes time in proportion to the product
        // of both lengths.
        return a.length() > 64 ? Integer.MAX_VALUE : DISTANCE.apply(a, b);
    }
}
