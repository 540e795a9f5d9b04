package deckfall.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** The library, preloaded into a gateway process, that makes system calls fail; compiled by the system's {@code cc}. */
final class FaultLibrary {
    /** The environment variable that holds the fault plan of a process. */
    static final String PLAN_VARIABLE = "FAULTS";

    private static final String SOURCE_FILE = "faults.c";
    private static final long COMPILE_TIMEOUT_SECONDS = 60;

    private final Path path;

    private FaultLibrary(Path path) {
        this.path = path;
    }

    /**
     * Compiles the library into a folder.
     *
     * @throws IOException if there is no C compiler or it fails
     */
    static FaultLibrary compile(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE_FILE);
        try (InputStream in = FaultLibrary.class.getResourceAsStream(SOURCE_FILE)) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Path library = folder.resolve("faults.so");
        Process compiler = new ProcessBuilder(
                        "cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString(), "-ldl")
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("cc.log").toFile())
                .start();
        if (!compiler.waitFor(COMPILE_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException(
                    "cc failed to compile " + SOURCE_FILE + ": " + Files.readString(folder.resolve("cc.log")));
        }
        return new FaultLibrary(library);
    }

    /** The compiled library. */
    Path path() {
        return path;
    }
}
