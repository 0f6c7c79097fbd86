/* Model of the change of a primary in an evacuated availability zone
 * (src/leadership/primary_manager_evacuation.cc and
 * primary_manager_handover.cc, src/interactive/broker_evacuation.cc).
 *
 * The members 0, 1 and 2 are each in a zone of their own; 0 is the first
 * primary. Operators evacuate zones and take that back at any time. VM P is the
 * failover controller, VM V uses the primary. Both learn of evacuations late. A
 * promotion whose result P does not know may take effect at any time later.
 * Leases to use a primary are those of rights.pml: V uses the published one,
 * and not while it is being replaced. Time advances in ticks for V's limit only.
 *
 * Properties:
 * - P does not begin to promote a member whose evacuation it knows of. It may
 *   repeat a promotion.
 * - While V uses a published primary, it is the primary.
 * - V sends nothing to a member after its limit for the member's zone.
 *
 * Each mutant removes one safeguard and must violate a property:
 * mutant: PROMOTES_EVACUATED  evacuated members are candidates
 * mutant: CHOOSES_ANEW        after an unknown result, a member that became
 *                             evacuated is given up for another one
 * mutant: RESTORES_EVACUATED  the old primary is promoted again although it is
 *                             evacuated, since an earlier promotion may take
 *                             effect
 * mutant: NO_LIMIT            V uses an evacuated primary until it is replaced
 * mutant: LIMIT_FOR_NEW_ONLY  statements of open transactions are not limited
 */
#define MEMBERS 3
#define NONE 3
#define LIMIT 1          /* Ticks. */
#define CHANGES 3        /* Of evacuations; bounds the model. */

byte changes = 0;
byte primary = 0;        /* The member that leads. */
byte record = 0;         /* The published primary. */
bool moving = false;

/* Zones: as requested, and as known to each VM. */
bool evacuated[MEMBERS];
bool p_knows[MEMBERS];
bool v_knows[MEMBERS];
byte v_age[MEMBERS];     /* Ticks since V learned of it. */

/* Promotions that the platform has received and that may still take effect. */
bool requested[MEMBERS];

/* P. */
byte chosen = NONE;
bool maybe_promoted = false;

/* V. */
bool transaction = false;  /* Open at the published primary. */

active proctype operators() {
  byte zone;
  do
  :: changes < CHANGES ->
     select(zone : 0 .. 2);
     d_step { evacuated[zone] = !evacuated[zone]; changes++ }
  :: changes >= CHANGES -> break
  od
}

active proctype platform() {
  byte member;
  do
  :: select(member : 0 .. 2);
     if
     :: d_step { requested[member] ->
          requested[member] = false; primary = member }
     :: !requested[member]
     fi
  od
}

inline may_promote(member, allowed) {
#ifdef PROMOTES_EVACUATED
  allowed = member != record
#else
  allowed = member != record && !p_knows[member]
#endif
}

active proctype p() {
  byte member;
  bool allowed;
  do
  :: select(member : 0 .. 2);
     d_step { p_knows[member] = evacuated[member] }
  /* The change begins: V has given its lease up (rights.pml). */
  :: d_step { !moving && p_knows[record] ->
       moving = true; chosen = NONE; maybe_promoted = false;
       transaction = false }
  :: moving && chosen == NONE ->
     select(member : 0 .. 2);
     d_step {
       may_promote(member, allowed);
       if
       :: allowed ->
          assert(!p_knows[member]);
          chosen = member;
          requested[member] = true;
          maybe_promoted = true
       :: else
       fi
     }
  /* The result is unknown: the same promotion is requested again. */
  :: d_step { moving && chosen != NONE && primary != chosen ->
       requested[chosen] = true }
#ifdef CHOOSES_ANEW
  :: d_step { moving && chosen != NONE && primary != chosen &&
              p_knows[chosen] -> chosen = NONE }
#endif
  /* No candidate answers: the old primary is kept unless it is evacuated. It
   * was never given up for another one, so it still leads. */
  :: d_step { moving && chosen == NONE && !maybe_promoted &&
              !p_knows[record] -> moving = false }
#ifdef RESTORES_EVACUATED
  :: d_step { moving && chosen == NONE ->
       assert(!p_knows[record]);
       chosen = record; requested[record] = true; maybe_promoted = true }
#endif
  :: d_step { moving && chosen != NONE && primary == chosen &&
              !requested[chosen] ->
       record = chosen; moving = false; chosen = NONE }
  od
}

active proctype v() {
  byte member;
  do
  :: select(member : 0 .. 2);
     d_step {
       if
       :: evacuated[member] != v_knows[member] ->
          v_knows[member] = evacuated[member];
          v_age[member] = 0
       :: else
       fi
     }
  /* A tick. The limit is enforced before anything else is sent. */
  :: d_step {
       member = 0;
       do
       :: member < MEMBERS ->
          if
          :: v_knows[member] && v_age[member] < LIMIT -> v_age[member]++
          :: else
          fi;
          member++
       :: else -> break
       od;
       member = 0;
#ifndef LIMIT_FOR_NEW_ONLY
       if
       :: v_knows[record] && v_age[record] >= LIMIT -> transaction = false
       :: else
       fi
#endif
     }
  /* A new statement or transaction. */
  :: d_step { !moving &&
#ifndef NO_LIMIT
              !(v_knows[record] && v_age[record] >= LIMIT) &&
#endif
              true ->
       assert(primary == record);
       assert(!(v_knows[record] && v_age[record] >= LIMIT));
       transaction = true }
  /* A statement of an open transaction. */
  :: d_step { transaction ->
       assert(!moving && primary == record);
       assert(!(v_knows[record] && v_age[record] >= LIMIT)) }
  :: d_step { transaction -> transaction = false }
  od
}
