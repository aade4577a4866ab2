/* Orders to load weights, sent to a backend server that honours fencing
 * (FENCED=1) or does not (FENCED=0).  Two issuers are active at the same time;
 * each can be paused between reading the wanted version and sending the order.
 * Rule for both servers: once operator and issuers have finished and the state
 * is reconciled once more, the loaded version is the wanted one.  Rule for the
 * fenced server only: its weights version never decreases. */

#ifndef FENCED
#define FENCED 1
#endif

byte wanted = 1;
byte loaded = 0;
byte fence = 0;
byte finished = 0;

inline apply_order(version) {
    if
    :: FENCED == 1 && version < fence -> skip
    :: else ->
        assert(FENCED == 0 || version >= loaded);
        fence = version;
        loaded = version
    fi
}

proctype operator() {
    wanted = 2;
    wanted = 3;
    finished++
}

proctype issuer() {
    byte version;
    byte steps = 0;
    do
    :: steps < 3 ->
        steps++;
        version = wanted; /* a pause of any length may follow */
        atomic { apply_order(version) }
    :: break
    od;
    finished++
}

/* Reconciliation is level-triggered: the responsible host compares the loaded
 * with the wanted version and sends orders until they are equal. */
proctype final_reconciler() {
    finished == 3;
    atomic {
        if
        :: loaded != wanted -> apply_order(wanted)
        :: else -> skip
        fi
    };
    assert(loaded == wanted)
}

init {
    atomic { run operator(); run issuer(); run issuer(); run final_reconciler() }
}
