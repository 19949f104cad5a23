/*
 * Model of the claim row that makes a non-idempotent call run at most once.
 * Several attempts use the same idempotency key. The answer to a commit can be
 * lost, a commit can take effect late or never, and an attempt can end at any point
 * because its instance dies. The permitted transitions of the row are generated from
 * the code. NO_FENCE builds in a defect: an attempt sends although its claim is
 * unconfirmed.
 */
#include "once_table.pml"

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#define TRIES    2

#define OK       0
#define CONFLICT 1
#define LOST     2

byte state = ABSENT;
byte owner = 0;
byte version = 0;
byte runs = 0;
bool late[ATTEMPTS + 1];
byte late_if[ATTEMPTS + 1];
byte late_to[ATTEMPTS + 1];

inline apply(id, to) {
	state = to;
	owner = id;
	version++
}

/*
 * Commits the row if its version is still if_version. The commit can also be delayed,
 * to be applied by Late(), or be lost. In these cases, and when only its answer is
 * lost, the result is LOST.
 */
inline commit(id, if_version, to, result) {
	atomic {
		if
		:: version == if_version ->
			apply(id, to);
			if
			:: result = OK
			:: result = LOST
			fi
		:: version != if_version ->
			if
			:: result = CONFLICT
			:: result = LOST
			fi
		:: !late[id] ->
			late[id] = true;
			late_if[id] = if_version;
			late_to[id] = to;
			result = LOST
		:: result = LOST
		fi;
		seen_state = state;
		seen_own = (owner == id);
		seen_version = version
	}
}

inline look(id) {
	atomic {
		seen_state = state;
		seen_own = (owner == id);
		seen_version = version
	}
}

proctype Attempt(byte id) {
	byte expected = 0;
	byte result;
	byte tries = 0;
	byte seen_state;
	byte seen_version;
	bool seen_own;
	bool sent = false;

claim:
	commit(id, expected, SENDING, result);
	if
	:: result == OK -> expected = seen_version; goto send
	:: result == CONFLICT && seen_state == SENDING && seen_own ->
		expected = seen_version;
		goto send
	:: result == CONFLICT && !(seen_state == SENDING && seen_own) &&
	   MAY_REPLACE(seen_state, SENDING, seen_own) && tries < TRIES ->
		tries++;
		expected = seen_version;
		goto claim
	:: result == CONFLICT && !(seen_state == SENDING && seen_own) -> goto end
	:: result == LOST && tries < TRIES -> tries++; goto claim
#ifdef NO_FENCE
	:: result == LOST -> goto send
#else
	:: result == LOST && tries >= TRIES -> goto release
#endif
	fi;

send:
	if
	:: goto release /* the connection failed and nothing was sent */
	:: goto end /* the instance dies before sending */
	:: skip
	fi;
	sent = true;
	runs++;
	assert(runs <= 1);
	tries = 0;
record:
	if
	:: commit(id, expected, DONE, result)
	:: commit(id, expected, UNKNOWN, result)
	fi;
	if
	:: result == LOST && tries < TRIES -> tries++; goto record
	:: else -> goto end
	fi;

release:
	/* Here the caller gets the answer that the call did not run. */
	assert(!sent);
	tries = 0;
again:
	look(id);
	if
	:: seen_state == RELEASED && seen_own -> goto end
	:: !(seen_state == RELEASED && seen_own) &&
	   MAY_REPLACE(seen_state, RELEASED, seen_own) && tries < TRIES ->
		tries++;
		commit(id, seen_version, RELEASED, result);
		goto again
	:: else -> goto end
	fi;
end:
	skip
}

/* Applies delayed commits at any later time, if their condition still holds. */
proctype Late() {
	byte i;
	do
	:: atomic {
		select(i : 1 .. ATTEMPTS);
		if
		:: late[i] ->
			late[i] = false;
			if
			:: version == late_if[i] -> apply(i, late_to[i])
			:: else -> skip
			fi
		:: else -> skip
		fi
	}
	:: break
	od
}

init {
	atomic {
		run Attempt(1);
		run Attempt(2);
		#if ATTEMPTS > 2
		run Attempt(3);
#endif
		run Late()
	}
}
