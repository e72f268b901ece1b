package org.agatehatch.cli.catalogue;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueReader;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.cli.Usage;

/**
 * A valid catalogue file.
 *
 * @param namesVersion whether the file names the version that it was edited from
 */
record CatalogueFile(String name, String yaml, Catalogue catalogue, boolean namesVersion) {
    private static final Pattern VERSION_LINE = Pattern.compile("(?m)^[\"']?version[\"']?\\s*:");

    /** Reads a file. Throws {@code INVALID_CATALOGUE} that lists all problems. */
    static CatalogueFile read(String name) {
        String yaml = text(name);
        Catalogue catalogue = CatalogueReader.read(name, yaml).orThrow();
        return new CatalogueFile(
                name, yaml, catalogue, VERSION_LINE.matcher(yaml).find());
    }

    /** Returns the version that the file was edited from. */
    long baseVersion() {
        if (!namesVersion) {
            throw Usage.wrong("'" + name + "' has no 'version:' line; add the version that it was edited from, or give"
                    + " it with --base-version");
        }
        return catalogue.version();
    }

    private static String text(String name) {
        try {
            Path path = Path.of(name);
            if (Files.size(path) > 4L * CatalogueReader.MAX_CHARACTERS) {
                throw Usage.wrong("'" + name + "' is too large for a catalogue; it may have at most "
                        + CatalogueReader.MAX_CHARACTERS + " characters");
            }
            return Files.readString(path);
        } catch (NoSuchFileException | InvalidPathException e) {
            throw notReadable(name, "there is no such file", e);
        } catch (CharacterCodingException e) {
            throw notReadable(name, "it is not UTF-8", e);
        } catch (IOException e) {
            throw notReadable(name, e.getClass().getSimpleName(), e);
        }
    }

    private static AgatehatchException notReadable(String name, String reason, Exception cause) {
        AgatehatchException error = Usage.wrong("'" + name + "' cannot be read: " + reason + "; check the path");
        error.addSuppressed(cause);
        return error;
    }
}
