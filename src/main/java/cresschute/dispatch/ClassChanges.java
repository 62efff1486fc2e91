package cresschute.dispatch;

import java.util.Set;

/**
 * The class numbers whose meaning changes with new settings. Immutable.
 *
 * @param replaced numbers that name another class from now on. None of them may have a pending
 *     request; all that was learned of the earlier class is forgotten, even if its definition is
 *     the same.
 * @param retired all numbers that no request has that arrives from now on; pending requests may
 *     have them
 */
public record ClassChanges(Set<Integer> replaced, Set<Integer> retired) {

    /** Each number names the same class as before, and none is retired. */
    public static final ClassChanges NONE = new ClassChanges(Set.of(), Set.of());

    /** Copies the sets. */
    public ClassChanges {
        replaced = Set.copyOf(replaced);
        retired = Set.copyOf(retired);
    }
}
