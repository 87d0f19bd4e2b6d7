/* Lease while the store returns from a copy: two daemons compete for a role.
 *
 * The store takes a copy at any time and returns from it once: the lease object and its version are those of the
 * copy, versions are given out again, and the era rises. Daemons learn of the era at any later time, with a response.
 * Puts may be lost, take effect late, and their replies may be lost; a daemon may be paused between two steps.
 * Checked: no two daemons may act at once (P6); a term is given out to one daemon only, and receivers see no lower
 * term after a higher one.
 */
#define N 2
#define MAX 4
#define LENGTH 1 /* from sending a put until the holder stops */
#define WATCH 1  /* a candidate watches an unchanged object, and a new era, for at least the length */
#define ERA_TERMS 12 /* terms of one era; a daemon sends one put in each step of the clock */
#define NONE 255

byte now, era = 1;
bit returned, copied;

/* lease object, and the one in the copy */
byte version, holder = NONE, term;
byte copy_version, copy_holder = NONE, copy_term;

/* put of each daemon under way */
bit put_on[N];
byte put_expected[N], put_term[N], put_sent[N], put_era[N];
byte reply[N], reply_version[N], reply_era[N]; /* 0 none, 1 applied, 2 conflict */

bit held[N];
byte until[N], own_term[N];

byte highest_term, given_to[ERA_TERMS * 4];

/* store_client: a reply of another era counts as lost */
#ifdef NO_ERA_CHECK
#define same_era (true)
#else
#define same_era (reply_era[self] == put_era[self])
#endif
#define may_act(i) (held[i] && now < until[i])
#define other (1 - self)

active proctype clock() {
    do
    :: now < MAX -> now++
    :: now == MAX -> break
    od
}

active proctype store() {
    byte i;
end:
    do
    :: atomic {
        !copied -> copied = 1; copy_version = version; copy_holder = holder; copy_term = term
       }
    :: atomic {
        copied && !returned ->
        returned = 1;
        version = copy_version;
        holder = copy_holder;
        term = copy_term;
        era++
       }
    :: atomic {
        select(i : 0 .. N - 1);
        if
        :: put_on[i] ->
            put_on[i] = 0;
            if
            :: version == put_expected[i] ->
                version++;
                holder = i;
                term = put_term[i];
                if
                :: reply[i] = 1; reply_version[i] = version; reply_era[i] = era
                :: skip
                fi
            :: else ->
                if
                :: reply[i] = 2; reply_era[i] = era
                :: skip
                fi
            fi
        :: put_on[i] -> put_on[i] = 0 /* lost */
        :: else
        fi;
        i = 0
       }
    od
}

inline put(trm) {
    put_on[self] = 1;
    put_expected[self] = seen_version;
    put_term[self] = trm;
    put_sent[self] = now;
    last_put = now;
    put_era[self] = known_era;
    reply[self] = 0;
    waiting = 1
}

inline forget_put() {
    waiting = 0;
    reply[self] = 0;
    reply_version[self] = 0;
    reply_era[self] = 0;
    put_expected[self] = 0;
    put_term[self] = 0;
    put_sent[self] = 0;
    put_era[self] = 0
}

inline forget_view() {
    known = 0;
    seen_version = 0;
    seen_term = 0;
    seen_since = 0
}

inline drop_role() {
    held[self] = 0;
    until[self] = 0;
    own_term[self] = 0;
    forget_view()
}

/* role_lease::on(era_changed) */
inline learn_era() {
    known_era = era;
    era_since = now;
    if
    :: may_act(self) -> last_until = until[self]
    :: else -> last_until = 0
    fi;
    put_on[self] = 0;
    forget_put();
    drop_role()
}

proctype daemon(byte self) {
    byte known_era, era_since, last_until;
    byte seen_version, seen_since, seen_term, next, last_put = NONE;
    bit known, waiting;

end:
    do
    :: atomic { known_era != era -> learn_era() }
    :: atomic { held[self] && now >= until[self] -> put_on[self] = 0; forget_put(); drop_role() }

    /* read of the lease: a response, so that the era is known */
    :: atomic {
        known_era == era && !held[self] && !waiting && (!known || seen_version != version) ->
        seen_version = version;
        seen_term = term;
        seen_since = now;
        known = 1
       }

    /* role_lease::takeover_due and next_term */
    :: atomic {
        !held[self] && !waiting && known && last_put != now && now < MAX &&
        (now < last_until ||
#ifdef NO_ERA_WAIT
         ((seen_version == 0 || now >= seen_since + WATCH))) ->
#else
         (now >= era_since + WATCH && (seen_version == 0 || now >= seen_since + WATCH))) ->
#endif
#if defined(NO_ERA_TERM)
        next = seen_term + 1;
#elif defined(NO_VERSION_TERM)
        next = (seen_term > known_era * ERA_TERMS -> seen_term : known_era * ERA_TERMS) + 1;
#else
        next = known_era * ERA_TERMS + seen_version;
        next = (seen_term > next -> seen_term : next) + 1;
#endif
        put(next);
        next = 0
       }
    /* renewal */
    :: atomic { may_act(self) && !waiting && last_put != now -> put(own_term[self]) }

    :: atomic {
        waiting && reply[self] != 0 ->
        if
        :: !same_era -> forget_put(); drop_role()
        :: same_era && reply[self] == 1 ->
            seen_version = reply_version[self];
            seen_term = put_term[self];
            seen_since = now;
            known = 1;
            own_term[self] = put_term[self];
            until[self] = put_sent[self] + LENGTH;
            held[self] = 1;
            forget_put()
        :: same_era && reply[self] == 2 -> forget_put(); drop_role()
        fi
       }
    :: atomic { waiting && !put_on[self] && reply[self] == 0 -> forget_put(); drop_role() }

    /* a call to the platform */
    :: atomic {
        may_act(self) ->
        assert(!may_act(other));
        assert(own_term[self] >= highest_term);
        assert(given_to[own_term[self]] == 0 || given_to[own_term[self]] == self + 1);
        given_to[own_term[self]] = self + 1;
        highest_term = own_term[self]
       }
    od
}

init {
    atomic { run daemon(0); run daemon(1) }
}
