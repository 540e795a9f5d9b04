/**
 * A randomized fault soak: real gateway processes between stand-in clients, seat servers and discovery on loopback,
 * while system calls, disks, the wall clock, seat servers and processes fail in spells that overlap. The rules of the
 * service are its oracle ({@link deckfall.soak.Ledger}); the same seed draws the same faults and requests, though not
 * the same interleaving.
 */
package deckfall.soak;
