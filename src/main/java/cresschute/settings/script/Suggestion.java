package cresschute.settings.script;

import java.util.Collection;
import java.util.Comparator;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the known name that a misspelt one was meant to be. */
public final class Suggestion {

    private static final LevenshteinDistance DISTANCE = LevenshteinDistance.getDefaultInstance();

    private Suggestion() {}

    /** Words that name the nearest known name, to follow an error; none where nothing is near. */
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
        // The distance takes time in proportion to the product of both lengths.
        return a.length() > 64 ? Integer.MAX_VALUE : DISTANCE.apply(a, b);
    }
}
