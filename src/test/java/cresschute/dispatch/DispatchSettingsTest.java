package cresschute.dispatch;

import static cresschute.dispatch.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that an invalid setting is named. */
class DispatchSettingsTest {

    @Test
    void namesInvalidSetting() {
        assertThatThrownBy(() -> settings(List.of())).hasMessageContaining("classes");
        assertThatThrownBy(() -> new Tenant("a", -1)).hasMessageContaining("quotaPerS");
        assertThatThrownBy(
                        () ->
                                new RequestClass(
                                        1,
                                        0,
                                        2,
                                        5,
                                        Idempotency.SAFE,
                                        DeduplicationScope.ALL,
                                        0,
                                        Placement.ANYWHERE))
                .hasMessageContaining("class latencyObjectiveUs");
    }
}
