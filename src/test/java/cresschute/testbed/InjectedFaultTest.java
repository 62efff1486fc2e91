package cresschute.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the syntax of faults and times on command lines. */
class InjectedFaultTest {

    @Test
    void parsesFaultLists() {
        assertThat(InjectedFault.parse("slow@5s, silent:w2@500ms+3s,burstx2.5@1m"))
                .isEqualTo(
                        List.of(
                                new InjectedFault(
                                        InjectedFault.Kind.SLOW, null, 5, 5_000_000, 10_000_000),
                                new InjectedFault(
                                        InjectedFault.Kind.SILENT, "w2", 1, 500_000, 3_000_000),
                                new InjectedFault(
                                        InjectedFault.Kind.BURST,
                                        null,
                                        2.5,
                                        60_000_000,
                                        4_000_000)));
        assertThat(InjectedFault.parse(" ")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    slow        | 'slow' is not a valid trouble; expected: KIND[:WORKER][xFACTOR]@START[+DURATION], such as slow@5s or silent:w2@500ms+3s
                    @5s         | '@5s' is not a valid trouble; expected: KIND[:WORKER][xFACTOR]@START[+DURATION], such as slow@5s or silent:w2@500ms+3s
                    slwo@5s     | unknown trouble 'slwo'; expected one of: slow, silent, reset, garbage, late, crash, drain, burst, tail, director
                    slow@5      | '5' is not a duration; expected: a number and ms, s or m, such as 500ms
                    slow@-5s    | '-5s' is not a duration; expected: a number and ms, s or m, such as 500ms
                    burst:w1@5s | burst does not apply to a worker; remove ':w1'
                    """)
    void rejectsInvalidFaults(String text, String message) {
        assertThatThrownBy(() -> InjectedFault.parse(text)).hasMessage(message);
    }
}
