package deckfall.net;

import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.okResponse;
import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Message;
import deckfall.net.TestEndpoints.Server;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests which requests reach a host and which are refused, by the grammar of RFC 9110, 9112 and 3986. */
class RequestGrammarTest {
    private static final String LINE = "GET /view/7 HTTP/1.1\r\n";
    private static final String FIELDS = "Host: h\r\nX-Trace-Id: id\r\nX-Plan: free\r\nX-Customer: 00000000b4d65521\r\n"
            + "X-Expires-In-Ms: 30000\r\nX-Quota: units=1,spread=1,first=0\r\n";

    private static final List<String> IMPROPER_TARGETS = List.of(
            "http://h?next=/view/7",
            "http://h?/view/7",
            "xview/7",
            "view/7",
            "?/view/7",
            "*",
            "h:80",
            "h:80/view/7",
            "//view/7",
            "/view/Taup\u00c5\u008d",
            "/view/7?q=\u00e9",
            "/view/\u007f",
            "/view/\u0001",
            "/view/%",
            "/view/%4",
            "/view/%4g",
            "/view/7?q=%zz",
            "/view/7#part",
            "/view/7?q#part",
            "/view/\"7\"",
            "/view/<7>",
            "/view/\\7",
            "/view/^7",
            "/view/`7",
            "/view/{7}",
            "/view/[7]",
            "/view/7?q=a|b",
            "\\view\\7",
            "http:/view/7",
            "http:view/7",
            "http:///view/7",
            "http://:80/view/7",
            "http://user@h/view/7",
            "http://user:pw@h/view/7",
            "http://h:8x/view/7",
            "http://h:-80/view/7",
            "http://h:80:80/view/7",
            "http://h%zz/view/7",
            "http://h\u00e9/view/7",
            "http://h[1]/view/7",
            "http://[::1/view/7",
            "http://[::1]x/view/7",
            "http://[:::1]/view/7",
            "http://[fe80::1%251]/view/7",
            "http://[v.x]/view/7",
            "http://h#/view/7",
            "http://h\\/view/7",
            "ftp://h/view/7",
            "ws://h/view/7",
            "://h/view/7",
            "x/http://h/view/7",
            "1http://h/view/7");

    /** Each target with the one that the host gets. */
    private static final Map<String, String> PROPER_TARGETS = properTargets();

    private static Map<String, String> properTargets() {
        Map<String, String> targets = new LinkedHashMap<>();
        for (String path : List.of(
                "/view",
                "/view/",
                "/view//7",
                "/view?",
                "/view?q",
                "/view/Taup%C5%8D",
                "/view/%c5%8d%00",
                "/view/..;a=b,c/.%2e/~user/$&'()*+!:@-_",
                "/view/7?q=/?:@!$&'()*+,;=-._~%20&next=http://h/order/8",
                "/view/7?x?y=//z")) {
            targets.put(path, path);
            targets.put("http://h" + path, path);
        }
        for (String authority : List.of(
                "backend.local",
                "h:80",
                "h:",
                "h:00000080",
                "10.0.0.1:5000",
                "[::1]",
                "[2001:db8::1:0]:80",
                "[::ffff:10.0.0.1]",
                "[v1.a:b]",
                "a_b-c~d.e",
                "h%41!$&'()*+,;=")) {
            targets.put("http://" + authority + "/view/7", "/view/7");
        }
        targets.put("HTTP://H/view/7", "/view/7");
        targets.put("https://h/view/7?z", "/view/7?z");
        return targets;
    }

