package gladewing.attempts;

import gladewing.router.Delay;
import gladewing.router.Settings;
import gladewing.router.Span;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The effective settings for the multigets of one product that one route matched, or that no route
 * matched, with the section that each setting comes from.
 */
public final class AttemptsRow {
    final String product;
    final int productIndex;
    final Settings.Product productSettings;

    /** Null for multigets that no route matched. */
    final String route;

    private final Map<AttemptsKey, SettingValue> values = new EnumMap<>(AttemptsKey.class);

    AttemptsRow(String product, int productIndex, Settings.Product productSettings, String route) {
        this.product = product;
        this.productIndex = productIndex;
        this.productSettings = productSettings;
        this.route = route;
    }

    void put(AttemptsKey key, SettingValue value) {
        values.put(key, value);
    }

    SettingValue value(AttemptsKey key) {
        return values.get(key);
    }

    /**
     * The section in which faults of a key are reported: the one that sets it, else the product's.
     */
    String section(AttemptsKey key) {
        return value(key).isStated() ? value(key).section() : "product " + product;
    }

    int transmissions() {
        return (Integer) value(AttemptsKey.TRANSMISSIONS).parsed();
    }

    Delay timeOut() {
        return (Delay) value(AttemptsKey.TIME_OUT).parsed();
    }

    Delay hedgeAfter() {
        return (Delay) value(AttemptsKey.COPY_AFTER).parsed();
    }

    /** A retry is sent only while at least this much of the client's time is left. */
    Delay minTimeLeft() {
        return (Delay) value(AttemptsKey.LAST_START).parsed();
    }

    double number(AttemptsKey key) {
        return (Double) value(key).parsed();
    }

    Span span(AttemptsKey key) {
        return (Span) value(key).parsed();
    }

    /** Retries permitted per first transmission, or null if the row has no budget. */
    Double budget() {
        return (Double) value(AttemptsKey.BUDGET).parsed();
    }

    /** Whether transmissions are withdrawn after a configured time, without any failure. */
    boolean timesOut() {
        return isConfiguredTime(timeOut()) || number(AttemptsKey.SPLIT) < 1;
    }

    /** Whether hedged copies are sent after a configured time. */
    boolean hedges() {
        return isConfiguredTime(hedgeAfter());
    }

    private static boolean isConfiguredTime(Delay delay) {
        return delay.kind() != Delay.Kind.ADAPTIVE && delay.kind() != Delay.Kind.NEVER;
    }

    /** Most retries of one part while every node is slow and none fails. */
    int retriesBySlowness() {
        int retries = Math.min(transmissions(), 100) - 1;
        return timesOut() ? retries : hedges() ? Math.min(1, retries) : 0;
    }

    String name() {
        return route == null ? product : product + " by route " + route;
    }

    /** One line per key: its value, and the section that sets it. */
    List<String> effectiveSettings() {
        List<String> lines = new ArrayList<>();
        values.forEach(
                (key, value) ->
                        lines.add(
                                String.format(
                                                "%-14s= %-24s %s",
                                                key.settingName,
                                                value.text(),
                                                value.isStated()
                                                        ? "[" + value.section() + "]"
                                                        : key.defaultText == null
                                                                ? "the site"
                                                                : "built in")
                                        .strip()));
        return lines;
    }
}
