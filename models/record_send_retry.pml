/* Record, send and retry of a non-idempotent request (design 3.4 and 3.5).
 *
 * Two daemons may both believe that they own the shard. Two callers' requests carry the same id and are handled by
 * different daemons. Puts may be lost, delayed beyond their sender's interest and their replies lost; claims and
 * decisions may be lost, late or duplicated; owners and clients may crash; any step may be delayed.
 * Checked: the backend server executes the id at most once (P10); a request that was refused as not run has not been
 * executed (P9).
 */
#define N 2
#ifndef CRASHES
#define CRASHES 1
#endif

/* open segment: version, last writer's token, and whether it contains the id */
byte version, token;
bit recorded;

/* put of each owner under way, and one that it has given up */
bit put_on[N], ghost_on[N];
byte put_expected[N], put_token[N], ghost_expected[N], ghost_token[N];
byte reply[N], reply_token[N]; /* 0 none, 1 applied, 2 conflict */

/* claim of client c at owner o, and its decision: 1 granted, 2 unknown, 3 refused */
bit claim_on[N];
byte claim_to[N];
byte decision[N];
bit duplicated[N];

byte executed, crashes, puts;
bit not_run[N], ran[N];

inline apply_put(i, exp, tok) {
    if
    :: version == exp -> version++; token = tok; recorded = 1
    :: else
    fi
}

active proctype store() {
    byte i;
end:
    do
    :: atomic {
        select(i : 0 .. N - 1);
        if
        :: put_on[i] ->
            put_on[i] = 0;
            if
            :: version == put_expected[i] -> apply_put(i, put_expected[i], put_token[i]); reply[i] = 1
            :: else -> reply[i] = 2; reply_token[i] = token
            fi;
            if
            :: reply[i] = 0; reply_token[i] = 0 /* reply lost */
            :: skip
            fi
        :: put_on[i] -> put_on[i] = 0 /* lost */
        :: ghost_on[i] ->
            ghost_on[i] = 0;
            apply_put(i, ghost_expected[i], ghost_token[i]);
            ghost_expected[i] = 0;
            ghost_token[i] = 0
        :: else
        fi;
        i = 0
    }
    od
}

inline decide(c, d) {
    decision[c] = d;
    waiting_for = N
}

inline give_up() { /* the put may take effect later */
    if
    :: put_on[self] ->
        ghost_on[self] = 1;
        ghost_expected[self] = put_expected[self];
        ghost_token[self] = put_token[self];
        put_on[self] = 0
    :: else
    fi;
    put_expected[self] = 0;
    put_token[self] = 0;
    reply[self] = 0;
    reply_token[self] = 0;
    writing = 0
}

/* shard_owner */
proctype owner(byte self) {
    byte seen_version, waiting_for = N;
    bit loaded, seen_recorded, writing;

end:
    do
    /* shard_owner::loaded */
    :: atomic {
        !loaded && !writing ->
        loaded = 1;
#ifndef NO_LOAD
        seen_recorded = recorded;
#endif
        seen_version = version
       }
    /* a claim arrives: answer_from_record, or wait for the next write */
    :: atomic {
        waiting_for == N && claim_on[0] && claim_to[0] == self -> claim_on[0] = 0; waiting_for = 0
       }
    :: atomic {
        waiting_for == N && claim_on[1] && claim_to[1] == self -> claim_on[1] = 0; waiting_for = 1
       }
    :: atomic { waiting_for < N && loaded && !writing && seen_recorded -> decide(waiting_for, 2) }
    /* shard_owner::start_write */
    :: atomic {
        waiting_for < N && loaded && !writing && !seen_recorded && puts < 3 && !ghost_on[self] ->
        puts++;
        put_on[self] = 1;
        put_expected[self] = seen_version;
        put_token[self] = puts;
        writing = 1;
#ifdef GRANT_EARLY
        decision[waiting_for] = 1
#endif
       }
    /* shard_owner::written, conditional_write::settle_conflict */
    :: atomic {
        writing && (reply[self] == 1 || (reply[self] == 2 && reply_token[self] == put_token[self])) ->
        give_up();
        seen_recorded = 1;
        seen_version = version;
        decide(waiting_for, 1)
       }
    :: atomic {
        writing && reply[self] == 2 && reply_token[self] != put_token[self] ->
        give_up();
#ifdef NO_TOKEN
        seen_recorded = 1;
        decide(waiting_for, 1);
#endif
#ifdef NO_RELOAD
        seen_version = version
#else
        loaded = 0
#endif
       }
    :: atomic { writing && !put_on[self] && reply[self] == 0 -> put_on[self] = 1 }
    /* role_lost: waiting claims are refused and a new owner loads again */
    :: atomic {
        loaded && crashes < CRASHES ->
        crashes++;
        give_up();
        loaded = 0;
        seen_recorded = 0;
        seen_version = 0;
        if
        :: waiting_for < N -> decide(waiting_for, 3)
        :: else
        fi
       }
    od
}

/* claim_client, then the attempts of the request (retry::attempt_tracker) */
proctype client(byte self) {
    byte state; /* 0 new, 1 waiting, 2 permitted, 3 attempt under way, 4 ended */
    bit requests;

end:
    do
    :: atomic { state == 0 -> claim_to[self] = 0; claim_on[self] = 1; state = 1 }
    :: atomic { state == 0 -> claim_to[self] = 1; claim_on[self] = 1; state = 1 }
    :: atomic { claim_on[self] -> claim_on[self] = 0 } /* claim lost */
    /* claim_client::on(claim_decided); a duplicate of the decision may stay under way */
    :: atomic {
        decision[self] != 0 && state == 1 ->
        if
        :: decision[self] == 1 -> state = 2
        :: decision[self] == 2 -> state = 4
        :: decision[self] == 3 -> not_run[self] = 1; state = 4
        fi;
        if
        :: !duplicated[self] -> duplicated[self] = 1
        :: true -> decision[self] = 0
        fi
       }
    :: atomic {
        decision[self] != 0 && state != 1 ->
#ifdef LATE_PERMIT
        if
        :: decision[self] == 1 && state == 4 -> state = 2
        :: else
        fi;
#endif
        decision[self] = 0
       }
    /* timeout of the claim: refused as not run */
    :: atomic { state == 1 -> not_run[self] = 1; state = 4; assert(!ran[self]) }
    /* the caller sends its request again after an answer that allows it; the same daemon handles it as a new one */
    :: atomic {
        state == 4 && !requests && !ran[self] && decision[self] == 0 && !claim_on[self] ->
        requests = 1;
        not_run[self] = 0;
        state = 0
       }
    /* first byte: from here on the run state is unknown */
    :: atomic {
        state == 2 ->
        if
        :: state = 3; executed++; ran[self] = 1
        :: state = 2 /* connect failed: not run, another attempt may start */
        :: state = 3 /* the bytes were lost */
        fi;
        assert(executed <= 1);
        assert(!(not_run[self] && ran[self]))
       }
    /* no answer: unknown, no further attempt */
    :: atomic {
        state == 3 ->
#ifdef RETRY_UNKNOWN
        state = 2
#else
        state = 4
#endif
       }
#ifdef REFUSE_UNKNOWN
    :: atomic { state == 3 -> not_run[self] = 1; state = 4; assert(!ran[self]) }
#endif
    /* crash of the daemon: the caller's request ends without an answer */
    :: atomic { state != 4 && crashes < CRASHES -> crashes++; state = 4; requests = 1 }
    od
}

init {
    atomic { run owner(0); run owner(1); run client(0); run client(1) }
}
