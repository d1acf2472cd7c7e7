/*
 * Dispatch of the tasks of one job by one entry to two agents.
 *
 * The network is the set of messages that were sent. A sent message may be
 * received never, once or many times and in any order, which covers loss,
 * duplication and reordering. The latest start time of an attempt is modelled as
 * a flag that becomes true at any moment and stays true.
 *
 * Mutations are enabled with -DMUT_...; see README.md.
 */

#ifndef TASKS
#define TASKS 1
#endif
#define AGENTS 2
#ifndef TRIES
#define TRIES 2              /* attempts of one task */
#endif
#define ATTEMPTS (TASKS * TRIES)
#define TASK(a) ((a) / TRIES)

/* Conditions that mutations change. */
#ifdef MUT_IGNORE_START_BY
#define TOO_LATE(a) false
#else
#define TOO_LATE(a) pastStartBy[a]
#endif
#ifdef MUT_CHECK_BEFORE_PAUSE
#define ACCEPT(me, a) record[me].state[a] = CHECKED
#define UNSTARTED(me, a) (record[me].state[a] == NONE || record[me].state[a] == CLOSED || record[me].state[a] == CHECKED)
#else
#define ACCEPT(me, a) record[me].state[a] = RUNNING; start(a)
#define UNSTARTED(me, a) (record[me].state[a] == NONE || record[me].state[a] == CLOSED)
#endif
#ifdef MUT_REVOKE_WITHOUT_RECORD
#define CLOSE_RECORD(me, a) skip
#else
#define CLOSE_RECORD(me, a) record[me].state[a] = CLOSED
#endif
#ifdef MUT_DROP_ON_ACK
#define AFTER_ACK NONE
#else
#define AFTER_ACK CLOSED
#endif
#ifdef MUT_FORGET_MEANS_NEVER
#define ANSWER_FORGOTTEN(me, a) refuse(me, a)
#else
#define ANSWER_FORGOTTEN(me, a) sentForgotten[a] = true
#endif
#ifdef MUT_ACCEPT_ANY_REFUSAL
#define REFUSED(a) (sentRefused0[a] || sentRefused1[a])
#else
#define REFUSED(a) ((targetInc[a] == 0 && sentRefused0[a]) || (targetInc[a] == 1 && sentRefused1[a]))
#endif
#ifdef MUT_RESTART_MEANS_NOT_RUN
#define RESTARTED(a) notStarted(a)
#else
#define RESTARTED(a) lost(a)
#endif
#ifdef MUT_GIVE_UP_SAYS_NOT_RUN
#define GIVE_UP(a) taskState[TASK(a)] = FINISHED
#else
#define GIVE_UP(a) lost(a)
#endif
#ifdef MUT_RETRY_AFTER_RESET
#define MAY_RETRY_AFTER_RESET true
#else
#define MAY_RETRY_AFTER_RESET false
#endif

/* State of an agent's record of an attempt. */
#define NONE 0
#define CHECKED 1            /* only with MUT_CHECK_BEFORE_PAUSE */
#define RUNNING 2
#define DONE 3
#define CLOSED 4

/* State of a task at the entry. */
#define QUEUED 0
#define DISPATCHED 1
#define FINISHED 2

/* Answer to the job. */
#define NO_ANSWER 0
#define COMPLETE 1
#define FAILED_NOT_RUN 2
#define FAILED_MAY_HAVE_RUN 3

/* Messages that were sent, one bit each. Answers contain the incarnation of the
 * agent that sent them. */
bool sentDispatch[ATTEMPTS];
bool sentRevoke[ATTEMPTS];
bool sentAck[ATTEMPTS];
bool sentResult[ATTEMPTS];
bool sentRefused0[ATTEMPTS]; /* from incarnation 0 */
bool sentRefused1[ATTEMPTS]; /* from incarnation 1 */
bool sentForgotten[ATTEMPTS];

bool pastStartBy[ATTEMPTS];
byte target[ATTEMPTS];       /* agent that the attempt is sent to */
byte targetInc[ATTEMPTS];    /* agent incarnation in the dispatch */

byte incarnation[AGENTS];
byte knownInc[AGENTS];       /* newest incarnation that the entry has received in a Hello */

typedef Records { byte state[ATTEMPTS]; bool forgotten[ATTEMPTS] };
Records record[AGENTS];

byte taskState[TASKS];
byte nextTry[TASKS];
bool mayHaveRun[TASKS];
bool ran[TASKS];
bool failing;
byte answer;
bool entryDead;

byte starts[TASKS];          /* number of starts of the task at all agents */

inline current(a, result) {
  result = taskState[TASK(a)] == DISPATCHED && nextTry[TASK(a)] == (a) % TRIES + 1
}

/* Records a start and checks the safety properties. */
inline start(a) {
  starts[TASK(a)]++;
  assert(starts[TASK(a)] <= 1);
  assert(answer != FAILED_NOT_RUN)
}

/* Closes the record, unless the attempt has already passed its check. */
inline refuse(me, a) {
  if
  :: record[me].state[a] == CHECKED -> skip
  :: else -> CLOSE_RECORD(me, a)
  fi;
  if
  :: incarnation[me] == 0 -> sentRefused0[a] = true
  :: else -> sentRefused1[a] = true
  fi
}

inline receiveDispatch(me, a) {
  if
  :: record[me].state[a] != NONE || record[me].forgotten[a] -> skip
  :: else ->
     if
     :: targetInc[a] != incarnation[me] -> refuse(me, a)
     :: targetInc[a] == incarnation[me] -> refuse(me, a)   /* no slot, leaving, too late */
     :: targetInc[a] == incarnation[me] && !(TOO_LATE(a)) -> ACCEPT(me, a)
     fi
  fi
}

