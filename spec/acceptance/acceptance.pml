/* Model of the acceptance of a bundle by the control group. Two operators submit
 * different bundles with the same version number and may resend them to any
 * leader. Three members replicate a log. The model includes elections, a
 * partitioned leader that still considers itself the leader, crashes that lose
 * unsynced entries, the loss of a disk and the replacement of its member by a new
 * one, and after that repair the permanent loss of a second member.
 *
 * Checked: at most one of the two bundles is accepted, each operator always gets
 * the same answer, and every leader that is elected after an answer has the
 * accepted bundle in its log.
 *
 * An append and its sync at a follower are one step, since nothing is
 * acknowledged between them. So are a vote and its sync.
 *
 * Broken variants, in each of which Spin must find an error:
 *   -DCOUNT_UNSYNCED  a leader counts its own entries before they are synced
 *   -DANSWER_EARLY    an operator is answered before the entry is committed
 *   -DNO_DEDUP        a resend is treated as a new submission
 *   -DSAME_ID         an empty folder keeps the id of the member that lost its
 *                     disk
 *   -DVOTE_ANY_LOG    a voter does not require an up-to-date log
 *   -DCOMMIT_OLD_TERM entries of earlier terms are committed by counting copies
 *   -DREACH           not a broken variant: its error shows that the model
 *                     reaches an election after an answer, a repair and the
 *                     second loss
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

/* Kinds of entries: 1 and 2 are the submissions of the two operators; REMOVE
 * removes the member that lost its disk, PROMOTE makes its replacement a voter. */
#define REMOVE 3
#define PROMOTE 4

/* ENTRY_AT(n, i) is entry i, from 0, of the log of member n; 0 beyond its end. An
 * entry consists of its term and its kind. */
#define ENTRY_AT(n, i) entry[(n) * MAXLOG + (i)]
/* NEXT_TERM: the term in which c is elected with the vote of v. It is higher than the
 * terms of both, as if c had learnt the term of v before. */
#define NEXT_TERM(c, v) ((term[c] > term[v] -> term[c] : term[v]) + 1)
#define MAKE_ENTRY(t, k) ((t) * 8 + (k))
#define TERM(e) ((e) / 8)
#define KIND(e) ((e) % 8)

byte entry[12 + 3 * (MAXLOG - 4)];
/* By member: the length of its log, the number of its last entries that are not
 * synced, and the number of entries that it has committed as leader. */
byte length[3];
byte unsynced[3];
byte commit[3];
byte term[3];
bool isLeader[3];

/* lostMember: the member that lost its disk. From then on its place in the arrays
 * belongs to its replacement (replaced). repaired: a leader has committed the
 * promotion of the replacement. deadMember: the member that is lost for good after
 * that. */
byte lostMember = NONE;
bool replaced = false;
bool repaired = false;
byte deadMember = NONE;
byte crashes = 0;

byte answers[3];
byte winner = 0;
/* submitted: submission 1 was proposed. Submission 2 may be proposed only after
 * it, which loses no behaviour by symmetry. */
bool submitted = false;
/* started: an election took place. The first one is between members 0 and 1, which
 * loses no behaviour by symmetry. */
bool started = false;

/* config[n]: the kind of the newest membership change in the log of n, committed or
 * not; 0 if there is none. */
byte config[3];

/* IS_VOTER: member n is a voter in configuration c. */
#ifdef SAME_ID
#define IS_VOTER(n, c) (n != lostMember || c != REMOVE)
#else
#define IS_VOTER(n, c) (n != lostMember || (c == 0 && !replaced) || (c == PROMOTE && replaced))
#endif

