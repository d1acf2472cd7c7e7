/*
 * Configuration: two operators write revisions of the table to the store by
 * compare-and-swap. The answer to a write may be lost after the write took effect.
 * Three processes receive revisions from a watch that may lag or repeat old
 * values, and from each other.
 */

#ifndef PROCESSES
#define PROCESSES 3
#endif
#define OPERATORS 2
#ifndef LAST
#define LAST 3               /* largest revision */
#endif

#ifdef MUT_APPLY_OLDER
#define NEWER(p, r) true
#else
#define NEWER(p, r) ((r) > inForce[p])
#endif
#ifdef MUT_BLIND_WRITE
#define UNCHANGED(base) true
#else
#define UNCHANGED(base) (revision == (base))
#endif
#ifdef MUT_WRITE_AGAIN
#define LOOKS_FOR_OWN_WRITE false
#else
#define LOOKS_FOR_OWN_WRITE true
#endif

byte revision;               /* in the store */
byte writer[LAST + 1];       /* operator that wrote each revision; 0: none */
byte inForce[PROCESSES];
byte highest[PROCESSES];     /* largest revision ever in force */
byte writes[OPERATORS + 1];  /* effective writes of each operator */
byte accepted[OPERATORS + 1];/* revision reported as accepted; 0: none */
bool storeDown;

inline apply(p, r) {
  if :: NEWER(p, r) -> inForce[p] = r :: else -> skip fi;
  assert(inForce[p] >= highest[p]);
  highest[p] = inForce[p]
}

proctype Operator(byte me) {
  byte base; byte r; bool haveBase = false; bool unknown = false;
  do
  :: atomic { accepted[me] == 0 && !storeDown && !unknown && !haveBase && revision < LAST ->
     base = revision; haveBase = true }
  :: atomic { haveBase && !storeDown && UNCHANGED(base) ->
     haveBase = false;
     assert(writer[base + 1] == 0);
     if :: revision == base -> revision = base + 1 :: else -> skip fi;
     writer[base + 1] = me; writes[me]++; assert(writes[me] <= 1);
     if
     :: accepted[me] = base + 1
     :: unknown = true                    /* the answer was lost */
     fi }
  :: atomic { haveBase && !storeDown && revision != base -> haveBase = false }   /* conflict */
  :: atomic { unknown && !storeDown ->
     unknown = false; r = 1;
     do
     :: r <= revision ->
        if
        :: LOOKS_FOR_OWN_WRITE && writer[r] == me -> accepted[me] = r
        :: else -> skip
        fi;
        r++
     :: else -> break
     od }
  :: atomic { accepted[me] != 0 || (revision == LAST && !unknown && !haveBase) -> break }
  od;
  assert(accepted[me] == 0 || writer[accepted[me]] == me)
}

proctype Process(byte me) {
  byte r; byte p;
  do
  :: atomic { !storeDown -> select(r : 0 .. LAST); if :: r <= revision -> apply(me, r) :: else -> skip fi; r = 0 }
  :: atomic { select(p : 0 .. PROCESSES - 1); apply(me, inForce[p]); p = 0 }
  od
}

/* The watch of a process eventually delivers the newest revision. */
proctype Watch(byte me) {
  do
  :: atomic { !storeDown && inForce[me] != revision -> apply(me, revision) }
  od
}

/* The store goes down and recovers. */
proctype Outage() {
  storeDown = true;
  storeDown = false
}

init {
  atomic { run Operator(1); run Operator(2); run Outage();
    byte p;
    for (p : 0 .. PROCESSES - 1) { run Process(p); run Watch(p) } }
}

ltl everywhere { <>[] (inForce[0] == revision && inForce[PROCESSES - 1] == revision) }
