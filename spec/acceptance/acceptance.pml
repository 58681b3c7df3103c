/* Acceptance of a bundle by the control group. Two operators submit different
 * bundles with the same number and resend them to any leader. Three members
 * keep a replicated log; a leader may be cut off and go on unaware, members
 * crash and lose what is not synced, one loses its disk and is replaced by a
 * new member, and after that repair a second one is lost for good.
 *
 * Checked: one of the two is accepted, each operator always gets the same
 * answer, and every leader that is elected after an answer holds the winner.
 *
 * An append and its sync at a follower are one step, since nothing is
 * acknowledged between them. A vote and its sync are one step too.
 *
 * Broken variants, each of which Spin must refuse:
 *   -DCOUNT_UNSYNCED  a leader counts its own entries before they are synced
 *   -DANSWER_EARLY    an operator is answered before the entry is committed
 *   -DNO_DEDUP        a resend is judged as a new submission
 *   -DSAME_ID         an empty folder takes the place of the old member
 *   -DVOTE_ANY_LOG    a vote does not ask for an up-to-date log
 *   -DCOMMIT_OLD_TERM entries of earlier terms are committed by counting
 *   -DREACH           not broken: tells that a leader was elected, after an
 *                     answer, a repair and the second loss
 */
#define NONE 3
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 4
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef MAXCRASH
#define MAXCRASH 1
#endif

/* Kinds of entries: submissions 1 and 2, removal of the lost member, promotion
 * of its replacement. */
#define REMOVE 3
#define PROMOTE 4

/* Log of member n: entry i is entry[n*MAXLOG+i], made of its term and kind. */
#define AT(n, i) entry[(n) * MAXLOG + (i)]
/* NEWTERM: the candidate has heard of the term of the voter. */
#define NEWTERM(c, v) ((term[c] > term[v] -> term[c] : term[v]) + 1)
#define MAKE(t, k) ((t) * 8 + (k))
#define TERM(e) ((e) / 8)
#define KIND(e) ((e) % 8)

byte entry[12 + 3 * (MAXLOG - 4)];
byte length[3];
byte unsynced[3];
byte commit[3];
byte term[3];
bool leading[3];

byte victim = NONE;
bool replaced = false;
bool repaired = false;
byte dead = NONE;
byte crashes = 0;

byte told[3];
byte winner = 0;
/* submitted: submission 1 was sent. It is the first, by symmetry. */
bool submitted = false;
/* started: member 0 was the first to be elected, by symmetry. */
bool started = false;

/* CONFIG(n) is the newest member change in the log of n, 0 when there is none. */
byte config[3];

/* COUNTS: member n belongs to the majority system of configuration c. */
#ifdef SAME_ID
#define COUNTS(n, c) (n != victim || c != REMOVE)
#else
#define COUNTS(n, c) (n != victim || (c == 0 && !replaced) || (c == PROMOTE && replaced))
#endif

