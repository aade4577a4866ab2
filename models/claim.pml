/* The protocol of the claim log: hosts claim one key through a store with
 * conditional updates.  Answers are lost, writes are delayed, and a host can be
 * paused at any point or give up at any time; all interleavings are searched.
 * Rules: at most one host sends the request; a host that gave up never sends
 * it; a host that sends it has its claim in the log.  With GUARD=0 the store
 * ignores versions, which must violate the first rule. */

#ifndef GUARD
#define GUARD 1
#endif
#define HOSTS 3
#define NO_HOST 255

byte version = 0;      /* the version of the head object */
byte owner = NO_HOST;  /* the host whose claim is in the head object */
byte executions = 0;   /* requests executed by the service */
bool gave_up[HOSTS];
bool has_sent[HOSTS];

/* A write in flight: it takes effect later or is lost. */
typedef pending_write { bool in_flight; byte expected_version; }
pending_write writes[HOSTS];

/* The store applies a host's write if the head still has the expected version.
 * The write replaces the whole head, so without this guard it overwrites the
 * claim of another host. */
inline apply_write(h) {
    if
    :: GUARD == 1 && writes[h].expected_version != version -> skip
    :: else ->
        owner = h;
        version++
    fi;
    writes[h].in_flight = false
}

proctype network(byte h) {
    do
    :: atomic { writes[h].in_flight -> apply_write(h) }
    :: atomic { writes[h].in_flight -> writes[h].in_flight = false } /* lost */
    :: gave_up[h] && !writes[h].in_flight -> break
    :: has_sent[h] && !writes[h].in_flight -> break
    od
}

proctype host(byte h) {
    byte read_version;
    byte attempts = 0;
    bool is_owner;
    bool other_owner;
    do
    :: atomic { /* read the head; decisions rest on this alone */
        read_version = version;
        is_owner = owner == h;
        other_owner = owner != NO_HOST && owner != h
       }
       if
       :: is_owner ->
            atomic { assert(!gave_up[h]); executions++; has_sent[h] = true };
            assert(executions <= 1);
            assert(GUARD == 0 || owner == h);
            break
       :: other_owner -> gave_up[h] = true; break
       :: else ->
            if
            :: attempts < 3 && !writes[h].in_flight ->
                atomic {
                    writes[h].in_flight = true;
                    writes[h].expected_version = read_version
                };
                attempts++
                /* whether the answer arrives or is lost, the host reads again */
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
