package deckfall;

import java.io.IOException;
import java.util.Arrays;

/**
 * Entry point of the command line. Only the classes of the given command are loaded.
 *
 * <ul>
 *   <li>{@code serve} runs one API gateway.
 *   <li>{@code rehearse} runs a gateway for a short time against itself; the build records the classes that it loads.
 *   <li>{@code wirehost} connects the decision module to the simulator over standard input and output.
 *   <li>{@code scale} measures the decision module at the size of a fleet.
 *   <li>{@code soak} runs real gateways under injected faults.
 * </ul>
 */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs the command that the first argument names. */
    public static void main(String[] args) throws IOException {
        if (args.length > 0 && args[0].equals("scale")) {
            System.exit(deckfall.scale.ScaleCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        }
        if (args.length > 0 && args[0].equals("soak")) {
            System.exit(deckfall.soak.SoakCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        }
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> deckfall.net.NodeProcess.run(System.getenv("NODE_CONFIG"));
            case "rehearse" -> deckfall.net.WarmUp.run();
            case "wirehost" -> deckfall.wire.Main.main(args);
            default -> {
                System.err.println("usage: deckfall serve | rehearse | wirehost | scale | soak");
                System.exit(EXIT_USAGE);
            }
        }
    }
}
