/* Orders to load weights, to a server that honours fencing (FENCED=1) or does
 * not (FENCED=0).  Two issuers hold duties at once; each may be paused
 * between reading the wanted version and sending.  Rule for both: when all
 * is quiet and somebody compares once more, the weights are the wanted ones.
 * Rule for the fenced server only: its weights never go back. */

#ifndef FENCED
#define FENCED 1
#endif

byte wanted = 1;
byte loaded = 0;
byte fence = 0;
byte done = 0;

inline order(v) {
    if
    :: FENCED == 1 && v < fence -> skip
    :: else ->
        assert(FENCED == 0 || v >= loaded);
        fence = v;
        loaded = v
    fi
}

proctype operator() {
    wanted = 2;
    wanted = 3;
    done++
}

proctype issuer() {
    byte v;
    byte steps = 0;
    do
    :: steps < 3 ->
        steps++;
        v = wanted; /* then a pause of any length */
        atomic { order(v) }
    :: break
    od;
    done++
}

/* Level-triggered: whoever has the duty compares and orders until they
 * agree. */
proctype last_comparer() {
    done == 3;
    atomic {
        if
        :: loaded != wanted -> order(wanted)
        :: else -> skip
        fi
    };
    assert(loaded == wanted)
}

init {
    atomic { run operator(); run issuer(); run issuer(); run last_comparer() }
}
