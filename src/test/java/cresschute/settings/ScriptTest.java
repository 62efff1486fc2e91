package cresschute.settings;

import static org.assertj.core.api.Assertions.assertThat;

import cresschute.settings.script.Bounds;
import cresschute.settings.script.Builtin;
import cresschute.settings.script.Script;
import cresschute.settings.script.ScriptError;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the script language: results of expressions and statements, exact error messages, and the
 * limits of a run.
 */
class ScriptTest {

    /**
     * Returns what a script passed to {@code show}, one entry per argument, and then its errors.
     */
    private static List<String> run(String text, Bounds bounds) {
        final List<String> output = new ArrayList<>();
        final Builtin show =
                call -> {
                    call.positional()
                            .forEach(argument -> output.add(String.valueOf(argument.value())));
                    return "shown";
                };
        final List<ScriptError> errors = Script.run(text, Map.of("show", show), bounds);
        errors.forEach(error -> output.add(error.position() + ": " + error.getMessage()));
        return output;
    }

    private static List<String> run(String text) {
        return run(text, Bounds.DEFAULT);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    1 + 2 * 3 - 4                                   | 3
                    (1 + 2) * -3                                    | -9
                    7 // 2, -7 // 2, 7 % 3, -7 % 3                  | (3, -4, 1, 2)
                    7 / 2, 1e3, .5                                  | (3.5, 1000.0, 0.5)
                    400 * ms + 2 * s                                | 2.4 * s
                    1.5 * s / 3, s / ms, 2 * KiB - KiB              | (500 * ms, 1000.0, 1 * KiB)
                    64 * MiB > 1 * GiB                              | False
                    1 < 2 and not 2 < 1 or fail("no")               | True
                    0 or "" or [] or None                           | None
                    "a" + 'b' "c" * 2                               | abcbc
                    "%s is %d%% of %r" % ("x", 5, "y")              | x is 5% of "y"
                    "{} {1} {n} {{}}".format(1, 2, n = [3])         | 1 2 [3] {}
                    "a,b,c".split(",")[1:], "abc"[-1], [1, 2][:1]   | (["b", "c"], "c", [1])
                    ", ".join(["x", "y"]).upper()                   | X, Y
                    [x * y for x in range(3) for y in [1, 2] if x]  | [1, 2, 2, 4]
                    {str(n): n for n in range(1, 6, 2)}             | {"1": 1, "3": 3, "5": 5}
                    sorted([3, 1, 2]), reversed("a b".split(" "))   | ([1, 2, 3], ["b", "a"])
                    max(3, 9, 4), min([2 * s, 3 * ms])              | (9, 3 * ms)
                    zip([1, 2], ["a", "b"]), enumerate(["z"])       | ([(1, "a"), (2, "b")], [(0, "z")])
                    "x" if 1 > 2 else "y"                           | y
                    2 in range(0, 10, 2), "k" in {"k": 1}           | (True, True)
                    [1, [2]] == [1, [2]], (1,) != (1, 2)            | (True, True)
                    int("42"), float("1.5"), bool([]), len("abc")   | (42, 1.5, False, 3)
                    {"a": 1}.get("b", 7), {"a": 1}.items()          | (7, [("a", 1)])
                    any([0, 1]), all([0, 1]), type(1 * ms)          | (True, False, "a time")
                    """)
    void evaluatesExpressions(String expression, String value) {
        assertThat(run("show(str((" + expression + ")))")).containsExactly(value);
    }

    @Test
    void executesStatementsInOrder() {
        assertThat(
                        run(
                                """
                                def add(a, b = 10):
                                    c = a
                                    for _ in range(b):
                                        if c % 5 == 0:
                                            break
                                        elif c == 100: continue
                                        c += 1
                                    return c, b

                                total, left = add(3)
                                show(total, left, str(add(1, b = 2)))
                                many = [1]; many += [2]; many.append(3)
                                many[0] = 9
                                table = {"a": 1}
                                table["b"] = many  # of both
                                table["a"] -= 5
                                show(str(table))
                                for k, v in table.items(): show(k)
                                if not many:
                                    pass
                                else:
                                    show("end"); show("of it")
                                """))
                .containsExactly(
                        "5",
                        "10",
                        "(3, 2)",
                        "{\"a\": -4, \"b\": [9, 2, 3]}",
                        "a",
                        "b",
                        "end",
                        "of it");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    x = (1, [2                  | 1:9: this '[' is never closed
                    x = "open                   | 1:5: unterminated text; a text must end on the line on which it begins
                    x = 1 $ 2                   | 1:7: unexpected character '$'
                    x == = 2                    | 1:6: unexpected '='
                    for x range(3): pass        | 1:7: unexpected 'range'; expected 'in'
                    if True:~pass               | 2:1: unexpected 'pass'; expected more indentation
                    if True:~  x = 1~ y = 2     | 3:2: this line's indentation matches no line above
                    while True: pass            | 1:1: 'while' is not part of the language; see docs/settings.md
                    import os                   | 1:1: 'import' is not part of the language; see docs/settings.md
                    lambda x: x                 | 1:1: 'lambda' is not part of the language; see docs/settings.md
                    nmae                        | 1:1: unknown name 'nmae'
                    rnage(3)                    | 1:1: unknown name 'rnage'; did you mean 'range'?
                    ms = 3                      | 1:1: 'ms' is a builtin name and cannot be redefined
                    [s for s in [1]]            | 1:8: 's' is a builtin name and cannot be redefined
                    1 + "a"                     | 1:1: '+' is not supported for a whole number and a text
                    2 * s + 3                   | 1:1: '+' is not supported for a time and a whole number
                    2 * s + KiB                 | 1:1: '+' is not supported for a time and a size
                    1 < "a"                     | 1:1: a whole number and a text cannot be compared; allowed: two numbers, texts, times or sizes
                    1 / 0                       | 1:1: division by zero
                    9223372036854775807 + 1     | 1:1: the result exceeds 64 bits
                    9223372036854775808         | 1:1: the whole number exceeds 64 bits
                    [1][3]                      | 1:4: index 3 is out of range; there are 1 elements, counted from 0
                    {"a": 1}["b"]               | 1:9: the dict has no key "b"
                    {"a": 1, "a": 2}            | 1:10: duplicate key in the dict
                    {[1]: 2}                    | 1:2: a list cannot be a key; allowed: texts, whole numbers, True and False
                    "x".nope()                  | 1:5: a text has no method 'nope'
                    "\\q"                       | 1:2: unknown escape '\\q'; \\n, \\t, \\r, \\\\, \\" and \\' are known
                    "%d" % "a"                  | 1:1: %d takes a whole number, not a text
                    "%s %s" % (1,)              | 1:1: the format needs more values than the 1 given
                    "%s" % (1, 2)               | 1:1: the format uses 1 of the 2 values given
                    "{a}".format()              | 1:1: the format refers to 'a', which is not given
                    5()                         | 1:1: a whole number cannot be called
                    len()                       | 1:1: len was given 0 arguments; it takes 1
                    len(3)                      | 1:5: len was given a whole number; it takes a text, a list, a tuple, a dict or a range
                    show(a = 1, a = 2)          | 1:13: 'a' is given twice
                    show(a = 1, 2)              | 1:13: a positional argument follows a named argument
                    a, b = [1]                  | 1:1: 1 values cannot be assigned to 2 names
                    len(x) = 3                  | 1:1: cannot assign to this expression; assign to a name or to an element in brackets
                    return 3                    | 1:1: 'return' outside a function
                    break                       | 1:1: 'break' or 'continue' outside a loop
                    for x in 5: pass            | 1:10: a whole number is not iterable; allowed: a list, a tuple, a dict or a range
                    fail("no", 3)               | 1:1: fail: no 3
                    range(1, 2, 0)              | 1:13: the step of range must not be 0
                    def f(a, a): pass           | 1:10: 'a' is the name of two parameters
                    def f(a = 1, b): pass       | 1:14: 'b' has no default, but follows a parameter with one
                    def f(a): pass~f()          | 2:1: 'f' is called without argument 'a'
                    def f(a): pass~f(1, 2)      | 2:6: 'f' takes 1 arguments; 2 are given
                    def f(a): pass~f(b = 1)     | 2:7: 'f' has no argument 'b'
                    def f():~ x = y~ y = 1~f()  | 2:6: 'y' is used before it has a value
                    def f(): f()~f()            | 1:10: 'f' calls itself; recursion is not allowed
                    def f():~ def g(): pass~f() | 2:2: functions cannot be nested; define it at the top level
                    l = [1]~for x in l: l.append(x) | 2:13: the list must not change while a loop iterates over it
                    d = {1: 1}~for k in d: d[2] = 1 | 2:15: the dict must not change while a loop iterates over it
                    [x if x]                    | 1:4: expected 'for' before 'if'
                    """)
    void reportsErrorWithPositionAndMessage(String script, String error) {
        assertThat(run(script.replace('~', '\n'))).startsWith(error);
    }

