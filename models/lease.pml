/* The lease for sending orders: one object in the store, written on condition
 * that its revision is the one the host knows.  There are two hosts.  A write
 * can take effect while its answer is lost, or take effect later if its
 * condition still holds.  A host can be paused at any point and then
 * continues with what it read last.  Reads can be stale.  Time is a step counter
 * and the lease term is LEASE_STEPS: the holder sends orders only in the first
 * half of the term, counted from when it sent its successful write, and a
 * successor waits until it has seen the object unchanged for longer than the
 * term.
 *
 * Rule: the fencing tokens of the orders that reach a server never decrease,
 * and orders from two hosts are at least half a term apart and under different
 * tokens.
 *
 * GUARD=0: the holder sends orders during the whole term and the successor waits
 * for only half of it.  COUNT_CHECKED=0: a host takes the lease as granted when
 * the object names it under the token of its last write, without comparing the
 * write count.  Either violates the rule. */

#ifndef GUARD
#define GUARD 1
#endif
#ifndef COUNT_CHECKED
#define COUNT_CHECKED 1
#endif

#define LEASE_STEPS 4
#if GUARD
#define ACT_STEPS (LEASE_STEPS / 2)
#define WAIT_STEPS LEASE_STEPS
#else
#define ACT_STEPS LEASE_STEPS
#define WAIT_STEPS (LEASE_STEPS / 2)
#endif
#define TIME_MAX 7
#define NO_HOST 2
#define WRITES_MAX 2 /* per host */

byte now = 0;

/* The lease object. */
byte revision = 0;
byte holder = NO_HOST;
byte fence = 0;
byte holder_writes = 0; /* the number of writes that the holder had sent */

/* Each host's write in flight: it can take effect until the revision changes. */
bool in_flight[2] = false;
byte expected_revision[2];
byte written_fence[2];
byte written_count[2];

/* The last order that reached the server. */
byte last_sender = NO_HOST;
byte last_fence = 0;
byte last_sent_at = 0;

inline apply_write(self) {
    if
    :: in_flight[self] && expected_revision[self] == revision ->
        revision++;
        holder = self;
        fence = written_fence[self];
        holder_writes = written_count[self]
    :: else -> skip
    fi;
    in_flight[self] = false
}

inline send_order(self, number) {
    assert(number >= last_fence);
    assert(last_sender == NO_HOST || last_sender == self || number > last_fence);
    assert(last_sender == NO_HOST || last_sender == self ||
           now - last_sent_at >= LEASE_STEPS / 2);
    last_sender = self;
    last_fence = number;
    last_sent_at = now
}

/* Delayed writes: the store can apply a write at any later time. */
proctype delayed_writes() {
    do
    :: atomic { in_flight[0] && now < TIME_MAX -> apply_write(0) }
    :: atomic { in_flight[1] && now < TIME_MAX -> apply_write(1) }
    :: now >= TIME_MAX -> break
    od
}

proctype clock() {
    do
    :: atomic { now < TIME_MAX -> now++ }
    :: now >= TIME_MAX -> break
    od
}

proctype host(byte self) {
    byte known_revision = 255;
    byte known_holder = NO_HOST;
    byte known_fence = 0;
    byte changed_at = 0;
    byte write_sent_at = 0;
    byte lease_started_at = 0;
    bool has_lease = false;
    bool awaiting_answer = false;
    byte wanted_fence = 0;
    byte writes = 0;
    do
    :: now >= TIME_MAX -> break
    /* A stale read: it returns nothing new. */
    :: atomic {
           now < TIME_MAX && awaiting_answer && known_revision != 255 ->
           awaiting_answer = false
       }
    /* Read the object; a write without an answer may or may not show in it. */
    :: atomic {
           now < TIME_MAX ->
           if
           :: revision != known_revision ->
               if
               :: holder == self && fence == wanted_fence && wanted_fence > 0 &&
                      (COUNT_CHECKED == 0 || holder_writes == writes) ->
                   has_lease = true;
                   lease_started_at = write_sent_at
               :: else -> skip
               fi;
               known_revision = revision;
               known_holder = holder;
               known_fence = fence;
               changed_at = now
           :: else -> skip
           fi;
           awaiting_answer = false
       }
    /* Take or renew the lease; the answer may be lost. */
    :: atomic {
           now < TIME_MAX && !awaiting_answer && !in_flight[self] &&
               known_revision != 255 && writes < WRITES_MAX &&
               (known_holder == NO_HOST || known_holder == self ||
                now - changed_at > WAIT_STEPS) ->
           if
           :: has_lease && known_holder == self &&
                  now - lease_started_at < LEASE_STEPS ->
               wanted_fence = known_fence
           :: else -> wanted_fence = known_fence + 1
           fi;
           write_sent_at = now;
           expected_revision[self] = known_revision;
           written_fence[self] = wanted_fence;
           writes++;
           written_count[self] = writes;
           in_flight[self] = true;
           awaiting_answer = true
       }
    /* Send an order if the host still has the lease by its own clock. */
    :: atomic {
           now < TIME_MAX && has_lease && known_holder == self &&
               now - lease_started_at < ACT_STEPS ->
           send_order(self, known_fence)
       }
    od
}

init {
    atomic { run clock(); run delayed_writes(); run host(0); run host(1) }
}
