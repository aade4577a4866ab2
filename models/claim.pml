/* The claim log's protocol: hosts that claim one key over a store with
 * conditional updates.  Answers are lost, writes come late, a host may be
 * paused anywhere (every interleaving is tried), and gives up when it will.
 * Rules: at most one host sends; a host that gave up never sends; a sender's
 * claim is in the log.  With GUARD=0 the store ignores versions, which must
 * break the first rule. */

#ifndef GUARD
#define GUARD 1
#endif
#define HOSTS 3
#define NOBODY 255

byte version = 0;     /* of the head object */
byte owner = NOBODY;  /* whose claim the head holds */
byte sent = 0;        /* effects at the service */
bool gave_up[HOSTS];
bool has_sent[HOSTS];

/* A write that is under way: it takes effect at some later time, or never. */
typedef late_write { bool live; byte over; }
late_write writes[HOSTS];

/* The store applies a host's write if its version is still the head's.  The
 * whole head is written, so an unguarded one replaces what was there. */
inline apply(h) {
    if
    :: GUARD == 1 && writes[h].over != version -> skip
    :: else ->
        owner = h;
        version++
    fi;
    writes[h].live = false
}

proctype network(byte h) {
    do
    :: atomic { writes[h].live -> apply(h) }
    :: atomic { writes[h].live -> writes[h].live = false } /* lost */
    :: gave_up[h] && !writes[h].live -> break
    :: has_sent[h] && !writes[h].live -> break
    od
}

proctype host(byte h) {
    byte seen;
    byte tries = 0;
    bool mine;
    bool other;
    do
    :: atomic { /* read the head: the one thing that is believed */
        seen = version;
        mine = owner == h;
        other = owner != NOBODY && owner != h
       }
       if
       :: mine ->
            atomic { assert(!gave_up[h]); sent++; has_sent[h] = true };
            assert(sent <= 1);
            assert(GUARD == 0 || owner == h);
            break
       :: other -> gave_up[h] = true; break
       :: else ->
            if
            :: tries < 3 && !writes[h].live ->
                atomic { writes[h].live = true; writes[h].over = seen };
                tries++
                /* the answer may come or not: either way it reads again */
            :: gave_up[h] = true; break
            fi
       fi
    od
}

init {
    byte i = 0;
    atomic {
        do
        :: i < HOSTS -> run host(i); run network(i); i++
        :: else -> break
        od
    }
}
