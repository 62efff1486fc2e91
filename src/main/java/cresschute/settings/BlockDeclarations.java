package cresschute.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The block declarations of a script, grouped by block. */
final class BlockDeclarations {

    private final Map<String, List<BlockDeclaration>> declarations = new HashMap<>();

    void add(BlockDeclaration declaration) {
        declarations
                .computeIfAbsent(declaration.block().name(), name -> new ArrayList<>())
                .add(declaration);
    }

    /** All declarations of a block, in the order of the script. */
    List<BlockDeclaration> all(Block block) {
        return declarations.getOrDefault(block.name(), List.of());
    }

    boolean has(Block block) {
        return !all(block).isEmpty();
    }

    /**
     * Returns the declaration of a block that may be declared at most once, or its defaults if it
     * is not declared.
     */
    BlockDeclaration single(Block block) {
        return has(block) ? all(block).get(0) : BlockDeclaration.ofDefaults(block);
    }
}
