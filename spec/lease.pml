/*
 * One task under a lease at a worker, started again elsewhere.
 *
 * Worker 0 has two agent processes, one after the other; each start may be lost
 * or carried out late. Worker 1 stands for "elsewhere": the entry, or after its
 * loss another entry to which the caller sends the job again, starts the task
 * there once the run at worker 0 is proven over. The dispatch vouches for the
 * attempt with an estimate of the agent's clock, which may lag, and arrives at any
 * later time. Time advances in ticks. A tick
 * waits for what has to happen at once: the end of a lease, and the stop by an
 * agent that is up.
 *
 * Mutations are switched on with -DMUT_...; see README.md.
 */

#define TERM 2               /* ticks that a lease lasts from its renewal */
#define ORPHAN 2             /* age of the newest vouching at which an agent stops a task */
#define STOP 1               /* ticks that a stop takes */
#define LAST 9               /* end of time */
#define LAST_DISPATCH 1      /* latest time at which the entry sends the dispatch */

#ifdef MUT_ESTIMATE_AHEAD
#define ESTIMATE (now + 3)   /* an estimate that runs ahead of the agent's clock */
#else
#define ESTIMATE now
#endif
#ifdef MUT_ACCEPT_OLD_DISPATCH
#define FRESH true
#else
#define FRESH (now < heard + ORPHAN)
#endif

#ifdef MUT_RELEASE_EARLY
#define RELEASE ORPHAN       /* forgets that the lease outlives the last renewal */
#else
#define RELEASE (ORPHAN + TERM + 1)
#endif
#ifdef MUT_RESEND_EARLY
#define RESEND 1
#else
#define RESEND (ORPHAN + TERM + STOP + 1)
#endif

byte now;

/* Worker 0. A run is numbered 1; 0 means none. */
bool running;
byte until;                  /* end of the lease */
byte fence;                  /* highest token seen */
bool barred;                 /* a stop was answered: the run does not start any more */
bool ended;
byte life;                   /* 0, or 1 after a crash and restart */

/* The start that was sent, which may be carried out once, at any time. */
bool sentStart, carriedOut;
byte startUntil, startFence, startLife;

/* The agents of worker 0. */
byte agent;                  /* 0 or 1: the process that is up last */
bool agentUp = true;
bool cleared = true;         /* nothing of an earlier agent runs */
bool dispatched0;            /* the first agent took the attempt */
byte vouched;                /* newest time that the agent knows the entry to be alive */
bool stopAnswered;
bool saidOver;               /* told the entry that the run is over or never was */
byte token = 1;

/* The entry. */
bool entryDead;
byte diedAt;
bool sentDispatch;
byte heard;                  /* the agent's clock as the dispatch repeats it */
byte vouchedAt;              /* when the entry vouched last, by its own clock */
bool linkDown;
bool elsewhere;              /* the task runs at worker 1 */

inline check() {
  /* No task has two runs at once. */
  assert(!(running && elsewhere))
}

/* Worker 0 carries out the start, perhaps late. */
inline carryOut() {
  carriedOut = true;
  if
#ifndef MUT_NO_LEASE_END
  :: now >= startUntil -> skip
#endif
#ifndef MUT_ANY_LIFE
  :: startLife != life -> skip
#endif
  :: startFence < fence -> skip
  :: barred || running || ended -> skip
  :: else ->
     fence = (startFence > fence -> startFence : fence);
     until = (startUntil > until -> startUntil : until);
     running = true
  fi
}

proctype Worker() {
  do
  :: atomic { sentStart && !carriedOut -> carryOut(); check() }
  :: atomic { sentStart && !carriedOut -> carriedOut = true }          /* lost */
  :: atomic { running && now < until -> running = false; ended = true } /* done or failed */
  :: atomic { running && now >= until -> running = false; ended = true } /* lapsed */
  :: atomic { life == 0 ->                                              /* crash and restart */
     life = 1; running = false; fence = 0; until = 0; barred = false; ended = false }
  :: now == LAST -> break
  od
}