    @Test
    void reportsSeveralSyntaxErrorsAtOnce() {
        assertThat(run("x = = 1\ny = 2\nz = ]\n")).hasSize(2);
    }

    /**
     * Without limits, these scripts would run forever or exhaust the memory. Each must end with an
     * error that names the exceeded limit.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
                    for x in range(1000000000000): pass                       | the script takes too long
                    [0 for x in range(9223372036854775807)]                   | the script takes too
                    list(range(1000000000))                                   | the script takes too much memory
                    [0] * 1000000000                                          | the script takes too much memory
                    "x" * 1000000000                                          | the script takes too much memory
                    "x" * 9223372036854775807 * 4                             | the script takes too much memory
                    [1, 2] * 9223372036854775807                              | the result exceeds 64 bits
                    x = "ab"~for i in range(60): x += x                       | the script takes too much memory
                    x = [1]~for i in range(60): x = [x, x]~str(x)             | the script takes too
                    x = [1]~y = [1]~for i in range(60): x = [x, x]; y = [y, y]~x == y | the script takes too long
                    x = [1]~for i in range(100): x = [x]~str(x)               | values are nested too deeply
                    ("a" * 100000).replace("a", "b" * 100000)                 | the script takes too much memory
                    ",".join(["x" * 1000] * 1000000)                          | the script takes too much memory
                    "{}{}{}{}".format(*3)                                     | unexpected '*'
                    """)
    void stopsRunThatExceedsABound(String script, String error) {
        assertThat(run(script.replace('~', '\n'))).last().asString().contains(error);
    }

    /**
     * Guards against a StackOverflowError by deeply nested text or chains of calls. Runs on a
     * thread with the same small stack as the node's threads.
     */
    @Test
    void rejectsDeepNestingBeforeStackOverflow() throws InterruptedException {
        final StringBuilder calls = new StringBuilder("def f0(x): return x\n");
        for (int i = 1; i < 40; i++) {
            calls.append("def f")
                    .append(i)
                    .append("(x): return ")
                    .append("(".repeat(20))
                    .append("f")
                    .append(i - 1)
                    .append("(x)")
                    .append(")".repeat(20))
                    .append('\n');
        }
        final List<String> scripts =
                List.of(
                        "x = " + "(".repeat(20_000) + ")".repeat(20_000),
                        "x = " + "[".repeat(100_000),
                        "x = " + "not ".repeat(50_000) + "1",
                        "x = " + "-".repeat(50_000) + "1",
                        "x = " + "1 if 1 else ".repeat(20_000) + "1",
                        "if 1: ".repeat(20_000),
                        calls + "f39(1)",
                        "x = " + "[".repeat(50) + "]".repeat(50) + "\n" + calls + "f20(1)");
        final List<List<String>> results = new ArrayList<>();
        final Thread smallStackThread =
                new Thread(
                        null,
                        () -> scripts.forEach(script -> results.add(run(script))),
                        "small",
                        512 * 1024);
        smallStackThread.start();
        smallStackThread.join();
        assertThat(results).hasSize(scripts.size());
        assertThat(results.subList(0, 6))
                .allSatisfy(
                        result ->
                                assertThat(result)
                                        .last()
                                        .asString()
                                        .containsAnyOf(
                                                "nested too deeply",
                                                "is never closed",
                                                "unexpected"));
        assertThat(results.get(6)).last().asString().contains("expressions are nested too deeply");
    }

