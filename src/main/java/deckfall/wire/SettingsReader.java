package deckfall.wire;

import deckfall.Gateway.Coordination;
import deckfall.Gateway.Effect;
import deckfall.Gateway.KeyScope;
import deckfall.Gateway.Limits;
import deckfall.Gateway.Plan;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Rules;
import deckfall.Gateway.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Translates the fields of a start message to the settings of a gateway. An absent key means that the feature it
 * configures is not available.
 */
public final class SettingsReader {
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final double DEFAULT_COUNTER_TIMEOUT_MS = 50;

    private SettingsReader() {}

    /** Reads all settings; fails if a required field is missing or a value is malformed. */
    public static Settings read(Fields fields) {
        Limits limits = new Limits(
                fields.intNumber("limits.max_attempts", 1),
                fields.flag("limits.may_duplicate", false),
                fields.flag("limits.cancel", false),
                fields.flag("limits.probes", false),
                fields.flag("limits.peer_messages", false),
                fields.flag("limits.retry_after", false),
                fields.number("limits.max_retry_after_ms", 0),
                fields.number("limits.connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT_MS));
        Rules rules = new Rules(
                fields.number("rules.answer_slack_ms", 0),
                fields.number("rules.drain_grace_ms", 0),
                fields.number("rules.fall_multiple", 1),
                fields.number("rules.fall_ms", 0),
                fields.number("rules.cold_from", 0),
                fields.number("rules.warm_within_ms", 0),
                fields.number("rules.ask_within_ms", 0));
        Coordination coordination = new Coordination(
                fields.flag("specifics.counter", false),
                fields.number("specifics.counter_price", 0),
                fields.number("specifics.counter_timeout_ms", DEFAULT_COUNTER_TIMEOUT_MS),
                fields.number("specifics.meter_period_ms", 0),
                fields.flag("specifics.post_paid", false),
                fields.number("specifics.max_units", 1),
                fields.number("specifics.mail_per_s", 0),
                fields.number("costs.peer", 0),
                fields.number("costs.probe", 0),
                fields.number("costs.cross_zone", 0));
        String loadMetricNames = fields.text("telemetry.names", "");
        return new Settings(
                fields.longNumber("rng_seed"),
                fields.intNumber("ordinal"),
                fields.intNumber("balancers"),
                fields.text("az", ""),
                fields.text("discovery", "automatic").equals("subscribe"),
                readClasses(fields),
                readPlans(fields),
                loadMetricNames.isEmpty() ? List.of() : List.of(loadMetricNames.split(",")),
                limits,
                rules,
                coordination);
    }

    private static List<RequestClass> readClasses(Fields fields) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < fields.intNumber("classes.count"); i++) {
            String prefix = "classes." + i + ".";
            classes.add(new RequestClass(
                    fields.text(prefix + "name"),
                    parseEffect(fields.text(prefix + "effect")),
                    parseKeyScope(fields.text(prefix + "key_scope", "all")),
                    fields.number(prefix + "window_ms", 0),
                    fields.number(prefix + "goal_time_ms"),
                    fields.number(prefix + "hard_limit_ms"),
                    fields.number(prefix + "worth", 1),
                    fields.number(prefix + "late_value", 0),
                    fields.flag(prefix + "streaming", false)));
        }
        return List.copyOf(classes);
    }

    private static List<Plan> readPlans(Fields fields) {
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < fields.intNumber("plans.count", 0); i++) {
            String prefix = "plans." + i + ".";
            plans.add(new Plan(
                    fields.text(prefix + "name"),
                    fields.number(prefix + "units_per_s", 0),
                    fields.number(prefix + "depth", 0),
                    fields.intNumber(prefix + "at_once", 0),
                    fields.number(prefix + "value_factor", 1),
                    fields.number(prefix + "over_worth", 0),
                    fields.number(prefix + "excess_cost", 0),
                    fields.number(prefix + "cap_rate", 0),
                    fields.number(prefix + "never_over_depth", 0),
                    fields.number(prefix + "cap_slack", 0)));
        }
        return List.copyOf(plans);
    }

    private static Effect parseEffect(String value) {
        return switch (value) {
            case "repeatable" -> Effect.REPEATABLE;
            case "by_key" -> Effect.KEYED;
            case "once" -> Effect.ONCE;
            default -> throw new WireFormatException("unknown effect '" + value + "'");
        };
    }

    private static KeyScope parseKeyScope(String value) {
        return switch (value) {
            case "all" -> KeyScope.ALL;
            case "zone" -> KeyScope.ZONE;
            case "cell" -> KeyScope.CELL;
            default -> throw new WireFormatException("unknown key scope '" + value + "'");
        };
    }
}
