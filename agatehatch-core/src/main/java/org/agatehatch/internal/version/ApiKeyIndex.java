package org.agatehatch.internal.version;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.agatehatch.api.fleet.TeamSpec;

/**
 * The teams of one configuration by their API keys. Immutable.
 *
 * <p>Keys are held as digests with a salt that is drawn for each process, and a look-up compares digests only. So its duration
 * depends neither on the number of keys nor on how much of a stored key a caller has guessed.
 */
public final class ApiKeyIndex {
    private static final int SALT_BYTES = 32;
    private static final byte[] SALT = newSalt();

    /** Backend servers are told the name in a header, whose value is ASCII and loses spaces at its ends. */
    private static final Pattern USABLE_NAME = Pattern.compile("[\\x21-\\x7e](?:[\\x20-\\x7e]*[\\x21-\\x7e])?");

    /** No request can carry another key. */
    private static final Pattern USABLE_KEY = Pattern.compile("[\\x21-\\x7e]+");

    private final Map<Digest, TeamSpec> teamsByDigest = new HashMap<>();
    private final boolean required;

    /**
     * Creates the index of a configuration's teams.
     *
     * @throws IllegalArgumentException if the teams are not valid; the message contains no key
     */
    public ApiKeyIndex(List<TeamSpec> teams) {
        required = !teams.isEmpty();
        Set<String> names = new HashSet<>();
        for (TeamSpec team : teams) {
            requireUsableName(team.name());
            if (!names.add(team.name())) {
                throw new IllegalArgumentException("the team name '" + team.name() + "' is given twice");
            }
            team.apiKeys().forEach(key -> add(team, key));
        }
    }

    private static void requireUsableName(String name) {
        if (name.isBlank()) {
            throw new IllegalArgumentException("a team has no name");
        }
        if (!USABLE_NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(
                    "the name of a team contains a control character or one beyond ASCII, or begins or ends with a space");
        }
    }

    private void add(TeamSpec team, String key) {
        if (key.isBlank()) {
            throw new IllegalArgumentException("team '" + team.name() + "' has an empty API key");
        }
        if (!USABLE_KEY.matcher(key).matches()) {
            throw new IllegalArgumentException(
                    "team '" + team.name() + "' has an API key with a space, a control character or one beyond ASCII");
        }
        TeamSpec other = teamsByDigest.putIfAbsent(digest(key), team);
        if (other != null) {
            throw new IllegalArgumentException(
                    "an API key of team '" + team.name() + "' is given twice, first for team '" + other.name() + "'");
        }
    }

    /** Returns whether requests need an API key, which is so if there are teams. */
    public boolean required() {
        return required;
    }

    /** Returns the number of keys. */
    public int size() {
        return teamsByDigest.size();
    }

    /** Returns the team that a key belongs to; empty if the key is unknown. */
    public Optional<TeamSpec> find(String key) {
        return Optional.ofNullable(teamsByDigest.get(digest(key)));
    }

    private static Digest digest(String key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(SALT);
            return new Digest(sha.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    private static byte[] newSalt() {
        byte[] salt = new byte[SALT_BYTES];
        new SecureRandom().nextBytes(salt);
        return salt;
    }

    private static final class Digest {
        private final byte[] bytes;

        private Digest(byte[] bytes) {
            this.bytes = bytes;
        }

        @Override
        public int hashCode() {
            return (bytes[0] & 0xff) << 24 | (bytes[1] & 0xff) << 16 | (bytes[2] & 0xff) << 8 | bytes[3] & 0xff;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Digest digest && MessageDigest.isEqual(bytes, digest.bytes);
        }
    }
}
