package gladewing.settings;

import java.util.Collection;

/** Suggests the known name that a misspelt one was probably meant to be. */
public final class NearestName {
    /** Longer names are cut to this length, which bounds the time that a hostile file can take. */
    private static final int MAX_LENGTH = 64;

    private NearestName() {}

    /**
     * The name with the least edit distance, and the first of several with the same distance.
     *
     * @return null if no name is within a distance of one third of the misspelt name's length, plus
     *     one
     */
    public static String of(String misspelt, Collection<String> names) {
        String best = null;
        int bestDistance = 1 + Math.min(misspelt.length(), MAX_LENGTH) / 3;
        for (String name : names) {
            int distance = distance(misspelt, name);
            if (distance < bestDistance || distance == bestDistance && best == null) {
                bestDistance = distance;
                best = name;
            }
        }
        return best;
    }

    /**
     * Number of insertions, deletions, substitutions and swaps of neighbours that lead from a to b.
     */
    private static int distance(String a, String b) {
        int n = Math.min(a.length(), MAX_LENGTH);
        int m = Math.min(b.length(), MAX_LENGTH);
        int[][] d = new int[n + 1][m + 1];
        for (int i = 0; i <= n; i++) {
            for (int j = 0; j <= m; j++) {
                if (i == 0 || j == 0) {
                    d[i][j] = i + j;
                    continue;
                }
                int substitution = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                d[i][j] =
                        Math.min(
                                Math.min(d[i - 1][j], d[i][j - 1]) + 1,
                                d[i - 1][j - 1] + substitution);
                if (i > 1
                        && j > 1
                        && a.charAt(i - 1) == b.charAt(j - 2)
                        && a.charAt(i - 2) == b.charAt(j - 1)) {
                    d[i][j] = Math.min(d[i][j], d[i - 2][j - 2] + 1);
                }
            }
        }
        return d[n][m];
    }
}
