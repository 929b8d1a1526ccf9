import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Some answers of data nodes are spoilt: their length is a few bytes less than what follows. */
final class Case {
    private static final double SPOILT_SHARE = 0.02;
    private static final long END_MS = 25_000;

    public static void main(String[] args) {
        Stand.play(args, Case::run);
    }

    private static int run(Stand stand) throws Exception {
        stand.addFleet(2);
        Set<Stand.NodeConnection> ofNoUse = ConcurrentHashMap.newKeySet();
        for (Stand.Node node : stand.nodes.values()) {
            node.behaviour =
                    part ->
                            Stand.start(
                                    () -> {
                                        Stand.sleep(node.workMillis());
                                        answer(stand, node, part, ofNoUse);
                                    });
        }
        stand.writeConfig(stand.discovery.port, stand.discovery.whole());
        Process router = stand.startRouter();
        if (router == null || !stand.awaitReady()) {
            return stand.couldNotRun("the router is not ready");
        }
        stand.load("sheet", 5, 3000, 20, stand.now() + END_MS);
        Stand.sleep(END_MS);
        stand.awaitEnds(6000);
        for (Stand.Request request : stand.allRequests()) {
            String wrong = request.wrongData();
            if (wrong != null) {
                stand.broken(wrong);
            }
        }
        long served = stand.count(request -> request.status == 200);
        stand.note("served " + served + " of " + stand.requests.size());
        return served == 0 ? stand.couldNotRun("nothing was served") : stand.finish();
    }

    private static void answer(
            Stand stand, Stand.Node node, Stand.Part part, Set<Stand.NodeConnection> ofNoUse) {
        if (part.isGivenUp || ofNoUse.contains(part.connection)) {
            return;
        }
        if (!stand.trouble || stand.random.nextDouble() >= SPOILT_SHARE) {
            node.answer(part);
            return;
        }
        // The part has run. The connection stays open, and nothing more comes on it.
        ofNoUse.add(part.connection);
        int missing = 1 + stand.random.nextInt(8);
        stand.note("ran " + node.uid + " " + part.id + ", spoilt: its length lacks " + missing);
        part.connection.write(
                Stand.frame('A', part.id + " ok 17 -\n" + part.value(), -missing));
    }
}
