package gladewing.attempts;

/**
 * The value of a key, as text and parsed.
 *
 * @param section name of the section that sets the key; empty for a default
 */
record SettingValue(String text, Object parsed, String section) {
    boolean isStated() {
        return !section.isEmpty();
    }
}
