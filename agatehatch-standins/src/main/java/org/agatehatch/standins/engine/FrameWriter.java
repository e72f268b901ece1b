package org.agatehatch.standins.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.agatehatch.standins.http.Json;

/** Writes the server-sent events of one stream. The parts that do not change are built once. */
final class FrameWriter {
    private final long seed;
    private final byte[] idStart;
    private final byte[] chunkStart;
    private final byte[] chunkEnd;
    private final byte[] lastChunkEnd;
    private final byte[] token = new byte[TokenText.TOKEN_BYTES];

    FrameWriter(InferenceRequest request, int cachedTokens) {
        this.seed = request.seed();
        String kind = request.chat() ? "chat.completion.chunk" : "text_completion";
        String textStart = request.chat() ? "\"delta\":{\"content\":\"" : "\"text\":\"";
        String textEnd = request.chat() ? "\"}" : "\"";
        this.idStart = ascii("id: " + request.attempt() + ":");
        this.chunkStart = ascii("\ndata: {\"id\":\"" + request.attempt() + "\",\"object\":\"" + kind
                + "\",\"created\":0,\"model\":" + Json.text(request.model()) + ",\"choices\":[{\"index\":0,"
                + textStart);
        this.chunkEnd = ascii(textEnd + ",\"finish_reason\":null}]}\n\n");
        this.lastChunkEnd = ascii(textEnd + ",\"finish_reason\":\"length\"}],\"usage\":"
                + Json.text(Usage.of(request, cachedTokens)) + "}\n\n");
    }

    void token(ByteArrayOutputStream out, int index, boolean last) {
        out.writeBytes(idStart);
        out.writeBytes(ascii(Integer.toString(index)));
        out.writeBytes(chunkStart);
        TokenText.put(seed, index, token, 0);
        out.writeBytes(token);
        out.writeBytes(last ? lastChunkEnd : chunkEnd);
    }

    void done(ByteArrayOutputStream out, int index) {
        out.writeBytes(idStart);
        out.writeBytes(ascii(index + "\ndata: [DONE]\n\n"));
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
