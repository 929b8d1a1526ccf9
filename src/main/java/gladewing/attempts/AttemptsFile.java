package gladewing.attempts;

import gladewing.router.Span;
import gladewing.settings.Fault;
import gladewing.settings.IniFile;
import gladewing.settings.InvalidSettingsException;
import gladewing.settings.NearestName;
import gladewing.settings.Section;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A validated attempts file, which configures how parts are retried and hedged. It gives one row of
 * settings for each product, and for each route that has a section one for each product that the
 * route may serve. A setting is taken from the route's section, else the product's, else the
 * default section, else the built-in value.
 */
public final class AttemptsFile {
    private static final String DEFAULT = "default";
    private static final String ALL = "all";
    private static final String PRODUCT = "product ";
    private static final String ROUTE = "route ";
    private static final int MAX_SECTIONS = 5_000;

    private final IniFile file;
    private final AttemptsValidationContext site;
    private final List<AttemptsRow> rows = new ArrayList<>();
    private final AttemptsRow all;

    /** Values that were parsed already, so that each fault is reported only once. */
    private final Map<Section, Map<AttemptsKey, SettingValue>> parsedValues = new LinkedHashMap<>();

    private final Map<AttemptsKey, SettingValue> builtIn = new EnumMap<>(AttemptsKey.class);

    /** Reports every fault to the file; the rows must be used only if there is none. */
    private AttemptsFile(IniFile file, AttemptsValidationContext site) {
        this.file = file;
        this.site = site;
        checkSections();
        for (int product = 0; product < site.products().size(); product++) {
            rows.add(createRow(product, null));
        }
        for (Section section : file.sections()) {
            if (section.name.startsWith(ROUTE)) {
                addRouteRows(section.name.substring(ROUTE.length()));
            }
        }
        all = new AttemptsRow(ALL, -1, null, null);
        Section allSection = file.section(ALL);
        for (AttemptsKey key :
                List.of(AttemptsKey.BUDGET, AttemptsKey.FLOOR, AttemptsKey.BUDGET_SPAN)) {
            all.put(key, value(key, List.of(allSection), null, null));
        }
        FleetCapacity fleet = FleetCapacity.read(file);
        if (file.faults().isEmpty()) {
            for (RuleViolation violation :
                    new AttemptsValidator(site).violations(rows, all, fleet)) {
                boolean isFleet = violation.section().equals(FleetCapacity.SECTION);
                file.fault(
                        violation.section(), isFleet ? "parts" : violation.key(), violation.text());
            }
        }
    }

    /** The file that was read, or null if there are faults; and the faults. */
    public record ValidationResult(AttemptsFile attempts, List<Fault> faults) {}

    /** Reads and validates a file. The result holds every fault, not only the first. */
    public static ValidationResult check(IniFile file, AttemptsValidationContext site) {
        AttemptsFile attempts = new AttemptsFile(file, site);
        return new ValidationResult(file.faults().isEmpty() ? attempts : null, file.faults());
    }

    /**
     * @throws InvalidSettingsException with every fault of the file
     */
    public static AttemptsFile read(String path, AttemptsValidationContext site) {
        ValidationResult outcome = check(IniFile.read(path), site);
        if (outcome.attempts == null) {
            throw new InvalidSettingsException(outcome.faults);
        }
        return outcome.attempts;
    }

    private void checkSections() {
        Set<String> routes =
                site.productsByRoute() == null
                        ? Set.of()
                        : new TreeSet<>(site.productsByRoute().keySet());
        String[] keys =
                java.util.Arrays.stream(AttemptsKey.values())
                        .map(k -> k.settingName)
                        .toArray(String[]::new);
        if (file.sections().size() > MAX_SECTIONS) {
            file.fault(
                    "", "", file.sections().size() + " sections, wanted: at most " + MAX_SECTIONS);
        }
        for (Section section : file.sections()) {
            for (AttemptsKey key : List.of(AttemptsKey.FLOOR, AttemptsKey.BUDGET_SPAN)) {
                if (section.has(key.settingName) && !section.has(AttemptsKey.BUDGET.settingName)) {
                    section.fault(
                            key.settingName,
                            "it has no effect without budget, wanted: budget in the same section");
                }
            }
            if (section.name.equals(ALL)) {
                section.only(
                        AttemptsKey.BUDGET.settingName,
                        AttemptsKey.FLOOR.settingName,
                        AttemptsKey.BUDGET_SPAN.settingName);
            } else if (section.name.startsWith(PRODUCT)) {
                section.only(keys);
                checkNameExists(
                        section,
                        section.name.substring(PRODUCT.length()),
                        site.products(),
                        "product");
            } else if (section.name.startsWith(ROUTE)) {
                section.only(keys);
                if (site.productsByRoute() == null) {
                    section.fault(
                            "", "no route table is given, wanted: a route table with this route");
                } else {
                    checkNameExists(
                            section, section.name.substring(ROUTE.length()), routes, "route");
                }
            } else if (section.name.equals(DEFAULT)) {
                section.only(keys);
            } else if (!section.name.equals(FleetCapacity.SECTION)) {
                section.fault(
                        "",
                        "no such section, wanted: [fleet], [all], [default], [product NAME] or"
                                + " [route NAME]");
            }
        }
    }

