package deckfall.net;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** The process of a node: configuration, warm-up, signals, and its end. */
public final class NodeProcess {
    private NodeProcess() {}

    /**
     * Serves until SIGTERM. An invalid configuration or an address that cannot be bound ends the process with one line
     * on standard error.
     */
    public static void run(String configFile) {
        ReloadSignal reloadSignal = ReloadSignal.install();
        AtomicReference<Node> started = new AtomicReference<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(started.get())));
        configureLogging();
        StartupTimes startupTimes = new StartupTimes(new Clock());
        try {
            NodeConfig config = readConfig(configFile);
            startupTimes.phaseEnded("configuration");
            ServerSocketChannel inherited = InheritedListener.fromEnvironment();
            Node node = StartupRetry.withRetries("event loop not created", () -> new Node(config));
            node.setConfigFile(Path.of(configFile));
            if (config.operator() != null) { // readiness checks fail until clients are accepted
                StartupRetry.withRetries("operator's address not opened", () -> startOperator(config, node));
            }
            if (inherited != null && System.getenv("TMPDIR") != null) {
                node.watchSiblings(Path.of(System.getenv("TMPDIR")));
            }
            startupTimes.phaseEnded("operator and siblings");
            int warmUpRequests = WarmUp.warmUp(config, inherited == null && config.wasInService());
            startupTimes.phaseEnded("warm-up");
            node.readSiblingCustomers();
            node.group.terminationFuture().addListener(f -> haltWithoutEventLoop());
            started.set(node);
            node.start(inherited, startupTimes);
            Node.log("serving on " + config.listen() + " after " + warmUpRequests + " rehearsed requests");
            Node.log(startupTimes.summary());
            node.markServing();
            reloadSignal.setAction(node::reload);
        } catch (NodeConfig.InvalidConfigException | IOException | RuntimeException e) {
            System.err.println("deckfall: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    /** Handles SIGTERM: a node that does not serve yet has no requests to finish, and the process ends at once. */
    private static void shutDown(Node node) {
        if (node == null) {
            Runtime.getRuntime().halt(0);
        } else {
            node.drainAndHalt();
        }
    }

    /** Without its event loop the process could only hold connections. The platform starts another one. */
    private static void haltWithoutEventLoop() {
        ErrorReport.contain("end of the event loop", () -> Node.log("defect: the event loop has ended"))
                .run();
        Runtime.getRuntime().halt(1);
    }

    private static OperatorServer startOperator(NodeConfig config, Node node) throws IOException {
        OperatorServer operator = new OperatorServer(config.operator(), node.operatorCommands());
        operator.start();
        return operator;
    }

    /** Reads the configuration. A file that cannot be read for the moment is retried for a while. */
    private static NodeConfig readConfig(String file) throws NodeConfig.InvalidConfigException, IOException {
        try {
            return NodeConfig.read(file);
        } catch (NodeConfig.InvalidConfigException e) {
            if (!e.isTransient()) {
                throw e;
            }
            return StartupRetry.withRetries("configuration not read", () -> NodeConfig.read(file));
        }
    }

    /**
     * Logs each warning of Netty as one line. The JDK's default handler reads the time zone file for its first line. If
     * that line reports that no descriptor is left, the read fails and ends the event loop.
     */
    static void configureLogging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        root.addHandler(new Handler() {
            @Override
            public void publish(LogRecord record) {
                try {
                    Node.log(record.getLevel() + " " + record.getMessage()
                            + (record.getThrown() == null ? "" : " " + record.getThrown()));
                } catch (Error e) { // an error thrown here would end the event loop
                    ErrorReport.report("a warning of Netty was not logged", e);
                }
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
    }
}
