package gladewing.benchmarks;

import gladewing.routes.RouteTable;

/** Time to compile tables, from a cold start and again, and the memory that each takes. */
public final class TableSize {
    private TableSize() {}

    public static void main(String[] args) {
        for (int routes : new int[] {1, 1000, 10_000, 10_000}) {
            String text = Tables.indexable(routes);
            long before = used();
            long from = System.nanoTime();
            RouteTable table = Tables.table(text);
            long micros = (System.nanoTime() - from) / 1000;
            System.out.println(
                    routes
                            + " routes: "
                            + micros / 1000.0
                            + " ms, "
                            + (used() - before) / 1024
                            + " KiB, "
                            + table.maxSteps()
                            + " steps at most");
        }
    }

    private static long used() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
