/*
 * Leases of one engine's memory between two schedulers and three holders.
 *
 * The engine has MEMORY units, and each lease takes one. The memory is divided into
 * SHARES shares, one for each of two entry VMs. A share belongs to at most one
 * scheduler. A scheduler may grant leases up to the memory times its shares over all
 * shares, and only while it counts less than the engine's memory as used. Holders may
 * die, releases may be lost, and shares move between schedulers at any moment.
 *
 * Time is not modelled. It is replaced as follows:
 *  - A share that leaves a scheduler belongs to no scheduler until the former one can
 *    grant nothing more on it.
 *  - A scheduler uses a new share only after it has listed the engine's attempts, and
 *    once no grant of the former scheduler is unused: a grant that is not used in time
 *    is void.
 *  - A lease that is no longer renewed, since its attempt ended or its holder died,
 *    expires. Its memory counts as used until the engine confirms that the attempt
 *    holds no memory.
 *
 * Checked: the engine never holds more memory than it has (at each start of an attempt),
 * and when nothing more can happen, all memory is free and no lease is left.
 *
 * Broken variants, in each of which Spin must find an error:
 *  -DFREE_AT_EXPIRY   memory of an expired lease is free without confirmation
 *  -DNO_LIST          a new share is used without listing the engine
 *  -DSHARE_AT_ONCE    a share moves without waiting for the former scheduler
 *  -DNO_CANCEL        attempts of dead holders are never cancelled
 */

#define MEMORY 2
#define ATTEMPTS 3
#define SCHEDULERS 2
#define SHARES 2
#define NO_SCHEDULER 9

mtype = { Idle, Granted, Running, HolderDied, Ended };

/* The actual state of each attempt at its holder and on the engine, and the scheduler
 * that granted its lease. held is the memory that the engine holds. */
mtype attempt[ATTEMPTS];
bool on_engine[ATTEMPTS];
byte granter[ATTEMPTS];
byte held;

/* The view of each scheduler: the attempts that it counts, and those that it cancels. */
bool counted[6];   /* index: scheduler * ATTEMPTS + attempt */
bool cancelling[6];

/* The scheduler that owns each share, and the one that gets it after the wait. */
byte owner[SHARES];
byte next_owner[SHARES];
byte moves_left;

#define AT(s, a) ((s) * ATTEMPTS + (a))
#define used(s) (counted[AT(s, 0)] + counted[AT(s, 1)] + counted[AT(s, 2)])
#define leased(s) ((counted[AT(s, 0)] && granter[0] == (s)) + (counted[AT(s, 1)] && granter[1] == (s)) + (counted[AT(s, 2)] && granter[2] == (s)))
#define not_renewed(a) (attempt[a] == HolderDied || attempt[a] == Ended)
#define expires(s, a) (counted[AT(s, a)] && !cancelling[AT(s, a)] && not_renewed(a))
/* Whether listing the engine would change the scheduler's view of the attempt. */
#define list_differs(s, a) ((on_engine[a] && !counted[AT(s, a)]) || (!on_engine[a] && counted[AT(s, a)] && (cancelling[AT(s, a)] || granter[a] != (s))))
#define limit(s) (((owner[0] == (s)) + (owner[1] == (s))) * MEMORY / SHARES)
#define unused_grant(s) ((attempt[0] == Granted && granter[0] == (s)) || (attempt[1] == Granted && granter[1] == (s)) || (attempt[2] == Granted && granter[2] == (s)))

/* Lists the engine: counts each attempt that it holds, and drops the cancelled attempts
 * and those of other schedulers that it no longer holds. */
inline list_engine(s) {
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

/* A scheduler counts the leases of others only by listing the engine. Its grants are
 * therefore bounded by the engine's memory as well as by its shares. */
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
	/* A cancel order reaches the engine. Its confirmation may be lost. */
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
	/* List the engine if that changes the view. */
	:: atomic { list_differs(s, 0) || list_differs(s, 1) || list_differs(s, 2) -> list_engine(s) }
	od
}

proctype Holder(byte a) {
	/* A grant is used in time, or never. */
	if
	:: atomic { attempt[a] == Granted ->
		on_engine[a] = true; held++; assert(held <= MEMORY); attempt[a] = Running }
	:: atomic { attempt[a] == Granted -> attempt[a] = Ended } /* the grant is void, or the holder died */
	fi;
	if
	:: attempt[a] == Ended -> skip
	:: atomic { attempt[a] == Running -> /* the attempt ends and the release arrives */
		on_engine[a] = false; held--;
		if
		:: granter[a] != NO_SCHEDULER -> counted[AT(granter[a], a)] = false; cancelling[AT(granter[a], a)] = false
		:: else
		fi;
		attempt[a] = Ended }
	:: atomic { attempt[a] == Running -> /* the attempt ends and the release is lost */
		on_engine[a] = false; held--; attempt[a] = Ended }
	:: atomic { attempt[a] == Running -> attempt[a] = HolderDied } /* the holder dies and the engine keeps the memory */
	fi
}

/* Moves shares between schedulers, as happens when a scheduler's view of its zone changes. */
proctype ShareMover() {
	byte share;
	do
	:: atomic { moves_left > 0 ->
		if
		:: share = 0
		:: share = 1
		fi;
		if
		:: owner[share] != NO_SCHEDULER -> next_owner[share] = 1 - owner[share];
			moves_left--;
#ifdef SHARE_AT_ONCE
			owner[share] = next_owner[share]
#else
			owner[share] = NO_SCHEDULER
#endif
		:: else
		fi }
	/* The wait is over: the former scheduler grants nothing more on the share, its last
	 * grants are in use or void, and the new scheduler lists the engine. */
	:: atomic { owner[0] == NO_SCHEDULER && !unused_grant(1 - next_owner[0]) ->
#ifndef NO_LIST
		list_engine(next_owner[0]);
#endif
		owner[0] = next_owner[0] }
	:: atomic { owner[1] == NO_SCHEDULER && !unused_grant(1 - next_owner[1]) ->
#ifndef NO_LIST
		list_engine(next_owner[1]);
#endif
		owner[1] = next_owner[1] }
	:: moves_left == 0 && owner[0] != NO_SCHEDULER && owner[1] != NO_SCHEDULER -> break
	od
}

/* When nothing more can happen, all memory must be free. */
proctype Checker() {
	timeout;
	assert(held == 0);
	assert(used(0) == 0 && used(1) == 0)
}

init {
	atomic {
		byte i = 0;
		do
		:: i < ATTEMPTS -> attempt[i] = Idle; granter[i] = NO_SCHEDULER; i++
		:: else -> break
		od;
		owner[0] = 0; owner[1] = 0;
		moves_left = 2;
		run Scheduler(0); run Scheduler(1);
		run Holder(0); run Holder(1); run Holder(2);
		run ShareMover(); run Checker()
	}
}