    private static final List<String> IMPROPER_VALUES = List.of(
            "X-Trace-Id:",
            "X-Trace-Id: a b",
            "X-Trace-Id: a\r\n b",
            "X-Trace-Id: 12345678901234567890123456789012345678901234567890123456789012345",
            "X-Plan: Free",
            "X-Plan: free, tiny",
            "X-Plan:",
            "X-Customer: +0000000b4d65521",
            "X-Customer: -0000000b4d65521",
            "X-Customer: -000000000000000",
            "X-Customer: 0x000000b4d65521",
            "X-Customer: 0000000b4d65521",
            "X-Customer: 000000000b4d65521",
            "X-Customer: 00000000b4d6552g",
            "X-Customer: 00000000 b4d6552",
            "X-Customer: 0000000b4d_65521",
            "X-Customer: 0000000200000000",
            "X-Customer: \u00b90000000b4d65521",
            "X-Customer:",
            "X-Expires-In-Ms: +480",
            "X-Expires-In-Ms: -480",
            "X-Expires-In-Ms: 480.0",
            "X-Expires-In-Ms: 4e3",
            "X-Expires-In-Ms: 0x480",
            "X-Expires-In-Ms: 4 80",
            "X-Expires-In-Ms: 4,80",
            "X-Expires-In-Ms: 480ms",
            "X-Expires-In-Ms: \u00b2480",
            "X-Expires-In-Ms:",
            "X-Expires-In-Ms: 0",
            "X-Quota: units=+1,spread=1,first=0",
            "X-Quota: units=-1,spread=1,first=0",
            "X-Quota: units=0,spread=1,first=0",
            "X-Quota: units=1d,spread=1,first=0",
            "X-Quota: units=1f,spread=1,first=0",
            "X-Quota: units=0x1p1,spread=1,first=0",
            "X-Quota: units=NaN,spread=1,first=0",
            "X-Quota: units=Infinity,spread=1,first=0",
            "X-Quota: units=1e400,spread=1,first=0",
            "X-Quota: units=1e,spread=1,first=0",
            "X-Quota: units=.,spread=1,first=0",
            "X-Quota: units=,spread=1,first=0",
            "X-Quota: units=1.0.0,spread=1,first=0",
            "X-Quota: units=1 1,spread=1,first=0",
            "X-Quota: units=1,spread=+1,first=0",
            "X-Quota: units=1,spread=0,first=0",
            "X-Quota: units=1,spread=1.0,first=0",
            "X-Quota: units=1,spread=,first=0",
            "X-Quota: units=1,spread=65536,first=0",
            "X-Quota: units=1,spread=99999999999,first=0",
            "X-Quota: units=1,spread=1,first=65536",
            "X-Quota: units=1,spread=1,first=2147483647",
            "X-Quota: units=1,spread=1,first=+0",
            "X-Quota: units=1,spread=1,first=-1",
            "X-Quota: units=1,spread=1,first=-0",
            "X-Quota: units=1,spread=1",
            "X-Quota: units=1,units=2,spread=1,first=0",
            "X-Quota: units=1,spread=1,first=0,first=0",
            "X-Quota: units=1;spread=1;first=0",
            "X-Quota: Units=1,spread=1,first=0",
            "X-Quota:");

    private static final List<String> PROPER_VALUES = List.of(
            "X-Trace-Id: 1234567890123456789012345678901234567890123456789012345678901234",
            "X-Trace-Id: !#$%&'()*+,-./:;<=>?@[\\]^_`{|}~\u00e9",
            "X-Customer: 00000000B4D65521",
            "X-Customer:\t00000001ffffffff \t",
            "x-customer:0000000000000000",
            "X-Expires-In-Ms: 00000000000000030000",
            "X-Expires-In-Ms: 99999999999",
            "X-Quota: units=0001,spread=01,first=00",
            "X-Quota: units=1.5,spread=1,first=0",
            "X-Quota: units=1e0,spread=1,first=0",
            "X-Quota: units=1.25E-1,spread=1,first=0",
            "X-Quota: first=0,units=1,spread=1",
            "X-Quota: units=1, spread=1 ,\tfirst=0",
            "X-Quota: units=1,spread=1,first=0,later=x",
            "X-Quota: units=1,spread=65535,first=65535",
            "X-Quota: units=1,spread=1\r\nX-Quota: first=0");

