/*
 * One task that runs under a lease at a worker and is started again at another.
 *
 * Worker 0 has two agent processes, one after the other. It also runs tasks of other
 * entries, for which the agent goes on extending the lease, which is one for all tasks.
 * A start call may be executed late or never. Stop calls may be lost any number of times.
 * An agent may die at any time, and may be frozen at any time and for any time: nothing
 * that it does is due. Worker 1 represents any other worker: the entry, or after its
 * death or its caller's departure another entry to which the caller sends the job again,
 * starts the task there. The dispatch confirms that the entry is alive by an estimate of
 * the agent's clock, which may lag, and arrives at any later time. Time advances in
 * ticks of 0.3 s. A tick cannot pass before the end of a run whose lease has ended.
 *
 * The model leaves out what only lets less happen: the loss of a call that extends the
 * lease or of an agent's report, and a broken link, since a linked entry need not confirm
 * anything either.
 *
 * Mutations are enabled with -DMUT_..., assumptions are dropped with -DGAP_...; see README.md.
 */

#define TERM 3               /* ticks from a renewal to the end of the lease */
#define ORPHAN 3             /* age of the entry's confirmation at which an agent refuses a dispatch */
#define OWNER 4              /* ticks from the entry's newest confirmation to the end of the lease */
#define STOP 3               /* ticks from the request of a stop to the end of the lease */
#define FIRST 1              /* start of time; a time of 0 means none */
#define LAST 9               /* end of time */
#define LAST_DISPATCH 2      /* latest time at which the entry sends the dispatch */
#ifdef GAP_LATE_REVOKE
#define REVOKE 2
#else
#define REVOKE 1             /* ticks within which an entry that its caller left asks for the stop */
#endif

#ifdef MUT_ESTIMATE_AHEAD
#define ESTIMATE (now + 3)   /* ahead of the agent's clock */
#else
#define ESTIMATE now
#endif
#ifdef MUT_ACCEPT_OLD_DISPATCH
#define FRESH true
#define SEEN now             /* takes the arrival of the dispatch for a sign of life */
#else
#define FRESH (now < heard + ORPHAN)
#define SEEN heard
#endif
#ifdef MUT_JOIN_LONGER_LEASE
#define JOINS true           /* the task joins a lease that extends beyond its own limit */
#else
#define JOINS (until <= SEEN + OWNER)
#endif

#ifdef MUT_RELEASE_EARLY
#define RELEASE ORPHAN       /* ignores that the lease continues after the agent would stop the task */
#else
#define RELEASE (OWNER + 1)
#endif
#ifdef MUT_RESEND_EARLY
#define RESEND 1
#else
#define RESEND 5             /* pause of a caller, shorter than ORPHAN + TERM */
#endif

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

byte now = FIRST;

/* Worker 0. */
bool running;
byte until;                  /* end of the lease, as far as the agent has extended it */
bool crashed;                /* the worker restarted under another ID */

/* The start call. It is executed at most once. A stop that is answered, or a higher fencing
 * token, has the effect that it is never executed. */
mtype = { unsent, sent, done };
mtype start = unsent;
byte startUntil;

/* The agents of worker 0. */
mtype = { first, dead, second, settled };
mtype agent = first;
byte vouched;                /* newest time at which the agent knows that the entry was alive */
byte stopAsked;              /* time at which the attempt was requested to end */
bool gone;                   /* the first agent knows that the run has ended or never starts */

/* The entry and its caller. */
bool dispatched;
byte heard;                  /* estimate of the agent's clock in the dispatch on its way */
byte vouchedAt;              /* entry's time of its latest confirmation to the agent */
byte leftAt;                 /* time at which the entry died or the caller left it */
bool elsewhere;              /* the task runs at worker 1 */

inline check() {
  /* No task has two runs at once. */
  assert(!(running && elsewhere))
}

/* The entry or another one starts the task at worker 1. After this only the start call
 * can do harm, and it may be executed at once, so that time stands still. */
inline startElsewhere() {
  elsewhere = true;
  check()
}

/* Worker 0 executes the start call, possibly late. */
inline carryOut() {
  start = done;
  if
#ifndef MUT_NO_LEASE_END
  :: now >= startUntil -> skip
#endif
#ifndef MUT_ANY_LIFE
  :: crashed -> skip
#endif
  :: else ->
     until = MAX(startUntil, until);
     running = true
  fi;
  startUntil = 0
}

proctype Worker() {
  do
  :: atomic { start == sent -> carryOut(); check() }
  :: atomic { running && !elsewhere -> running = false }    /* done, failed or lapsed */
  :: atomic { start != unsent && !crashed && !elsewhere -> crashed = true; running = false; until = 0 }
  :: now == LAST || elsewhere && start != sent -> break
  od
}

/* The end of a lease that the first agent extends now for other tasks; it lies in the
 * past while the lease must not be extended. */
#if defined(MUT_EXTEND_FOR_OTHERS)
#define OWNER_LIMIT (now + TERM)
#else
#define OWNER_LIMIT (start != unsent && !gone -> vouched + OWNER : now + TERM)
#endif
#if defined(MUT_EXTEND_UNCONFIRMED)
#define STOP_LIMIT (now + TERM)
#else
#define STOP_LIMIT (stopAsked != 0 && !gone -> stopAsked + STOP : now + TERM)
#endif
#define LIMIT MIN(now + TERM, MIN(OWNER_LIMIT, STOP_LIMIT))

