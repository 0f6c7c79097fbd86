/* The right of a VM to use a group's primary, and its end before a promotion
 * (src/leadership/keeper_rights.cc, AllStopped in keeper_handover.cc).
 *
 * VM V uses the primary; VM P has the duty and replaces it. A third VM, which
 * never hears of a change, lets V extend its right while V knows no other VM.
 * Time runs in ticks. Calls and messages may be lost, and the store may be away
 * for ever. A read of V and a digest of P take any time; for all else, a late
 * arrival is covered by one that never comes and the age of the one before.
 *
 * Claim: from the promotion on, V has no right.
 *
 * Each mutant breaks one guard and must be rejected:
 * mutant: NO_REGISTRATION_CAP   a right may outlast V's registration
 * mutant: NO_REGISTERED_READ    a read from before the registration counts
 * mutant: NO_NEWCOMER_WAIT      P does not wait for V to learn of it
 * mutant: NO_HEARD_WAIT         P does not wait for the end of what V extended
 *                               before it heard P
 * mutant: NO_RIGHT_WAIT         P does not wait for the right's end
 * mutant: LONG_EXTENSION        extensions last longer than rights
 */
#define RIGHT 3          /* Ticks. */
#define REGISTRATION 5
#ifdef LONG_EXTENSION
#define EXTENSION 4
#else
#define EXTENSION 2
#endif
#define OLD 4            /* Ages of reads and digests stop here. */

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define LEFT(life, age) ((life) > (age) -> (life) - (age) : 0)
#define RAISE(x, to) x = ((to) > x -> (to) : x)
#define AGE(x, limit) x = ((x) < (limit) -> x + 1 : x)
#define RUN_DOWN(x) x = (x > 0 -> x - 1 : 0)
#ifdef NO_REGISTRATION_CAP
#define CAPPED(left) (left)
#else
#define CAPPED(left) MIN(left, v_registration)
#endif

/* The store. */
bool moving = false;
byte lease = 0;              /* Ticks left of V's registration. */

/* V. */
bool v_registered = false;
byte v_registration = 0;     /* Ticks left, as V knows. */
byte right = 0;              /* Ticks left. */
bool confirmed = false;      /* A read showed the record. */
bool stopped = false;
bool knows_p = false;
bool p_unchanged = false;    /* By the last digest of P that echoes V's, */
byte p_made_after = OLD;     /* which was made after this age. */
byte reading = 0;            /* 1 sent, 2 not moving, 3 moving. */
byte read_age = 0;
bool read_counts = false;    /* Sent after the present registration. */

/* A digest of P on its way to V. */
bool digest = false;
bool digest_unchanged = false;
byte digest_echo = OLD;      /* Age of V's digest that it echoes. */

/* P. */
bool p_registered = false;
byte since_registered = 0;
bool recorded = false;
byte since_recorded = 0;
byte echo_age = OLD;         /* Age of V's last digest. */
bool v_hears = false;        /* V's digests echo those of P, */
byte since_heard = 0;        /* for this long. */
bool told = false;           /* V said that it stopped. */
byte listed = 0;             /* 1 V is registered, 2 it is not. */
bool promoted = false;

inline end_read() {
  reading = 0;
  read_age = 0;
  read_counts = false
}

inline stop() {
  stopped = true;
  confirmed = false;
  right = 0
}

active proctype clock() {
  do
  :: d_step { !promoted || right > 0 ->
       RUN_DOWN(lease);
       RUN_DOWN(v_registration);
       RUN_DOWN(right);
       if
       :: v_registered && v_registration == 0 ->
          v_registered = false;
          confirmed = false
       :: else
       fi;
       if :: reading != 0 -> AGE(read_age, RIGHT) :: else fi;
       AGE(p_made_after, OLD);
       AGE(digest_echo, OLD);
       AGE(echo_age, OLD);
       if :: p_registered -> AGE(since_registered, REGISTRATION) :: else fi;
       if :: v_hears -> AGE(since_heard, EXTENSION) :: else fi;
       if :: recorded -> AGE(since_recorded, RIGHT) :: else fi
     }
  od
}

active proctype v() {
  do
  :: d_step { !v_registered ->
       lease = REGISTRATION;
       v_registration = REGISTRATION;
       v_registered = true;
#ifndef NO_REGISTERED_READ
       read_counts = false;
#endif
       /* It loads all keys before it acts. */
       knows_p = knows_p || p_registered }
  /* A renewal; its answer may be lost. */
  :: d_step { v_registered && lease > 0 ->
       lease = REGISTRATION;
       v_registration = REGISTRATION;
       knows_p = knows_p || p_registered }
  :: d_step { v_registered && lease > 0 -> lease = REGISTRATION }
  /* A renewal is answered with the end of the registration. */
  :: d_step { v_registered && lease == 0 ->
       v_registered = false; v_registration = 0; confirmed = false;
       right = 0 }
  :: d_step { v_registered && reading == 0 && !stopped ->
       reading = 1; read_counts = true }
  :: d_step { reading == 1 -> reading = (moving -> 3 : 2) }
  :: d_step { reading != 0 -> end_read() }  /* Lost. */
  :: d_step { reading == 2 && !stopped ->
       if
       :: read_counts && v_registered ->
          confirmed = true;
          RAISE(right, CAPPED(LEFT(RIGHT, read_age)))
       :: else
       fi;
       end_read() }
  :: d_step { reading == 3 -> stop(); end_read() }
  /* The third VM's digests are always new. */
  :: d_step { confirmed && !knows_p -> RAISE(right, CAPPED(EXTENSION)) }
  :: d_step { confirmed && p_unchanged ->
       RAISE(right, CAPPED(LEFT(EXTENSION, p_made_after))) }
  :: d_step { digest ->
       knows_p = true;
       if
       :: !digest_unchanged -> stop()
       :: digest_unchanged && digest_echo < p_made_after ->
          p_unchanged = true;
          p_made_after = digest_echo
       :: else
       fi;
       digest = false; digest_unchanged = false; digest_echo = OLD }
  od
}

active proctype p() {
  do
  :: d_step { !p_registered -> p_registered = true }
  /* A digest of V arrives. */
  :: d_step { p_registered && (echo_age > 0 || told != stopped) ->
       echo_age = 0;
       v_hears = v_hears || p_made_after < OLD;
       told = told || stopped }
  :: d_step { p_registered && !digest ->
       digest = true;
       digest_unchanged = !recorded;
       digest_echo = echo_age }
  :: d_step { digest ->                     /* Lost. */
       digest = false; digest_unchanged = false; digest_echo = OLD }
  :: d_step { p_registered && !moving -> moving = true }
  :: d_step { moving && !recorded -> recorded = true }
  :: d_step { recorded && listed == 0 -> listed = (lease > 0 -> 1 : 2) }
  :: d_step { listed != 0 && !promoted &&
       (listed == 2 || told ||
#ifndef NO_RIGHT_WAIT
        (since_recorded >= RIGHT) &&
#endif
#ifndef NO_NEWCOMER_WAIT
        (since_registered >= REGISTRATION ||
#ifdef NO_HEARD_WAIT
         v_hears) &&
#else
         since_heard >= EXTENSION) &&
#endif
#endif
        true) -> promoted = true }
  :: atomic { promoted && right > 0 -> assert(false) }
  od
}
