/* Acceptance and adoption of configurations: operators' changes by
 * conditional update with an id that is looked for when an answer is lost;
 * daemons that adopt from the store or from each other, late readings
 * included.  Rules: a generation never falls in a daemon; two different
 * changes never have the same generation; what its author was told accepted
 * is in the store's history. With GUARD=0 daemons adopt whatever they read. */

#ifndef GUARD
#define GUARD 1
#endif
#define AUTHORS 2
#define DAEMONS 2

byte generation = 0;
bool contains[AUTHORS];  /* whose changes the stored document holds */
byte made[AUTHORS];      /* the generation that each change made */
byte in_force[DAEMONS];

proctype author(byte a) {
    byte seen;
    byte tries = 0;
    do
    :: atomic { seen = generation;
        if
        :: contains[a] -> break /* accepted: found by its id */
        :: else -> skip
        fi
       }
       if
       :: tries < 3 ->
            tries++;
            atomic {
                if
                :: generation == seen && !contains[a] ->
                    generation++;
                    contains[a] = true;
                    made[a] = generation
                :: else -> skip
                fi
            }
            /* the answer may be lost; it reads back before it goes on */
       :: break
       fi
    od;
    assert(!contains[a] || made[a] <= generation);
    assert(!(contains[0] && contains[1]) || made[0] != made[1])
}

proctype daemon(byte d) {
    byte read;
    byte steps = 0;
    byte before;
    do
    :: steps < 4 ->
        steps++;
        if
        :: read = generation       /* from the store */
        :: read = in_force[1 - d]  /* from a peer */
        fi;
        /* a pause of any length: the reading grows old */
        before = in_force[d];
        if
        :: GUARD == 1 && read <= in_force[d] -> skip
        :: else -> in_force[d] = read
        fi;
        assert(in_force[d] >= before)
    :: else -> break
    od
}

init {
    atomic {
        run author(0); run author(1);
        run daemon(0); run daemon(1)
    }
}
