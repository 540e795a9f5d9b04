package deckfall.wire;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Entry point of {@code wirehost}, which serves the simulator's protocol on standard input and output. */
public final class Main {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int EXIT_MALFORMED_INPUT = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs until the input ends; exits with status 1 if the input is malformed. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: deckfall wirehost");
            System.exit(EXIT_USAGE);
        }
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_BYTES);
        BufferedWriter out =
                new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), BUFFER_BYTES);
        try {
            new WireHost(in, out).run();
        } catch (WireFormatException exception) {
            System.err.println(exception.getMessage());
            System.exit(EXIT_MALFORMED_INPUT);
        }
    }
}
