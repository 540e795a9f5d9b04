package deckfall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.DecisionState.ClassState;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.RequestClass;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks the dispatch of requests, class weights, host health, determinism and the layout of the policy files. */
class DecisionModuleTest {
    private static final int MAX_LINE_WIDTH = 120; // the formatter's

    private static ClassState state(RequestClass spec, double weight, double delay, double slope) {
        ClassState classState = new ClassState(spec);
        classState.weight = weight;
        classState.meanDelay = delay;
        classState.delaySlope = slope;
        return classState;
    }

    @Test
    void donationKeepsTheSumOfWeightsAndFavoursTheSlowestClass() {
        ClassState slow = state(GatewayHarness.READ, 0.3, 1500, 2000);
        ClassState fast = state(GatewayHarness.PAY, 0.4, 100, 2000);
        ClassState idle = state(GatewayHarness.ORDER, 0.3, 300, 2000);
        assertTrue(DecisionModule.donateWeight(List.of(slow, fast, idle)));
        assertEquals(1, slow.weight + fast.weight + idle.weight, 1e-9);
        assertTrue(slow.weight > 0.3 && fast.weight < 0.4 && idle.weight < 0.3);
        assertTrue(0.4 - fast.weight > 0.3 - idle.weight, "donates in proportion to the surplus");
    }

    @Test
    void donationLeavesTheDonorWithinItsDelayGoal() {
        ClassState slow = state(GatewayHarness.READ, 0.5, 60_000, 100);
        ClassState donor = state(GatewayHarness.PAY, 0.5, 500, 1000);
        DecisionModule.donateWeight(List.of(slow, donor));
        double maxDonation = (0.9 * DecisionModule.delayGoalMs(donor) - 500) / 1000;
        assertTrue(donor.weight >= 0.5 - maxDonation && donor.weight < 0.5 && donor.weight > 0);
    }

    @Test
    void weightsStayPositiveAndDoNotChangeWhenAllClassesMissTheirGoals() {
        ClassState a = state(GatewayHarness.READ, 0.03, 10, 0.0001);
        ClassState b = state(GatewayHarness.PAY, 0.97, 9000, 10);
        DecisionModule.donateWeight(List.of(a, b));
        assertTrue(a.weight > 0);
        ClassState c = state(GatewayHarness.READ, 0.5, 5000, 10);
        ClassState d = state(GatewayHarness.PAY, 0.5, 9000, 10);
        assertFalse(DecisionModule.donateWeight(List.of(c, d)));
        assertEquals(0.5, c.weight);
    }

    @Test
    void implausibleSlopeIsDiscarded() {
        ClassState classState = state(GatewayHarness.READ, 0.5, 800, 1234);
        classState.previousWeight = 0.4;
        classState.previousDelay = 700; // more weight and more delay: a slope with the wrong sign
        classState.measureSlope(DecisionModule.delayGoalMs(classState) * 0.1);
        assertEquals(1234, classState.delaySlope);
        classState.weight = 0.6;
        classState.meanDelay = 500;
        classState.measureSlope(DecisionModule.delayGoalMs(classState) * 0.1);
        assertEquals(3000, classState.delaySlope, 1e-6);
    }

