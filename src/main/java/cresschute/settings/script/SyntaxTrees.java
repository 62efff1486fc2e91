package cresschute.settings.script;

import java.util.Set;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.tree.ParseTree;
import org.antlr.v4.runtime.tree.TerminalNode;

/** Helper methods for syntax trees that evaluate nothing. */
final class SyntaxTrees {

    private SyntaxTrees() {}

    /**
     * Adds the names that a function's body assigns. They are local variables in the whole body,
     * also before the assignment.
     */
    static void collectLocals(ParseTree tree, Set<String> locals) {
        if (tree instanceof ScriptParser.AssignmentContext assignment && assignment.op != null) {
            for (final ScriptParser.TestContext target : assignment.expressionList(0).test()) {
                final TerminalNode name = soleName(target);
                if (name != null) {
                    locals.add(name.getText());
                }
            }
        } else if (tree instanceof ScriptParser.ForStatementContext loop) {
            loop.targets().NAME().forEach(name -> locals.add(name.getText()));
        }
        for (int i = 0; i < tree.getChildCount(); i++) {
            collectLocals(tree.getChild(i), locals);
        }
    }

    /** Returns the name if an expression consists of just a name, or null otherwise. */
    static TerminalNode soleName(ParseTree expression) {
        final ParseTree tree = unwrapped(expression);
        return tree instanceof TerminalNode node && node.getSymbol().getType() == ScriptParser.NAME
                ? node
                : null;
    }

    /**
     * Returns the first node from the top of an expression that does not have exactly one child.
     */
    static ParseTree unwrapped(ParseTree expression) {
        ParseTree tree = expression;
        while (tree.getChildCount() == 1) {
            tree = tree.getChild(0);
        }
        return tree;
    }

    static boolean endsWithComma(ParserRuleContext context) {
        return context.getChild(context.getChildCount() - 1).getText().equals(",");
    }
}