#ifdef MUT_START_FOR_TERM
#define START_LIMIT (now + TERM)
#else
#define START_LIMIT MIN(now + TERM, SEEN + OWNER)
#endif

#ifdef MUT_LAPSED_EARLY
#define LAPSED (now >= stopAsked + 1)
#else
#define LAPSED (now >= stopAsked + STOP && now > until && now > startUntil)
#endif

inline isGone() { gone = true; vouched = 0; stopAsked = 0 }

/* The first agent, which accepts the attempt. */
proctype First() {
  do
  :: atomic { heard != 0 && agent == first && FRESH && JOINS && !elsewhere ->
     start = sent; startUntil = START_LIMIT; vouched = SEEN; heard = 0 }
  /* A hold call renews the lease for other tasks. */
  :: atomic { agent == first && !gone && !crashed && until < LIMIT && !elsewhere -> until = LIMIT }
  /* The entry asked for a stop, or no longer confirms, or the outcome of the start is unknown. */
  :: atomic { agent == first && start != unsent && stopAsked == 0 && !gone && !elsewhere -> stopAsked = now }
  /* A stop call is answered, and a hold call after it lists nothing. All other stops are lost. */
  :: atomic { agent == first && stopAsked != 0 && !gone && !crashed && !elsewhere ->
     running = false;
#ifndef MUT_NO_BAR
     start = done; startUntil = 0;
#endif
     isGone() }
#ifdef MUT_HOLD_BEFORE_STOP
  :: atomic { agent == first && start != unsent && !gone && !running && !elsewhere -> isGone() }
#endif
  /* The stop was not confirmed until every lease that was sent had lapsed. */
  :: atomic { agent == first && stopAsked != 0 && !gone && LAPSED && !elsewhere -> isGone() }
  /* An announcement by an instance of the worker with another ID proves that the run has ended. */
  :: atomic { agent == first && start != unsent && !gone && crashed && !elsewhere -> isGone() }
  :: atomic { agent == first && start != unsent && !elsewhere ->        /* killed */
     agent = dead; vouched = 0; stopAsked = 0 }
  :: now == LAST || agent != first || elsewhere -> break
  od
}

/* Its successor reads the worker's clock, uses a higher fencing token and stops any
 * run that it finds. It does not extend the lease before. */
proctype Second() {
  do
  :: atomic { agent == dead && !elsewhere -> agent = second }
  :: atomic { agent == second && !elsewhere ->
     agent = settled; running = false;
#ifndef MUT_CONSTANT_TOKEN
     start = done; startUntil = 0
#endif
     }
  :: now == LAST || elsewhere -> break
  od
}

#ifdef MUT_SETTLED_AT_ONCE
#define SETTLED (agent == second || agent == settled)
#else
#define SETTLED (agent == settled)
#endif

/* The entry asked for a stop in time after its caller left. What it sends is in order, so
 * that it confirms nothing later before the agent has the request. */
#ifdef GAP_ECHO_BEFORE_REVOKE
#define REVOKED (now <= leftAt + REVOKE || stopAsked != 0 && stopAsked <= leftAt + REVOKE)
#else
#define REVOKED (now == leftAt || stopAsked != 0 && stopAsked <= leftAt + REVOKE)
#endif

/* The entry confirms that it is alive and starts the task at another worker once the run
 * has ended. When the entry dies or the caller leaves it, the caller sends the job to
 * another one. An entry that lives goes on confirming for its other tasks. */
proctype Entry() {
  do
  :: atomic { !dispatched && now <= LAST_DISPATCH ->
     dispatched = true; vouchedAt = now;
     if
     :: heard = ESTIMATE
     :: now > FIRST -> heard = ESTIMATE - 1
     fi }
  :: atomic { start != unsent && agent == first && !gone && !elsewhere && vouched < now && (leftAt == 0 || REVOKED) ->
     vouched = now;
     if
     :: leftAt == 0 -> vouchedAt = now
     :: else -> skip
     fi }
  :: atomic { start != unsent && leftAt == 0 && (gone || SETTLED) && !elsewhere -> startElsewhere() }
  :: atomic { dispatched && leftAt == 0 && now >= vouchedAt + RELEASE && !elsewhere -> startElsewhere() }
  :: atomic { dispatched && leftAt == 0 && !elsewhere -> leftAt = now; vouchedAt = 0 }
  :: atomic { leftAt != 0 && now >= leftAt + RESEND && !elsewhere -> startElsewhere() }
  :: now == LAST || elsewhere -> break
  od
}

/* Time does not pass while a run whose lease has ended has not been ended. A dispatch that
 * is too old and a lease that has ended are forgotten. */
#define LEASE_DUE (running && now >= until)

proctype Clock() {
  do
  :: atomic { now < LAST && !LEASE_DUE && !elsewhere ->
     now++;
     if
     :: until < now -> until = 0
     :: else -> skip
     fi }
  :: now == LAST || elsewhere -> break
  od
}

init {
  atomic { run Worker(); run First(); run Second(); run Entry(); run Clock() }
}
