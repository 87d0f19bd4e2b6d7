/* Freeze and report of usage windows (design 3.6).
 *
 * One daemon counts up to COUNTS; its cumulative reports reach the holders late, repeatedly and in any order. Two
 * daemons may both believe that they hold the role. Puts may be lost, delayed and their replies lost; billing's replies
 * may be lost; holders may crash at any step. That only one of them believes it holds the role when it reports is
 * checked in lease_order.pml.
 * Checked: all reports of a window have the same figures (P7); no more is billed than was counted.
 */
#define N 2
#define WINDOWS 2
#define COUNTS 2
#define NONE 255
#ifndef CRASHES
#define CRASHES 1
#endif

byte counted;

/* objects usage/<zone>/<window>: token of the write, figures, mark reached */
byte writer[WINDOWS] = NONE;
byte figures[WINDOWS], mark[WINDOWS];

bit put_on[N], ghost_on[N];
byte put_window[N], put_figures[N], put_mark[N], put_token[N];
byte ghost_window[N], ghost_figures[N], ghost_mark[N], ghost_token[N];
byte reply[N]; /* 0 none, 1 applied, 2 conflict */

byte billed[WINDOWS] = NONE;
byte crashes;

inline create(w, f, m, i) {
    if
#ifdef NO_CONDITIONAL
    :: true -> figures[w] = f; mark[w] = m; writer[w] = i
#else
    :: writer[w] == NONE -> figures[w] = f; mark[w] = m; writer[w] = i
    :: else
#endif
    fi
}

inline sum_billed() {
    total = 0;
    if
    :: billed[0] != NONE -> total = total + billed[0]
    :: else
    fi;
    if
    :: billed[1] != NONE -> total = total + billed[1]
    :: else
    fi;
    assert(total <= counted);
    total = 0
}

active proctype daemon() {
end:
    do
    :: counted < COUNTS -> counted++
    od
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
#ifdef NO_CONDITIONAL
            :: true -> create(put_window[i], put_figures[i], put_mark[i], put_token[i]); reply[i] = 1
#else
            :: writer[put_window[i]] == NONE ->
                create(put_window[i], put_figures[i], put_mark[i], put_token[i]);
                reply[i] = 1
            :: else -> reply[i] = 2
#endif
            fi;
            if
            :: reply[i] = 0 /* reply lost */
            :: skip
            fi
        :: put_on[i] -> put_on[i] = 0 /* lost */
        :: ghost_on[i] ->
            ghost_on[i] = 0;
            create(ghost_window[i], ghost_figures[i], ghost_mark[i], ghost_token[i]);
            ghost_window[i] = 0;
            ghost_figures[i] = 0;
            ghost_mark[i] = 0;
            ghost_token[i] = 0
        :: else
        fi;
        i = 0
    }
    od
}

inline give_up() { /* the put may take effect later */
    if
    :: put_on[self] ->
        ghost_on[self] = 1;
        ghost_window[self] = put_window[self];
        ghost_figures[self] = put_figures[self];
        ghost_mark[self] = put_mark[self];
        ghost_token[self] = put_token[self];
        put_on[self] = 0
    :: else
    fi;
    forget_put()
}

inline forget_put() {
    put_window[self] = 0;
    put_figures[self] = 0;
    put_mark[self] = 0;
    put_token[self] = 0;
    reply[self] = 0;
    writing = 0
}

/* window_keeper */
proctype holder(byte self) {
    byte seen, next, last_mark, bill, own_figures, total, incarnation;
    bit writing, billing, loaded;

end:
    do
    /* a report arrives; reports are cumulative, so an older one changes nothing: fold::take */
    :: atomic { seen < counted -> seen++ }
    /* walk over the frozen windows after a takeover: window_keeper::got_window */
    :: atomic {
        !loaded && next < WINDOWS && writer[next] != NONE ->
#ifndef NO_MARK
        last_mark = mark[next];
#endif
        next++
       }
    :: atomic { !loaded && (next == WINDOWS || writer[next] == NONE) -> loaded = 1 }
    /* freeze: window_keeper::start_freeze */
    :: atomic {
        loaded && !writing && next < WINDOWS && !ghost_on[self] ->
        writing = 1;
        put_on[self] = 1;
        put_window[self] = next;
        put_token[self] = self + N * incarnation; /* unique per daemon and window */
        put_mark[self] = (seen > last_mark -> seen : last_mark);
        put_figures[self] = (seen > last_mark -> seen - last_mark : 0);
#ifdef NO_FREEZE
        own_figures = put_figures[self]
#endif
       }
    /* window_keeper::frozen */
    :: atomic {
        writing && (reply[self] == 1 || (reply[self] == 2 && writer[next] == put_token[self])) ->
        last_mark = put_mark[self];
        forget_put();
        next++
       }
    :: atomic {
        writing && reply[self] == 2 && writer[next] != put_token[self] ->
#ifdef NO_ADOPT
        last_mark = put_mark[self];
#else
        last_mark = mark[next];
#endif
        forget_put();
        next++
       }
    :: atomic { writing && !put_on[self] && reply[self] == 0 -> put_on[self] = 1 }
#ifdef NO_ORDER
    :: atomic { writing && !ghost_on[self] && reply[self] == 0 -> last_mark = put_mark[self]; give_up(); next++ }
#endif
    /* report: window_keeper::got_bill reads the frozen object, then sends it; the reply may be lost and the report
       repeated */
#ifdef NO_FREEZE
    :: atomic { writing && !billing && bill == put_window[self] -> billing = 1 }
#else
    :: atomic { loaded && !billing && bill < next && writer[bill] != NONE -> billing = 1; own_figures = figures[bill] }
#endif
    :: atomic {
        billing ->
        billing = 0;
        assert(billed[bill] == NONE || billed[bill] == own_figures);
        billed[bill] = own_figures;
        own_figures = 0;
        sum_billed();
        if
        :: bill++
        :: skip /* reply lost: the same window again */
        fi;
        if
        :: bill == WINDOWS -> bill = WINDOWS - 1
        :: else
        fi
       }
    /* crash: a new holder starts without reports */
    :: atomic {
        crashes < CRASHES && !ghost_on[self] ->
        crashes++;
        incarnation++;
        give_up();
        seen = 0;
        next = 0;
        last_mark = 0;
        bill = 0;
        own_figures = 0;
        billing = 0;
        loaded = 0
       }
    od
}

init {
    atomic { run holder(0); run holder(1) }
}
