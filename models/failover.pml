/* Failover of one group of three members with fencing by promises.
 *
 * Members hold a log of entries (term, write), a promise and the term in which
 * they serve. Two coordinators, a writer at each member that serves, and
 * crashes act in any order. Each step of a coordinator at one member is one
 * atomic step that may also never happen, which covers lost and delayed
 * commands; command answers that are lost are covered by a coordinator that
 * stops at any point. A write is acknowledged by the rule of docs/design.md,
 * section 5, from the replication table, which may be old.
 *
 * Claims:
 *  1 At most one member becomes primary in a term.
 *  2 A member that becomes primary of a term holds every write that was
 *    acknowledged in a lower term so far.
 *  3 A write that is acknowledged when a primary of a higher term exists is in
 *    the log of that primary: its gateway's evidence was old, but it held.
 *  4 The term in which a member serves never falls.
 *
 * The rule that a member whose reported promise is higher does not count for
 * an acknowledgement is left out: the claims hold without it.
 *
 * Each mutant breaks one guard and must be rejected:
 * mutant: NO_FENCE_MAJORITY          one promise is enough to promote
 * mutant: NO_MOST_ADVANCED           any fenced member may be promoted
 * mutant: NO_PROMISE_IN_FENCE        two coordinators get one term's promise
 * mutant: NO_PROMISE_IN_PROMOTE      a member is promoted after a newer promise
 * mutant: NO_PROMISE_IN_REPLICATION  a fenced member takes an older term's log
 * mutant: NO_ACK_MAJORITY            the primary's own copy is enough
 * mutant: NO_ACK_TERM                a copy that a member held in another term
 *                                    counts
 */
#define MEMBERS 3
#define MAJORITY 2
#define WRITES 2      /* Writes over all terms. */
#define ATTEMPTS 2    /* Failovers beyond the initial term 1. */
#define SLOTS 2       /* Log length; there is an entry for each write only. */

#ifdef NO_ACK_TERM
#define REPORTS(p, m) true
#define MATCHED(m) (at[m].length)
#else
#define REPORTS(p, m) (at[m].term == at[p].term)
#define MATCHED(m) (at[m].matched)
#endif

/* Log entry: 0 is none, otherwise term * 4 + write. */
#define TERM(entry) ((entry) / 4)
#define WRITE(entry) ((entry) % 4)

typedef member_state {
  byte log[SLOTS];
  byte length;
  byte term;         /* Term in which it serves or follows. */
  byte promise;      /* Highest promised term. */
  byte promised_to;  /* Coordinator of the promise. */
  bool primary;
  byte matched;      /* Length that matches the primary of `term`. */
  /* Replication table of a primary: what it knows of the others. */
  byte known_term[MEMBERS];
  byte known_length[MEMBERS];
};

member_state at[MEMBERS];
byte writes = 0;             /* Writes begun; the ids are 1 to WRITES. */
byte acknowledged[4];        /* Term in which a write was, or 0. */
byte primary_of[ATTEMPTS + 4];  /* Member + 1 that got the term. */
/* Scratch variables inside deterministic steps; no part of the state. */
hidden byte slot, where, count, other, w;
hidden byte held;

inline last_term(m, result) {
  result = (at[m].length == 0 -> 0 : TERM(at[m].log[at[m].length - 1]))
}

inline holds(m, w, result) {
  result = false;
  slot = 0;
  do
  :: slot < at[m].length ->
     if
     :: WRITE(at[m].log[slot]) == w -> result = true
     :: else
     fi;
     slot++
  :: else -> break
  od
}

/* A primary accepts a write; what it holds itself needs no report. */
inline write_at(m) {
  writes++;
  at[m].log[at[m].length] = at[m].term * 4 + writes;
  at[m].length++
}

/* Member m takes the log of primary p as it stands. The truncation at the
   point of divergence and the copy are one step; the report to the primary is
   another, so the table may be old but never ahead. */
