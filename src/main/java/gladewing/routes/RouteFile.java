package gladewing.routes;

import gladewing.expr.ComparedConstant;
import gladewing.expr.Diagnostic;
import gladewing.expr.Environment;
import gladewing.expr.Expression;
import gladewing.expr.Schema;
import gladewing.expr.Type;
import gladewing.settings.Fault;
import gladewing.settings.IniFile;
import gladewing.settings.InvalidSettingsException;
import gladewing.settings.NearestName;
import gladewing.settings.Section;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads a route table from a settings file. A file with faults gives no table, but a report of
 * every fault.
 */
public final class RouteFile {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.-]{1,64}");
    private static final int MAX_ROUTES = 20_000;
    private static final int MAX_NAMED = 1_000;
    private static final int MAX_KEYS = 1 << 20;
    private static final int MAX_BURST = 1_000_000;
    private static final long DAY_MICROS = 86_400_000_000L;

    /**
     * The rate limiters of one limit. Observing routes have their own, so that they never affect
     * acting ones.
     */
    private record Limit(KeyedRateLimiter acting, KeyedRateLimiter observing) {
        KeyedRateLimiter of(boolean observes) {
            return observes ? observing : acting;
        }
    }

    private final IniFile file;
    private final RouteValidationContext site;
    private final ProductGuaranteeCheck rules;
    private final RoutingBounds bounds;
    private final Environment names;
    private final Map<String, Limit> limits = new HashMap<>();
    private final List<Route> routes = new ArrayList<>();
    private final List<Fault> warnings = new ArrayList<>();

    /** Most slots that an expression of the table needs for its evaluation. */
    private int slots;

    /** Shards that conditions and acting routes compare the shards of parts with. */
    private final Set<Integer> shards = new TreeSet<>();

    private RouteFile(IniFile file, RouteValidationContext site) {
        this.file = file;
        this.site = site;
        bounds = RoutingBounds.read(file.section("bounds")).limitedTo(site);
        names = new Environment(RoutingRequest.schema(bounds));
        rules = new ProductGuaranteeCheck(site);
    }

    /**
     * The table, or null if there are faults; the faults; and warnings, which do not prevent its
     * use.
     */
    public record ValidationResult(RouteTable table, List<Fault> faults, List<Fault> warnings) {}

    /** The fields that expressions can read, with the default bounds. */
    public static Schema schema() {
        return RoutingRequest.schema(RoutingBounds.read(IniFile.of("", "").section("bounds")));
    }

    /**
     * Reads and validates a file. Without a site (null), the names of products and tenants are not
     * checked.
     */
    public static ValidationResult check(IniFile file, RouteValidationContext site) {
        RouteFile routes = new RouteFile(file, site);
        RouteTable table = routes.read();
        return new ValidationResult(
                file.faults().isEmpty() ? table : null, file.faults(), routes.warnings);
    }

    /**
     * @throws InvalidSettingsException with every fault of the file
     */
    public static RouteTable read(String path, RouteValidationContext site) {
        ValidationResult outcome = check(IniFile.read(path), site);
        if (outcome.table == null) {
            throw new InvalidSettingsException(outcome.faults);
        }
        return outcome.table;
    }

    private RouteTable read() {
        for (Section section : file.sections()) {
            String kind = section.name.split(" ", 2)[0];
            boolean isKnown =
                    List.of("bounds", "constants", "conditions").contains(section.name)
                            || (kind.equals("route") || kind.equals("limit"))
                                    && section.name.contains(" ");
            if (!isKnown) {
                String closest =
                        NearestName.of(
                                kind,
                                List.of("bounds", "constants", "conditions", "route", "limit"));
                section.fault(
                        "",
                        "no such section, wanted: [bounds], [constants], [conditions], [limit NAME]"
                                + " or [route NAME]"
                                + (closest != null && !closest.equals(kind)
                                        ? "; did you mean " + closest + "?"
                                        : ""));
            }
        }
        defineNames();
        for (Section section : file.sections()) {
            if (section.name.startsWith("limit ")) {
                readLimit(section);
            }
        }
        for (Section section : file.sections()) {
            if (section.name.startsWith("route ")) {
                readRoute(section);
            }
        }
        if (routes.size() > MAX_ROUTES) {
            file.fault("", "", routes.size() + " routes, wanted: at most " + MAX_ROUTES);
            return null;
        }
        checkReachable();
        RouteTable table = new RouteTable(routes, slots, shards);
        if (table.maxSteps() > bounds.maxTableSteps()) {
            file.fault(
                    "",
                    "",
                    "one request may cost "
                            + table.maxSteps()
                            + " steps, wanted: at most "
                            + bounds.maxTableSteps()
                            + " (table-steps in [bounds]); routes whose conditions begin with a"
                            + " comparison of a field with a text are found without evaluating all"
                            + " of them");
        }
        return table;
    }

    /**
     * Defines the constants and conditions in the order of their dependencies. A cycle is a fault
     * of each name on it.
     */
    private void defineNames() {
        Section constants = file.section("constants");
        Section conditions = file.section("conditions");
        Map<String, Section> sectionOf = new LinkedHashMap<>();
        constants.keys().forEach(name -> sectionOf.put(name, constants));
        for (String name : conditions.keys()) {
            if (sectionOf.putIfAbsent(name, conditions) != null) {
                conditions.fault(name, "this is a constant already, wanted: each name once");
            }
        }
        if (sectionOf.size() > MAX_NAMED) {
            file.fault(
                    "",
                    "",
                    sectionOf.size() + " constants and conditions, wanted: at most " + MAX_NAMED);
            return;
        }
        DependencyOrder order =
                new DependencyOrder(
                        sectionOf.keySet(),
                        name -> Environment.referencedNames(sectionOf.get(name).text(name)));
        order.cycles.forEach(
                (name, cycle) -> {
                    sectionOf.get(name).fault(name, "it refers to itself: " + cycle);
                    names.markFaulty(name);
                });
        for (String name : order.sorted) {
            List<Diagnostic> problems = new ArrayList<>();
            Section section = sectionOf.get(name);
            String text = section.text(name);
            if (section == constants) {
                names.defineConstant(name, text, bounds.maxRouteSteps(), problems);
            } else {
                Expression condition = names.defineCondition(name, text, problems);
                checkCost(section, name, condition);
                checkMentionedNames(section, name, condition);
                if (condition != null) {
                    collectShards(condition);
                }
            }
            problems.forEach(problem -> section.fault(name, problem.toString()));
        }
    }

    private void readLimit(Section section) {
        String name = section.name.substring("limit ".length());
        section.only("rate", "burst", "keys", "of");
        double rate = section.number("rate", 1, 0.001, 1_000_000);
        if (!section.has("rate")) {
            section.fault(
                    "rate", "missing, wanted: requests a second for each key, such as 5 or 0.2");
        }
        double burst = section.number("burst", Math.max(1, rate), 1, MAX_BURST);
        int keys = (int) section.whole("keys", 4096, 8, MAX_KEYS);
        boolean isShared =
                section.word("of", List.of("all-routers", "each-router")).equals("all-routers");
        int routers = isShared && site != null ? Math.max(1, site.routers()) : 1;
        checkName(section, name);
        limits.put(
                name,
                new Limit(
                        new KeyedRateLimiter(
                                name, rate / routers, Math.max(1, burst / routers), keys),
                        new KeyedRateLimiter(
                                name, rate / routers, Math.max(1, burst / routers), keys)));
    }

    private void checkName(Section section, String name) {
        if (!NAME.matcher(name).matches()) {
            section.fault(
                    "",
                    "'"
                            + name
                            + "' can't be a name, wanted: up to 64 letters, digits, dots, - and _");
        }
    }

    private void readRoute(Section section) {
        String name = section.name.substring("route ".length());
        checkName(section, name);
        section.only("when", "mode", "product", "tenant", "key", "limit", "turn-away");
        boolean observes = section.word("mode", List.of("act", "observe")).equals("observe");
        Expression when = expression(section, "when", Type.BOOL);
        if (!section.has("when")) {
            section.fault(
                    "when",
                    "missing, wanted: a condition, such as request.product == 'report' (or true)");
        }
        Expression key = expression(section, "key", null);
        if (key != null && !key.type().equals(Type.INT) && !key.type().equals(Type.STRING)) {
            section.fault(
                    "key",
                    "this is "
                            + key.type()
                            + ", wanted: a string or an int; hash(...) makes one of any");
            key = null;
        }
        String productName = literalName(section, "product");
        String tenantName = literalName(section, "tenant");
        String limitName = literalName(section, "limit");
        int product =
                indexOfName(section, "product", productName, site == null ? null : site.products());
        int tenant =
                indexOfName(section, "tenant", tenantName, site == null ? null : site.tenants());
        if (limitName != null && !limits.containsKey(limitName)) {
            String closest = NearestName.of(limitName, limits.keySet());
            section.fault(
                    "limit",
                    "there is no [limit "
                            + limitName
                            + "]"
                            + (closest == null ? "" : ", did you mean " + closest + "?"));
        }
        long turnAwayMicros = section.micros("turn-away", -1, 0, DAY_MICROS);
        if (section.has("turn-away")) {
            for (String other : List.of("product", "tenant", "limit", "key")) {
                if (section.has(other)) {
                    section.fault(
                            other,
                            "it has no effect on requests that are turned away, wanted: turn-away"
                                    + " alone");
                }
            }
        }
        if (when == null) {
            return;
        }
        checkMentionedNames(section, "when", when);
        checkMentionedNames(section, "key", key);
        for (Expression expression :
                observes
                        ? List.<Expression>of()
                        : key == null ? List.of(when) : List.of(when, key)) {
            collectShards(expression);
        }
        rules.check(section, when, product);
        Limit limit = limits.get(limitName);
        routes.add(
                new Route(
                        name,
                        observes,
                        when,
                        key,
                        productName,
                        product,
                        tenantName,
                        tenant,
                        limitName,
                        limit == null ? null : limit.of(observes),
                        turnAwayMicros));
        slots = Math.max(slots, Math.max(when.slotCount(), key == null ? 0 : key.slotCount()));
    }

    private Expression expression(Section section, String key, Type wanted) {
        String text = section.text(key);
        if (text == null) {
            return null;
        }
        List<Diagnostic> problems = new ArrayList<>();
        Expression expression = names.check(text, wanted, problems);
        problems.forEach(problem -> section.fault(key, problem.toString()));
        return checkCost(section, key, expression) ? expression : null;
    }

    /** Reports an expression that is too expensive; false if it is that, or null. */
    private boolean checkCost(Section section, String key, Expression expression) {
        if (expression != null && expression.cost() > bounds.maxRouteSteps()) {
            section.fault(
                    key,
                    expression.describeExcessCost(bounds.maxRouteSteps())
                            + " (route-steps in [bounds])");
            return false;
        }
        return expression != null;
    }

    /**
     * A name, written without quotes, as a string literal or as the name of a constant; null if
     * there is none.
     */
    private String literalName(Section section, String key) {
        String text = section.text(key);
        if (text == null || NAME.matcher(text).matches()) {
            return text;
        }
        Expression expression = expression(section, key, Type.STRING);
        if (expression != null && !expression.isLiteral()) {
            section.fault(key, "this depends on the request, wanted: a name, such as 'sheet'");
        }
        return expression == null || !expression.isLiteral()
                ? null
                : (String) expression.evaluate(null);
    }

    /** The index of a name of the site, or -1; a name that the site does not have is a fault. */
    private int indexOfName(Section section, String key, String name, List<String> knownNames) {
        if (name == null || knownNames == null) {
            return -1;
        }
        if (!knownNames.contains(name)) {
            section.fault(
                    key, "the site has no " + key + " " + name + suggestion(name, knownNames));
        }
        return knownNames.indexOf(name);
    }

    private static String suggestion(String name, List<String> knownNames) {
        String closest = NearestName.of(name, knownNames);
        return closest != null
                ? ", did you mean " + closest + "?"
                : knownNames.isEmpty()
                        ? ", it has none"
                        : ", wanted: " + String.join(", ", knownNames);
    }

    /**
     * Reports products, tenants and shards in an expression that the site does not have. A
     * comparison with them is never true, so it is most likely a mistake.
     */
    private void checkMentionedNames(Section section, String key, Expression expression) {
        if (site == null || expression == null) {
            return;
        }
        checkMentions(section, key, expression, "product", site.products());
        checkMentions(section, key, expression, "tenant", site.tenants());
        for (ComparedConstant shard :
                expression.comparedConstants(names.schema().field(RoutingRequest.PART, "shard"))) {
            if (shard.value() instanceof Long number && (number < 0 || number >= site.shards())) {
                section.fault(
                        key,
                        new Diagnostic(
                                        expression.text,
                                        shard.offset(),
                                        "the site has no shard "
                                                + number
                                                + ", wanted: 0 to "
                                                + (site.shards() - 1))
                                .toString());
            }
        }
    }

    /** Collects the shards that an expression compares with. */
    private void collectShards(Expression expression) {
        for (ComparedConstant shard :
                expression.comparedConstants(names.schema().field(RoutingRequest.PART, "shard"))) {
            if (shard.value() instanceof Long number && number >= 0 && number < Integer.MAX_VALUE) {
                shards.add(number.intValue());
            }
        }
    }

    /** Reports values that a field is compared with and that are not among the known names. */
    private void checkMentions(
            Section section,
            String key,
            Expression expression,
            String field,
            List<String> knownNames) {
        for (ComparedConstant mention : expression.comparedConstants(names.schema().field(field))) {
            if (mention.value() instanceof String name && !knownNames.contains(name)) {
                section.fault(
                        key,
                        new Diagnostic(
                                        expression.text,
                                        mention.offset(),
                                        "the site has no "
                                                + field
                                                + " "
                                                + name
                                                + suggestion(name, knownNames))
                                .toString());
            }
        }
    }

    private void checkReachable() {
        UnreachableRouteFinder finder = new UnreachableRouteFinder();
        for (Route route : routes) {
            String reason = finder.add(route);
            if (reason == null) {
                continue;
            }
            Fault fault = new Fault(file.name, "route " + route.name, "when", reason);
            if (reason.startsWith(UnreachableRouteFinder.UNDECIDED)) {
                warnings.add(fault);
            } else {
                file.fault(fault.section(), fault.key(), reason);
            }
        }
    }
}