/* A revoke is not answered for a running or ended attempt; its result is the
 * answer. */
inline receiveRevoke(me, a) {
  if
  :: targetInc[a] == incarnation[me] && record[me].forgotten[a] -> ANSWER_FORGOTTEN(me, a)
  :: targetInc[a] == incarnation[me] && !record[me].forgotten[a] && UNSTARTED(me, a) -> refuse(me, a)
  :: else -> skip
  fi
}

/* Temporary variables are reset after each step, so that their old values do not
 * multiply the states. */
proctype Agent(byte me) {
  byte a, i;
  do
  :: atomic { answer == NO_ANSWER || !entryDead ->
     select(a : 0 .. ATTEMPTS - 1);
     if
     :: sentDispatch[a] && target[a] == me -> receiveDispatch(me, a)
     :: sentRevoke[a] && target[a] == me -> receiveRevoke(me, a)
     :: sentAck[a] && record[me].state[a] == DONE ->
        if
        :: pastStartBy[a] -> record[me].state[a] = NONE
        :: else -> record[me].state[a] = AFTER_ACK
        fi
     :: record[me].state[a] == CHECKED -> record[me].state[a] = RUNNING; start(a)
     :: record[me].state[a] == RUNNING -> record[me].state[a] = DONE; sentResult[a] = true
     :: record[me].state[a] == DONE && pastStartBy[a] && !sentAck[a] ->
        record[me].state[a] = NONE; record[me].forgotten[a] = true
     :: record[me].state[a] == CLOSED && pastStartBy[a] -> record[me].state[a] = NONE
     :: !pastStartBy[a] && sentDispatch[a] -> pastStartBy[a] = true
     :: incarnation[me] == 0 ->      /* crash and restart */
        incarnation[me] = 1;
        for (i : 0 .. ATTEMPTS - 1) {
          record[me].state[i] = NONE; record[me].forgotten[i] = false
        }
     :: else -> skip
     fi;
     a = 0; i = 0 }
  od
}

/* Handles proof that attempt a did not start. */
inline notStarted(a) {
  if
  :: failing || nextTry[TASK(a)] == TRIES ->
     taskState[TASK(a)] = FINISHED; failing = true
  :: else -> taskState[TASK(a)] = QUEUED
  fi
}

/* Handles an attempt that may have run and whose result will not arrive. */
inline lost(a) {
  taskState[TASK(a)] = FINISHED; mayHaveRun[TASK(a)] = true; failing = true
}

/* Answers the job once no task is dispatched and, unless the job is failing, none
 * is queued. */
inline settle() {
  unsettled = false; anyMayHaveRun = false; anyRan = false; all = true;
  for (t : 0 .. TASKS - 1) {
    unsettled = unsettled || taskState[t] == DISPATCHED || (!failing && taskState[t] == QUEUED);
    anyMayHaveRun = anyMayHaveRun || mayHaveRun[t];
    anyRan = anyRan || ran[t];
    all = all && ran[t]
  }
  if
  :: answer == NO_ANSWER && !unsettled && !failing && all ->
     answer = COMPLETE;
     for (t : 0 .. TASKS - 1) { assert(starts[t] == 1) }
  :: answer == NO_ANSWER && !unsettled && failing && !anyMayHaveRun && !anyRan ->
     answer = FAILED_NOT_RUN;
     for (t : 0 .. TASKS - 1) { assert(starts[t] == 0) }
  :: answer == NO_ANSWER && !unsettled && failing && (anyMayHaveRun || anyRan) ->
     answer = FAILED_MAY_HAVE_RUN
  :: else -> skip
  fi
}

proctype Entry() {
  byte a, g, k, j, t;
  bool isCurrent, c, unsettled, anyMayHaveRun, anyRan, all;
  do
  :: atomic { answer == NO_ANSWER && !entryDead ->
     select(a : 0 .. ATTEMPTS - 1);
     k = TASK(a);
     current(a, isCurrent);
     if
     :: taskState[k] == QUEUED && !failing && nextTry[k] == a % TRIES ->
        select(g : 0 .. AGENTS - 1);
        target[a] = g; targetInc[a] = knownInc[g];
        sentDispatch[a] = true; nextTry[k]++; taskState[k] = DISPATCHED
     :: isCurrent && !sentRevoke[a] -> sentRevoke[a] = true
     :: MAY_RETRY_AFTER_RESET && isCurrent && nextTry[k] < TRIES -> taskState[k] = QUEUED
     :: isCurrent && REFUSED(a) -> notStarted(a)
     :: isCurrent && sentResult[a] ->
        taskState[k] = FINISHED; ran[k] = true; sentAck[a] = true
     :: isCurrent && sentForgotten[a] -> lost(a)
     :: incarnation[0] != knownInc[0] || incarnation[1] != knownInc[1] ->   /* Hello */
        if
        :: incarnation[0] != knownInc[0] -> g = 0
        :: incarnation[1] != knownInc[1] -> g = 1
        fi;
        knownInc[g] = incarnation[g];
        for (j : 0 .. ATTEMPTS - 1) {
          current(j, c);
          if
          :: c && target[j] == g && targetInc[j] != knownInc[g] -> RESTARTED(j)
          :: else -> skip
          fi
        }
     :: failing = true                                /* cancel, deadline */
     :: failing && isCurrent && pastStartBy[a] -> GIVE_UP(a)   /* no longer waits for the result */
     :: entryDead = true
     :: else -> skip
     fi;
     settle();
     a = 0; g = 0; k = 0; j = 0; t = 0;
     isCurrent = false; c = false; unsettled = false; anyMayHaveRun = false; anyRan = false; all = false }
  :: answer != NO_ANSWER || entryDead -> break
  od
}

init {
  atomic { run Entry(); run Agent(0); run Agent(1) }
}