    private static final List<String> IMPROPER_LINES = List.of(
            "get /view/7 HTTP/1.1\r\n",
            "G(T /view/7 HTTP/1.1\r\n",
            "G\u00c9T /view/7 HTTP/1.1\r\n",
            " GET /view/7 HTTP/1.1\r\n",
            "\tGET /view/7 HTTP/1.1\r\n",
            "\u0000GET /view/7 HTTP/1.1\r\n",
            "\u000bGET /view/7 HTTP/1.1\r\n",
            "\r\n GET /view/7 HTTP/1.1\r\n",
            "\rGET /view/7 HTTP/1.1\r\n",
            "GET  /view/7 HTTP/1.1\r\n",
            "GET /view/7  HTTP/1.1\r\n",
            "GET\t/view/7 HTTP/1.1\r\n",
            "GET /view/7\tHTTP/1.1\r\n",
            "GET\u000b/view/7 HTTP/1.1\r\n",
            "GET\r/view/7 HTTP/1.1\r\n",
            "GET /view/7\rHTTP/1.1\r\n",
            "GET /view/7 HTTP/1.1 \r\n",
            "GET /view/7 HTTP/1.1\t\r\n",
            "GET /view/7 HTTP/1.1\r\r\n",
            "GET /view/7 HTTP/1.1 x\r\n",
            "GET /view/7 8 HTTP/1.1\r\n",
            "GET /view/7\r\n",
            "GET /view/7 \r\n",
            "GET HTTP/1.1\r\n",
            "/view/7 HTTP/1.1\r\n",
            "GET /view/7 http/1.1\r\n",
            "GET /view/7 HTTP/2.0\r\n",
            "GET /view/7 HTTP/0.9\r\n",
            "GET /view/7 HTTP/3\r\n",
            "GET /view/7 HTTP/1\r\n",
            "GET /view/7 HTTP/1.\r\n",
            "GET /view/7 HTTP/1.10\r\n",
            "GET /view/7 HTTP/01.1\r\n",
            "GET /view/7 HTTP/+1.1\r\n",
            "GET /view/7 HTTP/1.x\r\n",
            "GET /view/7 HTTP/1,1\r\n",
            "GET /view/7 HTTP /1.1\r\n",
            "GET /view/7 HTTPS/1.1\r\n",
            "GET /view/7 ICY/1.1\r\n");

    private static final List<String> PROPER_LINES = List.of(
            "GET /view/7 HTTP/1.1\r\n",
            "GET /view/7 HTTP/1.0\r\n",
            "GET /view/7 HTTP/1.2\r\n",
            "GET /view/7 HTTP/1.9\r\n",
            "GET /view/7 HTTP/1.1\n",
            "\r\nGET /view/7 HTTP/1.1\r\n",
            "\r\n\r\n\r\nGET /view/7 HTTP/1.1\r\n",
            "\nGET /view/7 HTTP/1.1\r\n");

    private static final List<String> IMPROPER_FIELD_LINES = List.of(
            " X-A: 1\r\n" + FIELDS,
            "\tX-A: 1\r\n" + FIELDS,
            " \r\n" + FIELDS,
            FIELDS + "X-A : 1\r\n",
            FIELDS + "X-A\t: 1\r\n",
            FIELDS + "X-A\r\n",
            FIELDS + ": 1\r\n",
            FIELDS + "X A: 1\r\n",
            FIELDS + "X(A): 1\r\n",
            FIELDS + "X-\u00c9: 1\r\n",
            FIELDS + "X-A\u0000: 1\r\n",
            FIELDS + "X-A: 1\u0000\r\n",
            FIELDS + "X-A: \u00011\r\n",
            FIELDS + "X-A: 1\u000b2\r\n",
            FIELDS + "X-A: 1\u007f\r\n",
            FIELDS + "X-A: 1\r2\r\n",
            FIELDS + "X-A: 1\r\r\n",
            FIELDS + "Content-Length: \u000b0\r\n",
            FIELDS + "Content-Length : 0\r\n",
            FIELDS + "Content-Length:\r\n 0\r\n",
            FIELDS + "Transfer-Encoding:\r\n chunked\r\n",
            FIELDS + "Transfer-Encoding: chunked\r\n \r\n");

