package cresschute.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cresschute.dispatch.DeduplicationScope;
import cresschute.dispatch.DispatchSettings;
import cresschute.dispatch.Idempotency;
import cresschute.dispatch.Placement;
import cresschute.dispatch.WeightSource;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks how the settings of a launch are parsed. */
class SettingsParserTest {

    static final String SMALL =
            """
            balancers=2
            classes.count=2
            classes.0.deadlineUs=5000000
            classes.0.goalTimeUs=100000
            classes.0.group=cell
            classes.0.idempotency=token
            classes.0.keyTtlUs=7500000
            classes.0.worth=12.0
            classes.1.deadlineUs=6000000
            classes.1.goalTimeUs=150000
            classes.1.idempotency=side_effect
            classes.1.zonesOpen=1,2
            extra.classKind=-1,3
            extra.classStretch=2.0,1.5
            extra.reportX0=free_slots
            extra.tellsStart=true
            extra.unheardOf=9
            limits.maxAttempts=6
            limits.maxRetryAfterUs=2000000
            limits.retryAfter=false
            hostTypes=a,b,c,d
            membershipMode=ask
            zones=north,south,west
            report.how=inline
            report.fields=errors_per_s,outstanding,x0,backlog
            rules.askWithinUs=10000000
            weightSource=live
            """;

    @Test
    void parsesGivenSettingsAndUsesDefaultsForOthers() {
        final DispatchSettings settings = SettingsParser.parse(SMALL);
        assertThat(settings.dispatchers()).isEqualTo(2);
        assertThat(settings.classes()).hasSize(2);
        assertThat(settings.classes().get(0).idempotency()).isEqualTo(Idempotency.KEYED);
        assertThat(settings.classes().get(0).deduplicationScope())
                .isEqualTo(DeduplicationScope.CELL);
        assertThat(settings.classes().get(0).priorityWeight()).isEqualTo(12);
        assertThat(settings.classes().get(1).priorityWeight()).isEqualTo(1);
        assertThat(settings.classes().get(0).placement()).isEqualTo(Placement.ANYWHERE);
        assertThat(settings.classes().get(1).placement())
                .isEqualTo(new Placement(List.of(1, 2), List.of(3)));
        assertThat(settings.fullMayHaveRun()).isFalse();
        assertThat(settings.closeOnDrainWithinUs()).isEqualTo(DispatchSettings.UNLIMITED);
        assertThat(settings.classes().get(1).latencyObjectiveStretch()).isEqualTo(1.5);
        assertThat(settings.limits().maxRetryAfterUs()).isZero();
        assertThat(settings.endpointListIsPolled()).isTrue();
        assertThat(settings.weightSource()).isEqualTo(WeightSource.LIVE);
        assertThat(settings.reportsLoad()).isTrue();
        assertThat(SettingsParser.reportLayout(SMALL)).isEqualTo(new ReportLayout(2, 1, 3));
        assertThat(settings.tenants()).isEmpty();
    }

    @Test
    void parsesOptionalSettings() {
        final DispatchSettings settings =
                SettingsParser.parse(
                        SMALL
                                + """
                                classes.0.runsOn=0,2
                                classes.1.runsOn=1,3
                                rules.busyIsNoProof=true
                                rules.closeOnDrainWithinUs=800000
                                """);
        assertThat(settings.classes().get(0).placement())
                .isEqualTo(new Placement(null, List.of(0, 2)));
        assertThat(settings.classes().get(1).placement())
                .isEqualTo(new Placement(List.of(1, 2), List.of(3)));
        assertThat(settings.fullMayHaveRun()).isTrue();
        assertThat(settings.closeOnDrainWithinUs()).isEqualTo(800_000);
    }

    @Test
    void rejectsInvalidPlacementsAndTimes() {
        for (final String line :
                new String[] {"runsOn=1", "runsOn=", "zonesOpen=3", "zonesOpen=-1"}) {
            assertThatThrownBy(() -> SettingsParser.parse(SMALL + "classes.1." + line))
                    .as(line)
                    .hasMessageContaining("placement");
        }
        assertThatThrownBy(() -> SettingsParser.parse(SMALL + "rules.closeOnDrainWithinUs=-1"))
                .hasMessageContaining("closeOnDrainWithinUs");
    }

    @Test
    void namesMissingRequiredKey() {
        final String without = SMALL.replace("classes.1.goalTimeUs=150000\n", "");
        assertThatThrownBy(() -> SettingsParser.parse(without))
                .hasMessageContaining("classes.1.goalTimeUs");
    }

    @Test
    void namesInvalidValue() {
        assertThatThrownBy(
                        () -> SettingsParser.parse(SMALL.replace("balancers=2", "balancers=two")))
                .hasMessageContaining("balancers")
                .hasMessageContaining("two");
        assertThatThrownBy(() -> SettingsParser.parse(SMALL.replace("side_effect", "maybe")))
                .hasMessageContaining("classes.1.idempotency")
                .hasMessageContaining("maybe");
    }
}
