package gladewing.benchmarks;

import gladewing.routes.RouteTable;
import gladewing.routes.RoutingDecision;
import gladewing.routes.RoutingRequest;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * One request by tables of growing size, the last route matching; by the search, and asking each in
 * turn.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 400, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 5, time = 400, timeUnit = TimeUnit.MILLISECONDS)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx512m"})
public class RoutingBenchmark {
    @Param({"1", "10", "100", "1000", "10000"})
    public int routes;

    private RouteTable table;
    private RoutingRequest last;
    private RoutingRequest none;

    @Setup
    public void make() {
        table = Tables.table(Tables.indexable(routes));
        last = Tables.request("p" + (routes - 1) % 10, "clinic-" + (routes - 1) / 10);
        none = Tables.request("p0", "nowhere");
    }

    @Benchmark
    public RoutingDecision lastMatches() {
        return table.match(last);
    }

    @Benchmark
    public RoutingDecision noneMatches() {
        return table.match(none);
    }

    @Benchmark
    public RoutingDecision oneAfterTheOther() {
        return table.matchSequentially(last);
    }
}