    private static final List<String> PROPER_FIELD_LINES = List.of(
            FIELDS + "X-A:\r\n",
            FIELDS + "X-A: \t \r\n",
            FIELDS + "X-A: a\tb  c\r\n",
            FIELDS + "X-A: \u00e9\u0080\r\n",
            FIELDS + "X-A: ()<>@,;:\\\"/[]?={}\r\n",
            FIELDS + "!#$%&'*+-.^_`|~a1: 1\r\n",
            FIELDS + "X-A: 1\r\n 2\r\n\t3\r\n",
            FIELDS + "X-A: 1\r\nX-A: 2\r\n",
            FIELDS.replace(": ", ":"),
            FIELDS.replace(": ", ":\t "),
            FIELDS.replace("\r\n", "\n"),
            FIELDS.replace("\r\n", " \t\r\n"),
            FIELDS.toLowerCase(Locale.ROOT),
            FIELDS + "Content-Length: 0\r\n",
            FIELDS + "Content-Length: 0000000000000000000000000\r\n",
            FIELDS + "Connection: keep-alive, TE, x\r\nTE: trailers\r\nUpgrade: h2c\r\n",
            FIELDS + "X-Second-Try: 1\r\n");

    private static final List<String> IMPROPER_HOSTS = List.of(
            "",
            "Host: h\r\nHost: h\r\n",
            "Host: h\r\nHost: other\r\n",
            "Host: h h\r\n",
            "Host: h/view\r\n",
            "Host: user@h\r\n",
            "Host: http://h\r\n",
            "Host: h:8x\r\n",
            "Host: h:-80\r\n",
            "Host: h:80:80\r\n",
            "Host: ::1\r\n",
            "Host: [::1\r\n",
            "Host: [h]\r\n",
            "Host: h%\r\n",
            "Host: h\\x\r\n",
            "Host: h?x\r\n",
            "Host: h#x\r\n",
            "Host: \u00e9\r\n");

    private static final List<String> PROPER_HOSTS = List.of(
            "Host: backend.local\r\n",
            "host:h:80\r\n",
            "HOST: \t10.0.0.1:5000 \r\n",
            "Host:\r\n",
            "Host: h:\r\n",
            "Host: [2001:db8::1]:80\r\n",
            "Host: a_b~c,d%41\r\n");

    /** Fields that may stand once, each with a second line of the same name. */
    private static final List<String> REPEATED_FIELDS = List.of(
            "X-Trace-Id: id",
            "x-trace-id: other",
            "X-Plan: free",
            "X-Plan: tiny",
            "X-Customer: 00000000b4d65521",
            "X-Customer: 00000000b4d65522",
            "X-Expires-In-Ms: 30000",
            "X-Expires-In-Ms: 40000",
            "Content-Type: text/plain\r\nContent-Type: text/html",
            "Idempotency-Key: a\r\nIdempotency-Key: b",
            "X-Second-Try: 1\r\nX-Second-Try: 1",
            "Content-Length: 0\r\nContent-Length: 0",
            "X-Quota: units=1,spread=1,first=0");

    @RegisterExtension
    final Closeables closeables = new Closeables();

    private Server host;
    private Node node;

    @BeforeEach
    void startNode() throws IOException {
        host = closeables.closeLater(new Server((m, s) -> s.getOutputStream().write(okResponse("served"))));
        DiscoveryServer discovery =
                closeables.closeLater(new DiscoveryServer(hostList(1, true, hostEntry("h", host.address(), "ready"))));
        node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0"));
        closeables.push(node::stop);
    }

    private static String withTarget(String target) {
        return "GET " + target + " HTTP/1.1\r\n" + FIELDS + "\r\n";
    }

    /** A request in which this line stands for the ordinary one of the same field. */
    private static String withField(String line) {
        String name = line.substring(0, line.indexOf(':'));
        StringBuilder request = new StringBuilder(LINE);
        for (String field : FIELDS.split("\r\n")) {
            boolean replaced = field.regionMatches(true, 0, name + ':', 0, name.length() + 1);
            request.append(replaced ? line : field).append("\r\n");
        }
        return request.append("\r\n").toString();
    }

    private int statusOf(String request) throws IOException {
        try (Client client = new Client(node)) {
            return client.send(request).receive().status();
        }
    }

    private void assertRefused(List<String> requests) throws IOException {
        List<String> accepted = new ArrayList<>();
        for (String request : requests) {
            int status = statusOf(request);
            if (status != 400) {
                accepted.add(request + " -> " + status);
            }
        }
        assertEquals(List.of(), accepted);
        assertEquals(List.of(), host.requests);
    }

    private void assertServed(List<String> requests) throws IOException {
        List<String> refused = new ArrayList<>();
        for (String request : requests) {
            int status = statusOf(request);
            if (status != 200) {
                refused.add(request + " -> " + status);
            }
        }
        assertEquals(List.of(), refused);
        assertEquals(requests.size(), host.requests.size());
    }

