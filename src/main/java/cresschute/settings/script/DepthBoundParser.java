package cresschute.settings.script;

import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.TokenStream;

/**
 * A parser that limits the nesting of its input, so that deeply nested text cannot overflow the
 * stack.
 */
abstract class DepthBoundParser extends Parser {

    /** Maximum depth of nested grammar rules; a pair of brackets takes about a dozen. */
    private static final int MAX_RULE_DEPTH = 1_000;

    private int depth;

    DepthBoundParser(TokenStream input) {
        super(input);
    }

    /**
     * The text is nested too deeply. Unchecked, because generated code calls the method that throws
     * it; {@link Script} converts it to a {@link ScriptError}.
     */
    static final class NestingTooDeepException extends RuntimeException {

        private static final long serialVersionUID = 1L;
        private final transient Position position;

        NestingTooDeepException(Position position) {
            super(null, null, false, false);
            this.position = position;
        }

        Position position() {
            return position;
        }
    }

    @Override
    public void enterRule(ParserRuleContext localctx, int state, int ruleIndex) {
        super.enterRule(localctx, state, ruleIndex);
        depth++;
        if (depth > MAX_RULE_DEPTH) {
            throw new NestingTooDeepException(Script.position(getCurrentToken()));
        }
    }

    @Override
    public void exitRule() {
        super.exitRule();
        depth--;
    }
}
