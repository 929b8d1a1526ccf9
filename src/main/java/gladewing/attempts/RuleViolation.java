package gladewing.attempts;

import java.util.List;

/**
 * A setting with which a rule could be broken.
 *
 * @param rule number of the rule; 0 for a limit of the site that is not a numbered rule
 * @param section section of the setting
 * @param key key of the setting
 * @param reason what is wrong, and which values are permitted
 * @param history events that lead to the violation, in order
 */
record RuleViolation(int rule, String section, String key, String reason, List<String> history) {
    /** The message for the operator, with one line for each event. */
    String text() {
        StringBuilder text =
                new StringBuilder(reason).append(rule > 0 ? " (rule " + rule + ")" : "");
        history.forEach(event -> text.append("\n    ").append(event));
        return text.toString();
    }
}
