/*
 * Leases of one engine's memory between two schedulers and two holders.
 *
 * The engine has MEMORY units and each lease takes one. Two entry VMs stand
 * for one share each; a share is held by at most one scheduler, which may
 * grant as many leases as the memory times its shares over all shares, less
 * what it knows to be held. Holders may die, releases may be lost or late,
 * and shares move between schedulers at any moment.
 *
 * Time is not modelled. What takes its place:
 *  - a share that leaves a scheduler is on its way (no scheduler's) until the
 *    former one grants nothing on it any more;
 *  - a scheduler uses a new share only after a list of the engine's attempts
 *    that was asked for since, and no grant on the share is unused by then:
 *    a grant that is not put to use in time is void;
 *  - a lease whose holder is gone expires, and its memory counts as used
 *    until the engine confirms that it holds nothing.
 *
 * Properties: the engine never holds more than it has (checked at each start),
 * and when nothing more can happen, all memory is free and no lease is left.
 *
 * Broken variants, which Spin must catch:
 *  -DFREE_AT_EXPIRY   memory of an expired lease is free without confirmation
 *  -DNO_LIST          a new share is used without listing the engine
 *  -DSHARE_AT_ONCE    a share moves without waiting for the former scheduler
 *  -DNO_CANCEL        attempts of dead holders are never cancelled
 */

#define MEMORY 2
#define ATTEMPTS 3
#define SCHEDULERS 2
#define SHARES 2
#define NOBODY 9

mtype = { Idle, Granted, Running, Stopped, Over };

/* The truth about each attempt: its holder's state and the engine's. */
mtype attempt[ATTEMPTS];
bool on_engine[ATTEMPTS];
byte granter[ATTEMPTS];
byte held;

/* Each scheduler's view: which attempts it counts, and which it cancels. */
bool counted[6];   /* scheduler * ATTEMPTS + attempt */
bool cancelling[6];

/* Shares: who may use each, and who gets it after the wait. */
byte owner[SHARES];
byte next_owner[SHARES];
byte moves;

#define AT(s, a) ((s) * ATTEMPTS + (a))
#define used(s) (counted[AT(s, 0)] + counted[AT(s, 1)] + counted[AT(s, 2)])
#define leased(s) ((counted[AT(s, 0)] && granter[0] == (s)) + (counted[AT(s, 1)] && granter[1] == (s)) + (counted[AT(s, 2)] && granter[2] == (s)))
#define gone(a) (attempt[a] == Stopped || attempt[a] == Over)
#define expires(s, a) (counted[AT(s, a)] && !cancelling[AT(s, a)] && gone(a))
/* What a list would change. */
#define unlisted(s, a) ((on_engine[a] && !counted[AT(s, a)]) || (!on_engine[a] && counted[AT(s, a)] && (cancelling[AT(s, a)] || granter[a] != (s))))
#define limit(s) (((owner[0] == (s)) + (owner[1] == (s))) * MEMORY / SHARES)
#define unused_grant(s) ((attempt[0] == Granted && granter[0] == (s)) || (attempt[1] == Granted && granter[1] == (s)) || (attempt[2] == Granted && granter[2] == (s)))

