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
 * One gateway and the processes that serve as it: at a listener of its own, or at one that this program holds and each
 * process inherits. All processes end with {@link #close}.
 */
final class GatewayUnderTest implements AutoCloseable {
    /** Holds a listener; for each line, of tab-separated variables, starts the program on it as descriptor 0. */
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

    private static final int FIRST_PORT = 12_000; // below those that the system gives to outgoing connections
    private static final int PORT_MASK = 0x3fff;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) ProcessHandle.current().pid() * 64);
    private static final String EVENT_LOOP_THREAD_PREFIX = "nioEventLoop"; // a thread's name begins so
    private static final double NANOS_PER_MS = 1e6;
    private static final int CALL_TIMEOUT_MS = 500; // to the operator's address

    /** One process, with what has been asked of it. */
    static final class GatewayProcess {
        final ProcessHandle handle;
        final InetSocketAddress operatorAddress;
        final String faults;
        private final Map<Path, Long> runDelaysNanos = new HashMap<>();
        volatile boolean endRequested;

        GatewayProcess(ProcessHandle handle, InetSocketAddress operatorAddress, String faults) {
            this.handle = handle;
            this.operatorAddress = operatorAddress;
            this.faults = faults;
        }

        boolean isAlive() {
            return handle.isAlive();
        }

        /** Whether it says that it takes clients. */
        boolean isReady() {
            return "ACK".equals(callOperator("health"));
        }

        /** Whether it can be asked at all. */
        boolean isReachable() {
            return callOperator("health") != null;
        }

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

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(handle.pid()))
                    .start()
                    .waitFor(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        /**
         * For how long an event loop of the process was ready to run and did not, since the last call: the machine's
         * delay, which the kernel counts for each thread.
         */
        double runDelayMs() {
            double maxMs = 0;
            try (Stream<Path> threads = Files.list(Path.of("/proc/" + handle.pid() + "/task"))) {
                for (Path thread : threads.toList()) {
                    maxMs = Math.max(maxMs, runDelayMs(thread));
                }
            } catch (IOException | UncheckedIOException e) {
                return 0; // it has ended
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

        /** How many of its descriptors are sockets. */
        long countSockets() {
            try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + handle.pid() + "/fd"))) {
                return descriptors.filter(GatewayProcess::isSocket).count();
            } catch (IOException | UncheckedIOException e) {
                return 0; // it has ended
            }
        }

        private static boolean isSocket(Path descriptor) {
            try {
                return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
            } catch (IOException e) {
                return false; // closed meanwhile
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
    private final Process listenerHolder; // of the listener; null where each process has its own
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

    /** The program's command with the limit on descriptors that the platform sets. */
    private List<String> commandWithDescriptorLimit() {
        return Stream.concat(
                        Stream.of("/bin/sh", "-c", "ulimit -n " + maxSockets + "; exec \"$0\" \"$@\""),
                        command.stream())
                .toList();
    }

    /** A port that no outgoing connection is given, as it has to stay free while a process is replaced. */
    static int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + (NEXT_PORT.getAndIncrement() & PORT_MASK);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // in use; the next one may be free
            }
        }
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Replaces the configuration that processes read from here on. */
    void configure(String json) throws IOException {
        Files.writeString(folder.resolve("config.json"), json);
    }

    /** Starts one more process. */
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

    /** Sockets that all its processes hold together. */
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