    private static void checkNameExists(
            Section section, String name, java.util.Collection<String> names, String kind) {
        if (!names.contains(name)) {
            String closest = NearestName.of(name, names);
            section.fault(
                    "",
                    "there is no "
                            + kind
                            + " "
                            + name
                            + (closest != null
                                    ? ", did you mean " + closest + "?"
                                    : ", wanted one of: "
                                            + String.join(
                                                    ", ", names.stream().limit(10).toList())));
        }
    }

    private void addRouteRows(String name) {
        Set<Integer> products =
                site.productsByRoute() == null ? null : site.productsByRoute().get(name);
        if (products != null) {
            new TreeSet<>(products).forEach(product -> rows.add(createRow(product, name)));
        }
    }

    private AttemptsRow createRow(int product, String route) {
        String name = site.products().get(product);
        AttemptsRow row =
                new AttemptsRow(name, product, site.settings().products().get(product), route);
        List<Section> order = new ArrayList<>();
        if (route != null) {
            order.add(file.section(ROUTE + route));
        }
        order.add(file.section(PRODUCT + name));
        order.add(file.section(DEFAULT));
        for (AttemptsKey key : AttemptsKey.values()) {
            int transmissionsPerPart = site.settings().permissions().transmissionsPerPart();
            Object siteValue =
                    key == AttemptsKey.TRANSMISSIONS
                            ? (Object) transmissionsPerPart
                            : row.productSettings.timeLimit();
            row.put(
                    key,
                    value(
                            key,
                            order,
                            siteValue,
                            key == AttemptsKey.TRANSMISSIONS
                                    ? "" + transmissionsPerPart
                                    : WorstCaseTimeline.formatMillis(
                                                    row.productSettings.timeLimit().micros())
                                            .replace(" ", "")));
        }
        return row;
    }

    /** The value from the first section that has the key, else the site's or the built-in value. */
    private SettingValue value(
            AttemptsKey key, List<Section> order, Object siteValue, String siteText) {
        for (Section section : order) {
            if (section.has(key.settingName)) {
                return parsedValues
                        .computeIfAbsent(section, s -> new EnumMap<>(AttemptsKey.class))
                        .computeIfAbsent(
                                key,
                                k ->
                                        new SettingValue(
                                                section.text(k.settingName),
                                                k.parse(section),
                                                section.name));
            }
        }
        if (key.defaultText == null) {
            return new SettingValue(siteText, siteValue, "");
        }
        return builtIn.computeIfAbsent(
                key,
                k ->
                        new SettingValue(
                                k.defaultText,
                                k.parse(
                                        IniFile.of(
                                                        "",
                                                        "[x]\n"
                                                                + k.settingName
                                                                + " = "
                                                                + k.defaultText)
                                                .section("x")),
                                ""));
    }

    public RetryPolicies retryPolicies() {
        return new RetryPolicies(site, rows, all);
    }

    /**
     * The effective settings, as text: the name of each row, followed by a line for each key with
     * its value and the section that it comes from. A null product or route stands for any.
     */
    public List<String> effectiveSettings(String product, String route) {
        List<String> lines = new ArrayList<>();
        for (AttemptsRow row : rows) {
            if ((product == null || product.equals(row.product))
                    && (route == null || route.equals(row.route))) {
                lines.add(row.name());
                row.effectiveSettings().forEach(line -> lines.add("    " + line));
            }
        }
        return lines;
    }

    /**
     * One line per row: when its longest sequence of transmissions ends, and how many transmissions
     * fit into shorter client times.
     */
    public List<String> worstCaseLines() {
        List<String> lines = new ArrayList<>();
        for (AttemptsRow row : rows) {
            StringBuilder line = new StringBuilder(row.name()).append(": ");
            if (!row.timesOut()) {
                lines.add(
                        line.append("up to ")
                                .append(row.transmissions())
                                .append(" transmissions, each after the one before has ended")
                                .append(
                                        row.hedges()
                                                ? ", or copied after "
                                                        + row.value(AttemptsKey.COPY_AFTER).text()
                                                : "")
                                .toString());
                continue;
            }
            long limit = row.span(AttemptsKey.CLIENT_TIME).micros();
            line.append(row.transmissions())
                    .append(" transmissions end within ")
                    .append(
                            WorstCaseTimeline.formatMillis(
                                    timeline(row, limit, row.transmissions()).end))
                    .append(" of ")
                    .append(WorstCaseTimeline.formatMillis(limit));
            for (int k = row.transmissions(); k > 1; k--) {
                long least = minClientTime(row, limit, k);
                line.append("; at most ")
                        .append(k - 1)
                        .append(" below ")
                        .append(WorstCaseTimeline.formatMillis(least));
            }
            lines.add(line.toString());
        }
        return lines;
    }

    private WorstCaseTimeline timeline(AttemptsRow row, long clientTime, int transmissions) {
        return new WorstCaseTimeline(
                row, site.settings(), site.connectTimeout(), new Span(clientTime), transmissions);
    }

    /**
     * The shortest client time in microseconds, rounded up to a millisecond, into which that many
     * transmissions fit. The upper bound must be long enough for them.
     */
    private long minClientTime(AttemptsRow row, long upperBound, int transmissions) {
        long low = 0;
        long high = upperBound / 1000;
        while (low + 1 < high) {
            long middle = (low + high) / 2;
            if (timeline(row, middle * 1000, transmissions).end <= middle * 1000) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return high * 1000;
    }

    AttemptsRow row(int index) {
        return rows.get(index);
    }

    public int rowCount() {
        return rows.size();
    }
}
