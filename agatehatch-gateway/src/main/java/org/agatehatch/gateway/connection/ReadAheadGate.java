package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;

/**
 * Passes received bytes to the decoder in portions that end with a request's head or body, so that the connection can stop before
 * the next one. While it is stopped, the socket is not read.
 */
final class ReadAheadGate extends ChannelInboundHandlerAdapter {
    /** The connection behind the decoder. */
    interface Receiver {
        /** Returns whether the next bytes may be decoded. */
        boolean mayDecode();

        /** Returns whether all further input is dropped. */
        boolean dropsInput();

        /** Returns how many bytes of a body with a declared length are missing; 0 outside of such a body. */
        long missingBodyBytes();

        /** Called when bytes arrive. */
        void onReceived(int bytes);

        /** Called when no more bytes can be decoded for the moment. */
        void onPassed();

        /** Called before bytes outside of a body with a declared length are decoded. Returns false if they must be dropped. */
        boolean onStructureBytes(int bytes, int lines);
    }

    /** Portions of one connection that are handled before other connections are. */
    private static final int MAX_PORTIONS_A_TURN = 256;

    /** Lines of heads and chunk sizes likewise, each of which costs the decoder about one object. */
    private static final int MAX_LINES_A_TURN = 512;

    private static final int MAX_PORTION_BYTES = 2_048;

    /** A smaller share of a read buffer than one in this number is copied. */
    private static final int MIN_SHARE_OF_BUFFER = 4;

    private final Receiver receiver;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private final BlankLineFinder blankLines = new BlankLineFinder();
    private ChannelHandlerContext context;
    private boolean passing;
    private boolean continuationScheduled;

    ReadAheadGate(Receiver receiver) {
        this.receiver = receiver;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        releaseAll();
    }

    /** Returns the memory of received bytes that are not decoded yet. */
    long waitingBytes() {
        long bytes = 0;
        for (ByteBuf buffer : waiting) {
            bytes += buffer.capacity();
        }
        return bytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        ByteBuf received = (ByteBuf) message;
        waiting.add(received);
        receiver.onReceived(received.readableBytes());
        passOn();
    }

    /** Not passed on: the decoder would request another read after each portion that completes nothing. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ignored) {}

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        releaseAll();
        inactive.fireChannelInactive();
    }

    /** Decodes what is waiting, as far as the receiver allows it now. */
    void passOn() {
        if (passing || continuationScheduled) {
            return;
        }
        passing = true;
        try {
            int portions = 0;
            int lines = 0;
            while (!waiting.isEmpty() && portions < MAX_PORTIONS_A_TURN && lines < MAX_LINES_A_TURN) {
                if (receiver.dropsInput()) {
                    releaseAll();
                } else if (!receiver.mayDecode()) {
                    break;
                } else {
                    lines += passPortion(waiting.peek());
                    portions++;
                }
            }
            boolean turnIsOver = portions == MAX_PORTIONS_A_TURN || lines >= MAX_LINES_A_TURN;
            if (turnIsOver && !waiting.isEmpty()) {
                continuationScheduled = true;
                context.executor().execute(this::continuePassing);
            }
        } finally {
            passing = false;
        }
        receiver.onPassed();
        context.channel().config().setAutoRead(waiting.isEmpty() && (receiver.dropsInput() || receiver.mayDecode()));
    }

    private void continuePassing() {
        continuationScheduled = false;
        passOn();
    }

    /** Passes a portion on and returns how many lines it has. */
    private int passPortion(ByteBuf buffer) {
        long missing = receiver.missingBodyBytes();
        int size;
        int lines = 0;
        if (missing > 0) {
            size = (int) Math.min(missing, buffer.readableBytes());
        } else {
            size = blankLines.portion(buffer, MAX_PORTION_BYTES);
            lines = blankLines.lines();
            if (!receiver.onStructureBytes(size, lines)) {
                return lines;
            }
        }
        ByteBuf portion = takePortion(buffer, size);
        if (!buffer.isReadable()) {
            waiting.poll().release();
        }
        context.fireChannelRead(portion);
        return lines;
    }

    /** Copies small portions: the decoder keeps the beginning of a line, and must not keep a whole read buffer for it. */
    private ByteBuf takePortion(ByteBuf buffer, int size) {
        if (size <= buffer.capacity() / MIN_SHARE_OF_BUFFER) {
            return context.alloc().buffer(size).writeBytes(buffer, size);
        }
        return buffer.readRetainedSlice(size);
    }

    private void releaseAll() {
        while (!waiting.isEmpty()) {
            waiting.poll().release();
        }
    }

    /** Finds the end of a head or of a body in chunks, also if it is divided between buffers. */
    private static final class BlankLineFinder {
        private boolean lineIsEmpty;
        private int lines;

        /** Returns the number of bytes up to the end of the next blank line, at most the given number. */
        int portion(ByteBuf buffer, int maxBytes) {
            lines = 0;
            int count = Math.min(maxBytes, buffer.readableBytes());
            for (int i = 0; i < count; i++) {
                byte value = buffer.getByte(buffer.readerIndex() + i);
                if (value == '\n') {
                    lines++;
                    if (lineIsEmpty) {
                        lineIsEmpty = false;
                        return i + 1;
                    }
                    lineIsEmpty = true;
                } else if (value != '\r') {
                    lineIsEmpty = false;
                }
            }
            return count;
        }

        int lines() {
            return lines;
        }
    }
}
