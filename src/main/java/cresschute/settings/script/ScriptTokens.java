package cresschute.settings.script;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.antlr.v4.runtime.CommonToken;
import org.antlr.v4.runtime.Lexer;
import org.antlr.v4.runtime.Token;

/**
 * Converts the lexer's tokens by the layout rules of Python: line ends within brackets and on empty
 * lines are dropped, and changes of the indentation become INDENT and DEDENT tokens.
 */
final class ScriptTokens {

    /** Keywords of Python that this language does not support; they are not allowed as names. */
    private static final Set<String> RESERVED =
            Set.of(
                    "as",
                    "assert",
                    "async",
                    "await",
                    "class",
                    "del",
                    "except",
                    "finally",
                    "from",
                    "global",
                    "import",
                    "is",
                    "lambda",
                    "nonlocal",
                    "raise",
                    "try",
                    "while",
                    "with",
                    "yield");

    private final List<Token> output = new ArrayList<>();
    private final Deque<Integer> indents = new ArrayDeque<>(List.of(0));
    private final Deque<Token> brackets = new ArrayDeque<>();
    private boolean atLineStart = true;

    private ScriptTokens() {}

    static List<Token> tokenize(Lexer lexer) throws ScriptError {
        final ScriptTokens tokens = new ScriptTokens();
        Token token = lexer.nextToken();
        while (token.getType() != Token.EOF) {
            tokens.accept(token);
            token = lexer.nextToken();
        }
        tokens.finish(token);
        return tokens.output;
    }

    private void accept(Token token) throws ScriptError {
        if (token.getType() == ScriptLexer.NEWLINE) {
            if (brackets.isEmpty() && !atLineStart) {
                output.add(token);
                atLineStart = true;
            }
            return;
        }
        if (token.getType() == ScriptLexer.UNKNOWN) {
            throw unknownCharacter(token);
        }
        if (token.getType() == ScriptLexer.NAME && RESERVED.contains(token.getText())) {
            throw new ScriptError(
                    Script.position(token),
                    "'" + token.getText() + "' is not part of the language; see docs/settings.md");
        }
        if (atLineStart && brackets.isEmpty()) {
            updateIndentation(token);
        }
        atLineStart = false;
        switch (token.getText()) {
            case "(", "[", "{" -> brackets.push(token);
            case ")", "]", "}" -> brackets.poll();
            default -> {}
        }
        output.add(token);
    }

    private static ScriptError unknownCharacter(Token token) {
        return new ScriptError(
                Script.position(token),
                switch (token.getText()) {
                    case "\"", "'" ->
                            "unterminated text; a text must end on the line on which it begins";
                    case "\t" -> "tabs are not allowed; use spaces";
                    default -> "unexpected character '" + token.getText() + "'";
                });
    }

    private void updateIndentation(Token token) throws ScriptError {
        final int column = token.getCharPositionInLine();
        if (column > indents.peek()) {
            indents.push(column);
            add(ScriptParser.INDENT, "more indentation", token);
        }
        while (column < indents.peek()) {
            indents.pop();
            add(ScriptParser.DEDENT, "less indentation", token);
        }
        if (column != indents.peek()) {
            throw new ScriptError(
                    Script.position(token), "this line's indentation matches no line above");
        }
    }

    private void finish(Token eof) throws ScriptError {
        if (!brackets.isEmpty()) {
            throw new ScriptError(
                    Script.position(brackets.peek()),
                    "this '" + brackets.peek().getText() + "' is never closed");
        }
        if (!atLineStart) {
            add(ScriptParser.NEWLINE, "end of line", eof);
        }
        while (indents.peek() > 0) {
            indents.pop();
            add(ScriptParser.DEDENT, "less indentation", eof);
        }
        output.add(eof);
    }

    private void add(int type, String text, Token where) {
        final CommonToken token = new CommonToken(where);
        token.setType(type);
        token.setText(text);
        output.add(token);
    }
}
