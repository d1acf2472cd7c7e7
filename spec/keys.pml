/*
 * Keyed requests: incarnation 0 of entry 0 issues a key. A caller submits it
 * several times through either entry. Only the incarnation that issued the key
 * decides whether the work runs. Requests and answers may be lost, repeated and
 * reordered.
 */

#define SUBMISSIONS 3

#define UNUSED 0
#define RUNNING 1
#define USED 2

#define NO_ANSWER 0
#define ANSWER_RAN 1
#define ANSWER_NOT_RUN 2
#define ANSWER_MAY_HAVE_RUN 3

byte issuerInc;
byte keyState;               /* state of the key at the issuer, in memory only */
byte runs;                   /* number of starts of the work */
bool sent[SUBMISSIONS];      /* the request was sent */
byte answer[SUBMISSIONS];    /* answer that the caller received */
bool sentAnswerRan[SUBMISSIONS];
bool sentAnswerNotRun[SUBMISSIONS];
bool refusedAtEntry[SUBMISSIONS];
bool jobStarted;

inline run_job() { runs++; assert(runs <= 1) }

/* Entry 0, the issuer. */
proctype Issuer() {
  byte s;
  do
  :: atomic { select(s : 0 .. SUBMISSIONS - 1);
     if
     :: sent[s] && issuerInc == 0 && keyState == UNUSED ->
        if
        :: keyState = RUNNING
        :: sentAnswerNotRun[s] = true      /* refused on arrival: queue full */
        fi
     :: sent[s] && issuerInc == 0 && keyState == USED -> sentAnswerRan[s] = true
     :: sent[s] && issuerInc == 1 ->
#ifdef MUT_RESTARTED_ISSUER_RUNS
        if :: keyState == UNUSED -> keyState = RUNNING :: else -> skip fi
#else
        skip                               /* key_unavailable, see Caller */
#endif
     :: keyState == RUNNING && !jobStarted -> jobStarted = true; run_job()
     :: keyState == RUNNING && !jobStarted ->   /* the job ended without a start */
        keyState = UNUSED
     :: keyState == RUNNING && jobStarted -> keyState = USED
#ifdef MUT_FAILED_KEY_IS_UNUSED
     :: keyState == RUNNING && jobStarted -> keyState = UNUSED; jobStarted = false
#endif
#ifdef MUT_FORGET_USED
     :: keyState == USED -> keyState = UNUSED; jobStarted = false
#endif
     :: issuerInc == 0 -> issuerInc = 1; keyState = UNUSED; jobStarted = false
     :: else -> skip
     fi }
  od
}

proctype Caller() {
  byte s;
  do
  :: atomic { select(s : 0 .. SUBMISSIONS - 1);
     if
     :: !sent[s] -> sent[s] = true
     :: sent[s] && answer[s] == NO_ANSWER && sentAnswerRan[s] ->
        answer[s] = ANSWER_RAN; assert(runs == 1)
     :: sent[s] && answer[s] == NO_ANSWER && sentAnswerNotRun[s] -> answer[s] = ANSWER_NOT_RUN
     :: sent[s] && answer[s] == NO_ANSWER && issuerInc == 1 -> answer[s] = ANSWER_MAY_HAVE_RUN
#ifdef MUT_OTHER_ENTRY_RUNS
     :: sent[s] && answer[s] == NO_ANSWER -> run_job(); answer[s] = ANSWER_RAN
#endif
     :: else -> skip
     fi }
  od
}

init { atomic { run Issuer(); run Caller() } }
