/* Lease, intent and order (design 3.2 and 3.3): two daemons compete for a role and serve one need.
 *
 * Time is a free-running counter, so a daemon may be paused between any two of its steps. Puts to the store may be
 * lost, delayed beyond their sender's interest in them, and their replies may be lost.
 * Checked: an order is written only while no other daemon believes that it holds the role (P6); a receiver that
 * ignores fencing tokens sees no term after a higher one; one need leads to orders with one id.
 */
#define N 2
#ifndef MAX
#define MAX 3
#endif
#ifdef HANDOVER /* one handover instead of a crash keeps the number of states small */
#define CRASHES 0
#else
#define CRASHES 1
#endif
#define LENGTH 1 /* from sending a put until the holder stops */
#ifdef NO_WAIT
#define WATCH 0
#else
#define WATCH 1 /* a candidate watches an unchanged version for at least the length */
#endif
#define NONE 255

byte now;

/* lease object */
byte version, holder = NONE, term, token;
bit free;

/* put of each daemon under way, and one that its sender has given up */
bit put_on[N], ghost_on[N], put_free[N], ghost_free[N];
byte put_expected[N], put_term[N], put_token[N];
byte ghost_expected[N], ghost_term[N], ghost_token[N];
byte reply[N]; /* 0 none, 1 applied, 2 conflict */
byte reply_token[N], reply_version[N];

/* intents: slot k holds an open order with id k + 1 */
bit slot[N];
bit create_on[N];
byte create_slot[N], create_reply[N];

/* belief of each daemon */
bit held[N];
byte until[N], own_term[N];

/* receiver */
byte highest_term, crashes, handovers;
bit received[N];

#define may_act(i) (held[i] && now < until[i])
#define other (1 - self)

inline apply_put(i, exp, trm, tok, fre) {
    if
    :: version == exp ->
        version++;
        holder = i;
        term = trm;
        token = tok;
        free = fre
    :: else
    fi
}

/* Values without meaning are reset, so that they do not multiply the states. */
inline forget_ghost(i) {
    ghost_expected[i] = 0;
    ghost_term[i] = 0;
    ghost_token[i] = 0;
    ghost_free[i] = 0
}

inline forget_put() {
    waiting = 0;
    reply[self] = 0;
    reply_token[self] = 0;
    reply_version[self] = 0;
    put_expected[self] = 0;
    put_term[self] = 0;
    put_token[self] = 0;
    put_free[self] = 0
}

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
        select(i : 0 .. N - 1);
        if
        :: put_on[i] -> /* takes effect, with or without a reply */
            put_on[i] = 0;
            if
            :: version == put_expected[i] ->
                apply_put(i, put_expected[i], put_term[i], put_token[i], put_free[i]);
                if
                :: reply[i] = 1; reply_version[i] = version
                :: skip
                fi
            :: else ->
                if
                :: reply[i] = 2; reply_token[i] = token; reply_version[i] = version
                :: skip
                fi
            fi
        :: put_on[i] -> put_on[i] = 0 /* lost */
        :: ghost_on[i] ->
            ghost_on[i] = 0;
            apply_put(i, ghost_expected[i], ghost_term[i], ghost_token[i], ghost_free[i]);
            forget_ghost(i)
        :: ghost_on[i] -> ghost_on[i] = 0; forget_ghost(i) /* lost */
        :: create_on[i] ->
            create_on[i] = 0;
            if
            :: !slot[create_slot[i]] -> slot[create_slot[i]] = 1; create_reply[i] = 1
            :: else -> create_reply[i] = 2
            fi
        :: else
        fi;
        i = 0
    }
    od
}

inline put(trm, fre) {
    sent = now;
    put_on[self] = 1;
    put_expected[self] = seen_version;
    put_term[self] = trm;
    put_token[self] = 1 + (2 * now + fre) * N + self;
    put_free[self] = fre;
    reply[self] = 0;
    waiting = 1
}

inline give_up() { /* the put may take effect later */
    if
    :: waiting && put_on[self] ->
        ghost_on[self] = 1;
        ghost_expected[self] = put_expected[self];
        ghost_term[self] = put_term[self];
        ghost_token[self] = put_token[self];
        ghost_free[self] = put_free[self];
        put_on[self] = 0
    :: else
    fi;
    forget_put()
}

inline drop_role() { /* role_lease::drop_role and order_book role_lost */
    held[self] = 0;
    until[self] = 0;
    forget_view();
    forget_orders()
}

inline forget_view() {
    known = 0;
    seen_version = 0;
    seen_term = 0;
    seen_since = 0;
    seen_own = 0;
    seen_free = 0
}

inline forget_orders() {
    loaded = 0;
    intent = 0;
    order_slot = 0
}

