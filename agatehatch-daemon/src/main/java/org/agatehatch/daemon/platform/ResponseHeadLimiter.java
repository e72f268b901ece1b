package org.agatehatch.daemon.platform;

import java.io.IOException;
import java.time.Duration;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.BidiShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Limits the size and the duration of response heads on one client connection, and passes received bytes on in small
 * blocks. Expects that each request is written as one element and that requests are not pipelined.
 */
final class ResponseHeadLimiter extends GraphStage<BidiShape<ByteString, ByteString, ByteString, ByteString>> {
    /** The parser handles consecutive interim responses recursively; 16 KiB of them in one block overflow its stack. */
    static final int MAX_BLOCK_BYTES = 4 << 10;

    private static final String TIMER = "head";

    private final int maxHeadBytes;
    private final Duration headTimeout;
    private final Inlet<ByteString> requestIn = Inlet.create("ResponseHeadLimiter.requestIn");
    private final Outlet<ByteString> requestOut = Outlet.create("ResponseHeadLimiter.requestOut");
    private final Inlet<ByteString> responseIn = Inlet.create("ResponseHeadLimiter.responseIn");
    private final Outlet<ByteString> responseOut = Outlet.create("ResponseHeadLimiter.responseOut");
    private final BidiShape<ByteString, ByteString, ByteString, ByteString> shape =
            new BidiShape<>(requestIn, requestOut, responseIn, responseOut);

    /**
     * @param maxHeadBytes largest size of the head of one response, including the interim responses before it
     * @param headTimeout longest time from the first to the last byte of a response head
     */
    ResponseHeadLimiter(int maxHeadBytes, Duration headTimeout) {
        this.maxHeadBytes = maxHeadBytes;
        this.headTimeout = headTimeout;
    }

    @Override
    public BidiShape<ByteString, ByteString, ByteString, ByteString> shape() {
        return shape;
    }

    @Override
    public GraphStageLogic createLogic(Attributes inheritedAttributes) {
        return new Logic();
    }

    private final class Logic extends TimerGraphStageLogic {
        private final HeadScanner scanner = new HeadScanner();
        private ByteString pending = ByteString.emptyByteString();
        private boolean inHead;
        private long headBytes;

        private Logic() {
            super(shape);
            setHandler(requestIn, new AbstractInHandler() {
                @Override
                public void onPush() {
                    if (!inHead) {
                        inHead = true;
                        headBytes = 0;
                        scanner.reset();
                    }
                    push(requestOut, grab(requestIn));
                }

                @Override
                public void onUpstreamFinish() {
                    complete(requestOut);
                }
            });
            setHandler(requestOut, new AbstractOutHandler() {
                @Override
                public void onPull() {
                    pull(requestIn);
                }

                @Override
                public void onDownstreamFinish(Throwable cause) {
                    cancel(requestIn, cause);
                }
            });
            setHandler(responseIn, new AbstractInHandler() {
                @Override
                public void onPush() {
                    pending = grab(responseIn);
                    pushBlock();
                }

                @Override
                public void onUpstreamFinish() {
                    if (pending.isEmpty()) {
                        complete(responseOut);
                    }
                }
            });
            setHandler(responseOut, new AbstractOutHandler() {
                @Override
                public void onPull() {
                    pushBlock();
                }

                @Override
                public void onDownstreamFinish(Throwable cause) {
                    cancel(responseIn, cause);
                }
            });
        }

        @Override
        public void onTimer(Object timerKey) {
            failStage(new IOException("the response head was not complete within " + headTimeout.toMillis() + " ms"));
        }

        private void pushBlock() {
            if (pending.isEmpty()) {
                pull(responseIn);
                return;
            }
            ByteString block = pending.take(MAX_BLOCK_BYTES);
            pending = pending.drop(MAX_BLOCK_BYTES);
            if (inHead && !checkHead(block)) {
                return;
            }
            push(responseOut, block);
            if (pending.isEmpty() && isClosed(responseIn)) {
                complete(responseOut);
            }
        }

        private boolean checkHead(ByteString block) {
            int end = scanner.scan(block);
            headBytes += end < 0 ? block.size() : end;
            if (headBytes > maxHeadBytes) {
                failStage(new IOException("the response head exceeds " + maxHeadBytes + " bytes"));
                return false;
            }
            if (end >= 0) {
                inHead = false;
                cancelTimer(TIMER);
            } else if (!isTimerActive(TIMER)) {
                scheduleOnce(TIMER, headTimeout);
            }
            return true;
        }
    }

    /** Finds the end of a response head, past the heads of interim responses. */
    private static final class HeadScanner {
        private static final int STATUS_CLASS_POSITION = "HTTP/1.1 ".length();

        private int position;
        private boolean interim;
        private boolean lineEmpty;

        private void reset() {
            position = 0;
            interim = false;
            lineEmpty = false;
        }

        /** Returns the number of bytes up to the end of the final head, or -1 if the head continues. */
        private int scan(ByteString block) {
            for (int i = 0; i < block.size(); i++) {
                byte next = block.apply(i);
                if (position == STATUS_CLASS_POSITION) {
                    interim = next == '1';
                }
                position++;
                if (next == '\n') {
                    if (lineEmpty && !interim) {
                        return i + 1;
                    }
                    if (lineEmpty) {
                        reset();
                    }
                    lineEmpty = position > 0;
                } else if (next != '\r') {
                    lineEmpty = false;
                }
            }
            return -1;
        }
    }
}
