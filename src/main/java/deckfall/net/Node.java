package deckfall.net;

import deckfall.DecisionModule;
import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.CustomerSnapshot;
import deckfall.Gateway.Events;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Refusal;
import deckfall.Gateway.Request;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * One api gateway: the event loop on which everything runs, the clock, the timers, the decision module and the
 * table of open requests. It carries out what the module decides and tells it what came of it.
 */
public final class Node implements Actions {
    private static final double RESPONSE_MARGIN_MS = 20; // the answer must reach the client within its time
    private static final long SHUTDOWN_TIMEOUT_MS =
            30_000; // after SIGTERM: long answers have had their time, if there is any
    private static final long FINAL_TALLY_TIMEOUT_MS = 100; // for the last figures to be logged
    private static final long DRAIN_POLL_INTERVAL_MS = 20; // how often a drain looks whether all is answered
    private static final long HOST_METRICS_INTERVAL_MS = 100; // how often the figures on hosts are brought up to date
    private static final int BUFFER_HEAP_DIVISOR = 4; // one byte of so many may hold what clients and hosts sent
    private static final double MIN_BODY_BYTES_PER_MS = 64; // what a client's body comes at, at least
    private static final double MICROS_PER_MS = 1000;
    private static final double[] NO_LOAD_METRICS = new double[0];

    /** Something that the module is to be told. */
    private interface Event {
        void deliver(double now, Events module);
    }

