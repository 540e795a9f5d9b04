package deckfall.scale;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command line of {@code scale}: what the decision module costs and does at a fleet's size. A bad argument gets
 * one plain line and the exit code 2, a run that fails 1.
 */
@Command(
        name = "scale",
        description = "Runs of the gateways at a fleet's size.",
        mixinStandardHelpOptions = true,
        subcommands = {SimulationOptions.class, RealOptions.class})
public final class ScaleCommand implements Runnable {
    private static final int EXIT_USAGE = 2;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    private ScaleCommand() {}

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "say which run: hollow or real");
    }

    /** The exit code. */
    public static int run(String... arguments) {
        return run(new PrintWriter(System.err, true, StandardCharsets.UTF_8), arguments);
    }

    static int run(PrintWriter errors, String... arguments) {
        return new CommandLine(new ScaleCommand())
                .setErr(errors)
                .setParameterExceptionHandler((e, all) -> {
                    errors.println("scale: " + e.getMessage().replaceAll("\\s*\\R\\s*", " "));
                    return EXIT_USAGE;
                })
                .execute(arguments);
    }
}
