/*
 * At most one order in flight: a host that does not check fences must never have two orders
 * in flight, since they could arrive out of order. The leader may change at any moment, and
 * a new leader knows only what has been committed.
 *
 * Planted faults for the negative checks (each must violate an assertion):
 *   IGNORE_OUTSTANDING  a new order is committed before the previous one is settled
 *   RESEND              a new leader sends an order of an earlier leader again
 *   SETTLE_IN_FLIGHT    an order is settled as lost while it may still be in flight
 */

#define MAXORDERS 4
#define MAXLEADERS 3

byte leader = 1;      /* the current leader */
byte lastFence;       /* fence of the last committed order; fences count up from 1 */
bool outstanding;     /* the last order is committed and not yet settled */
bool sent;            /* whether the current leader knows that it has sent the last order */
byte committedBy;     /* the leader that committed the last order */
byte inFlight[MAXORDERS + 1]; /* copies of each order in flight, by fence */
byte executedFence;   /* fence that the host announces: that of the last order it executed */

/* Sets sum to the number of orders in flight. */
inline count_in_flight(sum) {
    sum = 0;
    byte k = 1;
    do
    :: k <= MAXORDERS -> sum = sum + inFlight[k]; k++
    :: else -> break
    od
}

active proctype Leaders() {
    byte sum;
    do
    /* An order is committed. */
    :: atomic {
        lastFence < MAXORDERS &&
#ifdef IGNORE_OUTSTANDING
        true
#else
        !outstanding
#endif
        -> lastFence++; outstanding = true; sent = false; committedBy = leader }
    /* The order is sent. */
    :: atomic {
        outstanding && !sent &&
#ifdef RESEND
        true
#else
        committedBy == leader
#endif
        -> sent = true; inFlight[lastFence]++; count_in_flight(sum); assert(sum <= 1) }
    /* The connection could not be established: nothing was sent, so the leader may try again. */
    :: atomic { outstanding && !sent && committedBy == leader -> skip }
    /* A new leader does not know what the previous one sent. */
    :: atomic { leader < MAXLEADERS -> leader++; sent = false }
    /* The outcome is announced, which settles the order. */
    :: atomic { outstanding && executedFence == lastFence -> outstanding = false }
    /* The host was present for the time limit of the order without announcing an outcome. The
       order can no longer be in flight, so it is settled as lost. */
    :: atomic {
        outstanding && executedFence != lastFence &&
#ifdef SETTLE_IN_FLIGHT
        true
#else
        inFlight[lastFence] == 0 && (sent || committedBy != leader)
#endif
        -> outstanding = false }
    :: lastFence == MAXORDERS -> break
    od
}

active proctype Host() {
    do
    /* An order arrives and is executed. An order must never follow one with a higher fence. */
    :: atomic { inFlight[1] > 0 -> inFlight[1]--; assert(executedFence <= 1); executedFence = 1 }
    :: atomic { inFlight[2] > 0 -> inFlight[2]--; assert(executedFence <= 2); executedFence = 2 }
    :: atomic { inFlight[3] > 0 -> inFlight[3]--; assert(executedFence <= 3); executedFence = 3 }
    /* An order is lost in flight. */
    :: atomic { inFlight[1] > 0 -> inFlight[1]-- }
    :: atomic { inFlight[2] > 0 -> inFlight[2]-- }
    :: atomic { inFlight[3] > 0 -> inFlight[3]-- }
    :: lastFence == MAXORDERS -> break
    od
}
