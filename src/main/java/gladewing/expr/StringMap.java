package gladewing.expr;

import java.util.Map;

/** A read-only map from string to string, such as a request's headers. */
public interface StringMap {
    /** Returns null if the map has no such key. */
    String get(String key);

    int size();

    /** A view of the map: later changes of it are visible. */
    static StringMap of(Map<String, String> map) {
        return new StringMap() {
            @Override
            public String get(String key) {
                return map.get(key);
            }

            @Override
            public int size() {
                return map.size();
            }
        };
    }
}
