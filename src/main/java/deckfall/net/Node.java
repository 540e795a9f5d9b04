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
    private static final double[] NO_REPORT = new double[0];

    /** Something that the module is to be told. */
    private interface Event {
        void tell(double now, Events module);
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
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(started.get())));
        configureLogging();
        StartupTimes times = new StartupTimes(new Clock());
        try {
            NodeConfig config = config(configFile);
            times.phaseEnded("configuration");
            ServerSocketChannel inherited = InheritedListener.fromEnvironment();
            Node node = StartupRetry.withRetries("no event loop", () -> new Node(config));
            node.configuredBy(Path.of(configFile));
            if (config.operator() != null) { // it says no until clients are taken
                StartupRetry.withRetries("no operator address", () -> operator(config, node));
            }
            if (inherited != null && System.getenv("TMPDIR") != null) {
                node.watchSiblings(Path.of(System.getenv("TMPDIR")));
            }
            times.phaseEnded("operator and siblings");
            int rehearsed = WarmUp.warmUp(config, inherited == null && config.wasInService());
            times.phaseEnded("warm-up");
            node.recall();
            started.set(node);
            node.start(inherited, times);
            log("serving on " + config.listen() + " after " + rehearsed + " rehearsed requests");
            log(times.summary());
            node.serving = true;
            reloadSignal.setAction(node::reload);
        } catch (NodeConfig.InvalidConfigException | IOException | RuntimeException e) {
            System.err.println("deckfall: " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
    }

    /** What SIGTERM begins; a node that has not begun to serve owes nothing. */
    private static void end(Node node) {
        if (node == null) {
            Runtime.getRuntime().halt(0);
        } else {
            node.drainAndHalt();
        }
    }

    private static OperatorServer operator(NodeConfig config, Node node) throws IOException {
        OperatorServer operator = new OperatorServer(config.operator(), node.operatorCommands());
        operator.start();
        return operator;
    }

    /** The configuration, read again for a while where the file can't be read. */
    private static NodeConfig config(String file) throws NodeConfig.InvalidConfigException, IOException {
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
    private void changed(NodeConfig to) {
        log("configuration read again: discovery at " + to.discovery());
        loop.execute(() -> {
            discovery.moveTo(to.discovery());
            counterClient.moveTo(to.counter());
        });
    }

    /** The file in which the platform tells of changes. */
    void configuredBy(Path file) {
        reloader = new ConfigReloader(file, this::changed);
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
    private void start(ServerSocketChannel inherited, StartupTimes times) throws IOException {
        try {
            loop.submit(() -> {
                        tell((now, m) -> m.start(now, config.settings()));
                        tell((now, m) -> m.restoreCustomers(now, restoredCustomers));
                        peerLink.start();
                        if (config.knownList().hasNonNull(Discovery.SERVERS_FIELD)) {
                            hostListReceived(HostListKind.CACHED, Discovery.parseEntries(config.knownList()));
                        }
                        discovery.start();
                        counterClient.start();
                        loop.scheduleAtFixedRate(
                                this::logTally, Tally.PERIOD_MS, Tally.PERIOD_MS, TimeUnit.MILLISECONDS);
                        loop.scheduleAtFixedRate(
                                this::countHosts,
                                HOST_METRICS_INTERVAL_MS,
                                HOST_METRICS_INTERVAL_MS,
                                TimeUnit.MILLISECONDS);
                    })
                    .sync();
            times.phaseEnded("module and known list"); // the counter is called, and not waited for
            if (!warmingUp) { // a rehearsal's discovery is the node itself
                discovery.awaitFirstList();
            }
            times.phaseEnded("discovery");
            StartupRetry.withRetries(
                    "no listener",
                    () -> loop.submit(() -> listen(inherited)).sync().getNow().sync());
            times.phaseEnded("listener");
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
            public void publish(LogRecord r) {
                log(r.getLevel() + " " + r.getMessage() + (r.getThrown() == null ? "" : " " + r.getThrown()));
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
    private void tell(Event event) {
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
                    next.tell(clock.now(), module);
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
            tell((now, m) -> m.processCountChanged(now, count));
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
    private void recall() {
        if (siblingWatch != null) {
            restoredCustomers = siblingWatch.customersOfServingSibling();
            log("recalled " + restoredCustomers.size() + " customers of another process");
        }
    }

    private void countHosts() {
        metrics.targets(hostClient.updateHosts(), module.avoidedHostCount(clock.now()));
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
    void requestReceived(Request read, IncomingRequest message, ClientConnection client) {
        Request r = message.complete() ? read : due(read, read.id(), message.remainingBytes() / MIN_BODY_BYTES_PER_MS);
        String id = r.id();
        while (openRequests.containsKey(id)) { // the module knows requests by id, and a client may repeat one
            id = r.id() + '#' + ++duplicateIds;
        }
        Request told = id.equals(r.id()) ? r : due(r, id, 0);
        OpenRequest entry = new OpenRequest(told, message, r.id(), client);
        openRequests.put(id, entry);
        metrics.requestOpened();
        tally.add(Tally.Count.TAKEN);
        client.setOpenRequest(entry);
        guard(entry);
        tell((now, m) -> m.requestReceived(now, told));
    }

    private static Request due(Request r, String id, double laterMs) {
        return new Request(
                id,
                r.deadlineMs() + laterMs,
                r.retry(),
                r.requestClass(),
                r.customer(),
                r.plan(),
                r.units(),
                r.first(),
                r.spread());
    }

    private void guard(OpenRequest r) {
        r.deadlineTimer = loop.schedule(() -> deadline(r), micros(r.deadlineMs - clock.now()), TimeUnit.MICROSECONDS);
    }

    /** The last byte of a request has come that was taken before. */
    void bodyReceived(OpenRequest r, double deadlineMs) {
        r.deadlineMs = deadlineMs;
        if (!r.closed()) {
            r.deadlineTimer.cancel(false);
            guard(r);
        }
    }

    /** When the answer must have left for a client that waits this long from its sending. */
    static double deadline(double now, double expiresInMs) {
        return now + Math.max(1, expiresInMs - RESPONSE_MARGIN_MS);
    }

    private static long micros(double ms) {
        return (long) (Math.max(0, ms) * MICROS_PER_MS);
    }

    boolean openLimitReached() {
        return openRequests.size() >= config.maxOpenRequests();
    }

    /** Rule 1: attempts end with the client's time, and what the module then leaves unanswered fails here. */
    private void deadline(OpenRequest r) {
        endAttempts(r);
        if (!r.closed()) {
            log("defect: no answer from the module in time, request failed");
            answer(r, HttpResponseStatus.GATEWAY_TIMEOUT, 0);
        }
    }

    private void endAttempts(OpenRequest r) {
        for (Attempt a : List.copyOf(r.attempts)) {
            giveUp(a, Outcome.TIMEOUT);
        }
    }

    /** What still waited for a connection has never run, whatever else it would count as. */
    private void giveUp(Attempt a, Outcome begun) {
        if (!a.ended) {
            a.abandon();
            attemptEnded(a, a.started() ? begun : Outcome.CONNECT_FAILED, null);
        }
    }

    /** Nobody waits for it any more: it must not leave when its connection comes up, may it be cancelled or not. */
    private void withdrawUnsent(OpenRequest r) {
        for (Attempt a : List.copyOf(r.attempts)) {
            if (!a.ended && !a.started()) {
                a.abandon();
                attemptEnded(a, Outcome.MOOT, null);
            }
        }
    }

    void clientDisconnected(OpenRequest r) {
        if (r.closed()) {
            return;
        }
        close(r);
        tally.add(Tally.Count.CLIENT_LEFT);
        withdrawUnsent(r);
        tell((now, m) -> m.clientDisconnected(now, r.request.id()));
        forgetIfOver(r);
    }

    /** The end of an attempt, told once; the first whole 200 goes to the client unchanged. */
    void attemptEnded(Attempt a, Outcome outcome, FullHttpResponse response) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        OpenRequest r = a.owner;
        if (outcome == Outcome.OK) {
            ClientConnection client = close(r);
            if (client != null) {
                tally.add(Tally.Count.SERVED);
                metrics.recordResult(r.request.requestClass(), Metrics.Result.SUCCESS);
                client.sendResponse(response);
            }
        }
        finished(a, outcome, response);
    }

    /** What the module learns of an attempt; the head of the answer, where there is one, may tell more. */
    private void finished(Attempt a, Outcome outcome, HttpResponse response) {
        tally.addAttempt(outcome);
        OpenRequest r = a.owner;
        r.attemptsInFlight--;
        boolean closed = r.closed();
        double took = clock.now() - a.sentAt;
        double[] report = response == null ? NO_REPORT : hostClient.loadMetrics(response);
        int usedPct = response == null ? 0 : hostClient.usedPct(response);
        tell((now, m) -> m.attemptEnded(
                now, new AttemptResult(r.request.id(), a.number, a.host, outcome, took, closed, usedPct, 0, report)));
        forgetIfOver(r);
    }

    /** Whom to answer, for the one caller that ends the request; null for all later ones (rule 1). */
    private ClientConnection close(OpenRequest r) {
        if (!r.closed()) {
            metrics.requestClosed();
        }
        return r.close();
    }

    /**
     * An answer too long to be kept has begun: with it the host's work is done, which is what the module asks. Null
     * where no client waits for it. The request counts as open until the transfer ends.
     */
    ResponseTransfer responseStarted(Attempt a, HttpResponse head, ResponseTransfer.Source source) {
        if (a.ended) {
            return null;
        }
        a.ended = true;
        OpenRequest r = a.owner;
        ClientConnection client = r.close();
        ResponseTransfer transfer =
                client == null ? null : new ResponseTransfer(this, r.request.requestClass(), client, source);
        if (transfer != null) {
            client.beginResponse(head, transfer);
        }
        finished(a, Outcome.OK, head);
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

    private void forgetIfOver(OpenRequest r) {
        if (r.closed() && r.attemptsInFlight == 0 && openRequests.remove(r.request.id(), r)) {
            r.deadlineTimer.cancel(false);
            r.message.release();
        }
    }

    void hostListReceived(HostListKind kind, List<Discovery.Entry> entries) {
        Runnable turnBack = hostClient.updateHosts(kind, entries);
        List<Host> list = new ArrayList<>(entries.size());
        entries.forEach(e -> list.add(e.host()));
        tell((now, m) -> m.hostsUpdated(now, kind, list));
        turnBack.run();
    }

    void probeEnded(String host, Outcome outcome, double took, double[] report) {
        tell((now, m) -> m.probeEnded(now, host, outcome, took, report));
    }

    void counterCallEnded(String name, Outcome outcome, double total) {
        tally.addCounterCall(outcome);
        tell((now, m) -> m.counterCallEnded(now, name, outcome, total));
    }

    void peerMessageReceived(int peer, byte[] data) {
        tell((now, m) -> m.peerMessageReceived(now, peer, data));
    }

    // ---- what the module does

    @Override
    public void send(String id, String host, double timeoutMs) {
        OpenRequest r = openRequests.get(id);
        if (r == null) {
            return;
        }
        double now = clock.now();
        Attempt a = new Attempt(this, r, host, now);
        r.attempts.add(a);
        r.attemptsInFlight++;
        if (!maySend(a)) {
            return;
        }
        if (timeoutMs > 0) {
            loop.schedule(() -> giveUp(a, Outcome.TIMEOUT), micros(timeoutMs), TimeUnit.MICROSECONDS);
        }
        hostClient.send(a);
    }

    /** Whether an attempt may go out now; one that may not has ended without having run. */
    boolean maySend(Attempt a) {
        DispatchRule.Verdict verdict = DispatchRule.check(
                a.owner, a.number, clock.now(), config.settings().limits().maxAttempts(), drainExpired);
        if (verdict == DispatchRule.Verdict.ALLOWED) {
            return true;
        }
        tally.notSent(verdict);
        if (verdict == DispatchRule.Verdict.CLIENT_GONE) {
            clientDisconnected(a.owner); // ends all attempts that have not begun
        }
        if (!a.ended) {
            a.abandon();
            attemptEnded(a, Outcome.MOOT, null);
        }
        return false;
    }

    /** Checks at run time what {@link #maySend} has decided: no byte leaves for a request that has ended. */
    void checkBeforeWrite(Attempt a) {
        if (a.ended || a.owner.closed() || drainExpired) {
            tally.add(Tally.Count.SENT_AFTER_END);
            log("defect: request " + a.owner.traceId + " sent to " + a.host + " after its end");
        }
    }

    @Override
    public void cancel(String id, int attempt) {
        OpenRequest r = openRequests.get(id);
        if (r != null && attempt >= 0 && attempt < r.attempts.size()) {
            giveUp(r.attempts.get(attempt), Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(String id, double retryAfterMs, Refusal why) {
        if (openRequests.containsKey(id)) {
            tally.addRefusal(why);
        }
        answer(openRequests.get(id), HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    @Override
    public void fail(String id) {
        answer(openRequests.get(id), HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void answer(OpenRequest r, HttpResponseStatus status, double retryAfterMs) {
        ClientConnection client = r == null ? null : close(r);
        if (client != null) {
            boolean refused = status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                    || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
            tally.add(refused ? Tally.Count.REFUSED : Tally.Count.FAILED);
            metrics.recordResult(r.request.requestClass(), refused ? Metrics.Result.OVERLOAD : Metrics.Result.ERROR);
            client.respond(status, retryAfterMs);
        }
        if (r != null) {
            forgetIfOver(r);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        loop.schedule(() -> tell((now, m) -> m.timerFired(now, token)), micros(delayMs), TimeUnit.MICROSECONDS);
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
        for (OpenRequest r : List.copyOf(openRequests.values())) {
            endAttempts(r); // the module refuses or fails it, as its further attempts are void now
        }
        for (OpenRequest r : List.copyOf(openRequests.values())) {
            if (!r.closed()) { // still held: what was never sent is refused, as coming again does no harm
                answer(
                        r,
                        r.attempts.isEmpty() ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.BAD_GATEWAY,
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
        boolean leftToOther = clientServer.sharesListener() && servingProcesses > 1;
        boolean allAccepted = leftToOther || clientServer.acceptQueued();
        boolean stirs = !leftToOther && clock.now() - clientServer.lastActivityMs() < Drain.RECONNECT_MS;
        if ((stirs || !allAccepted) && clock.now() < latest) {
            loop.schedule(() -> stopAccepting(latest), DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        clientServer.stopAccepting();
        awaitEmpty();
    }

    private void awaitEmpty() {
        if (openRequests.isEmpty() && clientServer.hasNoConnections()) {
            drained.countDown();
        } else {
            loop.schedule(this::awaitEmpty, DRAIN_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
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