/* The agent that took the attempt. */
proctype First() {
  do
  :: atomic { sentDispatch && agentUp && agent == 0 && !dispatched0 && FRESH ->
     dispatched0 = true; vouched = (heard > vouched -> heard : vouched); sentStart = true;
     startUntil = now + TERM; startFence = token; startLife = life }
  /* A hold renews the lease while the entry vouches for the task. */
  :: atomic { agentUp && agent == 0 && running && !stopAnswered && now < vouched + ORPHAN && token >= fence ->
     until = (now + TERM > until -> now + TERM : until) }
  /* The start is in doubt, or the entry does not vouch any more: a stop. */
  :: atomic { agentUp && agent == 0 && dispatched0 && !stopAnswered && token >= fence && life == startLife ->
#ifndef MUT_NO_BAR
     barred = true;
#endif
     if
     :: running -> running = false; ended = true
     :: else -> skip
     fi;
     stopAnswered = true }
  /* A hold after the stop shows that nothing runs. */
#ifdef MUT_HOLD_BEFORE_STOP
  :: atomic { agentUp && agent == 0 && dispatched0 && !running && !linkDown -> saidOver = true }
#else
  :: atomic { agentUp && agent == 0 && stopAnswered && !running && !linkDown -> saidOver = true }
#endif
  /* An announcement of a younger life ends the attempt. */
  :: atomic { agentUp && agent == 0 && dispatched0 && life != startLife && !linkDown -> saidOver = true }
  :: atomic { agentUp && agent == 0 -> agentUp = false; cleared = false }   /* killed */
  :: now == LAST -> break
  od
}

/* Its successor learns the worker's clock, takes a higher token and stops what it
 * finds. */
proctype Second() {
  do
  :: atomic { !agentUp && agent == 0 -> agent = 1; agentUp = true;
#ifndef MUT_CONSTANT_TOKEN
     token = 2
#endif
     }
  :: atomic { agentUp && agent == 1 && !cleared && token >= fence ->
     fence = token;
     if
     :: running -> running = false; ended = true
     :: else -> skip
     fi;
     cleared = true }
#ifdef MUT_SETTLED_AT_ONCE
  :: atomic { agentUp && agent == 1 && dispatched0 && !linkDown -> saidOver = true }
#else
  :: atomic { agentUp && agent == 1 && cleared && dispatched0 && !linkDown -> saidOver = true }
#endif
  :: now == LAST -> break
  od
}

/* The entry vouches while it is alive and linked, and starts the task elsewhere
 * once the run is over. When it dies, the caller sends the job to another. */
proctype Entry() {
  do
  :: atomic { !entryDead && !linkDown && !sentDispatch && now <= LAST_DISPATCH ->
     sentDispatch = true; vouchedAt = now;
     if
     :: heard = ESTIMATE
     :: now > 0 -> heard = ESTIMATE - 1
     fi }
  :: atomic { !entryDead && !linkDown && dispatched0 && !elsewhere -> vouched = now; vouchedAt = now }
  :: atomic { !linkDown -> linkDown = true }
  :: atomic { !entryDead && dispatched0 && saidOver && !elsewhere -> elsewhere = true; check() }
  :: atomic { !entryDead && sentDispatch && linkDown && !elsewhere && now >= vouchedAt + RELEASE ->
     elsewhere = true; check() }
  :: atomic { !entryDead && !elsewhere && sentDispatch -> entryDead = true; diedAt = now }
  :: atomic { entryDead && !elsewhere && now >= diedAt + RESEND -> elsewhere = true; check() }
  :: now == LAST -> break
  od
}

/* Time does not pass while a lease that has ended has not been acted upon, nor
 * while an agent that is up and reaches the worker owes a stop. */
#define LEASE_DUE (running && now >= until)
#define STOP_DUE (agentUp && agent == 0 && running && !stopAnswered && now >= vouched + ORPHAN + STOP)

proctype Clock() {
  do
  :: atomic { now < LAST && !LEASE_DUE && !STOP_DUE -> now++; check() }
  :: now == LAST -> break
  od
}

init {
  atomic { run Worker(); run First(); run Second(); run Entry(); run Clock() }
}