inline replicate(p, m) {
  slot = 0;
  do
  :: slot < SLOTS ->
     at[m].log[slot] = (slot < at[p].length -> at[p].log[slot] : 0);
     slot++
  :: else -> break
  od;
  at[m].length = at[p].length;
  at[m].matched = at[p].length
}

/* The primary's table learns what m holds. */
inline report_to(p, m) {
  at[p].known_term[m] = at[m].term;
  at[p].known_length[m] = MATCHED(m)
}

/* The gateway of p acknowledges write w if the table shows a majority. */
inline try_acknowledge(p, w) {
  slot = 0;
  where = 0;
  do
  :: slot < at[p].length ->
     if
     :: WRITE(at[p].log[slot]) == w && TERM(at[p].log[slot]) == at[p].term ->
        where = slot + 1
     :: else
     fi;
     slot++
  :: else -> break
  od;
  count = 0;
  other = 0;
  do
  :: other < MEMBERS ->
     if
     :: other == p -> count++
#ifdef NO_ACK_TERM
     :: other != p && at[p].known_length[other] >= where -> count++
#else
     :: other != p && at[p].known_term[other] == at[p].term &&
        at[p].known_length[other] >= where -> count++
#endif
     :: else
     fi;
     other++
  :: else -> break
  od;
  if
#ifdef NO_ACK_MAJORITY
  :: where > 0 ->
#else
  :: where > 0 && count >= MAJORITY ->
#endif
     acknowledged[w] = at[p].term;
     /* Claim 3: every later primary so far holds it. */
     other = 0;
     do
     :: other < MEMBERS ->
        if
        :: at[other].primary && at[other].term > at[p].term ->
           holds(other, w, held);
           assert(held)
        :: else
        fi;
        other++
     :: else -> break
     od
  :: else
  fi;
  other = 0
}

#define WRITE_STEP(p) \
  :: d_step { at[p].primary && at[p].promise <= at[p].term && \
              writes < WRITES -> write_at(p) }

#ifdef NO_PROMISE_IN_REPLICATION
#define ACCEPTS(p, m) true
#else
#define ACCEPTS(p, m) (at[m].promise <= at[p].term)
#endif

#define REPLICATE_STEP(p, m) \
  :: d_step { at[p].primary && !at[m].primary && at[m].term == at[p].term && \
              at[m].matched < at[p].length && ACCEPTS(p, m) -> \
              replicate(p, m) } \
  :: d_step { at[p].primary && REPORTS(p, m) && \
              at[p].known_length[m] < MATCHED(m) -> report_to(p, m) }

#define ACKNOWLEDGE_STEP(p, id) \
  :: d_step { at[p].primary && at[p].promise <= at[p].term && \
              id <= writes && acknowledged[id] == 0 -> \
              w = id; try_acknowledge(p, w) }

/* The databases: writes, replication and acknowledgement in any order. */
active proctype databases() {
  do
  WRITE_STEP(0) WRITE_STEP(1) WRITE_STEP(2)
  REPLICATE_STEP(0, 1) REPLICATE_STEP(0, 2) REPLICATE_STEP(1, 0)
  REPLICATE_STEP(1, 2) REPLICATE_STEP(2, 0) REPLICATE_STEP(2, 1)
  ACKNOWLEDGE_STEP(0, 1) ACKNOWLEDGE_STEP(1, 1) ACKNOWLEDGE_STEP(2, 1)
  ACKNOWLEDGE_STEP(0, 2) ACKNOWLEDGE_STEP(1, 2) ACKNOWLEDGE_STEP(2, 2)
  od
}

#ifdef NO_PROMISE_IN_FENCE
#define MAY_PROMISE(m) (at[m].promise <= term)
#else
#define MAY_PROMISE(m) (at[m].promise < term || \
  (at[m].promise == term && at[m].promised_to == self))
#endif

#ifdef NO_PROMISE_IN_PROMOTE
#define MAY_PROMOTE true
#else
#define MAY_PROMOTE (at[best].promise == term && at[best].promised_to == self)
#endif