inline applied() { /* role_lease::written */
    forget_view();
    known = 1;
    seen_version = reply_version[self];
    if
    :: put_free[self] ->
        held[self] = 0;
        forget_orders();
        seen_term = put_term[self];
        seen_free = 1
    :: else ->
        if
        :: !held[self] -> forget_orders()
        :: else
        fi;
        own_term[self] = put_term[self];
#ifdef FROM_REPLY
        until[self] = now + LENGTH;
#else
        until[self] = sent + LENGTH;
#endif
        held[self] = 1
    fi;
    forget_put()
}

proctype daemon(byte self) {
    byte seen_version, seen_since, seen_term, sent = NONE;
    bit known, seen_own, seen_free, waiting, loaded, intent, connected;
    byte order_term, order_slot;

end:
    do
    /* expiry by the own clock: role_lease::expire */
    :: atomic { held[self] && now >= until[self] -> give_up(); drop_role() }

    /* read of the lease, and its arrival later: role_lease::observe */
    :: atomic {
        !held[self] && !waiting && (!known || seen_version != version) ->
        seen_version = version;
        seen_term = term;
        seen_own = (holder == self);
        seen_free = free;
        known = 0
       };
       atomic { seen_since = now; known = 1 }

    /* acquisition: role_lease::takeover_due */
    :: atomic {
        !held[self] && !waiting && known && sent != now && now < MAX &&
        (seen_version == 0 || seen_own || seen_free || now >= seen_since + WATCH) ->
        put(seen_term + 1, 0)
       }
    /* renewal */
    :: atomic { may_act(self) && !waiting && sent != now -> put(own_term[self], 0) }
#ifdef HANDOVER
    /* handover: acting ends before the lease is written as free */
    :: atomic {
        may_act(self) && !waiting && !connected && handovers < 1 ->
        handovers++;
        put(own_term[self], 1);
#ifndef RELEASE_ACTING
        until[self] = 0
#endif
       }
#endif

    /* replies and repetitions: conditional_write */
    :: atomic { waiting && reply[self] == 1 -> applied() }
    :: atomic {
        waiting && reply[self] == 2 ->
#ifdef NO_TOKEN
        applied()
#else
        if
        :: reply_token[self] == put_token[self] -> applied()
        :: else -> forget_put(); drop_role()
        fi
#endif
       }
    :: atomic { waiting && !put_on[self] && reply[self] == 0 -> put_on[self] = 1 }

    /* intents: order_book::loaded */
    :: atomic {
        held[self] && !loaded && !create_on[self] ->
        loaded = 1;
        create_reply[self] = 0;
        if
        :: slot[0] -> intent = 1; order_slot = 0
#ifdef NO_DENSE
        :: !slot[0] && slot[1] -> intent = 1; order_slot = 1
#endif
        :: else -> intent = 0
        fi
       }
    /* the intent comes before the order: order_book::start_write and written */
    :: atomic {
        held[self] && loaded && !intent && !create_on[self] && create_reply[self] == 0 ->
#ifdef NO_DENSE
        create_slot[self] = self;
#else
        create_slot[self] = 0;
#endif
        create_on[self] = 1;
#ifdef NO_INTENT
        order_slot = self;
        intent = 1
#endif
       }
    :: atomic {
        held[self] && loaded && create_reply[self] != 0 ->
        if
        :: create_reply[self] == 1 -> order_slot = create_slot[self]; intent = 1
        :: else -> loaded = 0; intent = 0
        fi;
        create_reply[self] = 0
       }
    :: atomic { !held[self] && create_reply[self] != 0 -> create_reply[self] = 0 }

    /* order: connect, then check and write (order_book::send_if_due, role_lease::may_act, adapter) */
    :: atomic { held[self] && intent && !connected -> connected = 1; order_term = own_term[self] }
    :: atomic {
        connected ->
        connected = 0;
        if
#ifdef NO_CHECK
        :: true ->
#else
#ifdef NO_TERM
        :: may_act(self) ->
#else
        :: may_act(self) && order_term == own_term[self] ->
#endif
#endif
            assert(!may_act(other));            /* P6 */
            assert(order_term >= highest_term); /* nothing decided under a former lease */
            highest_term = order_term;
            received[order_slot] = 1;
            assert(!(received[0] && received[1]))
        :: else
        fi;
        order_term = 0
       }

    /* crash: a new incarnation knows nothing, and does not take its predecessor's record for its own */
    :: atomic {
        held[self] && crashes < CRASHES ->
        crashes++;
        give_up();
        drop_role();
        connected = 0;
        order_term = 0;
        if
        :: holder == self -> holder = NONE
        :: else
        fi
       }
    od
}

init {
    atomic { run daemon(0); run daemon(1) }
}
