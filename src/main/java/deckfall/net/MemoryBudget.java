package deckfall.net;

import java.util.ArrayList;
import java.util.List;

/**
 * Accounts for the memory that peers make a node hold, against one limit.
 *
 * <p>Two kinds of holdings share the limit. What belongs to a request that was admitted is reserved until its response
 * has been sent, and is never given up; when it reaches the limit, further requests are refused unless they are small.
 * What was received of a message that is not admitted, and responses that a client does not take, is counted by an
 * {@link Account} for each connection. When these need more than their part of the limit, the account that holds most
 * gives up what it holds, so that the memory is taken back from whoever uses most of it. Small accounts always keep what
 * they hold: the limit leaves room for one on each descriptor.
 *
 * <p>Not thread-safe: used on the event loop of its node only.
 */
final class MemoryBudget {
    private static final int SMALL_ACCOUNTS_DIVISOR = 4; // small accounts together may hold 1/4 of the limit
    private static final double ACCOUNTS_FRACTION = 0.75; // of the limit; above it large accounts give up

    /** A connection whose account can be made to give up what it holds. */
    interface Holder {
        /**
         * Drops what the account counts, at once or, if it waits to be sent, in a task of the event loop, and ends the
         * connection in a task. Must not reserve memory, and must not run code of another connection before it returns.
         * The account is closed then.
         */
        void giveUp();
    }

    private final long limitBytes;
    private final long accountsLimitBytes;
    private final long smallAccountBytes;
    private final List<Account> largeAccounts = new ArrayList<>();
    private long usedBytes; // by admitted requests and accounts together

    /** Creates a budget for a node that may hold this many connections. */
    MemoryBudget(long limitBytes, int maxConnections) {
        this.limitBytes = limitBytes;
        this.accountsLimitBytes = (long) (limitBytes * ACCOUNTS_FRACTION);
        this.smallAccountBytes = limitBytes / SMALL_ACCOUNTS_DIVISOR / Math.max(1, maxConnections);
    }

    /** Reserves memory for a request that was admitted, or its response. */
    void reserve(long bytes) {
        usedBytes += bytes;
        takeBackFromAccounts();
    }

    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Whether more than a quarter of the limit is used, so that nothing should be held in advance. */
    boolean underPressure() {
        return usedBytes > limitBytes / 4;
    }

    /** Whether more than half of the limit is used, so that nothing should be buffered that can wait. */
    boolean nearlyExhausted() {
        return usedBytes > limitBytes / 2;
    }

    /** Whether a request or response must be refused that would hold this much. Small ones have room beyond the limit. */
    boolean refuses(long bytes) {
        long roomForSmall = bytes <= smallAccountBytes ? limitBytes / SMALL_ACCOUNTS_DIVISOR : 0;
        return usedBytes > limitBytes + roomForSmall;
    }

    long limitBytes() {
        return limitBytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    /** Opens an account for a connection. */
    Account openAccount(Holder holder) {
        return new Account(holder);
    }

    private void takeBackFromAccounts() {
        while (usedBytes > accountsLimitBytes && !largeAccounts.isEmpty()) {
            Account largest = largeAccounts.get(0);
            for (Account account : largeAccounts) {
                if (account.bytes > largest.bytes) {
                    largest = account;
                }
            }
            largest.giveUp();
        }
    }

    /**
     * What one connection holds for messages that were not admitted, or for responses that its client does not take. A
     * client connection has an account for each of the two.
     */
    final class Account {
        private static final int NOT_LISTED = -1;

        private final Holder holder;
        private long bytes;
        private int largeIndex = NOT_LISTED; // in the list of large accounts
        private boolean closed;

        private Account(Holder holder) {
            this.holder = holder;
        }

        /**
         * Counts memory that is about to be held. Returns false if it must not be held, as this account has given up.
         */
        boolean reserve(long more) {
            if (closed) {
                return false;
            }
            bytes += more;
            usedBytes += more;
            if (bytes > smallAccountBytes) {
                if (largeIndex == NOT_LISTED) {
                    largeIndex = largeAccounts.size();
                    largeAccounts.add(this);
                }
                takeBackFromAccounts();
            }
            return !closed;
        }

        /** Counts memory that is no longer held. Does nothing if the account is closed. */
        void release(long less) {
            if (closed) {
                return;
            }
            bytes -= less;
            usedBytes -= less;
            if (largeIndex != NOT_LISTED && bytes <= smallAccountBytes) {
                removeFromLarge();
            }
        }

        /** Counts memory that is about to be held, or, if negative, that is no longer held. */
        void change(long bytesMore) {
            if (bytesMore > 0) {
                reserve(bytesMore);
            } else {
                release(-bytesMore);
            }
        }

        /** Moves memory from this account to an admitted request, which releases it from the budget. */
        void moveToAdmitted(long moved) {
            release(moved);
            MemoryBudget.this.reserve(moved);
        }

        /** Ends the account. Its connection holds nothing any more. */
        void close() {
            release(bytes);
            closed = true;
        }

        long bytes() {
            return bytes;
        }

        /** Whether the account has given up or its connection has ended. */
        boolean closed() {
            return closed;
        }

        private void giveUp() {
            holder.giveUp();
            close();
        }

        private void removeFromLarge() {
            Account last = largeAccounts.remove(largeAccounts.size() - 1);
            if (last != this) {
                largeAccounts.set(largeIndex, last);
                last.largeIndex = largeIndex;
            }
            largeIndex = NOT_LISTED;
        }
    }
}
