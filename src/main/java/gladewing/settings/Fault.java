package gladewing.settings;

/** What is wrong with one setting; section and key are empty where the file itself is at fault. */
public record Fault(String file, String section, String key, String what) {
    @Override
    public String toString() {
        StringBuilder at = new StringBuilder(file);
        if (!section.isEmpty()) {
            at.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            at.append(' ').append(key);
        }
        return at.append(": ").append(what).toString();
    }
}
