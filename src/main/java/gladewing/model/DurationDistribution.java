package gladewing.model;

import com.dynatrace.hash4j.hashing.Hashing;
import gladewing.settings.Section;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A probability distribution of durations, in microseconds. Samples are computed from uniform
 * random numbers through StrictMath, so that the same seed gives the same run on any machine: by
 * inversion, or for the lognormal distribution by the Box-Muller transform.
 */
final class DurationDistribution {
    private enum Family {
        CONSTANT,
        EXPONENTIAL,
        LOGNORMAL,
        PARETO
    }

    private final Family family;
    private final double mean;

    /** The sigma of a lognormal distribution or the index of a Pareto distribution; otherwise 0. */
    private final double shape;

    private DurationDistribution(Family family, double mean, double shape) {
        this.family = family;
        this.mean = mean;
        this.shape = shape;
    }

    static DurationDistribution constant(double mean) {
        return new DurationDistribution(Family.CONSTANT, mean, 0);
    }

    static DurationDistribution exponential(double mean) {
        return new DurationDistribution(Family.EXPONENTIAL, mean, 0);
    }

    /**
     * Returns a separate random stream for each name, so that the number of draws from one stream
     * does not affect the others. The name selects the random numbers, so a changed name changes
     * results.
     */
    static UniformRandomProvider stream(long seed, String name) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                seed * 0x9e3779b97f4a7c15L ^ Hashing.komihash5_0().hashCharsToLong(name));
    }

    /**
     * Reads a distribution from a settings file, such as {@code 20ms}, {@code exponential 20ms},
     * {@code lognormal 20ms 0.5} or {@code pareto 20ms 2.2}; the time is the mean. An invalid text
     * is added to the faults of the section.
     */
    static DurationDistribution read(Section section, String key, String defaultText) {
        String text = section.text(key, defaultText);
        String[] words = text.split(" ");
        int timeIndex = words.length > 1 ? 1 : 0;
        long mean = Section.micros(words[timeIndex]);
        try {
            if (mean >= 0 && words.length == 1) {
                return constant(mean);
            }
            if (mean > 0 && words.length == 2 && words[0].equals("exponential")) {
                return exponential(mean);
            }
            double shape = words.length == 3 ? Double.parseDouble(words[2]) : 0;
            if (mean > 0 && words[0].equals("lognormal") && shape > 0 && shape <= 3) {
                return new DurationDistribution(Family.LOGNORMAL, mean, shape);
            }
            if (mean > 0 && words[0].equals("pareto") && shape > 1 && shape <= 10) {
                return new DurationDistribution(Family.PARETO, mean, shape);
            }
        } catch (NumberFormatException invalidShape) {
            // Reported as a fault below.
        }
        section.fault(
                key,
                "'"
                        + text
                        + "', wanted: TIME, exponential TIME, lognormal TIME SIGMA (to 3) or pareto"
                        + " TIME INDEX (over 1, to 10); TIME is the mean");
        return constant(1000);
    }

    double mean() {
        return mean;
    }

    /**
     * Returns the second moment, in microseconds squared; infinite for a Pareto index of 2 or less.
     */
    double secondMoment() {
        return switch (family) {
            case CONSTANT -> mean * mean;
            case EXPONENTIAL -> 2 * mean * mean;
            case LOGNORMAL -> mean * mean * StrictMath.exp(shape * shape);
            case PARETO ->
                    shape <= 2
                            ? Double.POSITIVE_INFINITY
                            : mean * mean * (shape - 1) * (shape - 1) / (shape * (shape - 2));
        };
    }

    double draw(UniformRandomProvider random) {
        switch (family) {
            case CONSTANT:
                return mean;
            case EXPONENTIAL:
                return -mean * StrictMath.log(1 - random.nextDouble());
            case LOGNORMAL:
                double normal =
                        StrictMath.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
                                * StrictMath.cos(2 * StrictMath.PI * random.nextDouble());
                return mean * StrictMath.exp(shape * normal - shape * shape / 2);
            default:
                return mean
                        * (shape - 1)
                        / shape
                        * StrictMath.pow(1 - random.nextDouble(), -1 / shape);
        }
    }
}
