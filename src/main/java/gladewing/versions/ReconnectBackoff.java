package gladewing.versions;

import gladewing.router.Span;
import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter for connections to the control service. The delay doubles with
 * each failure up to a maximum, and is then drawn at random from its upper half, so that routers
 * that lost the service at the same instant do not reconnect at the same instant.
 */
public final class ReconnectBackoff {
    private final Span firstDelay;
    private final Span maxDelay;
    private final SplittableRandom random;
    private int failures;

    /** Routers of one fleet need different seeds for their delays to differ. */
    public ReconnectBackoff(Span firstDelay, Span maxDelay, long seed) {
        this.firstDelay = firstDelay;
        this.maxDelay = maxDelay;
        this.random = new SplittableRandom(seed);
    }

    /** Counts a failure and returns the delay until the next attempt. */
    public Span nextDelay() {
        Span delay = Span.shortest(maxDelay, firstDelay.times(1L << Math.min(failures, 30)));
        failures++;
        return delay.times(0.5 + 0.5 * random.nextDouble());
    }

    /** Called after a success: the next failure starts from the first delay again. */
    public void reset() {
        failures = 0;
    }
}
