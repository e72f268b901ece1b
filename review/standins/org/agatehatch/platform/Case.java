package org.agatehatch.platform;

import java.nio.file.Path;

/** Runs a case and turns its result into the exit code of its script. */
final class Case {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;

    /** A case that was set up. */
    interface Body {
        /** Returns whether the rule held. */
        boolean run(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    /**
     * Runs a case and ends the process.
     *
     * @param arguments the case's folder
     */
    static void main(String[] arguments, Body body) {
        Record record = new Record();
        int code = COULD_NOT_RUN;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.add("trouble " + (trouble ? "on" : "off"));
        try (Deployment deployment = new Deployment(record)) {
            code = body.run(deployment, record, trouble) ? HELD : BROKEN;
            record.add(code == HELD ? "the rule held" : "the rule was broken");
        } catch (Exception | Error e) {
            record.add("the case could not run: " + e);
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        try {
            record.write(Path.of(arguments[0], "record.txt"));
        } catch (java.io.IOException e) {
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        Runtime.getRuntime().halt(code);
    }
}
