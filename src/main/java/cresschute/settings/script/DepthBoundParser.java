package cresschute.settings.script;

import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.TokenStream;

/** A parser that ends before deeply nested text can exhaust the stack. */
abstract class DepthBoundParser extends Parser {

    /** Rules within rules; a pair of brackets takes about a dozen. */
    private static final int MAX_RULE_DEPTH = 1_000;

    private int depth;

    DepthBoundParser(TokenStream input) {
        super(input);
    }

    /**
     * Unchecked, since generated code calls what throws it; {@link Script} turns it into an error.
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
