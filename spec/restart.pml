/*
 * One task that runs under a lease at a worker that may restart under the ID that it had.
 *
 * A call names only the ID, so that the new instance carries out calls that were meant for
 * the earlier one. Its clock, the highest fencing token and the runs that it may no longer
 * start begin anew. A call that is carried out late is carried out by the instance that
 * received it. An end of the lease on the clock of an earlier instance lies so far ahead
 * that the new one grants the longest lease that it knows, whenever it carries out the call.
 *
 * The worker has two agent processes, one after the other. The first learns of a restart
 * from an announcement or the answer to a hold call, and takes the worker over again. Any
 * call and any answer may be lost, and the agent may die or be frozen at any time. Another
 * worker, called worker 1, starts the task when the agent reports its end.
 *
 * No time passes, so that a run may end with its lease at any moment and nothing that
 * counts on such an end happens: the agent does not end attempts because their lease has
 * lapsed, and no task starts elsewhere because of the time since its entry confirmed or
 * died. With -DGAP_LAPSE or -DGAP_RELEASE time advances in ticks of 0.3 s as in lease.pml,
 * and one of these happens.
 *
 * Mutations are enabled with -DMUT_...; see README.md.
 */

#define TERM 3               /* ticks from a renewal to the end of the lease */
#define GRANT 4              /* ticks of the longest lease that the worker grants */
#define OWNER 4              /* ticks from the entry's newest confirmation to the end of the lease */
#define STOP 3               /* ticks from the request of a stop to the end of the lease */
#define RESEND 5             /* pause of a caller */
#define FIRST 1              /* start of time; a time of 0 means none */
#if defined(GAP_LAPSE) || defined(GAP_RELEASE)
#define LAST 8               /* end of time */
#define RESTARTS 1
#else
#define LAST FIRST
#define RESTARTS 2
#endif

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

byte now = FIRST;

/* Worker 0. */
byte life;                   /* number of restarts */
bool running;
bool executed;               /* this instance has started the run */
byte until;                  /* end of the lease */
byte fence;                  /* highest fencing token received */

/* The start call, received by the present instance. Once done it cannot be executed. */
mtype = { unsent, sent, done };
mtype start = unsent;
bool misdirected;            /* it was meant for an earlier instance */
byte startUntil, startFence;

/* A hold call that was meant for an earlier instance and received by the present one. */
byte lateHold;               /* its fencing token, or 0 */

/* The agents. */
mtype = { first, dead, second };
mtype agent = first;
mtype = { held, reading, clearing };
mtype phase = held;          /* progress in taking the worker over */
byte known;                  /* instance that the agent knows */
byte token = 1;
mtype = { none, starting, unknown, runs, stopped, gone };
mtype attempt = none;        /* what the first agent knows of the attempt */
bool ran;                    /* it has seen the run */
bool missed;                 /* a hold has not listed the run */
byte vouched;                /* newest time at which the agent knows that the entry was alive */
byte stopAsked;              /* time at which the attempt was requested to end */
byte promised;               /* furthest end of the lease that the first agent has sent */

/* The entry. */
byte leftAt;                 /* time at which it died */
bool elsewhere;              /* the task runs at worker 1 */

inline check() {
  /* No task has two runs at once. */
  assert(!(running && elsewhere))
}

/* The task starts at worker 1. After this only a start call that was sent can do harm, and
 * it may be executed at once, so that time stands still. */
inline startElsewhere() { elsewhere = true; check() }

/* Worker 0 executes the start call, possibly late. */
inline carryOut() {
  start = done;
  if
  :: startFence < fence -> skip
  :: !misdirected && now >= startUntil -> skip
  :: else ->
     fence = startFence;
     until = MAX(until, (misdirected -> now + GRANT : startUntil));
     running = true; executed = true
  fi
}

proctype Worker() {
end:
  do
  :: atomic { start == sent -> carryOut(); check() }
  :: atomic { lateHold != 0 && !elsewhere ->
     if
     :: lateHold >= fence -> fence = lateHold; until = now + GRANT
     :: else -> skip
     fi;
     lateHold = 0 }
  :: atomic { running && !elsewhere -> running = false }    /* done, failed or lapsed */
  :: atomic { life < RESTARTS && !elsewhere ->               /* crash and restart */
     life++; running = false; executed = false; until = 0; fence = 0; lateHold = 0;
     if
     :: start == sent -> start = done; startUntil = 0
     :: else -> skip
     fi }
  :: elsewhere && start != sent -> break
  od
}

/* The token of the next takeover, from the worker's start and its clock. */
inline raiseToken() {
#ifdef MUT_TOKEN_FROM_CLOCK
  token = (agent == second && known == 0 -> 2 : 1)
#else
  token = (agent == second -> RESTARTS + 2 + known : 1 + known)
#endif
}

inline isGone() { attempt = gone; ran = false; missed = false; vouched = 0; stopAsked = 0; promised = 0 }

/* The agent learns of a restart, from an announcement or an answer. */
inline restarted() {
  known = life; phase = reading;
#ifdef MUT_END_AT_ANNOUNCEMENT
  if
  :: attempt != none -> isGone()
  :: else -> skip
  fi
#else
  missed = false;
  if
  :: attempt == stopped && !ran -> attempt = unknown
  :: else -> skip
  fi
#endif
}

