package org.agatehatch.cli.load;

import java.util.List;
import java.util.SplittableRandom;

/** Makes the model and the prompt of each request from the seed and the request's number. */
final class Prompts {
    private static final String LETTERS = "abcdefghijklmnopqrstuvwxyz     ";
    /** Spreads request numbers over the seeds of the generator. */
    private static final long STEP = 0x9E3779B97F4A7C15L;

    private final List<String> models;
    private final long seed;
    private final int uniqueBytes;
    private final String shared;

    Prompts(LoadSettings settings) {
        this.models = settings.models();
        this.seed = settings.seed();
        this.uniqueBytes = settings.promptBytes() - settings.sharedPrefixBytes();
        this.shared = letters(new SplittableRandom(settings.seed()), settings.sharedPrefixBytes());
    }

    /** Returns one request's model and prompt. */
    Prompt prompt(long number) {
        SplittableRandom random = new SplittableRandom(seed + (number + 1) * STEP);
        String model = models.get(random.nextInt(models.size()));
        return new Prompt(model, shared + letters(random, uniqueBytes));
    }

    private static String letters(SplittableRandom random, int count) {
        StringBuilder text = new StringBuilder(count);
        for (int i = 0; i < count; i++) {
            text.append(LETTERS.charAt(random.nextInt(LETTERS.length())));
        }
        return text.toString();
    }

    /** Model and prompt of one request. */
    record Prompt(String model, String content) {}
}
