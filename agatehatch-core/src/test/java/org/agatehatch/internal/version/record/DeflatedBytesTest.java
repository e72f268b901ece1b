package org.agatehatch.internal.version.record;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.Deflater;
import org.testng.annotations.Test;

/** Guards against compressed values that are accepted although they are damaged, or refused although they are sound. */
public final class DeflatedBytesTest {
    private static final int LIMIT = 40_000;
    private static final byte[] VALUE = "{\"name\":\"route\"}".repeat(2_500).getBytes(StandardCharsets.US_ASCII);

    private static void assertRefused(byte[] deflated, int length) {
        expectThrows(IllegalArgumentException.class, () -> DeflatedBytes.inflate(deflated, length, LIMIT));
    }

    @Test
    public void a_value_of_exactly_the_limit_is_accepted() {
        assertEquals(VALUE.length, LIMIT);
        assertEquals(DeflatedBytes.inflate(DeflatedBytes.deflate(VALUE), LIMIT, LIMIT), VALUE);
        assertRefused(DeflatedBytes.deflate(new byte[LIMIT + 1]), LIMIT + 1);
    }

    @Test
    public void an_empty_value_is_accepted() {
        assertEquals(DeflatedBytes.inflate(DeflatedBytes.deflate(new byte[0]), 0, LIMIT), new byte[0]);
    }

    @Test
    public void a_value_of_another_length_than_named_is_refused() {
        byte[] deflated = DeflatedBytes.deflate(VALUE);
        assertRefused(deflated, LIMIT - 1);
        assertRefused(DeflatedBytes.deflate(new byte[LIMIT - 1]), LIMIT);
        assertRefused(deflated, -1);
    }

    // Guards against a value whose checksum is missing.
    @Test
    public void a_value_that_is_cut_off_is_refused() {
        byte[] deflated = DeflatedBytes.deflate(VALUE);
        for (int length = 0; length < deflated.length; length++) {
            assertRefused(Arrays.copyOf(deflated, length), LIMIT);
        }
    }

    // Guards against a loop at an inflater that waits for a dictionary.
    @Test(timeOut = 20_000)
    public void a_value_that_needs_a_dictionary_is_refused() {
        Deflater deflater = new Deflater();
        deflater.setDictionary("route".getBytes(StandardCharsets.US_ASCII));
        deflater.setInput(VALUE);
        deflater.finish();
        byte[] buffer = new byte[LIMIT];
        byte[] deflated = Arrays.copyOf(buffer, deflater.deflate(buffer));
        deflater.end();
        assertRefused(deflated, LIMIT);
    }
}