    final NodeConfig config;
    final Clock clock;
    final EventLoopLag eventLoopLag = new EventLoopLag();
    final NioEventLoopGroup group =
            new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), () -> eventLoopLag);
    final EventLoop loop = group.next();
    final Tally tally = new Tally();
    final MemoryBudget memoryBudget = new MemoryBudget(Runtime.getRuntime().maxMemory() / BUFFER_HEAP_DIVISOR);
    final Metrics metrics;
    private final Events module;
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private final ClientServer clientServer;
    private final HostClient hostClient;
    private final Discovery discovery;
    private final PeerLink peerLink;
    private final CounterClient counterClient;
    private final Drain drain;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean delivering;
    private volatile boolean serving;
    private boolean warmingUp;
    private ConfigReloader reloader; // null where the configuration came from elsewhere
    private SiblingWatch siblingWatch; // set before the start, where another process may serve as this gateway
    private List<CustomerSnapshot> restoredCustomers = List.of();
    private int servingProcesses = 1;
    private SiblingWatch.SiblingCounts siblings = SiblingWatch.SiblingCounts.NONE;
    private SiblingWatch.SiblingCounts lastPublished =
            SiblingWatch.SiblingCounts.NONE; // what others have last heard of this process
    private volatile boolean terminating; // by SIGTERM: no operator takes that back
    private boolean drainExpired; // the drain's time is up: nothing more is sent
    private long duplicateIds;

    Node(NodeConfig config) {
        this(config, DecisionModule::new);
    }

    /** With a module of the caller's making. */
    Node(NodeConfig config, Function<Actions, Events> moduleFactory) {
        this(config, moduleFactory, new Clock());
    }

    Node(NodeConfig config, Function<Actions, Events> moduleFactory, Clock clock) {
        this.config = config;
        this.clock = clock;
        this.metrics = new Metrics(config.settings().classes());
        this.module = moduleFactory.apply(this);
        this.clientServer = new ClientServer(this);
        this.hostClient = new HostClient(this);
        this.discovery = new Discovery(this);
        this.peerLink = new PeerLink(this);
        this.counterClient = new CounterClient(this);
        this.drain = new Drain(loop, clock, clientServer);
    }

    /** Serves until SIGTERM; a bad configuration or an address that can't be had ends it with one line. */
    public static void main(String configFile) {
        ReloadSignal reloadSignal = ReloadSignal.install();
        AtomicReference<Node> started = new AtomicReference<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(started.get())));
        configureLogging();
        StartupTimes startupTimes = new StartupTimes(new Clock());
        try {
            NodeConfig config = readConfig(configFile);
            startupTimes.phaseEnded("configuration");
            ServerSocketChannel inherited = InheritedListener.fromEnvironment();
            Node node = StartupRetry.withRetries("no event loop", () -> new Node(config));
            node.setConfigFile(Path.of(configFile));
            if (config.operator() != null) { // it says no until clients are taken
                StartupRetry.withRetries("no operator address", () -> startOperator(config, node));
            }
            if (inherited != null && System.getenv("TMPDIR") != null) {
                node.watchSiblings(Path.of(System.getenv("TMPDIR")));
            }
            startupTimes.phaseEnded("operator and siblings");
            int warmUpRequests = WarmUp.warmUp(config, inherited == null && config.wasInService());
            startupTimes.phaseEnded("warm-up");
            node.readSiblingCustomers();
            started.set(node);
            node.start(inherited, startupTimes);
            log("serving on " + config.listen() + " after " + warmUpRequests + " rehearsed requests");
            log(startupTimes.summary());
            node.serving = true;
            reloadSignal.setAction(node::reload);
        } catch (NodeConfig.InvalidConfigException | IOException | RuntimeException e) {
            System.err.println("deckfall: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    /** What SIGTERM begins; a node that has not begun to serve owes nothing. */
    private static void shutDown(Node node) {
        if (node == null) {
            Runtime.getRuntime().halt(0);
        } else {
            node.drainAndHalt();
        }
    }

    private static OperatorServer startOperator(NodeConfig config, Node node) throws IOException {
        OperatorServer operator = new OperatorServer(config.operator(), node.operatorCommands());
        operator.start();
        return operator;
    }

    /** The configuration, read again for a while where the file can't be read. */
    private static NodeConfig readConfig(String file) throws NodeConfig.InvalidConfigException, IOException {
        try {
            return NodeConfig.read(file);
        } catch (NodeConfig.InvalidConfigException e) {
            if (!e.isTransient()) {
                throw e;
            }
            return StartupRetry.withRetries("no configuration", () -> NodeConfig.read(file));
        }
    }

    /** Reads a replaced configuration, from any thread. */
    private void reload() {
        reloader.reload();
    }

    /** Takes from a replaced configuration what may change while a node serves: where others are. */
    private void applyConfig(NodeConfig newConfig) {
        log("configuration read again: discovery at " + newConfig.discovery());
        loop.execute(() -> {
            discovery.moveTo(newConfig.discovery());
            counterClient.moveTo(newConfig.counter());
        });
    }

    /** The file in which the platform tells of changes. */
    void setConfigFile(Path file) {
        reloader = new ConfigReloader(file, this::applyConfig);
    }

    /**
     * Where discovery can't be had it may have moved while nobody heard the signal, as in a start that had read the
     * file before it was replaced.
     */
    void discoveryUnreachable() {
        if (reloader != null) {
            log("discovery can't be had");
            reload();
        }
    }

    /** Returns once clients are served at the configured address. */
    void start() throws IOException {
        start(null, new StartupTimes(clock));
        serving = true;
    }

    /** Returns once clients are let in, at the inherited listener if there is one. */
    private void start(ServerSocketChannel inherited, StartupTimes startupTimes) throws IOException {
        try {
            loop.submit(() -> {
                        deliver((now, m) -> m.start(now, config.settings()));
                        deliver((now, m) -> m.restoreCustomers(now, restoredCustomers));
                        peerLink.start();
                        if (config.knownList().hasNonNull(Discovery.SERVERS_FIELD)) {
                            hostListReceived(HostListKind.CACHED, Discovery.parseEntries(config.knownList()));
                        }
                        discovery.start();
                        counterClient.start();
                        loop.scheduleAtFixedRate(
                                this::logTally, Tally.PERIOD_MS, Tally.PERIOD_MS, TimeUnit.MILLISECONDS);
                        loop.scheduleAtFixedRate(
                                this::updateHostMetrics,
                                HOST_METRICS_INTERVAL_MS,
                                HOST_METRICS_INTERVAL_MS,
                                TimeUnit.MILLISECONDS);
                    })
                    .sync();
            startupTimes.phaseEnded("module and known list"); // the counter is called, and not waited for
            if (!warmingUp) { // a rehearsal's discovery is the node itself
                discovery.awaitFirstList();
            }
            startupTimes.phaseEnded("discovery");
            StartupRetry.withRetries(
                    "no listener",
                    () -> loop.submit(() -> listen(inherited)).sync().getNow().sync());
            startupTimes.phaseEnded("listener");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (Exception e) { // netty throws what failed as it is, checked or not
            throw new IOException("can't start: " + e.getMessage(), e);
        }
    }

    private Future<?> listen(ServerSocketChannel inherited) {
        return terminating ? loop.newSucceededFuture(null) : clientServer.start(inherited);
    }

    /**
     * One plain line for each thing that netty warns of. The system's own handler reads the time zones' file for
     * its first line, and where that line says that no descriptor is left, this would end the event loop.
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
                log(record.getLevel() + " " + record.getMessage()
                        + (record.getThrown() == null ? "" : " " + record.getThrown()));
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
    }

    /** Netty tells elsewhere of a connect for which no descriptor was left; nothing here may run there. */
    void runOnLoop(Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
        } else {
            loop.execute(action);
        }
    }

    static void log(String line) {
        System.err.println(line);
    }

    private void logTally() {
        String line = tally.takeLine();
        if (line != null && !warmingUp) {
            log(line);
        }
    }

    // ---- telling the module

    /**
     * Tells the module in order, and never from inside itself: what its own actions bring about at once waits
     * until it has returned.
     */
    private void deliver(Event event) {
        assert loop.inEventLoop() : "told beside the loop";
        pendingEvents.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        eventLoopLag.observeDelayMs(); // a timer's turn has no I/O
        try {
            for (Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                try {
                    next.deliver(clock.now(), module);
                } catch (RuntimeException e) { // the guard of its deadline still answers the request concerned
                    log("defect: the module threw " + e);
                    e.printStackTrace();
                }
            }
        } finally {
            delivering = false;
        }
    }

    /** Other processes that serve as this gateway are told of this one from here on, by files in a folder. */
    SiblingWatch watchSiblings(Path folder) {
        SiblingFiles files = new SiblingFiles(folder, ProcessHandle.current().pid());
        siblingWatch = new SiblingWatch(files, clock, new SiblingWatch.LocalProcess() {
            @Override
            public boolean acceptsClients() {
                return serving && !terminating;
            }

            @Override
            public int clientConnections() {
                return clientServer.connectionCount();
            }

            @Override
            public int hostConnections() {
                return hostClient.connections();
            }

            @Override
            public List<CustomerSnapshot> snapshotCustomers()
                    throws InterruptedException, ExecutionException, TimeoutException {
                return loop.submit(() -> module.snapshotCustomers(clock.now()))
                        .get(SiblingWatch.SNAPSHOT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }

            @Override
            public void onSiblings(SiblingWatch.SiblingCounts seen) {
                loop.execute(() -> siblingsChanged(seen));
            }

            @Override
            public void onPublished(SiblingWatch.SiblingCounts own) {
                loop.execute(() -> lastPublished = own);
            }
        });
        siblingWatch.start();
        return siblingWatch;
    }

    private void siblingsChanged(SiblingWatch.SiblingCounts seen) {
        siblings = seen;
        updateProcessCount(1 + seen.serving());
    }

    private void updateProcessCount(int count) {
        if (count != servingProcesses && serving) {
            log("processes serving as this gateway: " + count);
            servingProcesses = count;
            deliver((now, m) -> m.processCountChanged(now, count));
        }
    }

    /** What other processes of this gateway were last heard to hold. */
    SiblingWatch.SiblingCounts siblings() {
        return siblings;
    }

    /** Connections from clients that all processes of this gateway hold. */
    int totalClientConnections() {
        return clientServer.descriptorsHeld();
    }

    /** The same of connections to hosts. */
    int totalHostConnections() {
        return hostClient.totalConnections();
    }

    /**
     * What this process and the others hold of something, at most: since this process last told of itself each of the
     * others may have taken as much more as it has itself.
     */
    int totalAcrossProcesses(int own, ToIntFunction<SiblingWatch.SiblingCounts> connections) {
        int grown = Math.max(0, own - connections.applyAsInt(lastPublished));
        return own + connections.applyAsInt(siblings) + grown * siblings.processes();
    }

    /** What a process that serves now remembers; it is shared out as soon as this one serves too. */
    private void readSiblingCustomers() {
        if (siblingWatch != null) {
            restoredCustomers = siblingWatch.customersOfServingSibling();
            log("recalled " + restoredCustomers.size() + " customers of another process");
        }
    }

    private void updateHostMetrics() {
        metrics.targets(hostClient.hostCount(), module.avoidedHostCount(clock.now()));
    }

    boolean draining() {
        return drain.active();
    }

    /** A client's connection has ended; what it had asked is owed, unless the client has gone. */
    void connectionClosed(CloseReason why, int unanswered) {
        tally.addClose(why);
        if (unanswered > 0 && why != CloseReason.CLIENT && why != CloseReason.BROKEN) {
            tally.add(Tally.Count.CLOSED_UNANSWERED);
            log("defect: " + unanswered + " requests unanswered on a connection closed as " + why);
        }
    }

    /** What an operator may ask of this node. */
    OperatorServer.Commands operatorCommands() {
        return new OperatorServer.Commands() {
            @Override
            public String notReadyReason() {
                return !serving ? "not ready yet" : drain.active() ? "draining" : null;
            }

            @Override
            public String metrics() {
                return metrics.text();
            }

            @Override
            public void quiesce() {
                log("operator: quiesce");
                drain.begin();
            }

            @Override
            public void resume() {
                log("operator: resume");
                if (!terminating) {
                    drain.resume();
                }
            }
        };
    }

    /** From here on this node is no gateway to clients. */
    void markAsWarmUp() {
        warmingUp = true;
    }

    boolean warmingUp() {
        return warmingUp;
    }

    /** Whether clients may be let in. */
    boolean ready() {
        return serving && !drain.active() && !warmingUp;
    }

    /**
     * Takes a request from its client, whole or as far as its body is kept; the entry owns the message from here on.
     * The client's time starts with the last byte, so the module is told of the longest that the rest may take.
     */
    void requestReceived(Request parsed, IncomingRequest message, ClientConnection client) {
        Request request = message.complete()
                ? parsed
                : withDeadline(parsed, parsed.id(), message.remainingBytes() / MIN_BODY_BYTES_PER_MS);
        String id = request.id();
        while (openRequests.containsKey(id)) { // the module knows requests by id, and a client may repeat one
            id = request.id() + '#' + ++duplicateIds;
        }
        Request delivered = id.equals(request.id()) ? request : withDeadline(request, id, 0);
        OpenRequest entry = new OpenRequest(delivered, message, request.id(), client);
        openRequests.put(id, entry);
        metrics.requestOpened();
        tally.add(Tally.Count.TAKEN);
        client.setOpenRequest(entry);
        scheduleDeadline(entry);
        deliver((now, m) -> m.requestReceived(now, delivered));
    }

    private static Request withDeadline(Request request, String id, double laterMs) {
        return new Request(
                id,
                request.deadlineMs() + laterMs,
                request.retry(),
                request.requestClass(),
                request.customer(),
                request.plan(),
                request.units(),
                request.first(),
                request.spread());
    }

    private void scheduleDeadline(OpenRequest openRequest) {
        openRequest.deadlineTimer = loop.schedule(
                () -> deadlineReached(openRequest),
                toMicros(openRequest.deadlineMs - clock.now()),
                TimeUnit.MICROSECONDS);
    }

    /** The last byte of a request has come that was taken before. */
    void bodyReceived(OpenRequest openRequest, double deadlineMs) {
        openRequest.deadlineMs = deadlineMs;
        if (!openRequest.closed()) {
            openRequest.deadlineTimer.cancel(false);
            scheduleDeadline(openRequest);
        }
    }

    /** When the answer must have left for a client that waits this long from its sending. */
    static double deadline(double now, double expiresInMs) {
        return now + Math.max(1, expiresInMs - RESPONSE_MARGIN_MS);
    }

    private static long toMicros(double ms) {
        return (long) (Math.max(0, ms) * MICROS_PER_MS);
    }

    boolean openLimitReached() {
        return openRequests.size() >= config.maxOpenRequests();
    }

    /** Rule 1: attempts end with the client's time, and what the module then leaves unanswered fails here. */
    private void deadlineReached(OpenRequest openRequest) {
        timeOutAttempts(openRequest);
        if (!openRequest.closed()) {
            log("defect: no answer from the module in time, request failed");
            respond(openRequest, HttpResponseStatus.GATEWAY_TIMEOUT, 0);
        }
    }

    private void timeOutAttempts(OpenRequest openRequest) {
        for (Attempt attempt : List.copyOf(openRequest.attempts)) {
            abandonAttempt(attempt, Outcome.TIMEOUT);
        }
    }

    /** What still waited for a connection has never run, whatever else it would count as. */
    private void abandonAttempt(Attempt attempt, Outcome outcomeIfStarted) {
        if (!attempt.ended) {
            attempt.abandon();
            attemptEnded(attempt, attempt.started() ? outcomeIfStarted : Outcome.CONNECT_FAILED, null);
        }
    }

    /** Nobody waits for it any more: it must not leave when its connection comes up, may it be cancelled or not. */
    private void cancelUnsentAttempts(OpenRequest openRequest) {
        for (Attempt attempt : List.copyOf(openRequest.attempts)) {
            if (!attempt.ended && !attempt.started()) {
                attempt.abandon();
                attemptEnded(attempt, Outcome.MOOT, null);
            }
        }
    }

    void clientDisconnected(OpenRequest openRequest) {
        if (openRequest.closed()) {
            return;
        }
        closeRequest(openRequest);
        tally.add(Tally.Count.CLIENT_LEFT);
        cancelUnsentAttempts(openRequest);
        deliver((now, m) -> m.clientDisconnected(now, openRequest.request.id()));
        removeIfDone(openRequest);
    }

    /** The end of an attempt, told once; the first whole 200 goes to the client unchanged. */
    void attemptEnded(Attempt attempt, Outcome outcome, FullHttpResponse response) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        OpenRequest openRequest = attempt.owner;
        if (outcome == Outcome.OK) {
            ClientConnection client = closeRequest(openRequest);
            if (client != null) {
                tally.add(Tally.Count.SERVED);
                metrics.recordResult(openRequest.request.requestClass(), Metrics.Result.SUCCESS);
                client.sendResponse(response);
            }
        }
        reportAttempt(attempt, outcome, response);
    }

    /** What the module learns of an attempt; the head of the answer, where there is one, may tell more. */
    private void reportAttempt(Attempt attempt, Outcome outcome, HttpResponse response) {
        tally.addAttempt(outcome);
        OpenRequest openRequest = attempt.owner;
        openRequest.attemptsInFlight--;
        boolean closed = openRequest.closed();
        double latencyMs = clock.now() - attempt.sentAt;
        double[] loadMetrics = response == null ? NO_LOAD_METRICS : hostClient.loadMetrics(response);
        int usedPct = response == null ? 0 : hostClient.usedPct(response);
        deliver((now, m) -> m.attemptEnded(
                now,
                new AttemptResult(
                        openRequest.request.id(),
                        attempt.number,
                        attempt.host,
                        outcome,
                        latencyMs,
                        closed,
                        usedPct,
                        0,
                        loadMetrics)));
        removeIfDone(openRequest);
    }

    /** Whom to answer, for the one caller that ends the request; null for all later ones (rule 1). */
    private ClientConnection closeRequest(OpenRequest openRequest) {
        if (!openRequest.closed()) {
            metrics.requestClosed();
        }
        return openRequest.close();
    }

    /**
     * An answer too long to be kept has begun: with it the host's work is done, which is what the module asks. Null
     * where no client waits for it. The request counts as open until the transfer ends.
     */
    ResponseTransfer responseStarted(Attempt attempt, HttpResponse head, ResponseTransfer.Source source) {
        if (attempt.ended) {
            return null;
        }
        attempt.ended = true;
        OpenRequest openRequest = attempt.owner;
        ClientConnection client = openRequest.close();
        ResponseTransfer transfer =
                client == null ? null : new ResponseTransfer(this, openRequest.request.requestClass(), client, source);
        if (transfer != null) {
            client.beginResponse(head, transfer);
        }
        reportAttempt(attempt, Outcome.OK, head);
        return transfer;
    }

    /** The end of an answer's transfer; {@code end} is null where its client had left. */
    void transferEnded(String requestClass, Metrics.Result end) {
        metrics.requestClosed();
        if (end != null) {
            metrics.recordResult(requestClass, end);
            tally.add(end == Metrics.Result.SUCCESS ? Tally.Count.SERVED : Tally.Count.CUT_OFF);
        }
    }

    private void removeIfDone(OpenRequest openRequest) {
        if (openRequest.closed()
                && openRequest.attemptsInFlight == 0
                && openRequests.remove(openRequest.request.id(), openRequest)) {
            openRequest.deadlineTimer.cancel(false);
            openRequest.message.release();
        }
    }

    void hostListReceived(HostListKind kind, List<Discovery.Entry> entries) {
        Runnable rejectWaiting = hostClient.updateHosts(kind, entries);
        List<Host> list = new ArrayList<>(entries.size());
        entries.forEach(e -> list.add(e.host()));
        deliver((now, m) -> m.hostsUpdated(now, kind, list));
        rejectWaiting.run();
    }

    void probeEnded(String host, Outcome outcome, double latencyMs, double[] loadMetrics) {
        deliver((now, m) -> m.probeEnded(now, host, outcome, latencyMs, loadMetrics));
    }

    void counterCallEnded(String name, Outcome outcome, double total) {
        tally.addCounterCall(outcome);
        deliver((now, m) -> m.counterCallEnded(now, name, outcome, total));
    }

    void peerMessageReceived(int peer, byte[] data) {
        deliver((now, m) -> m.peerMessageReceived(now, peer, data));
    }

    // ---- what the module does

    @Override
    public void send(String id, String host, double timeoutMs) {
        OpenRequest openRequest = openRequests.get(id);
        if (openRequest == null) {
            return;
        }
        double now = clock.now();
        Attempt attempt = new Attempt(this, openRequest, host, now);
        openRequest.attempts.add(attempt);
        openRequest.attemptsInFlight++;
        if (!maySend(attempt)) {
            return;
        }
        if (timeoutMs > 0) {
            loop.schedule(() -> abandonAttempt(attempt, Outcome.TIMEOUT), toMicros(timeoutMs), TimeUnit.MICROSECONDS);
        }
        hostClient.send(attempt);
    }

    /** Whether an attempt may go out now; one that may not has ended without having run. */
    boolean maySend(Attempt attempt) {
        DispatchRule.Verdict verdict = DispatchRule.check(
                attempt.owner,
                attempt.number,
                clock.now(),
                config.settings().limits().maxAttempts(),
                drainExpired);
        if (verdict == DispatchRule.Verdict.ALLOWED) {
            return true;
        }
        tally.notSent(verdict);
        if (verdict == DispatchRule.Verdict.CLIENT_GONE) {
            clientDisconnected(attempt.owner); // ends all attempts that have not begun
        }
        if (!attempt.ended) {
            attempt.abandon();
            attemptEnded(attempt, Outcome.MOOT, null);
        }
        return false;
    }

    /** Checks at run time what {@link #maySend} has decided: no byte leaves for a request that has ended. */
    void checkBeforeWrite(Attempt attempt) {
        if (attempt.ended || attempt.owner.closed() || drainExpired) {
            tally.add(Tally.Count.SENT_AFTER_END);
            log("defect: request " + attempt.owner.traceId + " sent to " + attempt.host + " after its end");
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest openRequest = openRequests.get(id);
        if (openRequest != null && attempt >= 0 && attempt < openRequest.attempts.size()) {
            abandonAttempt(openRequest.attempts.get(attempt), Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(String id, double retryAfterMs, Refusal why) {
        if (openRequests.containsKey(id)) {
            tally.addRefusal(why);
        }
        respond(openRequests.get(id), HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        respond(openRequests.get(id), HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void respond(OpenRequest openRequest, HttpResponseStatus status, double retryAfterMs) {
        ClientConnection client = openRequest == null ? null : closeRequest(openRequest);
        if (client != null) {
            boolean refused = status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                    || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
            tally.add(refused ? Tally.Count.REFUSED : Tally.Count.FAILED);
            metrics.recordResult(
                    openRequest.request.requestClass(), refused ? Metrics.Result.OVERLOAD : Metrics.Result.ERROR);
            client.respond(status, retryAfterMs);
        }
        if (openRequest != null) {
            removeIfDone(openRequest);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        loop.schedule(() -> deliver((now, m) -> m.timerFired(now, token)), toMicros(delayMs), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probeHost(String host) {
        hostClient.probe(host);
    }

    @Override
    public void sendPeerMessage(int peer, byte[] data) {
        peerLink.send(peer, data);
    }

    @Override
    public void addToCounter(String name, double amount, double lifetimeMs) {
        counterClient.add(name, amount, lifetimeMs);
    }

    /** Discovery is always watched. */
    @Override
    public void subscribeHosts() {}

    // ---- the end

    private void drainAndHalt() {
        log("ending: no new clients, " + metrics.openRequests() + " requests open");
        loop.execute(this::drain);
        try {
            boolean all = awaitDrained(SHUTDOWN_TIMEOUT_MS);
            loop.submit(this::logTally).await(FINAL_TALLY_TIMEOUT_MS);
            log("ended, " + (all ? "all answered" : metrics.openRequests() + " requests still open"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (siblingWatch != null) {
            siblingWatch.stop();
        }
        Runtime.getRuntime().halt(0);
    }

    /** Accepts on for a while, since clients still come; answers all; then lets the process end. */
    void drain() {
        terminating = true;
        if (clientServer.listener() == null) {
            drained.countDown(); // nobody was let in
            return;
        }
        drain.begin();
        double latest = clock.now() + Drain.acceptDeadlineMs(config.settings());
        loop.schedule(
                () -> stopAccepting(latest),
                Drain.MIN_ACCEPT_MS + DRAIN_POLL_INTERVAL_MS,
                TimeUnit.MILLISECONDS); // after the first sweep, which is due at the same time
        loop.schedule(this::endOpenRequests, Drain.answerDeadlineMs(config.settings()), TimeUnit.MILLISECONDS);
    }

    /** The drain's time is up: whatever is open is answered now, and so is whatever still comes. */
    void endOpenRequests() {
        drainExpired = true;
        for (OpenRequest openRequest : List.copyOf(openRequests.values())) {
            timeOutAttempts(openRequest); // the module refuses or fails it, as its further attempts are void now
        }
        for (OpenRequest openRequest : List.copyOf(openRequests.values())) {
            if (!openRequest.closed()) { // still held: what was never sent is refused, as coming again does no harm
                respond(
                        openRequest,
                        openRequest.attempts.isEmpty()
                                ? HttpResponseStatus.SERVICE_UNAVAILABLE
                                : HttpResponseStatus.BAD_GATEWAY,
                        0);
            }
        }
        clientServer.closeAll();
    }

    boolean drainExpired() {
        return drainExpired;
    }

    /**
     * Not in the turn that closes idle connections: what their clients ask anew would wait in a closed listener. Nor
     * while some wait to be accepted, as a close would reset them; a listener that another process serves too may be
     * left to it.
     */
    private void stopAccepting(double latest) {
        boolean servedBySibling = clientServer.sharesListener() && servingProcesses > 1;
        boolean allAccepted = servedBySibling || clientServer.acceptQueued();
        boolean recentlyActive = !servedBySibling && clock.now() - clientServer.lastActivityMs() < Drain.RECONNECT_MS;
        if ((recentlyActive || !allAccepted) && clock.now() < latest) {
            loop.schedule(() -> stopAccepting(latest), DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        clientServer.stopAccepting();
        awaitAllAnswered();
    }

    private void awaitAllAnswered() {
        if (openRequests.isEmpty() && clientServer.hasNoConnections()) {
            drained.countDown();
        } else {
            loop.schedule(this::awaitAllAnswered, DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    boolean awaitDrained(long ms) throws InterruptedException {
        return drained.await(ms, TimeUnit.MILLISECONDS);
    }

    PeerLink peerLink() {
        return peerLink;
    }

    /** The port of the listener, where the configuration left it to the system; 0 before clients are let in. */
    int port() {
        return clientServer.listener() == null
                ? 0
                : ((java.net.InetSocketAddress) clientServer.listener().localAddress()).getPort();
    }

    /** Ends everything at once and answers nothing. */
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