    @Test
    void limitsDepthOfNestedCalls() {
        final StringBuilder calls = new StringBuilder("def f0(): return 0\n");
        for (int i = 1; i < 40; i++) {
            calls.append("def f").append(i).append("(): return f").append(i - 1).append("()\n");
        }
        assertThat(run(calls + "show(f31())")).containsExactly("0");
        assertThat(run(calls + "f32()"))
                .containsExactly("2:18: too many nested calls; at most 32 are allowed");
    }

    /**
     * Chains of operators are parsed iteratively, so that their length is not limited by the
     * nesting limit.
     */
    @Test
    void acceptsLongOperatorChains() {
        assertThat(run("show(" + "1 + ".repeat(20_000) + "1)")).containsExactly("20001");
    }

    @Test
    void rejectsScriptOverLengthLimit() {
        assertThat(run("#".repeat(Bounds.DEFAULT.scriptChars() + 1)))
                .containsExactly(
                        "1:1: the script is too long; at most 262144 characters are allowed");
    }

    /** Arbitrary text must end in a result or in errors, not in an exception. */
    @Property(tries = 400, seed = "20261201")
    void neverThrowsForArbitraryText(
            @ForAll @StringLength(max = 60) @CharRange(from = ' ', to = '~') String text,
            @ForAll @StringLength(max = 20) String arbitrary) {
        final Bounds smallBounds = new Bounds(1_000, 2_000, 2_000, 4, 8);
        run(text, smallBounds);
        run(arbitrary + "\n" + text, smallBounds);
        run("x = [" + text + "]", smallBounds);
    }
}
