package cresschute.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The statements that a script made, by their blocks. */
final class StatedBlocks {

    private final Map<String, List<Statement>> statements = new HashMap<>();

    void add(Statement statement) {
        statements
                .computeIfAbsent(statement.block().name(), name -> new ArrayList<>())
                .add(statement);
    }

    /** All statements of a block, in the order of the script. */
    List<Statement> all(Block block) {
        return statements.getOrDefault(block.name(), List.of());
    }

    boolean has(Block block) {
        return !all(block).isEmpty();
    }

    /** The statement of a block that may be stated once; the defaults where it is not stated. */
    Statement single(Block block) {
        return has(block) ? all(block).get(0) : Statement.unstated(block);
    }
}
