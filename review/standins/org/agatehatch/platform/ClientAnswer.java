package org.agatehatch.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/** An answer as a client has read it until its connection closed, without the framing of its chunks. */
final class ClientAnswer {
    final String statusLine;
    final String body;

    /** Whether the answer ended with its last chunk, or with its length. */
    final boolean complete;

    private ClientAnswer(String statusLine, String body, boolean complete) {
        this.statusLine = statusLine;
        this.body = body;
        this.complete = complete;
    }

    static ClientAnswer of(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return new ClientAnswer("no answer", "", false);
        }
        String head = text.substring(0, headEnd);
        String statusLine = head.lines().findFirst().orElse("");
        byte[] rest = Arrays.copyOfRange(bytes, headEnd + 4, bytes.length);
        boolean chunked = head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
        return chunked ? decode(statusLine, rest) : new ClientAnswer(statusLine, utf8(rest), true);
    }

    private static ClientAnswer decode(String statusLine, byte[] chunks) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String text = new String(chunks, StandardCharsets.ISO_8859_1);
        int position = 0;
        for (int end = text.indexOf("\r\n"); end >= 0; end = text.indexOf("\r\n", position)) {
            int size = Integer.parseInt(text.substring(position, end), 16);
            int from = end + 2;
            if (size == 0) {
                return new ClientAnswer(statusLine, utf8(body.toByteArray()), text.startsWith("\r\n", from));
            }
            if (from + size + 2 > chunks.length) {
                break;
            }
            body.write(chunks, from, size);
            position = from + size + 2;
        }
        return new ClientAnswer(statusLine, utf8(body.toByteArray()), false);
    }

    private static String utf8(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