/* List: count all that the engine holds, and drop what is cancelled and gone. */
inline list(s) {
	byte i = 0;
	do
	:: i < ATTEMPTS ->
		if
		:: on_engine[i] -> counted[AT(s, i)] = true
		:: !on_engine[i] && cancelling[AT(s, i)] -> counted[AT(s, i)] = false; cancelling[AT(s, i)] = false
		:: !on_engine[i] && !cancelling[AT(s, i)] && granter[i] != s -> counted[AT(s, i)] = false
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

/* What others granted is counted by list only, so the engine's memory bounds a
 * scheduler as well as its shares. */
proctype Scheduler(byte s) {
	byte a;
end:	do
	/* Grant a lease that fits. */
	:: atomic { leased(s) < limit(s) && used(s) < MEMORY && (attempt[0] == Idle || attempt[1] == Idle || attempt[2] == Idle) ->
		if
		:: attempt[0] == Idle -> a = 0
		:: attempt[1] == Idle -> a = 1
		:: attempt[2] == Idle -> a = 2
		fi;
		attempt[a] = Granted; granter[a] = s; counted[AT(s, a)] = true; a = 0 }
	/* A lease that is not renewed expires and is cancelled. */
	:: atomic { expires(s, 0) || expires(s, 1) || expires(s, 2) ->
		if
		:: expires(s, 0) -> a = 0
		:: expires(s, 1) -> a = 1
		:: expires(s, 2) -> a = 2
		fi;
#ifdef FREE_AT_EXPIRY
		counted[AT(s, a)] = false;
#else
		cancelling[AT(s, a)] = true;
#endif
		a = 0 }
#ifndef NO_CANCEL
	/* A cancel order reaches the engine; its confirmation may be lost. */
	:: atomic { cancelling[AT(s, 0)] || cancelling[AT(s, 1)] || cancelling[AT(s, 2)] ->
		if
		:: cancelling[AT(s, 0)] -> a = 0
		:: cancelling[AT(s, 1)] -> a = 1
		:: cancelling[AT(s, 2)] -> a = 2
		fi;
		if
		:: on_engine[a] -> on_engine[a] = false; held--
		:: else
		fi;
		if
		:: counted[AT(s, a)] = false; cancelling[AT(s, a)] = false
		:: skip /* the confirmation is lost */
		fi;
		a = 0 }
#endif
	/* List the engine, when that tells something new. */
	:: atomic { unlisted(s, 0) || unlisted(s, 1) || unlisted(s, 2) -> list(s) }
	od
}

proctype Holder(byte a) {
	/* A grant is put to use in time, or never. */
	if
	:: atomic { attempt[a] == Granted ->
		on_engine[a] = true; held++; assert(held <= MEMORY); attempt[a] = Running }
	:: atomic { attempt[a] == Granted -> attempt[a] = Over } /* void, or the holder died */
	fi;
	if
	:: attempt[a] == Over -> skip
	:: atomic { attempt[a] == Running -> /* ends; the release arrives */
		on_engine[a] = false; held--;
		if
		:: granter[a] != NOBODY -> counted[AT(granter[a], a)] = false; cancelling[AT(granter[a], a)] = false
		:: else
		fi;
		attempt[a] = Over }
	:: atomic { attempt[a] == Running -> /* ends; the release is lost */
		on_engine[a] = false; held--; attempt[a] = Over }
	:: atomic { attempt[a] == Running -> attempt[a] = Stopped } /* dies; the engine keeps the memory */
	fi
}

/* Moves shares between schedulers, as views of the zone change. */
proctype Zone() {
	byte v;
	do
	:: atomic { moves > 0 ->
		if
		:: v = 0
		:: v = 1
		fi;
		if
		:: owner[v] != NOBODY -> next_owner[v] = 1 - owner[v];
			moves--;
#ifdef SHARE_AT_ONCE
			owner[v] = next_owner[v]
#else
			owner[v] = NOBODY
#endif
		:: else
		fi }
	/* The wait is over: the former scheduler grants nothing on the share, its
	 * last grants are in use or void, and the engine was listed since. */
	:: atomic { owner[0] == NOBODY && !unused_grant(1 - next_owner[0]) ->
#ifndef NO_LIST
		list(next_owner[0]);
#endif
		owner[0] = next_owner[0] }
	:: atomic { owner[1] == NOBODY && !unused_grant(1 - next_owner[1]) ->
#ifndef NO_LIST
		list(next_owner[1]);
#endif
		owner[1] = next_owner[1] }
	:: moves == 0 && owner[0] != NOBODY && owner[1] != NOBODY -> break
	od
}

/* Nothing more can happen: all memory must be back. */
proctype Checker() {
	timeout;
	assert(held == 0);
	assert(used(0) == 0 && used(1) == 0)
}

init {
	atomic {
		byte i = 0;
		do
		:: i < ATTEMPTS -> attempt[i] = Idle; granter[i] = NOBODY; i++
		:: else -> break
		od;
		owner[0] = 0; owner[1] = 0;
		moves = 2;
		run Scheduler(0); run Scheduler(1);
		run Holder(0); run Holder(1); run Holder(2);
		run Zone(); run Checker()
	}
}