/* refreshConfig: sets config[n] from the log of n. */
inline refreshConfig(n) {
  config[n] = 0;
  i = 0;
  do
  :: i < length[n] ->
     if
     :: KIND(ENTRY_AT(n, i)) >= REMOVE -> config[n] = KIND(ENTRY_AT(n, i))
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* clearTail: zeroes the array beyond the log of n, so that equal logs are equal
 * states. */
inline clearTail(n) {
  i = length[n];
  do
  :: i < MAXLOG -> ENTRY_AT(n, i) = 0; i++
  :: else -> break
  od
}

/* checkOwnTermCommitted: sets ok if leader l has committed an entry of its term. */
inline checkOwnTermCommitted(l) {
  ok = false;
  i = 0;
  do
  :: i < commit[l] ->
     if
     :: TERM(ENTRY_AT(l, i)) == term[l] -> ok = true
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* checkPromotable: sets ok if leader l may propose PROMOTE: an entry of its term and
 * the removal are committed, and the replacement is in l's term and has synced all
 * committed entries. */
inline checkPromotable(l) {
  checkOwnTermCommitted(l);
  i = 0;
  do
  :: i < length[l] && KIND(ENTRY_AT(l, i)) != REMOVE -> i++
  :: i >= length[l] || KIND(ENTRY_AT(l, i)) == REMOVE -> break
  od;
  ok = (ok && commit[l] > i && length[lostMember] >= commit[l] && term[lostMember] == term[l])
}

/* propose: leader l appends an entry, not yet synced. Without crashes, syncing makes
 * no difference and is left out. */
inline propose(l, kind) {
  ENTRY_AT(l, length[l]) = MAKE_ENTRY(term[l], kind);
  length[l]++;
#if MAXCRASH > 0
  unsynced[l]++;
#endif
  refreshConfig(l);
  i = 0
}

/* firstSubmission: sets x to the first submission among the first count entries of
 * m, 0 if there is none. */
inline firstSubmission(m, count) {
  x = 0;
  i = 0;
  do
  :: i < count ->
     if
     :: x == 0 && KIND(ENTRY_AT(m, i)) < REMOVE -> x = KIND(ENTRY_AT(m, i))
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* elect: c becomes leader in the next term with its own vote and that of v, if its
 * log is up to date. */
inline elect(c, v) {
  ok = true;
#ifndef VOTE_ANY_LOG
  if
  :: length[v] > 0 ->
     if
     :: length[c] == 0 -> ok = false
     :: else ->
        x = TERM(ENTRY_AT(c, length[c] - 1));
        y = TERM(ENTRY_AT(v, length[v] - 1));
        ok = (x > y || (x == y && length[c] >= length[v]))
     fi
  :: else
  fi;
#endif
  if
  :: ok ->
     term[c] = NEXT_TERM(c, v);
     term[v] = term[c];
     isLeader[c] = true;
     isLeader[v] = false;
     unsynced[c] = 0;
     unsynced[v] = 0;
     commit[c] = 0;
     commit[v] = 0;
     firstSubmission(c, length[c]);
     assert(winner == 0 || x == winner);
#ifdef REACH
     assert(winner == 0 || deadMember == NONE)
#endif
  :: else
  fi;
  x = 0; y = 0; i = 0; ok = false
}

/* append: f replaces its log by that of leader l and syncs it. */
inline append(l, f) {
  term[f] = term[l];
  isLeader[f] = false;
  unsynced[f] = 0;
  ok = (length[f] < length[l]);
  i = 0;
  do
  :: i < length[l] && i < length[f] ->
     if
     :: ENTRY_AT(f, i) != ENTRY_AT(l, i) -> ok = true
     :: else
     fi;
     i++
  :: else -> break
  od;
  if
  :: ok ->
     i = 0;
     do
     :: i < length[l] -> ENTRY_AT(f, i) = ENTRY_AT(l, i); i++
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

/* advanceCommit: leader l learns up to which entry the log of f matches its own, and
 * commits the entries up to there that it has synced itself: two members are a
 * majority in every configuration. */
inline advanceCommit(l, f) {
  x = 0;
  do
  :: x < length[l] && x < length[f] && ENTRY_AT(l, x) == ENTRY_AT(f, x) -> x++
  :: x >= length[l] || x >= length[f] || ENTRY_AT(l, x) != ENTRY_AT(f, x) -> break
  od;
#ifndef COUNT_UNSYNCED
  if
  :: x > length[l] - unsynced[l] -> x = length[l] - unsynced[l]
  :: else
  fi;
#endif
  if
#ifdef COMMIT_OLD_TERM
  :: x > commit[l] && IS_VOTER(f, config[l]) && IS_VOTER(l, config[l]) -> commit[l] = x
#else
  :: x > commit[l] && IS_VOTER(f, config[l]) && IS_VOTER(l, config[l]) && TERM(ENTRY_AT(l, x - 1)) == term[l] -> commit[l] = x
#endif
  :: else
  fi;
  i = 0;
  do
  :: i < commit[l] ->
     if
     :: KIND(ENTRY_AT(l, i)) == PROMOTE -> repaired = true
     :: else
     fi;
     i++
  :: else -> break
  od;
  x = 0; y = 0; i = 0;
  answerSubmissions(l)
}

/* answerSubmissions: l answers the operators for all submissions that it considers
 * committed. The first submission in the log is accepted. answers[] holds the answer
 * by submission: 1 for accepted, 2 for conflict, 0 for none yet. */
inline answerSubmissions(l) {
#ifdef ANSWER_EARLY
  upTo = length[l];
#else
  upTo = commit[l];
#endif
  firstSubmission(l, upTo);
  assert(x == 0 || winner == 0 || x == winner);
  if
  :: x != 0 -> winner = x
  :: else
  fi;
  i = 0;
  y = 0;
  do
  :: i < upTo && KIND(ENTRY_AT(l, i)) >= REMOVE -> i++
  :: i < upTo && KIND(ENTRY_AT(l, i)) < REMOVE ->
#ifdef NO_DEDUP
     y = (i == 0 -> 1 : 2);
#else
     y = (KIND(ENTRY_AT(l, i)) == x -> 1 : 2);
#endif
     assert(answers[KIND(ENTRY_AT(l, i))] == 0 || answers[KIND(ENTRY_AT(l, i))] == y);
     answers[KIND(ENTRY_AT(l, i))] = y;
     i++
  :: i >= upTo -> break
  od;
  x = 0; y = 0; i = 0; upTo = 0
}

/* crash: n restarts without its unsynced entries. */
inline crash(n) {
  length[n] = length[n] - unsynced[n];
  unsynced[n] = 0;
  clearTail(n);
  refreshConfig(n);
  isLeader[n] = false;
  commit[n] = 0;
  i = 0
}

/* loseDisk: n loses its log and its term. */
inline loseDisk(n) {
  length[n] = 0;
  unsynced[n] = 0;
  clearTail(n);
  refreshConfig(n);
  isLeader[n] = false;
  commit[n] = 0;
  term[n] = 0;
  i = 0
}

#define ALIVE(n) (n != deadMember)
#define ROOM(n) (length[n] < MAXLOG)

active proctype group() {
  byte n, f, i, x, y, upTo;
  bool ok;
  do
  :: atomic {
       /* Select any member n and any other member f for the step below. */
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
       :: ALIVE(n) && ALIVE(f) && NEXT_TERM(n, f) <= MAXTERM &&
          IS_VOTER(n, config[n]) && IS_VOTER(f, config[n]) && (started || n + f == 1) -> d_step { started = true; elect(n, f) }
       :: ALIVE(n) && ALIVE(f) && isLeader[n] && term[f] <= term[n] &&
          (IS_VOTER(f, config[n]) || (f == lostMember && config[n] != 0)) -> d_step { append(n, f) }
       :: ALIVE(n) && isLeader[n] && ROOM(n) -> d_step { submitted = true; propose(n, 1) }
       :: ALIVE(n) && isLeader[n] && ROOM(n) && submitted -> d_step { propose(n, 2) }
       :: ALIVE(n) && unsynced[n] > 0 -> unsynced[n] = 0
       :: ALIVE(n) && ALIVE(f) && isLeader[n] && term[f] == term[n] -> d_step { advanceCommit(n, f) }
       :: ALIVE(n) && crashes < MAXCRASH -> d_step { crashes++; crash(n) }
       :: LOSSES > 0 && started && lostMember == NONE -> d_step { lostMember = n; replaced = true; loseDisk(n) }
       :: repaired && deadMember == NONE -> d_step { deadMember = n; loseDisk(n) }
       :: ALIVE(n) && isLeader[n] && ROOM(n) && lostMember != NONE && config[n] == 0 ->
          d_step {
            checkOwnTermCommitted(n);
            if
            :: ok -> propose(n, REMOVE)
            :: else
            fi;
            i = 0; ok = false
          }
       :: ALIVE(n) && isLeader[n] && ROOM(n) && config[n] == REMOVE ->
          d_step {
            checkPromotable(n);
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
