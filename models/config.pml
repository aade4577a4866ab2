/* Acceptance and adoption of configurations.  Operators submit changes by
 * conditional update, each with an id by which the change is found again if
 * the answer is lost.  Daemons adopt configurations from the store or from each
 * other, stale reads included.  Rules: a daemon's generation never decreases;
 * two different changes never get the same generation; an accepted change is in
 * the store's history.  With GUARD=0 daemons adopt whatever they read. */

#ifndef GUARD
#define GUARD 1
#endif
#define AUTHORS 2
#define DAEMONS 2

byte generation = 0;
bool contains[AUTHORS];    /* the authors whose change is in the stored document */
byte accepted_as[AUTHORS]; /* the generation of each accepted change */
byte adopted[DAEMONS];

proctype author(byte a) {
    byte read_generation;
    byte attempts = 0;
    do
    :: atomic { read_generation = generation;
        if
        :: contains[a] -> break /* accepted: the change was found by its id */
        :: else -> skip
        fi
       }
       if
       :: attempts < 3 ->
            attempts++;
            atomic {
                if
                :: generation == read_generation && !contains[a] ->
                    generation++;
                    contains[a] = true;
                    accepted_as[a] = generation
                :: else -> skip
                fi
            }
            /* the answer may be lost, so the author reads again first */
       :: break
       fi
    od;
    assert(!contains[a] || accepted_as[a] <= generation);
    assert(!(contains[0] && contains[1]) || accepted_as[0] != accepted_as[1])
}

proctype daemon(byte d) {
    byte received;
    byte steps = 0;
    byte previous;
    do
    :: steps < 4 ->
        steps++;
        if
        :: received = generation       /* from the store */
        :: received = adopted[1 - d]   /* from a peer */
        fi;
        /* a pause of any length: what was read may be stale by now */
        previous = adopted[d];
        if
        :: GUARD == 1 && received <= adopted[d] -> skip
        :: else -> adopted[d] = received
        fi;
        assert(adopted[d] >= previous)
    :: else -> break
    od
}

init {
    atomic {
        run author(0); run author(1);
        run daemon(0); run daemon(1)
    }
}