/* The agent applies the lists in the answer to a hold by the instance that it knows. */
inline listed() {
  if
  :: attempt != none && attempt != gone && executed && !running -> isGone()   /* listed as finished */
  :: running && attempt == unknown -> attempt = runs; ran = true
  :: !running && !executed && attempt == unknown ->
     stopAsked = (stopAsked == 0 -> now : stopAsked)
  :: !running && !executed && attempt == stopped -> isGone()
  :: !running && !executed && attempt == runs && missed -> isGone()
  :: !running && !executed && attempt == runs && !missed -> missed = true
  :: else -> missed = false
  fi
}

#define OPEN (attempt != none && attempt != gone)
#define ENTRY_LIMIT (OPEN -> vouched + OWNER : now + TERM)
#define STOP_LIMIT (OPEN && stopAsked != 0 -> stopAsked + STOP : now + TERM)
#define LIMIT MIN(now + TERM, MIN(ENTRY_LIMIT, STOP_LIMIT))
/* The end of the lease after a hold that the agent sends now. */
#define EXTENDED (LIMIT <= now -> until : MAX(until, (known == life -> LIMIT : now + GRANT)))

proctype First() {
end:
  do
  :: atomic { agent == first && phase == held && attempt == none && leftAt == 0 && !elsewhere ->
     start = sent; attempt = starting; misdirected = known != life; startFence = token;
     startUntil = now + TERM; promised = MAX(promised, now + TERM); vouched = now }
  :: atomic { agent == first && attempt == starting && start == done && executed && !elsewhere ->
     attempt = runs; ran = true }
  :: atomic { agent == first && attempt == starting && !elsewhere -> attempt = unknown }   /* no answer in time */
  /* The entry asks for a stop or no longer confirms. */
  :: atomic { agent == first && OPEN && stopAsked == 0 && !elsewhere -> stopAsked = now }
  /* A stop call, whose answer may be lost. The answer does not name the instance. */
  :: atomic { agent == first && OPEN && stopAsked != 0 && attempt != starting && attempt != stopped && token >= fence && !elsewhere ->
     fence = token;
     if
     :: running -> running = false
     :: else -> start = done; startUntil = 0
     fi;
     if
     :: attempt = stopped
     :: skip
     fi }
  /* A hold call that extends the lease. Its answer names the instance, or is lost. */
  :: atomic { agent == first && phase == held && token >= fence && !elsewhere ->
     fence = token; until = EXTENDED; promised = MAX(promised, LIMIT);
     if
     :: skip
     :: known != life -> restarted()
     :: known == life -> listed()
     fi }
  :: atomic { agent == first && phase == held && known != life && lateHold == 0 && !elsewhere -> lateHold = token }
  /* The holds of a takeover. They do not extend the lease. */
  :: atomic { agent == first && phase == reading && !elsewhere ->
     if
     :: known != life -> restarted()
     :: else -> raiseToken(); phase = clearing
     fi }
  :: atomic { agent == first && phase == clearing && token >= fence && !elsewhere ->
     fence = token;
     if
     :: skip
     :: known != life -> restarted()
     :: known == life -> listed(); phase = held
     fi }
  /* An announcement. */
  :: atomic { agent == first && known != life && !elsewhere -> restarted() }
#ifdef GAP_LAPSE
  /* Every lease that was sent has lapsed, and the worker is silent or the stop unconfirmed. */
  :: atomic { agent == first && OPEN && now > promised + 1 && !elsewhere -> isGone() }
#endif
  :: atomic { agent == first && attempt != none && !elsewhere ->         /* killed */
     agent = dead; isGone(); attempt = none }
  :: agent != first || elsewhere -> break
  od
}

/* The successor stops any run that it finds. */
proctype Second() {
end:
  do
  :: atomic { agent == dead && !elsewhere -> agent = second; known = life; phase = reading }
  :: atomic { agent == second && phase != reading && known != life && !elsewhere -> restarted() }
  :: atomic { agent == second && phase == reading && !elsewhere -> known = life; raiseToken(); phase = clearing }
  :: atomic { agent == second && phase == clearing && token >= fence && !elsewhere ->
     fence = token;
     if
     :: skip
     :: known != life -> restarted()
     :: known == life && running -> running = false                      /* stopped */
     :: known == life && !running -> phase = held
     fi }
  :: elsewhere -> break
  od
}

proctype Entry() {
end:
  do
  :: atomic { agent == first && OPEN && leftAt == 0 && vouched < now && !elsewhere -> vouched = now }
  :: atomic { leftAt == 0 && (agent == first && attempt == gone || agent == second && phase == held) && !elsewhere ->
     startElsewhere() }
#ifdef GAP_RELEASE
  :: atomic { start != unsent && leftAt == 0 && !elsewhere -> leftAt = now }
  :: atomic { leftAt != 0 && now >= leftAt + RESEND && !elsewhere -> startElsewhere() }
#endif
  :: elsewhere -> break
  od
}

/* Time does not pass while a run whose lease has ended has not been ended. */
#define LEASE_DUE (running && now >= until)

proctype Clock() {
end:
  do
  :: atomic { now < LAST && !LEASE_DUE && !elsewhere ->
     now++;
     if
     :: until < now -> until = 0
     :: else -> skip
     fi }
  :: elsewhere -> break
  od
}

init {
  atomic { run Worker(); run First(); run Second(); run Entry(); run Clock() }
}
