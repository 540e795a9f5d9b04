package deckfall.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import deckfall.Gateway.Settings;
import deckfall.wire.Fields;
import deckfall.wire.SettingsReader;
import deckfall.wire.WireFormatException;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;

/**
 * The configuration of this API gateway; a missing or malformed entry is reported as an {@link InvalidConfigException}.
 */
record NodeConfig(
        InetSocketAddress listen,
        InetSocketAddress operator,
        InetSocketAddress discovery,
        InetSocketAddress counter,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peerBroadcast,
        int sockets,
        long memoryBytes,
        JsonNode knownList,
        Settings settings,
        double connectTimeoutMs,
        double connectionIdleMs,
        double counterTimeoutMs,
        int maxOpenRequests) {
    private static final int MAX_PORT = 65_535;
    private static final int HEX_RADIX = 16;
    private static final String OPERATOR_KEY = "operator";
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final long BYTES_PER_MB = 1 << 20;
    private static final int WARM_UP_SOCKETS = 32; // as a process that serves beside it may hold all the others
    private static final double DEFAULT_CONNECTION_IDLE_MS = 15_000;
    private static final double DEFAULT_COUNTER_TIMEOUT_MS = 80;
    private static final double DEFAULT_MAX_OPEN_REQUESTS = 20_000;

    /** Says in one line what is wrong with the configuration. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        private final boolean isTransient;

        InvalidConfigException(String message) {
            this(message, false);
        }

        InvalidConfigException(String message, boolean isTransient) {
            super(message);
            this.isTransient = isTransient;
        }

        /** Whether the file was unreadable for a temporary reason, so that a retry may succeed. */
        boolean isTransient() {
            return isTransient;
        }
    }

    /** Reads and checks a configuration file. */
    static NodeConfig read(String file) throws InvalidConfigException {
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigException("NODE_CONFIG names no file");
        }
        byte[] bytes = readBytes(file);
        try {
            JsonNode root = new ObjectMapper().readTree(bytes);
            String operator = System.getenv("NODE_OPERATOR");
            if (operator != null && !operator.isEmpty() && root instanceof ObjectNode object) {
                object.put(OPERATOR_KEY, operator);
            }
            return of(root);
        } catch (IOException e) {
            throw new InvalidConfigException("can't read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
        } catch (WireFormatException | IllegalArgumentException e) {
            throw new InvalidConfigException(file + ": " + e.getMessage());
        }
    }

    private static byte[] readBytes(String file) throws InvalidConfigException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            boolean permanent = e instanceof NoSuchFileException || e instanceof AccessDeniedException;
            throw new InvalidConfigException("can't read " + file + ": " + e.getMessage(), !permanent);
        }
    }

    /** Builds the configuration from JSON; throws {@link IllegalArgumentException} if an entry is invalid. */
    static NodeConfig of(JsonNode root) {
        if (!root.isObject()) {
            throw new IllegalArgumentException("not a JSON object");
        }
        Map<String, String> pairs = new TreeMap<>();
        flatten("", root.path("settings"), pairs);
        pairs.put("rng_seed", Long.toString(Long.parseUnsignedLong(requiredText(root, "seed"), HEX_RADIX)));
        Fields fields = new Fields(pairs);
        Settings settings = SettingsReader.read(fields);
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode peer : root.path("peers")) {
            peers.add(parseAddress(peer.asText()));
        }
        boolean peerMessages = settings.limits().mayMessagePeers() && root.hasNonNull("peer_listen");
        return new NodeConfig(
                parseAddress(requiredText(root, "listen")),
                root.hasNonNull(OPERATOR_KEY) ? parseAddress(requiredText(root, OPERATOR_KEY)) : null,
                parseAddress(requiredText(root, "discovery")),
                settings.coordination().hasCounter() && root.hasNonNull("counter")
                        ? parseAddress(requiredText(root, "counter"))
                        : null,
                peerMessages ? parseAddress(requiredText(root, "peer_listen")) : null,
                List.copyOf(peers),
                root.hasNonNull("peers_all") ? parseAddress(requiredText(root, "peers_all")) : null,
                root.path("limits").path("sockets").asInt(DEFAULT_SOCKETS),
                root.path("limits").path("memory_mb").asInt(DEFAULT_MEMORY_MB) * BYTES_PER_MB,
                root.path("known"),
                settings,
                settings.limits().connectTimeoutMs(),
                fields.number("limits.conn_idle_ms", DEFAULT_CONNECTION_IDLE_MS),
                fields.number("specifics.counter_timeout_ms", DEFAULT_COUNTER_TIMEOUT_MS),
                (int) fields.number("limits.max_open", DEFAULT_MAX_OPEN_REQUESTS));
    }

    /**
     * Whether the known list includes changes, that is, has a version above 0: then the gateway had it in use before a
     * restart.
     */
    boolean wasInService() {
        return knownList.path("version").asLong() > 0;
    }

    /** The version of the known list; -1 if it names no host. */
    long knownVersion() {
        return knownList.path(Discovery.SERVERS_FIELD).isEmpty()
                ? -1
                : knownList.path("version").asLong(-1);
    }

    /** The same settings for a node at {@code at} that is its own discovery and its only host. */
    NodeConfig forWarmUp(InetSocketAddress address) {
        ObjectNode self = JsonNodeFactory.instance
                .objectNode()
                .put("id", "self")
                .put("state", "ready")
                .put("addr", address.getAddress().getHostAddress() + ':' + address.getPort());
        JsonNode list = JsonNodeFactory.instance
                .objectNode()
                .put("version", 1)
                .put("full", true)
                .set(
                        Discovery.SERVERS_FIELD,
                        JsonNodeFactory.instance.arrayNode().add(self));
        return new NodeConfig(
                address,
                null,
                address,
                null,
                null,
                List.of(),
                null,
                Math.min(sockets, WARM_UP_SOCKETS),
                memoryBytes,
                list,
                settings,
                connectTimeoutMs,
                connectionIdleMs,
                counterTimeoutMs,
                maxOpenRequests);
    }

    /** Flattens nested settings to the dotted names that the simulator's wire protocol uses. */
    private static void flatten(String path, JsonNode node, Map<String, String> pairs) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.fields().forEachRemaining(e -> flatten(prefix + e.getKey(), e.getValue(), pairs));
        } else if (node.isArray() && node.size() > 0 && node.get(0).isObject()) {
            pairs.put(prefix + "count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(prefix + i, node.get(i), pairs);
            }
        } else if (node.isArray()) {
            StringJoiner list = new StringJoiner(",");
            node.forEach(value -> list.add(value.asText()));
            pairs.put(path, list.toString());
        } else if (!node.isNull() && !node.isMissingNode()) {
            pairs.put(path, node.asText());
        }
    }

    private static String requiredText(JsonNode root, String name) {
        JsonNode value = root.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new IllegalArgumentException("missing or malformed '" + name + "'");
        }
        return value.asText();
    }

    /** Parses an IP address and a port; host names are not resolved. */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("bad address '" + text + "'");
        }
        int port = NumberGrammar.wholeNumber(text.substring(colon + 1));
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("bad port in '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("bad address '" + text + "'", e);
        }
    }
}
