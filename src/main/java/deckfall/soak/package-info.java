/**
 * A randomized soak test under faults. Real gateway processes run between simulated clients, seat servers and discovery
 * on loopback, while system calls, disks, the wall clock, seat servers and processes fail at overlapping times.
 * {@link deckfall.soak.RuleChecker} checks each request, attempt and process against the rules of the service. The same
 * seed draws the same faults and requests, but not the same interleaving.
 */
package deckfall.soak;
