package org.agatehatch.daemon.traffic;

import java.time.Duration;
import java.util.function.Predicate;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;

/**
 * Completes with the element that ends the response, and reads and drops what follows it for a limited time. The
 * connection can be reused if the response ends within that time, and is closed otherwise.
 */
final class DrainAfterEnd<T> extends GraphStage<FlowShape<T, T>> {
    private static final String TIMER = "drain";

    private final Predicate<T> isEnd;
    private final Duration drainTimeout;
    private final Inlet<T> in = Inlet.create("DrainAfterEnd.in");
    private final Outlet<T> out = Outlet.create("DrainAfterEnd.out");
    private final FlowShape<T, T> shape = FlowShape.of(in, out);

    DrainAfterEnd(Predicate<T> isEnd, Duration drainTimeout) {
        this.isEnd = isEnd;
        this.drainTimeout = drainTimeout;
    }

    @Override
    public FlowShape<T, T> shape() {
        return shape;
    }

    @Override
    public GraphStageLogic createLogic(Attributes inheritedAttributes) {
        return new Logic();
    }

    private final class Logic extends TimerGraphStageLogic {
        private boolean draining;

        private Logic() {
            super(shape);
            setHandler(in, new AbstractInHandler() {
                @Override
                public void onPush() {
                    T element = grab(in);
                    if (draining) {
                        pull(in);
                        return;
                    }
                    push(out, element);
                    if (isEnd.test(element)) {
                        startDraining();
                    }
                }

                @Override
                public void onUpstreamFailure(Throwable failure) {
                    if (draining) {
                        completeStage();
                    } else {
                        failStage(failure);
                    }
                }
            });
            setHandler(out, new AbstractOutHandler() {
                @Override
                public void onPull() {
                    pull(in);
                }

                @Override
                public void onDownstreamFinish(Throwable cause) {
                    if (!draining) {
                        cancelStage(cause);
                    }
                }
            });
        }

        private void startDraining() {
            draining = true;
            complete(out);
            scheduleOnce(TIMER, drainTimeout);
            tryPull(in);
        }

        @Override
        public void onTimer(Object timerKey) {
            completeStage();
        }
    }
}
