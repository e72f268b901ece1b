package org.agatehatch.internal.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** Rendezvous hashing: all nodes rank a set of names in the same order without communication. */
public final class RendezvousHash {
    private static final long HASH_MASK = 0xffff_ffffL;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousHash() {}

    /** Returns the names in order of their rank for a key, best first. */
    public static List<String> rank(String key, Collection<String> names) {
        return names.stream()
                .sorted(Comparator.comparingLong((String name) -> score(key, name))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /** Returns the rank of a name among the names for a key, from 0 for the best. */
    public static int position(String key, String name, Collection<String> names) {
        long ownScore = score(key, name);
        int ranksBefore = 0;
        for (String other : names) {
            long otherScore = score(key, other);
            if (otherScore < ownScore || (otherScore == ownScore && other.compareTo(name) < 0)) {
                ranksBefore++;
            }
        }
        return ranksBefore;
    }

    /** Returns the score of a name for a key; the name with the lowest score ranks first. */
    public static long score(String key, String name) {
        return HASH.hashChars(key + '\0' + name);
    }

    /** Returns a stable hash of a name, from 0 to 2^32 - 1, as used in digest entries. */
    public static long hash(String name) {
        return HASH.hashChars(name) & HASH_MASK;
    }
}
