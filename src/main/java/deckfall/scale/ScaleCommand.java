package deckfall.scale;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The {@code scale} command: measures what the decision module does and costs in a fleet of full size. An invalid
 * argument gives one line on the error output and exit code 2, a failed run exit code 1.
 */
@Command(
        name = "scale",
        description = "Measures the gateways in a fleet of full size.",
        mixinStandardHelpOptions = true,
        subcommands = {SimulationOptions.class, RealOptions.class})
public final class ScaleCommand implements Runnable {
    private static final int EXIT_USAGE = 2;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    private ScaleCommand() {}

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing subcommand: hollow or real");
    }

    /** Runs the command and returns its exit code. */
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
