package gladewing.benchmarks;

import gladewing.expr.CompiledExpression;
import gladewing.expr.Environment;
import gladewing.expr.Expression;
import gladewing.expr.StringMap;
import gladewing.expr.Type;
import gladewing.routes.RouteFile;
import gladewing.routes.RoutingRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Each kind of operation on the input that is worst for it; prints the steps, so that ns a step can
 * be told.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 400, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 3, time = 400, timeUnit = TimeUnit.MILLISECONDS)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx512m"})
public class WorstBenchmark {
    @Param({
        "request.path.contains(request.headers.needle)",
        "request.path.matches('(a+)+$')",
        "request.path.matches('a{50}(a|b)*c')",
        "request.path.lowerAscii() == request.headers.upper",
        "request.path + request.headers.upper == request.headers.long",
        "request.path == request.headers.same",
        "hash(request.path) == 1",
        "request.parts.all(p, p.shard >= 0 && p.weight < 2.0)",
        "request.parts.map(p, p.shard * 2).filter(n, n > 5).size() == 7",
        "request.parts.all(p, request.parts.exists(q, q.shard == p.shard))",
        "request.parts.all(p, string(p.weight) != 'x')",
        "request.parts.all(p, int(p.key) == 7)"
    })
    public String text;

    private CompiledExpression.BoolCode closures;
    private CompiledExpression.Frame frame;
    private RoutingRequest request;
    private String steps;

    @Setup
    public void make() {
        Expression expression =
                new Environment(RouteFile.schema()).check(text, Type.BOOL, new ArrayList<>());
        closures = expression.compileBool();
        frame = new CompiledExpression.Frame(expression.slotCount());
        request = Tables.request("p1", "corfu");
        request.path = "a".repeat(4000);
        Map<String, String> headers = new HashMap<>();
        headers.put("needle", "a".repeat(2000) + "b");
        headers.put("upper", "A".repeat(4000));
        headers.put("long", "a".repeat(4000) + "A".repeat(3999) + "B");
        headers.put("same", new String("a".repeat(4000)));
        request.headers = StringMap.of(headers);
        List<RoutingRequest.Part> parts = new ArrayList<>();
        for (int i = 0; i < 512; i++) {
            parts.add(new RoutingRequest.Part(i, 1 / 512.0, 9000, "7"));
        }
        request.parts = parts;
        steps = expression.countSteps(request) + " steps of at most " + expression.cost();
    }

    @TearDown
    public void tell() {
        System.out.println("steps: " + steps + " for " + text);
    }

    @Benchmark
    public int worst() {
        return closures.evaluate(frame.reset(request));
    }
}
