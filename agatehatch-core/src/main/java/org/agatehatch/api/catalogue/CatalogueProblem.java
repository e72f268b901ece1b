package org.agatehatch.api.catalogue;

/**
 * A validation error in a catalogue.
 *
 * @param file name of the file; {@code catalogue} if the entries did not come from a file
 * @param line line in the file, from 1; 0 if the entries did not come from a file
 * @param field section, entry and field, for example {@code models.tutor-llm.memory_mib}
 * @param found value that was found
 * @param allowed what is allowed there
 */
public record CatalogueProblem(String file, int line, String field, String found, String allowed) {
    private static final String NO_FILE = "catalogue";

    /** Returns a problem without a file and line. */
    static CatalogueProblem of(String field, String found, String allowed) {
        return new CatalogueProblem(NO_FILE, 0, field, found, allowed);
    }

    CatalogueProblem at(String newFile, int newLine) {
        return new CatalogueProblem(newFile, newLine, field, found, allowed);
    }

    @Override
    public String toString() {
        String place = line == 0 ? file : file + ":" + line;
        return place + ": " + field + ": found " + found + "; allowed: " + allowed;
    }
}
