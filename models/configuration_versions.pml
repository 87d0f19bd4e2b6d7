/* Configuration versions (design 3.7).
 *
 * The store's version of a document grows with each edit; once, the store is restored from an older copy. Two relays
 * read the store and push what they have read; pushes to the daemon may be lost, repeated and overtaken. The daemon may
 * restart; a peer keeps what it has seen. The daemon also re-lists the store itself.
 * Checked: once ready, the daemon never serves an older version than one it has served before.
 */
#define RELAYS 2
#ifndef EDITS
#define EDITS 3
#endif

byte stored = 1, restores;
byte relay[RELAYS]; /* version that the relay pushes */
byte peer;          /* version active on the peer */
byte current, served, restarts;
bit ready;

inline apply(v) {
#ifdef NO_COMPARE
    current = v
#else
    if
    :: v > current -> current = v
    :: else
    fi
#endif
}

/* edits and a restore from an older copy */
active proctype store() {
end:
    do
    :: stored < EDITS -> stored++
    :: atomic { restores < 1 && stored > 1 -> restores++; stored-- }
    od
}

/* A push may arrive at any time after the read, any number of times: the value stays until the next read. */
proctype relay_process(byte self) {
end:
    do
    :: atomic {
        stored > relay[self] -> relay[self] = stored
       }
    od
}

active proctype peer_process() {
end:
    do
    :: atomic { relay[0] > peer -> peer = relay[0] }
    :: atomic { relay[1] > peer -> peer = relay[1] }
    :: atomic { current > peer -> peer = current } /* digest by gossip, then fetch */
    od
}

active proctype daemon() {
    byte in_flight;
    bit asked;

end:
    do
    /* push from a relay, delayed: taken now, applied later */
    :: atomic { in_flight == 0 && relay[0] > 0 -> in_flight = relay[0] }
    :: atomic { in_flight == 0 && relay[1] > 0 -> in_flight = relay[1] }
    /* re-list of the store, also delayed */
    :: atomic { in_flight == 0 -> in_flight = stored }
    :: atomic {
        in_flight != 0 ->
        apply(in_flight);
        if
        :: in_flight = 0
        :: skip /* repeated */
        fi
       }
    :: atomic { in_flight != 0 -> in_flight = 0 } /* lost */
    /* fetch from the peer before the daemon is ready */
    :: atomic { !ready && !asked -> apply(peer); asked = 1 }
#ifdef NO_PEER_CHECK
    :: atomic { !ready && current > 0 -> ready = 1 }
#else
    :: atomic { !ready && asked && current > 0 && current >= peer -> ready = 1 }
    :: atomic { !ready && asked && current < peer -> asked = 0 }
#endif
    /* a request is served with the active version; what is served is known to the peer by gossip */
    :: atomic {
        ready ->
        assert(current >= served);
        served = current;
#ifndef NO_GOSSIP
        if
        :: current > peer -> peer = current
        :: else
        fi
#endif
       }
    :: atomic { restarts < 1 -> restarts++; current = 0; ready = 0; asked = 0; in_flight = 0 }
    od
}

init {
    atomic { run relay_process(0); run relay_process(1) }
}
