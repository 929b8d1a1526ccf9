package gladewing.serve;

import gladewing.clients.Clients;
import gladewing.loop.Loop;
import gladewing.router.Span;
import gladewing.router.Time;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Logger;

/**
 * The end after SIGTERM: not ready any more, but what comes is served for as long as the front may still
 * send; then no more is accepted, and the program ends when all that was taken is answered.
 */
final class Ending {
    private static final Logger LOG = Logger.getLogger(Ending.class.getName());
    /** The front takes up to 0.4 s to stop sending; the rest is for what is on its way. */
    private static final Span STILL_ACCEPTS = Span.ofMillis(550);
    private static final Span CHECK = Span.ofMillis(10);

    private final Loop loop;
    private final Clients clients;
    private final Span longest;
    private final CountDownLatch done = new CountDownLatch(1);
    private boolean begun;
    private Time until;

    Ending(Loop loop, Clients clients, Span longest) {
        this.loop = loop;
        this.clients = clients;
        this.longest = longest;
    }

    /** On the loop's thread. */
    void begin() {
        LOG.info("ending: serves what still comes, and answers all that was taken");
        begun = true;
        until = loop.pass().plus(STILL_ACCEPTS).plus(longest);
        clients.setReady(false);
        clients.closeAfterAnswers();
        loop.after(STILL_ACCEPTS, () -> {
            clients.stopAccepting();
            check();
        });
    }

    boolean begun() {
        return begun;
    }

    private void check() {
        boolean late = until.before(loop.pass());
        if (clients.empty() || late) {
            LOG.info(late ? "ended with connections that were not closed in time" : "ended: all is answered");
            done.countDown();
        } else {
            loop.after(CHECK, this::check);
        }
    }

    void await() throws InterruptedException {
        done.await();
    }
}
