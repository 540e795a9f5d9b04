package deckfall.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * One gateway and its processes. Each process either opens the listening socket itself, or inherits one that a helper
 * process holds, so that two processes can serve at once. {@link #close} kills all of them.
 */
final class GatewayUnderTest implements AutoCloseable {
    /**
     * Perl program that holds a listening socket and prints its port. For each input line, made of a log file and
     * environment variables separated by tabs, it starts the gateway with the socket as descriptor 0 and prints the
     * process id.
     */
    private static final String LISTENER_HOLDER = """
            use Socket; $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(L, PF_INET, SOCK_STREAM, 0) && setsockopt(L, SOL_SOCKET, SO_REUSEADDR, 1)
                && bind(L, sockaddr_in(0, INADDR_LOOPBACK)) && listen(L, 512) or die;
            print +(sockaddr_in(getsockname(L)))[0], "\\n";
            while (my $line = <STDIN>) {
                chomp $line;
                my $pid = fork();
                if (!$pid) {
                    my ($log, @variables) = split /\\t/, $line;
                    for (@variables) { my ($name, $value) = split /=/, $_, 2; $ENV{$name} = $value; }
                    open(STDIN, "<&L") or die; open(STDOUT, ">", "/dev/null") or die; open(STDERR, ">>", $log) or die;
                    exec @ARGV;
                }
                print "$pid\\n";
            }
            """;

    private static final int FIRST_PORT = 12_000; // below the ephemeral ports of the system
    private static final int PORT_MASK = 0x3fff;
    private static final int FIRST_PORT_STRIDE = 64; // between soak processes with consecutive ids
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) ProcessHandle.current().pid() * FIRST_PORT_STRIDE);
    private static final String EVENT_LOOP_THREAD_PREFIX = "nioEventLoop";
    private static final double NANOS_PER_MS = 1e6;
    private static final int CALL_TIMEOUT_MS = 500; // of a call to the operator's address or of kill(1)

    /** One process of the gateway. */
    static final class GatewayProcess {
        final ProcessHandle handle;
        final InetSocketAddress operatorAddress;
        final String faults;
        private final Map<Path, Long> runDelaysNanos = new HashMap<>();
        volatile boolean endRequested; // whether its exit is expected

        GatewayProcess(ProcessHandle handle, InetSocketAddress operatorAddress, String faults) {
            this.handle = handle;
            this.operatorAddress = operatorAddress;
            this.faults = faults;
        }

        boolean isAlive() {
            return handle.isAlive();
        }

        /** Whether the process reports that it accepts clients. */
        boolean isReady() {
            return "ACK".equals(callOperator("health"));
        }

        /** Whether the process responds at its operator's address. */
        boolean isReachable() {
            return callOperator("health") != null;
        }

        /** The response of the operator's address; null if there is none. */
        private String callOperator(String line) {
            try (Socket socket = new Socket()) {
                socket.connect(operatorAddress, CALL_TIMEOUT_MS);
                socket.setSoTimeout(CALL_TIMEOUT_MS);
                socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                return new String(in.readAllBytes(), StandardCharsets.US_ASCII).trim();
            } catch (IOException e) {
                return null;
            }
        }

        /** Sends a signal, such as {@code TERM}. */
        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(handle.pid()))
                    .start()
                    .waitFor(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        /**
         * The longest time that an event loop thread was runnable but not scheduled since the last call, as the kernel
         * counts it for each thread.
         */
        double runDelayMs() {
            double maxMs = 0;
            try (Stream<Path> threads = Files.list(Path.of("/proc/" + handle.pid() + "/task"))) {
                for (Path thread : threads.toList()) {
                    maxMs = Math.max(maxMs, runDelayMs(thread));
                }
            } catch (IOException | UncheckedIOException e) {
                return 0; // the process has ended
            }
            return maxMs;
        }

        private double runDelayMs(Path thread) throws IOException {
            if (!Files.readString(thread.resolve("comm")).startsWith(EVENT_LOOP_THREAD_PREFIX)) {
                return 0;
            }
            long nanos =
                    Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[1]);
            Long previous = runDelaysNanos.put(thread, nanos);
            return previous == null ? 0 : (nanos - previous) / NANOS_PER_MS;
        }

        /** The number of sockets that the process has open. */
        long countSockets() {
            try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + handle.pid() + "/fd"))) {
                return descriptors.filter(GatewayProcess::isSocket).count();
            } catch (IOException | UncheckedIOException e) {
                return 0; // the process has ended
            }
        }

        private static boolean isSocket(Path descriptor) {
            try {
                return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
            } catch (IOException e) {
                return false; // closed in the meantime
            }
        }
    }

    final int number;
    final boolean inheritsListener;
    final Path folder;
    final int maxSockets;
    final List<GatewayProcess> processes = new CopyOnWriteArrayList<>();
    private final List<String> command;
    private final FaultLibrary faultLibrary;
    private final Process listenerHolder; // null if each process opens its own listener
    private BufferedReader holderOutput;
    private OutputStream holderInput;
    private final int port;
    private int startedCount;

    GatewayUnderTest(
            int number,
            boolean inheritsListener,
            int maxSockets,
            Path folder,
            FaultLibrary faultLibrary,
            List<String> command)
            throws IOException {
        this.number = number;
        this.inheritsListener = inheritsListener;
        this.maxSockets = maxSockets;
        this.folder = Files.createDirectories(folder);
        this.faultLibrary = faultLibrary;
        this.command = command;
        Files.createDirectories(folder.resolve("tmp"));
        listenerHolder = inheritsListener ? startListenerHolder() : null;
        port = inheritsListener ? Integer.parseInt(holderOutput.readLine()) : freePort();
    }

    private Process startListenerHolder() throws IOException {
        ProcessBuilder builder = new ProcessBuilder("perl", "-e", LISTENER_HOLDER);
        builder.command().addAll(commandWithDescriptorLimit());
        Process process =
                builder.redirectError(folder.resolve("holder.log").toFile()).start();
        holderOutput = process.inputReader();
        holderInput = process.getOutputStream();
        return process;
    }

    /** The gateway's command line under a limit on open descriptors, as the platform sets one. */
    private List<String> commandWithDescriptorLimit() {
        return Stream.concat(
                        Stream.of("/bin/sh", "-c", "ulimit -n " + maxSockets + "; exec \"$0\" \"$@\""),
                        command.stream())
                .toList();
    }

    /**
     * A free port outside the ephemeral range: an outgoing connection must not take it while a process is restarted.
     */
    static int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + (NEXT_PORT.getAndIncrement() & PORT_MASK);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // in use; tries the next port
            }
        }
    }

    /** The address at which the gateway serves clients. */
    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Overwrites the configuration file that the processes read. */
    void configure(String json) throws IOException {
        Files.writeString(folder.resolve("config.json"), json);
    }

    /** Starts another process with a fault plan. */
    GatewayProcess start(String faults) throws IOException {
        int operatorPort = freePort();
        Path log = folder.resolve("log." + ++startedCount);
        Files.writeString(log, "faults: " + faults + "\n");
        List<String> variables = List.of(
                "NODE_NAME=n" + number,
                "NODE_CONFIG=" + folder.resolve("config.json"),
                "NODE_OPERATOR=127.0.0.1:" + operatorPort,
                "TMPDIR=" + folder.resolve("tmp"),
                "LD_PRELOAD=" + faultLibrary.path(),
                FaultLibrary.PLAN_VARIABLE + "=" + faults);
        ProcessHandle handle =
                inheritsListener ? startWithInheritedListener(log, variables) : startWithOwnListener(log, variables);
        InetSocketAddress operatorAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), operatorPort);
        GatewayProcess process = new GatewayProcess(handle, operatorAddress, faults);
        processes.add(process);
        return process;
    }

    private ProcessHandle startWithOwnListener(Path log, List<String> variables) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(commandWithDescriptorLimit())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        for (String variable : variables) {
            int equals = variable.indexOf('=');
            builder.environment().put(variable.substring(0, equals), variable.substring(equals + 1));
        }
        return builder.start().toHandle();
    }

    private ProcessHandle startWithInheritedListener(Path log, List<String> variables) throws IOException {
        String line = log + "\tNODE_LISTEN_FD=0\t" + String.join("\t", variables) + "\n";
        holderInput.write(line.getBytes(StandardCharsets.US_ASCII));
        holderInput.flush();
        return ProcessHandle.of(Long.parseLong(holderOutput.readLine())).orElseThrow();
    }

    /** The number of sockets that all processes of the gateway have open. */
    long countSockets() {
        return processes.stream()
                .filter(GatewayProcess::isAlive)
                .mapToLong(GatewayProcess::countSockets)
                .sum();
    }

    @Override
    public void close() {
        for (GatewayProcess process : processes) {
            process.endRequested = true;
            process.handle.destroyForcibly();
        }
        if (listenerHolder != null) {
            listenerHolder.destroyForcibly();
        }
    }
}