inline refreshConfig(n) {
  config[n] = 0;
  i = 0;
  do
  :: i < length[n] ->
     if
     :: KIND(AT(n, i)) >= REMOVE -> config[n] = KIND(AT(n, i))
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline clearTail(n) {
  i = length[n];
  do
  :: i < MAXLOG -> AT(n, i) = 0; i++
  :: else -> break
  od
}

/* ownCommitted: the leader has committed an entry of its term. */
inline ownCommitted(l) {
  ok = false;
  i = 0;
  do
  :: i < commit[l] ->
     if
     :: TERM(AT(l, i)) == term[l] -> ok = true
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* promotable: the removal is committed and the replacement, who has synced all
 * that is committed, may vote. */
inline promotable(l) {
  ownCommitted(l);
  i = 0;
  do
  :: i < length[l] && KIND(AT(l, i)) != REMOVE -> i++
  :: i >= length[l] || KIND(AT(l, i)) == REMOVE -> break
  od;
  ok = (ok && commit[l] > i && length[victim] >= commit[l] && term[victim] == term[l])
}

inline propose(l, kind) {
  AT(l, length[l]) = MAKE(term[l], kind);
  length[l]++;
#if MAXCRASH > 0
  unsynced[l]++;
#endif
  refreshConfig(l);
  i = 0
}

/* first: x becomes the first submission among the first upto entries of m. */
inline first(m, upto) {
  x = 0;
  i = 0;
  do
  :: i < upto ->
     if
     :: x == 0 && KIND(AT(m, i)) < REMOVE -> x = KIND(AT(m, i))
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* elect: c wins the next term with its own vote and that of v. */
inline elect(c, v) {
  ok = true;
#ifndef VOTE_ANY_LOG
  if
  :: length[v] > 0 ->
     if
     :: length[c] == 0 -> ok = false
     :: else ->
        x = TERM(AT(c, length[c] - 1));
        y = TERM(AT(v, length[v] - 1));
        ok = (x > y || (x == y && length[c] >= length[v]))
     fi
  :: else
  fi;
#endif
  if
  :: ok ->
     term[c] = NEWTERM(c, v);
     term[v] = term[c];
     leading[c] = true;
     leading[v] = false;
     unsynced[c] = 0;
     unsynced[v] = 0;
     commit[c] = 0;
     commit[v] = 0;
     first(c, length[c]);
     assert(winner == 0 || x == winner);
#ifdef REACH
     assert(winner == 0 || dead == NONE)
#endif
  :: else
  fi;
  x = 0; y = 0; i = 0; ok = false
}

/* append: f takes the log of l and syncs it. */
inline append(l, f) {
  term[f] = term[l];
  leading[f] = false;
  unsynced[f] = 0;
  ok = (length[f] < length[l]);
  i = 0;
  do
  :: i < length[l] && i < length[f] ->
     if
     :: AT(f, i) != AT(l, i) -> ok = true
     :: else
     fi;
     i++
  :: else -> break
  od;
  if
  :: ok ->
     i = 0;
     do
     :: i < length[l] -> AT(f, i) = AT(l, i); i++
     :: else -> break
     od;
     length[f] = length[l];
     clearTail(f);
     refreshConfig(f)
  :: else
  fi;
  commit[f] = 0;
  i = 0; ok = false
}

/* advance: l hears how far the log of f agrees with its own, and commits what
 * it has synced itself as well: two members are a majority in every
 * configuration. */
inline advance(l, f) {
  x = 0;
  do
  :: x < length[l] && x < length[f] && AT(l, x) == AT(f, x) -> x++
  :: x >= length[l] || x >= length[f] || AT(l, x) != AT(f, x) -> break
  od;
#ifndef COUNT_UNSYNCED
  if
  :: x > length[l] - unsynced[l] -> x = length[l] - unsynced[l]
  :: else
  fi;
#endif
  if
#ifdef COMMIT_OLD_TERM
  :: x > commit[l] && COUNTS(f, config[l]) && COUNTS(l, config[l]) -> commit[l] = x
#else
  :: x > commit[l] && COUNTS(f, config[l]) && COUNTS(l, config[l]) && TERM(AT(l, x - 1)) == term[l] -> commit[l] = x
#endif
  :: else
  fi;
  i = 0;
  do
  :: i < commit[l] ->
     if
     :: KIND(AT(l, i)) == PROMOTE -> repaired = true
     :: else
     fi;
     i++
  :: else -> break
  od;
  x = 0; y = 0; i = 0;
  judge(l)
}

/* judge: operators hear the fate of all submissions that l takes as committed.
 * The first of the log wins; told is 1 for accepted, 2 for a conflict. */
inline judge(l) {
#ifdef ANSWER_EARLY
  limit = length[l];
#else
  limit = commit[l];
#endif
  first(l, limit);
  assert(x == 0 || winner == 0 || x == winner);
  if
  :: x != 0 -> winner = x
  :: else
  fi;
  i = 0;
  y = 0;
  do
  :: i < limit && KIND(AT(l, i)) >= REMOVE -> i++
  :: i < limit && KIND(AT(l, i)) < REMOVE ->
#ifdef NO_DEDUP
     y = (i == 0 -> 1 : 2);
#else
     y = (KIND(AT(l, i)) == x -> 1 : 2);
#endif
     assert(told[KIND(AT(l, i))] == 0 || told[KIND(AT(l, i))] == y);
     told[KIND(AT(l, i))] = y;
     i++
  :: i >= limit -> break
  od;
  x = 0; y = 0; i = 0; limit = 0
}

inline crash(n) {
  length[n] = length[n] - unsynced[n];
  unsynced[n] = 0;
  clearTail(n);
  refreshConfig(n);
  leading[n] = false;
  commit[n] = 0;
  i = 0
}

inline loseDisk(n) {
  length[n] = 0;
  unsynced[n] = 0;
  clearTail(n);
  refreshConfig(n);
  leading[n] = false;
  commit[n] = 0;
  term[n] = 0;
  i = 0
}

#define ALIVE(n) (n != dead)
#define ROOM(n) (length[n] < MAXLOG)

active proctype group() {
  byte n, f, i, x, y, limit;
  bool ok;
  do
  :: atomic {
       /* Choose a member and another one; the steps below use them. */
       if
       :: n = 0
       :: n = 1
       :: n = 2
       fi;
       if
       :: f = (n + 1) % 3
       :: f = (n + 2) % 3
       fi;
       if
       :: ALIVE(n) && ALIVE(f) && NEWTERM(n, f) <= MAXTERM &&
          COUNTS(n, config[n]) && COUNTS(f, config[n]) && (started || n + f == 1) -> d_step { started = true; elect(n, f) }
       :: ALIVE(n) && ALIVE(f) && leading[n] && term[f] <= term[n] &&
          (COUNTS(f, config[n]) || (f == victim && config[n] != 0)) -> d_step { append(n, f) }
       :: ALIVE(n) && leading[n] && ROOM(n) -> d_step { submitted = true; propose(n, 1) }
       :: ALIVE(n) && leading[n] && ROOM(n) && submitted -> d_step { propose(n, 2) }
       :: ALIVE(n) && unsynced[n] > 0 -> unsynced[n] = 0
       :: ALIVE(n) && ALIVE(f) && leading[n] && term[f] == term[n] -> d_step { advance(n, f) }
       :: ALIVE(n) && crashes < MAXCRASH -> d_step { crashes++; crash(n) }
       :: LOSSES > 0 && started && victim == NONE -> d_step { victim = n; replaced = true; loseDisk(n) }
       :: repaired && dead == NONE -> d_step { dead = n; loseDisk(n) }
       :: ALIVE(n) && leading[n] && ROOM(n) && victim != NONE && config[n] == 0 ->
          d_step {
            ownCommitted(n);
            if
            :: ok -> propose(n, REMOVE)
            :: else
            fi;
            i = 0; ok = false
          }
       :: ALIVE(n) && leading[n] && ROOM(n) && config[n] == REMOVE ->
          d_step {
            promotable(n);
            if
            :: ok -> propose(n, PROMOTE)
            :: else
            fi;
            i = 0; ok = false
          }
       :: else -> skip
       fi;
       n = 0; f = 0
     }
  od
}
