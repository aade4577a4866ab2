/* The lease on orders: one object of the store, written under the condition
 * that its revision is the one known.  Two hosts; a write may take effect and
 * its answer be lost, or take effect later if its condition still holds; a
 * host may be paused at any point and then goes on with what it last read off
 * the clock.  Reads may be behind.  Time is a step counter: the span is SPAN steps, the holder acts
 * in the first half after its good write was sent, a successor waits until it
 * has seen the object unchanged for more than the span.
 *
 * Rule: orders that reach a server come under numbers that only grow, and
 * never from two hosts within the second half of a span.
 *
 * GUARD=0: the holder acts over the whole span and the successor waits for no
 * longer than half of it.  COUNTED=0: a host takes any object that names it
 * under the number that it wanted for its last write.  Either breaks the rule.
 */

#ifndef GUARD
#define GUARD 1
#endif
#ifndef COUNTED
#define COUNTED 1
#endif

#define SPAN 4
#if GUARD
#define ACT (SPAN / 2)
#define WAIT SPAN
#else
#define ACT SPAN
#define WAIT (SPAN / 2)
#endif
#define END 7
#define NOBODY 2
#define WRITES_MAX 2 /* of a host */

byte now = 0;

/* The object. */
byte revision = 0;
byte holder = NOBODY;
byte fence = 0;
byte count = 0; /* the holder's writes, as it counts them */

/* A write of each host that is still under way: it may land until the
 * revision has moved on. */
bool flying[2] = false;
byte over[2];
byte carries[2];
byte counts[2];

/* What a server saw last. */
byte acted_by = NOBODY;
byte acted_fence = 0;
byte acted_at = 0;

inline land(me) {
    if
    :: flying[me] && over[me] == revision ->
        revision++;
        holder = me;
        fence = carries[me];
        count = counts[me]
    :: else -> skip
    fi;
    flying[me] = false
}

inline act(me, with) {
    assert(with >= acted_fence);
    assert(acted_by == NOBODY || acted_by == me || with > acted_fence);
    assert(acted_by == NOBODY || acted_by == me ||
           now - acted_at >= SPAN / 2);
    acted_by = me;
    acted_fence = with;
    acted_at = now
}

/* Late writes: the store carries one out whenever it likes. */
proctype late() {
    do
    :: atomic { flying[0] && now < END -> land(0) }
    :: atomic { flying[1] && now < END -> land(1) }
    :: now >= END -> break
    od
}

proctype clock() {
    do
    :: atomic { now < END -> now++ }
    :: now >= END -> break
    od
}

proctype host(byte me) {
    byte known = 255;
    byte seen_holder = NOBODY;
    byte seen_fence = 0;
    byte seen_at = 0;
    byte asked_at = 0;
    byte good_at = 0;
    bool good = false;
    bool pending = false;
    byte wanted = 0;
    byte writes = 0;
    do
    :: now >= END -> break
    /* A read that is behind: it tells nothing new. */
    :: atomic { now < END && pending && known != 255 -> pending = false }
    /* Read the object; a write without an answer shows in it or not. */
    :: atomic {
           now < END ->
           if
           :: revision != known ->
               if
               :: holder == me && fence == wanted && wanted > 0 &&
                      (COUNTED == 0 || count == writes) ->
                   good = true;
                   good_at = asked_at
               :: else -> skip
               fi;
               known = revision;
               seen_holder = holder;
               seen_fence = fence;
               seen_at = now
           :: else -> skip
           fi;
           pending = false
       }
    /* Take it, or renew it, and lose the answer or not. */
    :: atomic {
           now < END && !pending && !flying[me] && known != 255 &&
               writes < WRITES_MAX &&
               (seen_holder == NOBODY || seen_holder == me ||
                now - seen_at > WAIT) ->
           if
           :: good && seen_holder == me && now - good_at < SPAN ->
               wanted = seen_fence
           :: else -> wanted = seen_fence + 1
           fi;
           asked_at = now;
           over[me] = known;
           carries[me] = wanted;
           writes++;
           counts[me] = writes;
           flying[me] = true;
           pending = true
       }
    /* Act, if the lease still is this host's by its own clock. */
    :: atomic {
           now < END && good && seen_holder == me && now - good_at < ACT ->
           act(me, seen_fence)
       }
    od
}

init {
    atomic { run clock(); run late(); run host(0); run host(1) }
}
