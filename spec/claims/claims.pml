/* Claims of one idempotency key: three holders, CLAIMANTS claimants, lost
 * messages, late messages, crashes at every step, seals, yields, and up to
 * LOSSES holders that lose their records and are replaced in a new epoch.
 *
 * Checked: the call runs at most once, and never where a caller was told
 * that the key was not run.
 *
 * Broken variants, each of which Spin must refuse:
 *   -DTELL_BEFORE_SEAL  tells "not run" without a majority of seals
 *   -DREPAIR_EMPTY      a replaced holder grants claims without merging
 *   -DIGNORE_EPOCH      a holder answers requests of another epoch
 */
#define HOLDERS 3
#define MAJORITY 2
#ifndef CLAIMANTS
#define CLAIMANTS 2
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef ROUNDS
#define ROUNDS 1
#endif

/* Entry states; values 1 to CLAIMANTS name the claimant. */
#define FREE 0
#define SEALED 7
#define CONTESTED 8

byte entry[HOLDERS];
byte holderEpoch[HOLDERS];
bool granting[HOLDERS];
byte epoch = 1;
byte losses = 0;
byte runs = 0;
bool toldNotRun = false;
/* asked[c] is set once claimant c has sent a claim that may arrive late. */
bool asked[4];

#ifdef IGNORE_EPOCH
#define SERVES(k, e) (granting[k])
#else
#define SERVES(k, e) (granting[k] && holderEpoch[k] == e)
#endif

inline mergeInto(into, other) {
  if
  :: into == other || other == FREE -> skip
  :: into == FREE && other != FREE -> into = other
  :: into != FREE && other != FREE && into != other -> into = CONTESTED
  fi
}

proctype claimant(byte me) {
  byte k, own, sealed, round, e, rival;

claim:
  e = epoch; own = 0; rival = 0; k = 0;
  asked[me] = true;
  do
  :: k < HOLDERS ->
     if
     :: atomic { SERVES(k, e) ->
          if
          :: entry[k] == FREE -> entry[k] = me
          :: else
          fi;
          if
          :: entry[k] == me -> own++
          :: entry[k] != me && entry[k] <= CLAIMANTS && entry[k] != FREE -> rival = entry[k]
          :: else
          fi
        }
     :: true /* the request or its answer is lost; a lost request may arrive late */
     fi;
     k++
  :: else -> k = 0; break
  od;

  if
  :: own >= MAJORITY ->
     atomic { runs++; assert(runs <= 1); assert(!toldNotRun) }
  :: own >= MAJORITY -> skip /* crash before sending */
  :: own < MAJORITY && round < ROUNDS -> round++; goto claim
  :: own < MAJORITY && rival != 0 && rival < me ->
     k = 0;
     do
     :: k < HOLDERS ->
        if
        :: atomic { SERVES(k, e) && entry[k] == me -> entry[k] = rival }
        :: true
        fi;
        k++
     :: else -> break
     od
  :: own < MAJORITY ->
     sealed = 0; k = 0;
     do
     :: k < HOLDERS ->
        if
        :: atomic { SERVES(k, e) ->
             if
             :: entry[k] == FREE || entry[k] == me -> entry[k] = SEALED
             :: else
             fi;
             if
             :: entry[k] == SEALED -> sealed++
             :: else
             fi
           }
        :: true
        fi;
        k++
     :: else -> break
     od;
     if
#ifdef TELL_BEFORE_SEAL
     :: true ->
#else
     :: sealed >= MAJORITY ->
#endif
        atomic { toldNotRun = true; assert(runs == 0) }
     :: sealed < MAJORITY -> skip /* told "not sent" */
     fi
  :: own < MAJORITY -> skip /* crash */
  fi
}

/* Claims that were delayed on the way arrive after their claimant gave up. */
proctype late() {
  byte k, c;
  do
  :: atomic {
       select(k : 0 .. HOLDERS - 1);
       select(c : 1 .. CLAIMANTS);
       if
       :: asked[c] && granting[k] && entry[k] == FREE -> entry[k] = c
       :: else
       fi;
       k = 0; c = 0 /* left over values would only multiply the states */
     }
  :: break
  od
}

/* Holders move to the epoch that the control group accepted, one by one. */
proctype adopt() {
  byte k;
end:
  do
  :: atomic { select(k : 0 .. HOLDERS - 1);
       if
       :: holderEpoch[k] < epoch -> holderEpoch[k]++
       :: else
       fi;
       k = 0 }
  od
}

/* A holder loses its records; a replacement merges those of a majority. */
proctype repair() {
  byte lost, k, sources, merged, e;
again:
  if
  :: losses < LOSSES ->
     atomic {
       select(lost : 0 .. HOLDERS - 1);
       losses++; epoch++;
       entry[lost] = FREE; holderEpoch[lost] = epoch;
       granting[lost] = false
     };
#ifndef REPAIR_EMPTY
     e = holderEpoch[lost]; merged = FREE; sources = 0; k = 0;
     do
     :: k < HOLDERS && k != lost ->
        /* A source must have reached the epoch: it refuses older claims. */
        atomic { (granting[k] && holderEpoch[k] == e) ->
          mergeInto(merged, entry[k]); sources++ };
        k++
     :: k < HOLDERS && k == lost -> k++
     :: else -> break
     od;
     assert(sources >= MAJORITY);
     atomic { entry[lost] = merged; granting[lost] = true; merged = FREE; sources = 0; k = 0; e = 0; lost = 0 }
#else
     granting[lost] = true
#endif
     ;
     goto again
  :: true -> skip
  fi
}

init {
  byte c;
  atomic {
    holderEpoch[0] = 1; holderEpoch[1] = 1; holderEpoch[2] = 1;
    granting[0] = true; granting[1] = true; granting[2] = true;
    run late(); run adopt(); run repair();
    c = 1;
    do
    :: c <= CLAIMANTS -> run claimant(c); c++
    :: else -> break
    od
  }
}
