package gladewing.settings;

/** An error in a settings file; section and key are empty if the error concerns no single one. */
public record Fault(String file, String section, String key, String what) {
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file);
        if (!section.isEmpty()) {
            text.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            text.append(' ').append(key);
        }
        return text.append(": ").append(what).toString();
    }
}