    @Test
    void attemptsInFlightAreBoundedAndOtherRequestsAreQueuedOrRefused() {
        // Incident ia17a29: without a bound, hosts were overloaded within seconds and stayed slow.
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "a2");
        for (int i = 0; i < 200; i++) {
            gateway.request("r" + i, "read");
        }
        assertTrue(gateway.sent.size() >= 4 && gateway.sent.size() <= 40, "sent " + gateway.sent.size());
        gateway.advance(1000);
        assertTrue(gateway.refused.size() >= 150);
    }

    @Test
    void freedCapacityGoesToAQueuedRequest() {
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1");
        for (int i = 0; i < 30; i++) {
            gateway.request("r" + i, "read");
        }
        int sentBefore = gateway.sent.size();
        gateway.advance(10);
        gateway.endAttempt("r0", 0, Outcome.OK, 10);
        assertEquals(sentBefore + 1, gateway.sent.size());
    }

    @Test
    void hostThatFailsFastIsNotPreferred() {
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "a2", "a3");
        for (int i = 0; i < 60; i++) {
            String id = "r" + i;
            gateway.request(id, "read");
            boolean fails = gateway.hostOf(id).equals("a1");
            gateway.advance(fails ? 1 : 30);
            gateway.endAttempt(id, 0, fails ? Outcome.ERROR : Outcome.OK, fails ? 1 : 30);
            if (fails && gateway.attemptCount(id) > 1) {
                gateway.endAttempt(id, 1, Outcome.OK, 30);
            }
        }
        assertTrue(gateway.sent.stream().filter(s -> s.host().equals("a1")).count() < 10);
    }

    @Test
    void overdueAttemptIsCancelledOnlyWhereItMayBeRepeated() {
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "b1", "b2");
        for (int i = 0; i < 60; i++) {
            gateway.request("w" + i, "read");
            gateway.advance(20);
            gateway.endAttempt("w" + i, 0, Outcome.OK, 20);
        }
        gateway.request("r", "read");
        gateway.request("p", "pay");
        String silentHost = gateway.hostOf("r");
        gateway.advance(700);
        assertEquals(List.of("r"), gateway.cancelled); // the attempt that must not be repeated continues
        gateway.endAttempt("r", 0, Outcome.CANCELLED, 700);
        assertNotEquals(silentHost, gateway.hostOf("r"));
        assertEquals(1, gateway.attemptCount("p"));
    }

    @Test
    void manyGatewaysSpreadTheirRequestsOverTheHosts() {
        // A gateway has little information on the hosts, and the best host by its own counts would be the same for all.
        String[] hosts = IntStream.range(0, 60)
                .mapToObj(i -> "abc".charAt(i % 3) + "" + i)
                .toArray(String[]::new);
        Map<String, Integer> attemptsByHost = new TreeMap<>();
        for (int gatewayNumber = 0; gatewayNumber < 300; gatewayNumber++) {
            GatewayHarness gateway = new GatewayHarness(
                            1000, GatewayHarness.settings(gatewayNumber, 300, gatewayNumber))
                    .withHosts(hosts);
            for (int i = 0; i < 3; i++) {
                gateway.request("r" + i, "read");
            }
            gateway.sent.forEach(s -> attemptsByHost.merge(s.host(), 1, Integer::sum));
        }
        int total = attemptsByHost.values().stream().mapToInt(n -> n).sum();
        assertTrue(total >= 600, "sent " + total);
        assertTrue(
                attemptsByHost.values().stream().allMatch(n -> n < 3 * total / 60) && attemptsByHost.size() > 55,
                attemptsByHost.toString());
    }

    @Test
    void hundredsOfGatewaysDoNotOverloadAHostThatJustStarted() {
        // Rule 4: if each gateway could send one attempt freely, the host would get hundreds at once.
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            hosts.add(new Host("a" + i, "a", "std", 0, HostState.RUNNING, 1, i == 7 ? 1000 : 0));
        }
        int coldAttempts = 0;
        int totalAttempts = 0;
        for (int gatewayNumber = 0; gatewayNumber < 300; gatewayNumber++) {
            GatewayHarness gateway =
                    new GatewayHarness(1000, GatewayHarness.settings(gatewayNumber, 300, gatewayNumber));
            gateway.module.hostsUpdated(gateway.now, HostListKind.FULL, hosts);
            for (int i = 0; i < 3; i++) {
                gateway.request("r" + i, "read");
            }
            totalAttempts += gateway.sent.size();
            coldAttempts += (int)
                    gateway.sent.stream().filter(s -> s.host().equals("a7")).count();
        }
        // At most a fifth of what each other host gets, times the multiple of two.
        assertTrue(coldAttempts < 0.4 * totalAttempts / 60, coldAttempts + " of " + totalAttempts);
    }

    @Test
    void hostThatFailsOneClassStillServesTheOthers() {
        // Run port-louis-archi-later, overload 0.28: hosts that did not respond to one class counted as slow for all
        // classes, and still received requests of that class.
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "a2", "a3");
        int failingAttempts = 0;
        int otherAttempts = 0;
        for (int i = 0; i < 120; i++) {
            String requestClass = i % 2 == 0 ? "pay" : "read";
            String id = requestClass + i;
            gateway.request(id, requestClass);
            boolean fails = gateway.hostOf(id).equals("a1") && i % 2 == 0;
            failingAttempts += fails && i >= 30 ? 1 : 0;
            otherAttempts += gateway.hostOf(id).equals("a1") && i % 2 == 1 ? 1 : 0;
            gateway.advance(20);
            gateway.endAttempt(id, 0, fails ? Outcome.ERROR : Outcome.OK, 20);
        }
        assertTrue(failingAttempts < 5, "attempts of the failing class: " + failingAttempts);
        assertTrue(otherAttempts > 15, "attempts of the other class: " + otherAttempts);
    }

    @Test
    void hundredsOfGatewaysSpreadTheirConnectionsEvenly() {
        // Incident i2e3387: every gateway connected to every host, and hosts whose connection tables were full of idle
        // connections refused new ones.
        String[] hosts = IntStream.range(0, 65)
                .mapToObj(i -> "abc".charAt(i % 3) + "" + i)
                .toArray(String[]::new);
        Map<String, Integer> gatewaysByHost = new TreeMap<>();
        for (int gatewayNumber = 0; gatewayNumber < 379; gatewayNumber++) {
            GatewayHarness gateway = new GatewayHarness(
                            1000, GatewayHarness.settings(gatewayNumber, 379, gatewayNumber))
                    .withHosts(hosts);
            for (int i = 0; i < 200; i++) {
                gateway.request("r" + i, "read");
                gateway.advance(20);
                gateway.endAttempt("r" + i, 0, Outcome.OK, 20);
            }
            gateway.sent.stream()
                    .map(GatewayHarness.SentAttempt::host)
                    .distinct()
                    .forEach(h -> gatewaysByHost.merge(h, 1, Integer::sum));
        }
        assertTrue(
                gatewaysByHost.size() == 65 && gatewaysByHost.values().stream().allMatch(n -> n <= 50),
                gatewaysByHost.toString());
    }

    @Test
    void hostThatRefusesAConnectionIsAvoidedAtOnce() {
        // Incident i412b8a: a gateway that had no connection to hosts with full connection tables tried them again and
        // again.
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "a2", "a3");
        gateway.request("r", "read");
        String refusingHost = gateway.hostOf("r");
        gateway.endAttempt("r", 0, Outcome.CONNECT_FAILED, 1);
        for (int i = 0; i < 9; i++) {
            gateway.request("x" + i, "read");
        }
        assertEquals(
                1,
                gateway.sent.stream().filter(s -> s.host().equals(refusingHost)).count());
    }

    @Test
    void requestsAreStillSentWhenAllHostsLookUnhealthy() {
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "b1");
        for (int i = 0; i < 12; i++) {
            gateway.request("r" + i, "read");
            for (int n = 0; n < gateway.attemptCount("r" + i); n++) {
                gateway.endAttempt("r" + i, n, Outcome.CONNECT_FAILED, 1);
            }
        }
        gateway.advance(20);
        int sentBefore = gateway.sent.size();
        gateway.request("x", "read");
        assertTrue(gateway.sent.size() > sentBefore);
    }

    @Test
    void equalEventsProduceEqualActions() {
        assertEquals(playRandomEvents(3), playRandomEvents(3));
        assertFalse(playRandomEvents(3).isEmpty());
    }

    private static List<String> playRandomEvents(long seed) {
        GatewayHarness gateway =
                new GatewayHarness(1000, GatewayHarness.settings(0, 3)).withHosts("a1", "a2", "b1", "c1");
        Random random = new Random(seed);
        List<String> open = new ArrayList<>();
        String[] classes = {"read", "pay", "order"};
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            gateway.request(
                    id,
                    classes[random.nextInt(3)],
                    random.nextBoolean() ? "small" : "free",
                    random.nextInt(20),
                    1 + random.nextInt(4),
                    3);
            if (gateway.attemptCount(id) > 0) {
                open.add(id);
            }
            gateway.advance(random.nextInt(30));
            if (!open.isEmpty() && random.nextInt(3) > 0) {
                String done = open.remove(random.nextInt(open.size()));
                gateway.endAttempt(done, 0, Outcome.values()[random.nextInt(6)], 20);
            }
        }
        return gateway.log;
    }

    @Test
    void thePolicyFilesExistFitTheFormattersWidthAndNameTheirInterface() throws IOException {
        List<String> lines = new ArrayList<>();
        for (Path file : policyFiles()) {
            assertTrue(Files.isRegularFile(file), file + " of the deployment's policy list is missing");
            lines.addAll(Files.readAllLines(file));
        }
        assertEquals(
                List.of(),
                lines.stream().filter(l -> l.length() > MAX_LINE_WIDTH).toList());
        assertTrue(lines.stream().limit(40).anyMatch(l -> l.contains("Gateway.java")));
    }

    /** The files that the deployment declares as the policy: what the operators read and run. */
    private static List<Path> policyFiles() throws IOException {
        String policy = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy = ["))
                .findFirst()
                .orElseThrow();
        List<Path> files = Pattern.compile("\"([^\"]+)\"")
                .matcher(policy)
                .results()
                .map(m -> Path.of(m.group(1)))
                .toList();
        assertFalse(files.isEmpty(), "the deployment's policy list is empty");
        return files;
    }
}
