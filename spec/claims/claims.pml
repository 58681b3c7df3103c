/* Claims of one idempotency key (package internal/ledger): three holders,
 * CLAIMANTS claimants with up to ROUNDS further rounds each, lost messages, late
 * messages, crashes at every step, seals, yields, and up to LOSSES holders that
 * lose their records and are replaced in a new epoch.
 *
 * Checked: the call runs at most once, and it does not run if a caller was told
 * that it was not run.
 *
 * Broken variants, in each of which Spin must find an error:
 *   -DTELL_BEFORE_SEAL  a caller is told "not run" without a majority of seals
 *   -DREPAIR_EMPTY      a replaced holder grants claims without merging entries
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

/* States of an entry. The values 1 to CLAIMANTS mean: claimed by that claimant. */
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
/* claimSent[c] is set once claimant c has sent a claim, which may arrive late. */
bool claimSent[4];

#ifdef IGNORE_EPOCH
#define SERVES(holder, inEpoch) (granting[holder])
#else
#define SERVES(holder, inEpoch) (granting[holder] && holderEpoch[holder] == inEpoch)
#endif

inline mergeInto(into, other) {
  if
  :: into == other || other == FREE -> skip
  :: into == FREE && other != FREE -> into = other
  :: into != FREE && other != FREE && into != other -> into = CONTESTED
  fi
}

proctype claimant(byte self) {
  byte holder, own, sealed, round, claimEpoch, rival;

claim:
  claimEpoch = epoch; own = 0; rival = 0; holder = 0;
  claimSent[self] = true;
  do
  :: holder < HOLDERS ->
     if
     :: atomic { SERVES(holder, claimEpoch) ->
          if
          :: entry[holder] == FREE -> entry[holder] = self
          :: else
          fi;
          if
          :: entry[holder] == self -> own++
          :: entry[holder] != self && entry[holder] <= CLAIMANTS && entry[holder] != FREE -> rival = entry[holder]
          :: else
          fi
        }
     :: true /* request or reply lost; a lost request may arrive late */
     fi;
     holder++
  :: else -> holder = 0; break
  od;

  if
  :: own >= MAJORITY ->
     atomic { runs++; assert(runs <= 1); assert(!toldNotRun) }
  :: own >= MAJORITY -> skip /* crash before the call is sent */
  :: own < MAJORITY && round < ROUNDS -> round++; goto claim
  :: own < MAJORITY && rival != 0 && rival < self ->
     holder = 0;
     do
     :: holder < HOLDERS ->
        if
        :: atomic { SERVES(holder, claimEpoch) && entry[holder] == self -> entry[holder] = rival }
        :: true
        fi;
        holder++
     :: else -> break
     od
  :: own < MAJORITY ->
     sealed = 0; holder = 0;
     do
     :: holder < HOLDERS ->
        if
        :: atomic { SERVES(holder, claimEpoch) ->
             if
             :: entry[holder] == FREE || entry[holder] == self -> entry[holder] = SEALED
             :: else
             fi;
             if
             :: entry[holder] == SEALED -> sealed++
             :: else
             fi
           }
        :: true
        fi;
        holder++
     :: else -> break
     od;
     if
#ifdef TELL_BEFORE_SEAL
     :: true ->
#else
     :: sealed >= MAJORITY ->
#endif
        atomic { toldNotRun = true; assert(runs == 0) }
     :: sealed < MAJORITY -> skip /* the caller is told "not sent" */
     fi
  :: own < MAJORITY -> skip /* crash */
  fi
}

/* Delivers delayed claims, also after their claimants have ended. The claims are not
 * checked for their epoch, so that more can happen here than in the code. */
proctype lateClaims() {
  byte holder, c;
  do
  :: atomic {
       select(holder : 0 .. HOLDERS - 1);
       select(c : 1 .. CLAIMANTS);
       if
       :: claimSent[c] && granting[holder] && entry[holder] == FREE -> entry[holder] = c
       :: else
       fi;
       holder = 0; c = 0 /* leftover values would only multiply the states */
     }
  :: break
  od
}

/* Holders adopt the epochs that the control group accepted, one by one. */
proctype adoptEpochs() {
  byte holder;
end:
  do
  :: atomic { select(holder : 0 .. HOLDERS - 1);
       if
       :: holderEpoch[holder] < epoch -> holderEpoch[holder]++
       :: else
       fi;
       holder = 0 }
  od
}

/* A holder loses its records. Its replacement merges the entries of a majority of the
 * holders before it grants claims. */
proctype replaceHolders() {
  byte lost, holder, sources, merged, newEpoch;
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
     newEpoch = holderEpoch[lost]; merged = FREE; sources = 0; holder = 0;
     do
     :: holder < HOLDERS && holder != lost ->
        /* A source must have reached the new epoch, in which it refuses older claims. */
        atomic { (granting[holder] && holderEpoch[holder] == newEpoch) ->
          mergeInto(merged, entry[holder]); sources++ };
        holder++
     :: holder < HOLDERS && holder == lost -> holder++
     :: else -> break
     od;
     assert(sources >= MAJORITY);
     atomic { entry[lost] = merged; granting[lost] = true; merged = FREE; sources = 0; holder = 0; newEpoch = 0; lost = 0 }
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
    run lateClaims(); run adoptEpochs(); run replaceHolders();
    c = 1;
    do
    :: c <= CLAIMANTS -> run claimant(c); c++
    :: else -> break
    od
  }
}
