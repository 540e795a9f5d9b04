package deckfall;

import java.io.IOException;
import java.util.Arrays;

/**
 * The command line: {@code serve} is one real api gateway, {@code wirehost} the module on the simulator's wire,
 * {@code rehearse} a short run of the former for the build, {@code scale} a run of the module at a fleet's size,
 * {@code soak} real gateways under faults. Only the command that is asked for loads its classes.
 */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length > 0 && args[0].equals("scale")) {
            System.exit(deckfall.scale.ScaleCommand.run(Arrays.copyOfRange(args, 1, args.length)));
        }
        if (args.length > 0 && args[0].equals("soak")) {
            System.exit(deckfall.soak.Soak.run(Arrays.copyOfRange(args, 1, args.length)));
        }
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> deckfall.net.Node.main(System.getenv("NODE_CONFIG"));
            case "rehearse" -> deckfall.net.Rehearsal.run();
            case "wirehost" -> deckfall.wire.Main.main(args);
            default -> {
                System.err.println("usage: deckfall serve | rehearse | wirehost | scale | soak");
                System.exit(EXIT_USAGE);
            }
        }
    }
}
