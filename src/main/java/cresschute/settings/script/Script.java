package cresschute.settings.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ListTokenSource;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.IntervalSet;

/**
 * Runs settings scripts. Their language is a subset of Starlark without files, clock, random
 * numbers, recursion and unbounded loops; {@code docs/settings.md} describes it. Every run ends
 * within its {@link Bounds}.
 */
public final class Script {

    private static final int MAX_SYNTAX_ERRORS = 20;

    /**
     * Maximum number of expected tokens that a syntax error lists; with more alternatives it lists
     * none.
     */
    private static final int MAX_LISTED_ALTERNATIVES = 4;

    private Script() {}

    /**
     * Runs a script to its end or to the first error, on the caller's thread. Beside the builtins
     * of the language, the script has access only to the host functions, by their names in the map.
     *
     * @return the errors in the order of their positions; empty if the script ran to its end
     */
    public static List<ScriptError> run(String text, Map<String, Builtin> host, Bounds bounds) {
        if (text.length() > bounds.scriptChars()) {
            return List.of(
                    new ScriptError(
                            Position.START,
                            "the script is too long; at most "
                                    + bounds.scriptChars()
                                    + " characters are allowed"));
        }
        final List<ScriptError> errors = new ArrayList<>();
        try {
            final ScriptLexer lexer = new ScriptLexer(CharStreams.fromString(text));
            lexer.removeErrorListeners();
            final ScriptParser parser =
                    new ScriptParser(
                            new CommonTokenStream(
                                    new ListTokenSource(ScriptTokens.tokenize(lexer))));
            parser.removeErrorListeners();
            parser.addErrorListener(new SyntaxErrors(errors));
            final ScriptParser.FileContext file = parser.file();
            if (errors.isEmpty()) {
                new Interpreter(host, bounds).run(file);
            }
        } catch (ScriptError e) {
            errors.add(e);
        } catch (DepthBoundParser.NestingTooDeepException e) {
            errors.add(new ScriptError(e.position(), "the text is nested too deeply"));
        }
        return errors;
    }

    static Position position(Token token) {
        return new Position(Math.max(1, token.getLine()), token.getCharPositionInLine() + 1);
    }

    /**
     * Collects syntax errors as readable messages. Reports at most one error per line, because one
     * error tends to cause others after it.
     */
    private static final class SyntaxErrors extends BaseErrorListener {

        private final List<ScriptError> errors;

        SyntaxErrors(List<ScriptError> errors) {
            this.errors = errors;
        }

        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object offending,
                int line,
                int column,
                String message,
                RecognitionException e) {
            final boolean lineHasError =
                    errors.stream().anyMatch(error -> error.position().line() == line);
            if (!lineHasError && errors.size() < MAX_SYNTAX_ERRORS) {
                errors.add(
                        new ScriptError(
                                position((Token) offending),
                                "unexpected "
                                        + describe((Token) offending)
                                        + expectedTokens((ScriptParser) recognizer)));
            }
        }

        private static String describe(Token token) {
            return switch (token.getType()) {
                case Token.EOF -> "end of the script";
                case ScriptParser.NEWLINE -> "end of line";
                case ScriptParser.INDENT, ScriptParser.DEDENT -> token.getText();
                default -> "'" + token.getText() + "'";
            };
        }

        private static String expectedTokens(ScriptParser parser) {
            final IntervalSet expected = parser.getExpectedTokens();
            if (expected.size() == 0 || expected.size() > MAX_LISTED_ALTERNATIVES) {
                return "";
            }
            final List<String> names = new ArrayList<>();
            for (final int type : expected.toList()) {
                names.add(tokenDescription(type, parser));
            }
            return "; expected " + String.join(" or ", names);
        }

        private static String tokenDescription(int type, ScriptParser parser) {
            return switch (type) {
                case Token.EOF -> "the end";
                case ScriptParser.NEWLINE -> "the end of the line";
                case ScriptParser.INDENT -> "more indentation";
                case ScriptParser.DEDENT -> "less indentation";
                case ScriptParser.NAME -> "a name";
                default -> parser.getVocabulary().getDisplayName(type);
            };
        }
    }
}
