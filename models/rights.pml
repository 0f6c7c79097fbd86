/* Model of the primary lease (`right` in this model), which permits a VM to use
 * a group's primary, and of its end before a promotion
 * (src/leadership/primary_leases.cc, AllStopped in primary_manager_handover.cc).
 *
 * VM V uses the primary; VM P is the failover controller and replaces it. A
 * third VM, which never learns of a change, lets V extend its primary lease
 * while V knows no other VM. Time advances in ticks. Calls and messages may be
 * lost, and the store may become unavailable for good. A read by V and a digest
 * from P may take any time. Other delays are not modelled: a late message is
 * equivalent to a lost one together with the age of the previous one.
 *
 * Property: V holds no primary lease from the promotion on.
 *
 * Each mutant removes one safeguard and must violate the property:
 * mutant: NO_REGISTRATION_CAP   a lease may outlast V's registration
 * mutant: NO_REGISTERED_READ    a read sent before the registration is accepted
 * mutant: NO_NEWCOMER_WAIT      P does not wait until V knows of it
 * mutant: NO_HEARD_WAIT         P does not wait for the end of extensions that
 *                               V made before it received a digest of P
 * mutant: NO_RIGHT_WAIT         P does not wait until the lease has expired
 * mutant: LONG_EXTENSION        extensions last longer than leases
 */
#define RIGHT 3          /* Ticks. */
#define REGISTRATION 5
#ifdef LONG_EXTENSION
#define EXTENSION 4
#else
#define EXTENSION 2
#endif
#define OLD 4            /* Upper bound of the ages of digests. */

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
byte lease = 0;              /* V's registration: remaining ticks. */

/* V. */
bool v_registered = false;
byte v_registration = 0;     /* Remaining ticks, as known to V. */
byte right = 0;              /* V's primary lease: remaining ticks. */
bool confirmed = false;      /* A read has returned the record. */
bool stopped = false;
bool knows_p = false;
bool p_unchanged = false;    /* Shown by P's last digest that echoes V's, */
byte p_made_after = OLD;     /* whose age is at most this. */
byte reading = 0;            /* 1: sent, 2: read not moving, 3: read moving. */
byte read_age = 0;
bool read_counts = false;    /* The read was sent after the registration. */

/* A digest in flight from P to V. */
bool digest = false;
bool digest_unchanged = false;
byte digest_echo = OLD;      /* Age of the digest of V that it echoes. */

/* P. */
bool p_registered = false;
byte since_registered = 0;
bool recorded = false;
byte since_recorded = 0;
byte echo_age = OLD;         /* Age of V's last digest. */
bool v_hears = false;        /* V's digests echo those of P. */
byte since_heard = 0;        /* Ticks since then. */
bool told = false;           /* V has reported that it stopped. */
byte listed = 0;             /* 1: V is registered, 2: not, 0: not read. */
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
       /* V reads all keys before it acts. */
       knows_p = knows_p || p_registered }
  /* A renewal; its answer may be lost. */
  :: d_step { v_registered && lease > 0 ->
       lease = REGISTRATION;
       v_registration = REGISTRATION;
       knows_p = knows_p || p_registered }
  :: d_step { v_registered && lease > 0 -> lease = REGISTRATION }
  /* The answer to a renewal says that the registration has ended. */
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
  /* Digests of the third VM are always recent. */
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
  /* A digest from V arrives. */
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
