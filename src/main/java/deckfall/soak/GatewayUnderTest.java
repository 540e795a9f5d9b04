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

    private static final int LEAST_PORT = 12_000; // below those that the system gives to outgoing connections
    private static final int PORT_MASK = 0x3fff;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) ProcessHandle.current().pid() * 64);
    private static final String EVENT_LOOP = "nioEventLoop"; // a thread's name begins so
    private static final double NANOS_PER_MS = 1e6;
    private static final int CALL_MS = 500; // to the operator's address

    /** One process, with what has been asked of it. */
    static final class Member {
        final ProcessHandle handle;
        final InetSocketAddress operator;
        final String faults;
        private final Map<Path, Long> runDelays = new HashMap<>();
        volatile boolean endAsked;

        Member(ProcessHandle handle, InetSocketAddress operator, String faults) {
            this.handle = handle;
            this.operator = operator;
            this.faults = faults;
        }

        boolean alive() {
            return handle.isAlive();
        }

        /** Whether it says that it takes clients. */
        boolean ready() {
            return "ACK".equals(call("health"));
        }

        /** Whether it can be asked at all. */
        boolean reachable() {
            return call("health") != null;
        }

        private String call(String line) {
            try (Socket s = new Socket()) {
                s.connect(operator, CALL_MS);
                s.setSoTimeout(CALL_MS);
                s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
                InputStream in = s.getInputStream();
                return new String(in.readAllBytes(), StandardCharsets.US_ASCII).trim();
            } catch (IOException e) {
                return null;
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(handle.pid()))
                    .start()
                    .waitFor(CALL_MS, TimeUnit.MILLISECONDS);
        }

        /**
         * For how long an event loop of the process was ready to run and did not, since the last call: the machine's
         * delay, which the kernel counts for each thread.
         */
        double runDelayMs() {
            double most = 0;
            try (Stream<Path> threads = Files.list(Path.of("/proc/" + handle.pid() + "/task"))) {
                for (Path thread : threads.toList()) {
                    most = Math.max(most, runDelayMs(thread));
                }
            } catch (IOException | UncheckedIOException e) {
                return 0; // it has ended
            }
            return most;
        }

        private double runDelayMs(Path thread) throws IOException {
            if (!Files.readString(thread.resolve("comm")).startsWith(EVENT_LOOP)) {
                return 0;
            }
            long nanos =
                    Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[1]);
            Long before = runDelays.put(thread, nanos);
            return before == null ? 0 : (nanos - before) / NANOS_PER_MS;
        }

        /** How many of its descriptors are sockets. */
        long sockets() {
            try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + handle.pid() + "/fd"))) {
                return descriptors.filter(Member::isSocket).count();
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
    final boolean inherits;
    final Path folder;
    final int sockets;
    final List<Member> members = new CopyOnWriteArrayList<>();
    private final List<String> command;
    private final FaultLibrary faultLibrary;
    private final Process holder; // of the listener; null where each process has its own
    private BufferedReader said;
    private OutputStream orders;
    private final int port;
    private int started;

    GatewayUnderTest(
            int number, boolean inherits, int sockets, Path folder, FaultLibrary faultLibrary, List<String> command)
            throws IOException {
        this.number = number;
        this.inherits = inherits;
        this.sockets = sockets;
        this.folder = Files.createDirectories(folder);
        this.faultLibrary = faultLibrary;
        this.command = command;
        Files.createDirectories(folder.resolve("tmp"));
        holder = inherits ? hold() : null;
        port = inherits ? Integer.parseInt(said.readLine()) : freePort();
    }

    private Process hold() throws IOException {
        ProcessBuilder b = new ProcessBuilder("perl", "-e", LISTENER_HOLDER);
        b.command().addAll(limited());
        Process started = b.redirectError(folder.resolve("holder.log").toFile()).start();
        said = started.inputReader();
        orders = started.getOutputStream();
        return started;
    }

    /** The program's command with the limit on descriptors that the platform sets. */
    private List<String> limited() {
        return Stream.concat(
                        Stream.of("/bin/sh", "-c", "ulimit -n " + sockets + "; exec \"$0\" \"$@\""), command.stream())
                .toList();
    }

    /** A port that no outgoing connection is given, as it has to stay free while a process is replaced. */
    static int freePort() throws IOException {
        while (true) {
            int port = LEAST_PORT + (NEXT_PORT.getAndIncrement() & PORT_MASK);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
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
    Member start(String faults) throws IOException {
        int operatorPort = freePort();
        Path log = folder.resolve("log." + ++started);
        Files.writeString(log, "faults: " + faults + "\n");
        List<String> variables = List.of(
                "NODE_NAME=n" + number,
                "NODE_CONFIG=" + folder.resolve("config.json"),
                "NODE_OPERATOR=127.0.0.1:" + operatorPort,
                "TMPDIR=" + folder.resolve("tmp"),
                "LD_PRELOAD=" + faultLibrary.path(),
                FaultLibrary.PLAN_VARIABLE + "=" + faults);
        ProcessHandle handle = inherits ? startInheriting(log, variables) : startAlone(log, variables);
        InetSocketAddress operator = new InetSocketAddress(InetAddress.getLoopbackAddress(), operatorPort);
        Member member = new Member(handle, operator, faults);
        members.add(member);
        return member;
    }

    private ProcessHandle startAlone(Path log, List<String> variables) throws IOException {
        ProcessBuilder b = new ProcessBuilder(limited())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        for (String v : variables) {
            int equals = v.indexOf('=');
            b.environment().put(v.substring(0, equals), v.substring(equals + 1));
        }
        return b.start().toHandle();
    }

    private ProcessHandle startInheriting(Path log, List<String> variables) throws IOException {
        String line = log + "\tNODE_LISTEN_FD=0\t" + String.join("\t", variables) + "\n";
        orders.write(line.getBytes(StandardCharsets.US_ASCII));
        orders.flush();
        return ProcessHandle.of(Long.parseLong(said.readLine())).orElseThrow();
    }

    /** Sockets that all its processes hold together. */
    long socketsHeld() {
        return members.stream().filter(Member::alive).mapToLong(Member::sockets).sum();
    }

    @Override
    public void close() {
        for (Member m : members) {
            m.endAsked = true;
            m.handle.destroyForcibly();
        }
        if (holder != null) {
            holder.destroyForcibly();
        }
    }
}
