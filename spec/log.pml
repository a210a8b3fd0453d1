/*
 * Leader election, leader leases and commitment in the replicated log, with 3 voters.
 *
 * Time is a tick counter that may advance between any two steps. A leader may act until its
 * lease expires; a voter that has acknowledged a leader grants no vote until its vote block
 * ends. An exchange of messages is one atomic step. Steps are taken in any order, and a step
 * that is never taken stands for a lost message.
 *
 * Planted faults for the negative checks (each must violate an assertion):
 *   NO_VOTE_BLOCK    a voter grants votes right after acknowledging a leader
 *   LONG_LEASE       the leader's lease is longer than the voters' vote block
 *   COMMIT_OLD_TERM  a leader commits a record of an earlier term by counting its copies
 *   VOTE_TWICE       a voter forgets its vote when it restarts
 */

#define N 3
#ifndef MAXTERM
#define MAXTERM 4
#endif
#ifndef MAXRESTARTS
#define MAXRESTARTS 0
#endif
#define MAXLOG 1
#define MAXTIME 2

#define VOTE_BLOCK 1
#ifdef LONG_LEASE
#define LEASE 2
#else
#define LEASE 1
#endif

byte now;

/* State of each voter. */
byte term[N];
byte votedFor[N];         /* candidate + 1 in the current term, 0 for none */
byte voteBlockedUntil[N]; /* grants no vote before this time */
byte logLen[N];
byte logTerm[N * MAXLOG];
bool isLeader[N];
byte leaseEnd[N];         /* as leader, may act before this time */
byte restarts;

/* The term of each committed record, 0 for none. */
byte committed[MAXLOG];

/* The leader elected in each term, + 1, to assert that there is at most one. */
byte leaderOfTerm[MAXTERM + 1];

#define LAST_TERM(v) (logLen[v] == 0 -> 0 : logTerm[v * MAXLOG + logLen[v] - 1])
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || \
                          (LAST_TERM(c) == LAST_TERM(v) && logLen[c] >= logLen[v]))

#ifdef NO_VOTE_BLOCK
#define MAY_VOTE(v) (!isLeader[v])
#else
#define MAY_VOTE(v) (now >= voteBlockedUntil[v] && (!isLeader[v] || now >= leaseEnd[v]))
#endif

#define HOLDS_LEASE(v) (isLeader[v] && now < leaseEnd[v])

/* Asserts that no two leaders hold a lease at the same time. */
inline check_leases() {
    assert(!(HOLDS_LEASE(0) && HOLDS_LEASE(1)));
    assert(!(HOLDS_LEASE(0) && HOLDS_LEASE(2)));
    assert(!(HOLDS_LEASE(1) && HOLDS_LEASE(2)))
}

/* Candidate c wins an election: its own vote and that of voter v are a majority. The lease
   starts out expired, since no heartbeat of the new term has been acknowledged. */
inline win_election(c, v) {
    atomic {
        !isLeader[c] && MAY_VOTE(c) && MAY_VOTE(v) && term[c] < MAXTERM &&
        term[c] + 1 >= term[v] &&
        (term[c] + 1 > term[v] || votedFor[v] == 0) && UP_TO_DATE(c, v) ->
        term[c] = term[c] + 1;
        votedFor[c] = c + 1;
        term[v] = term[c];
        votedFor[v] = c + 1;
        isLeader[v] = false;
        assert(leaderOfTerm[term[c]] == 0 || leaderOfTerm[term[c]] == c + 1);
        leaderOfTerm[term[c]] = c + 1;
        isLeader[c] = true;
        leaseEnd[c] = now
    }
}

/* Check-quorum: a leader l whose lease has expired steps down. */
inline step_down(l) {
    atomic { isLeader[l] && now >= leaseEnd[l] -> isLeader[l] = false }
}

/* Candidate c starts an election, and none of its vote requests arrives: only its own term
   advances. */
inline lose_election(c) {
    atomic {
        !isLeader[c] && MAY_VOTE(c) && term[c] < MAXTERM ->
        term[c] = term[c] + 1;
        votedFor[c] = c + 1
    }
}

/* A heartbeat of leader l, with its log, that voter v acknowledges. It starts v's vote block,
   extends l's lease (counted from now) and replaces v's log by l's. */
inline heartbeat(l, v) {
    atomic {
        isLeader[l] && term[l] >= term[v] ->
        if
        :: term[v] < term[l] -> term[v] = term[l]; votedFor[v] = 0
        :: else
        fi;
        isLeader[v] = false;
        voteBlockedUntil[v] = now + VOTE_BLOCK;
        leaseEnd[l] = now + LEASE;
        check_leases();
        byte k = 0;
        do
        :: k < logLen[l] ->
            /* A committed record is never overwritten. */
            assert(k >= logLen[v] || committed[k] == 0 ||
                   committed[k] != logTerm[v * MAXLOG + k] ||
                   logTerm[l * MAXLOG + k] == committed[k]);
            logTerm[v * MAXLOG + k] = logTerm[l * MAXLOG + k];
            k++
        :: else -> break
        od;
        logLen[v] = logLen[l];
        /* l and v are a majority, so l's log is committed if its last record is of l's
           current term. A copy count alone does not commit a record of an earlier term. */
#ifdef COMMIT_OLD_TERM
        if
        :: logLen[l] > 0 -> commit(l)
#else
        if
        :: logLen[l] > 0 && LAST_TERM(l) == term[l] -> commit(l)
#endif
        :: else
        fi
    }
}

/* Records the log of leader l as committed, and asserts that no committed record changes. */
inline commit(l) {
    byte j = 0;
    do
    :: j < logLen[l] ->
        assert(committed[j] == 0 || committed[j] == logTerm[l * MAXLOG + j]);
        committed[j] = logTerm[l * MAXLOG + j];
        j++
    :: else -> break
    od
}

/* Leader l appends a record of its term. */
inline append(l) {
    atomic {
        isLeader[l] && logLen[l] < MAXLOG ->
        logTerm[l * MAXLOG + logLen[l]] = term[l];
        logLen[l] = logLen[l] + 1
    }
}

/* Voter v restarts: it is no longer leader, and its vote block starts again, since it does
   not know whether it acknowledged a leader before. */
inline restart(v) {
    atomic {
        restarts < MAXRESTARTS ->
        restarts++;
        isLeader[v] = false;
        voteBlockedUntil[v] = now + VOTE_BLOCK;
#ifdef VOTE_TWICE
        votedFor[v] = 0
#endif
    }
}

active [N] proctype Voter() {
    byte id = _pid;
    byte peer1 = (_pid + 1) % N;
    byte peer2 = (_pid + 2) % N;
    do
    :: win_election(id, peer1)
    :: win_election(id, peer2)
    :: lose_election(id)
    :: step_down(id)
    :: heartbeat(id, peer1)
    :: heartbeat(id, peer2)
    :: append(id)
    :: restart(id)
    :: atomic { now == MAXTIME -> break }
    od
}

active proctype Clock() {
    do
    :: atomic { now < MAXTIME -> now++ }
    :: atomic { now == MAXTIME -> break }
    od
}
