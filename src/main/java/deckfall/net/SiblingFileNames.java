package deckfall.net;

import java.nio.file.Path;
import java.util.OptionalLong;

/** The names of the files that the processes of one gateway keep in their common folder: each with its process id. */
final class SiblingFileNames {
    private static final String PREFIX = "gateway-";
    private static final int MAX_PID_DIGITS = 18; // which fit in a long

    private SiblingFileNames() {}

    /** The pattern of the names of all processes. */
    static String pattern(String suffix) {
        return PREFIX + "*" + suffix;
    }

    static String of(long pid, String suffix) {
        return PREFIX + pid + suffix;
    }

    /** The process that the file belongs to; empty if its name is not of this form. */
    static OptionalLong pid(Path file, String suffix) {
        String name = file.getFileName().toString();
        String digits = name.substring(PREFIX.length(), name.length() - suffix.length());
        return NumberGrammar.isWholeNumber(digits) && digits.length() <= MAX_PID_DIGITS
                ? OptionalLong.of(Long.parseLong(digits))
                : OptionalLong.empty();
    }
}
