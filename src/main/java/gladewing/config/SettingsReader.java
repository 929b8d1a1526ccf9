package gladewing.config;

import gladewing.json.Fields;
import gladewing.router.Settings;
import gladewing.router.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a router's settings from JSON. The simulator sends them in the same form as they have in
 * the configuration file of a router process.
 */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Reads all settings of the router's decisions.
     *
     * @throws gladewing.json.InvalidInputException if a field is missing or invalid
     */
    public static Settings settings(Fields settings) {
        Fields rules = settings.object("Rules");
        Fields permissions = settings.object("Permissions");
        Fields shards = settings.object("Specifics");
        Fields prices = settings.object("Prices");
        boolean isListPolled = settings.text("Discovery").equals("subscribe");
        return new Settings(
                (int) settings.whole("NInstances"),
                span(settings, "Tick"),
                new Settings.Rules(
                        isListPolled ? span(rules, "AskWithin") : Span.ZERO,
                        rules.number("ColdFrom"),
                        span(rules, "RampTime"),
                        rules.number("OverloadFactor"),
                        span(rules, "Fall"),
                        Span.ofMillis(rules.number("BudgetSpan", 0)),
                        rules.number("FreeResends", 0),
                        rules.number("ResendRatio", 0)),
                new Settings.Permissions(
                        permissions.flag("MayProbe"),
                        permissions.flag("Cancelling"),
                        permissions.flag("SecondCopies"),
                        (int) permissions.whole("TryLimit"),
                        (int) permissions.whole("OpenCap"),
                        permissions.flag("RetryAfter")
                                ? span(permissions, "MaxRetryAfter")
                                : Span.ZERO),
                new Settings.Shards((int) shards.whole("Places"), (int) shards.whole("Reach")),
                products(settings, shards),
                tenants(settings),
                isListPolled,
                settings.has("WorthBy") && settings.text("WorthBy").equals("work"),
                settings.number("OverShareWorth", 1),
                prices.number("LateFail", 0));
    }

    /** The names of the rows of a table, in their order. */
    public static List<String> names(Fields settings, String table) {
        List<String> names = new ArrayList<>();
        for (Fields row : settings.objects(table)) {
            names.add(row.text("Name"));
        }
        return names;
    }

    private static List<Settings.Product> products(Fields settings, Fields shards) {
        List<Settings.Product> products = new ArrayList<>();
        for (Fields row : settings.objects("RequestClasses")) {
            int index = products.size();
            products.add(
                    new Settings.Product(
                            span(row, "Objective"),
                            row.number("AimStretch", 0),
                            span(row, "GiveUp"),
                            row.number("Worth"),
                            row.number("LateWorth", 0),
                            effect(row),
                            Span.ofMillis(row.number("DedupWindow", 0)),
                            shards.number("FloorByClass", index, 1),
                            shards.number("WholeAt", index, 1),
                            (int) shards.number("SecondStep", index, 0)));
        }
        return products;
    }

    private static Settings.Effect effect(Fields row) {
        return switch (row.text("Semantics")) {
            case "read_like" -> Settings.Effect.REPEATABLE;
            case "idempotency_key" -> Settings.Effect.TAGGED;
            case "non_idempotent" -> Settings.Effect.ONCE_ONLY;
            default -> throw row.wrong("Semantics", "a known kind");
        };
    }

    private static List<Settings.Tenant> tenants(Fields settings) {
        List<Settings.Tenant> tenants = new ArrayList<>();
        if (settings.has("Tenants")) {
            for (Fields row : settings.objects("Tenants")) {
                tenants.add(new Settings.Tenant(row.number("QuotaRps", 0)));
            }
        }
        return tenants;
    }

    private static Span span(Fields message, String field) {
        return Span.ofMillis(message.number(field));
    }
}