#ifdef NO_FENCE_MAJORITY
#define FENCED_ENOUGH (fenced[0] + fenced[1] + fenced[2] >= 1)
#else
#define FENCED_ENOUGH (fenced[0] + fenced[1] + fenced[2] >= MAJORITY)
#endif

#define TERM_STEP(m) :: d_step { term = at[m].promise + 1 }

/* The status row that goes with the promise is what the choice uses later. */
#define FENCE_STEP(m) \
  :: d_step { !fenced[m] && MAY_PROMISE(m) -> \
              at[m].promise = term; at[m].promised_to = self; \
              fenced[m] = true; \
              seen_length[m] = at[m].length; \
              last_term(m, seen_term[m]) }

#define FOLLOW_STEP(m) \
  :: d_step { m != best && at[m].term < term && MAY_PROMISE(m) -> \
              at[m].promise = term; at[m].promised_to = self; \
              at[m].primary = false; at[m].term = term; at[m].matched = 0 }

inline choose() {
  other = 0;
  best = MEMBERS;
  do
  :: other < MEMBERS ->
     if
     :: fenced[other] && best == MEMBERS -> best = other
#ifndef NO_MOST_ADVANCED
     :: fenced[other] && best < MEMBERS &&
        (seen_term[other] > seen_term[best] ||
         (seen_term[other] == seen_term[best] &&
          seen_length[other] > seen_length[best])) -> best = other
#endif
     :: else
     fi;
     other++
  :: else -> break
  od;
  other = 0
}

inline promote() {
  /* Claim 1. */
  assert(primary_of[term] == 0 || primary_of[term] == best + 1);
  primary_of[term] = best + 1;
  /* Claim 4. */
  assert(at[best].term < term);
  /* Claim 2. */
  w = 1;
  do
  :: w <= WRITES ->
     if
     :: acknowledged[w] > 0 && acknowledged[w] < term ->
        holds(best, w, held);
        assert(held)
     :: else
     fi;
     w++
  :: else -> break
  od;
  at[best].primary = true;
  at[best].term = term;
  at[best].matched = at[best].length;
  other = 0;
  do
  :: other < MEMBERS ->
     at[best].known_term[other] = 0;
     at[best].known_length[other] = 0;
     other++
  :: else -> break
  od;
  other = 0
}

/* One coordinator: term, fence, choose, promote, follow. It may stop before
   any step. Two of them run at once; the second may also be the first after a
   crash, since an attempt has a coordinator id of its own. */
proctype coordinator(byte self) {
  byte term, best;
  bool fenced[MEMBERS];
  byte seen_length[MEMBERS];
  byte seen_term[MEMBERS];
  /* The term is above the promises that it saw, perhaps of one member. */
  if
  TERM_STEP(0) TERM_STEP(1) TERM_STEP(2)
  fi;
  do
  FENCE_STEP(0) FENCE_STEP(1) FENCE_STEP(2)
  :: FENCED_ENOUGH -> break
  od;
  skip;
  d_step { choose() };
  if
  :: d_step { MAY_PROMOTE -> promote() }
  :: goto done
  fi;
  do
  FOLLOW_STEP(0) FOLLOW_STEP(1) FOLLOW_STEP(2)
  :: break
  od;
done:
  skip;
  d_step {
    term = 0; best = 0;
    fenced[0] = false; fenced[1] = false; fenced[2] = false;
    seen_length[0] = 0; seen_length[1] = 0; seen_length[2] = 0;
    seen_term[0] = 0; seen_term[1] = 0; seen_term[2] = 0
  }
}

init {
  atomic {
    other = 0;
    do
    :: other < MEMBERS ->
       at[other].term = 1;
       at[other].promise = 1;
       other++
    :: else -> break
    od;
    at[0].primary = true;
    primary_of[1] = 1;
    run coordinator(1);
    run coordinator(2)
  }
}
