/* A follower watches the copy of a mirror in place of the store. Checked: a follower that reaches the store knows a
 * change before the tick BOUND + 1 after it, while the mirror is cut off from the store or freezes again and again; with BOTH it
 * does both, in any order, and the bound is larger. A tick is about 0.4 s: a watch waits up to 2 ticks and is given up
 * after 4, a copy is fresh for 4 ticks after its last confirmation.
 */
#define WAIT 2
#define GIVE_UP 4
#define FRESH 4
#ifdef BOTH
#define BOUND 9
#else
#define BOUND 2
#endif
#define END 18
#define PAUSE 3

byte now = 0;
byte revision = 0;      /* of the store: one change */
byte changed_at = 0;

/* mirror */
byte copy = 0;
byte confirmed = 0;
bool cut = false;       /* from the store */
bool frozen = false;
byte toggles = 0;
bool cuts = true;       /* which fault this run has */
bool freezes = true;

/* follower */
byte known = 0;
bool asks_mirror = true;
byte asked_at = 0;
byte grant = WAIT;      /* wait that the mirror granted */
byte store_again = 0;

inline environment() {
    if
    :: revision == 0 -> revision = 1; changed_at = now
    :: true -> skip
    fi;
    if
    :: cuts && toggles < 4 -> cut = !cut; toggles++
    :: freezes && toggles < 4 -> frozen = !frozen; toggles++
    :: true -> skip
    fi
}

inline mirror_step() {
    if
    :: !cut && !frozen -> copy = revision; confirmed = now
    :: else -> skip
    fi
}

inline ask_mirror() {
    asks_mirror = true;
    asked_at = now;
    grant = WAIT;
#ifndef NO_LIMIT
    if
    :: now - confirmed + WAIT > FRESH && FRESH > now - confirmed -> grant = FRESH - (now - confirmed)
    :: now - confirmed >= FRESH -> grant = 0
    :: else -> skip
    fi
#endif
}

inline ask_store() {
    asks_mirror = false;
    known = revision;
    store_again = now + PAUSE
}

inline follower_step() {
    if
    :: asks_mirror && frozen ->
#ifndef NO_TIMEOUT
        if
        :: now - asked_at >= GIVE_UP -> ask_store()
        :: else -> skip
        fi
#else
        skip
#endif
    :: asks_mirror && !frozen && copy > known -> known = copy; ask_mirror()
    :: asks_mirror && !frozen && copy <= known && now - asked_at >= grant ->
#ifndef NO_FRESH
        if
        :: now - confirmed >= FRESH -> ask_store()
        :: else -> ask_mirror()
        fi
#else
        ask_mirror()
#endif
    :: asks_mirror && !frozen && copy <= known && now - asked_at < grant -> skip
    :: !asks_mirror && now >= store_again -> known = revision; ask_mirror()
    :: !asks_mirror && now < store_again -> known = revision
    fi
}

active proctype round() {
#ifndef BOTH
    if
    :: cuts = false
    :: freezes = false
    fi;
#endif
    do
    :: now < END ->
        atomic {
            if
            :: now > 0 -> environment()    /* the first watch is asked before anything happens */
            :: else -> skip
            fi;
            mirror_step();
            follower_step();
            assert(revision == 0 || known == 1 || now - changed_at <= BOUND);
            now++
        }
    :: else -> break
    od
}