    /** Guards against a booking made of a part of a target that is no path, and against other bytes than were sent. */
    @Test
    void improperTargetsReachNoHost() throws Exception {
        assertRefused(
                IMPROPER_TARGETS.stream().map(RequestGrammarTest::withTarget).toList());
    }

    @Test
    void everyFormOfTargetReachesTheHostInOriginForm() throws Exception {
        assertServed(PROPER_TARGETS.keySet().stream()
                .map(RequestGrammarTest::withTarget)
                .toList());
        assertEquals(
                PROPER_TARGETS.values().stream()
                        .map(target -> "GET " + target + " HTTP/1.1")
                        .toList(),
                host.requests.stream().map(Message::startLine).toList());
    }

    /** Guards against lines that another recipient would split in another way. */
    @Test
    void improperRequestLinesReachNoHost() throws Exception {
        assertRefused(
                IMPROPER_LINES.stream().map(line -> line + FIELDS + "\r\n").toList());
    }

    @Test
    void everyFormOfARequestLineIsServed() throws Exception {
        assertServed(PROPER_LINES.stream().map(line -> line + FIELDS + "\r\n").toList());
    }

    /** Guards against fields that another recipient would read in another way. */
    @Test
    void improperFieldLinesReachNoHost() throws Exception {
        assertRefused(IMPROPER_FIELD_LINES.stream()
                .map(fields -> LINE + fields + "\r\n")
                .toList());
    }

    @Test
    void everyFormOfAFieldLineIsServed() throws Exception {
        assertServed(PROPER_FIELD_LINES.stream()
                .map(fields -> LINE + fields + "\r\n")
                .toList());
    }

    private static List<String> withHosts(List<String> hosts) {
        return hosts.stream()
                .map(host -> LINE + FIELDS.replace("Host: h\r\n", host) + "\r\n")
                .toList();
    }

    /** Guards against a request that a front has routed by another host than the gateway reads (RFC 9112, section 3.2). */
    @Test
    void requestsWithoutASingleProperHostReachNoHost() throws Exception {
        assertRefused(withHosts(IMPROPER_HOSTS));
    }

    @Test
    void everyFormOfAHostIsServed() throws Exception {
        assertServed(withHosts(PROPER_HOSTS));
    }

    /** A client of HTTP/1.0 may send no host, nor may a health check that knows an address only. */
    @Test
    void hostIsNotNeededWhereNoneMayBeKnown() throws Exception {
        assertServed(
                List.of((LINE + FIELDS + "\r\n").replace("HTTP/1.1", "HTTP/1.0").replace("Host: h\r\n", "")));
        assertEquals(200, statusOf("GET /healthz HTTP/1.1\r\n\r\n"));
        assertEquals(400, statusOf("GET /healthz HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n"));
        assertEquals(400, statusOf("GET /healthz HTTP/1.0\r\nHost: h h\r\n\r\n"));
    }

    /** An expectation means nothing in HTTP/1.0 (RFC 9110, section 10.1.1), and needs no answer where no body follows. */
    @Test
    void expectationIsIgnoredWhereItMeansNothing() throws Exception {
        assertServed(List.of(
                LINE.replace("HTTP/1.1", "HTTP/1.0") + FIELDS + "Expect: 100-continue\r\n\r\n",
                LINE + FIELDS + "EXPECT:100-Continue\r\n\r\n"));
    }

    /** Guards against two values of which the gateway uses one and another recipient the other. */
    @Test
    void repeatedFieldsReachNoHost() throws Exception {
        assertRefused(REPEATED_FIELDS.stream()
                .map(field -> LINE + FIELDS + field + "\r\n\r\n")
                .toList());
    }

    /** Guards against numbers that only the language takes for such, as a customer with a sign. */
    @Test
    void improperValuesReachNoHost() throws Exception {
        assertRefused(
                IMPROPER_VALUES.stream().map(RequestGrammarTest::withField).toList());
    }

    @Test
    void everyFormOfAValueIsServed() throws Exception {
        assertServed(PROPER_VALUES.stream().map(RequestGrammarTest::withField).toList());
    }
}
