package gladewing.expr;

import java.util.List;

/**
 * One test in a conjunction of a condition's disjunctive form. EQUAL: the subject, a field of the
 * request or an entry of one of its maps, must equal one of the values. PREFIX: the subject must
 * start with the single value. OTHER: any other test; it has neither subject nor values and is
 * identified by its canonical text, which is the same only for expressions of the same meaning.
 */
public record Conjunct(Form form, Subject subject, List<String> values, String canonicalText) {
    /** The form of the test; see {@link Conjunct}. */
    public enum Form {
        EQUAL,
        PREFIX,
        OTHER
    }

    /** The tested field, or the entry of that field under the key; the key is null for a field. */
    public record Subject(Schema.Field field, String key) {
        /** The subject's value in the request; null if there is none or it exceeds its bound. */
        public String valueIn(RecordView request) {
            Object value = request.getObject(field.number());
            if (key != null && value != null) {
                StringMap map = (StringMap) value;
                value = map.size() > field.bound().size() ? null : map.get(key);
            }
            long maxLength =
                    key == null ? field.bound().size() : field.bound().elementBound().size();
            return value instanceof String text && text.length() <= maxLength ? text : null;
        }
    }

    /** Whether this test is known to hold wherever the other one does. */
    public boolean isImpliedBy(Conjunct other) {
        if (form == Form.OTHER || other.form == Form.OTHER) {
            return canonicalText.equals(other.canonicalText);
        }
        if (!subject.equals(other.subject)) {
            return false;
        }
        if (form == Form.EQUAL) {
            return other.form == Form.EQUAL && values.containsAll(other.values);
        }
        String prefix = values.get(0);
        return other.values.stream().allMatch(value -> value.startsWith(prefix));
    }

    /** Whether it is known that both can't hold at once. */
    public boolean excludes(Conjunct other) {
        if (form == Form.OTHER || other.form == Form.OTHER || !subject.equals(other.subject)) {
            return false;
        }
        if (form == Form.EQUAL && other.form == Form.EQUAL) {
            return other.values.stream().noneMatch(values::contains);
        }
        if (form == Form.PREFIX && other.form == Form.PREFIX) {
            String a = values.get(0);
            String b = other.values.get(0);
            return !a.startsWith(b) && !b.startsWith(a);
        }
        Conjunct prefix = form == Form.PREFIX ? this : other;
        List<String> equal = form == Form.PREFIX ? other.values : values;
        return equal.stream().noneMatch(value -> value.startsWith(prefix.values.get(0)));
    }
}
