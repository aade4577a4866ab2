#include "return-times.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Spreads the returns of rejected callers over the time in which there will be
 * capacity for them.  The k-th outstanding promise of a class comes about k /
 * rate after now, where k counts the callers that have waited at least as long
 * and rate is what the class is admitted with.  A class may take the place of
 * less urgent ones, so their rates count for it too.
 *
 * A caller returns to another host than the one that made the promise.  All
 * hosts reject and admit alike, so as many return here in the mean as were
 * sent away here: each return settles one promise of this host. */

/* Time constant of the admission rate: three quarters of a change are followed
 * within a second, and a rate of 5/s is still known to within 40 %. */
#define RATE_MS 700.0
/* A rate over a shorter time than this, ms, is not used. */
#define RATE_KNOWN_MS 300
/* Callers honour a return time up to this fraction of their remaining time. */
#define HONOURED_DIVISOR 3
/* Shortest return time: the tenth part of the remaining time, at most 150 ms.
 * Sooner, the same requests still occupy the servers. */
#define RETURN_MIN_MS 150
#define RETURN_MIN_DIVISOR 10
/* Part of the honoured time, at its end, over which callers return for whom no
 * capacity is left.  Many that are rejected in one moment must not return in
 * one moment. */
#define LAST_SHARE 0.25
/* A promise is dropped this long after its time.  Its caller has given up or
 * was late. */
#define OVERDUE_MS 250
/* Weight of the newest return time in the mean of those promised. */
#define PROMISED_WEIGHT 0.125
/* Return times spread evenly over a range lie within two mean deviations of
 * its middle. */
#define PROMISED_DEVIATIONS 2.0

void
return_times_init(return_times_t *times, rng_t rng, int64_t now_ms)
{
    memset(times, 0, sizeof(*times));
    times->rng = rng;
    times->started_ms = now_ms;
    for (size_t i = 0; i < PRIORITY_CLASSES; i++) {
        times->classes[i].rate_ms = now_ms;
    }
}

static return_class_t *
class_of(return_times_t *times, unsigned priority_class)
{
    return &times->classes[priority_class < PRIORITY_CLASSES
                               ? priority_class
                               : PRIORITY_CLASSES - 1];
}

/* ---- rates ---- */

static double
decay(int64_t ms)
{
    return ms > 0 ? exp(-(double)ms / RATE_MS) : 1;
}

/* Counts an admitted request. */
void
return_times_note_admitted(return_times_t *times, unsigned priority_class,
                           int64_t now_ms)
{
    return_class_t *class = class_of(times, priority_class);
    class->rate = class->rate * decay(now_ms - class->rate_ms) + 1 / RATE_MS;
    class->rate_ms = now_ms;
}

/* Returns the rate in requests per ms with which a class and the less urgent
 * ones are admitted, or 0 if it is not known. */
static double
usable_rate(const return_times_t *times, unsigned priority_class,
            int64_t now_ms)
{
    int64_t age = now_ms - times->started_ms;
    double rate = 0;
    if (age < RATE_KNOWN_MS) {
        return 0;
    }
    for (unsigned i = priority_class; i < PRIORITY_CLASSES; i++) {
        const return_class_t *class = &times->classes[i];
        rate += class->rate * decay(now_ms - class->rate_ms);
    }
    return rate / (1 - decay(age));
}

/* Returns the rate in requests per second with which a class is admitted. */
double
return_times_rate(const return_times_t *times, unsigned priority_class,
                  int64_t now_ms)
{
    double rate = usable_rate(times, priority_class, now_ms) -
                  usable_rate(times, priority_class + 1, now_ms);
    return rate > 0 ? rate * 1000 : 0;
}

/* ---- promises ---- */

static void
drop_promise(return_class_t *class, size_t index)
{
    class->promises[index] = class->promises[--class->promise_count];
}

static void
drop_overdue(return_class_t *class, int64_t now_ms)
{
    for (size_t i = class->promise_count; i-- > 0;) {
        if (class->promises[i].due_ms + OVERDUE_MS < now_ms) {
            drop_promise(class, i);
        }
    }
}

/* Counts a request whose caller has waited before, and settles the promise to
 * the caller whose wait began nearest to this one's. */
void
return_times_note_returned(return_times_t *times, unsigned priority_class,
                           int64_t waited_ms, int64_t now_ms)
{
    return_class_t *class = class_of(times, priority_class);
    int64_t wait_began_ms = now_ms - waited_ms;
    size_t nearest = 0;
    class->counters.returned++;
    drop_overdue(class, now_ms);
    for (size_t i = 1; i < class->promise_count; i++) {
        if (llabs(class->promises[i].wait_began_ms - wait_began_ms) <
            llabs(class->promises[nearest].wait_began_ms - wait_began_ms)) {
            nearest = i;
        }
    }
    if (class->promise_count > 0) {
        drop_promise(class, nearest);
    }
}

/* Returns the number of outstanding promises of a class. */
size_t
return_times_outstanding(return_times_t *times, unsigned priority_class,
                         int64_t now_ms)
{
    return_class_t *class = class_of(times, priority_class);
    drop_overdue(class, now_ms);
    return class->promise_count;
}

/* Returns how many promises are to callers that have waited at least as
 * long. */
static size_t
count_ahead(return_class_t *class, int64_t wait_began_ms, int64_t now_ms)
{
    size_t ahead = 0;
    drop_overdue(class, now_ms);
    for (size_t i = 0; i < class->promise_count; i++) {
        ahead += class->promises[i].wait_began_ms <= wait_began_ms;
    }
    return ahead;
}

static void
add_promise(return_class_t *class, int64_t wait_began_ms, int64_t due_ms)
{
    if (class->promise_count < RETURN_PROMISES_MAX) {
        class->promises[class->promise_count++] =
            (return_promise_t){due_ms, wait_began_ms};
    }
}

static void
observe_return_time(return_class_t *class, double part)
{
    if (class->counters.promised <= 1) {
        class->promised_mean = part;
        class->promised_deviation = part;
        return;
    }
    class->promised_deviation +=
        PROMISED_WEIGHT *
        (fabs(part - class->promised_mean) - class->promised_deviation);
    class->promised_mean += PROMISED_WEIGHT * (part - class->promised_mean);
}

/* Returns after how many ms there is capacity for a caller: after the promises
 * of its class, and not before a more urgent caller with the same wait would
 * come.  Infinite if nothing is admitted. */
static double
capacity_after_ms(return_times_t *times, unsigned priority_class,
                  int64_t wait_began_ms, int64_t now_ms)
{
    double place = rng_unit(&times->rng);
    double after = 0;
    for (unsigned i = 0; i <= priority_class; i++) {
        double rate = usable_rate(times, i, now_ms);
        size_t ahead = count_ahead(&times->classes[i], wait_began_ms, now_ms);
        after =
            fmax(after, rate > 0 ? ((double)ahead + place) / rate : INFINITY);
    }
    return after;
}

/* Returns the time in ms after which a rejected caller should come back, and
 * counts it as promised.  It is at most a third of the remaining time and at
 * least the smaller of 150 ms and a tenth of the remaining time. */
int64_t
return_time_next(return_times_t *times, unsigned priority_class,
                 int64_t waited_ms, int64_t remaining_ms, int64_t now_ms)
{
    unsigned index = priority_class < PRIORITY_CLASSES ? priority_class
                                                       : PRIORITY_CLASSES - 1;
    return_class_t *class = &times->classes[index];
    int64_t remaining = remaining_ms > 0 ? remaining_ms : 0;
    int64_t tenth = (remaining + RETURN_MIN_DIVISOR - 1) / RETURN_MIN_DIVISOR;
    int64_t third = remaining / HONOURED_DIVISOR;
    double longest = (double)third;
    double shortest = fmin(fmin(RETURN_MIN_MS, (double)tenth), longest);
    double after;
    class->counters.promised++;
    if (usable_rate(times, 0, now_ms) <= 0) {
        after = shortest + (longest - shortest) * rng_unit(&times->rng);
        class->counters.promised_unknown_rate++;
    }
    else {
        after = shortest +
                capacity_after_ms(times, index, now_ms - waited_ms, now_ms);
    }
    if (after > longest) {
        after = longest -
                (longest - shortest) * LAST_SHARE * rng_unit(&times->rng);
        class->counters.promised_last++;
    }
    observe_return_time(class, longest > 0 ? after / longest : 0);
    add_promise(class, now_ms - waited_ms, now_ms + (int64_t)after);
    return (int64_t)after;
}

/* Returns how long an attempt may wait at a host, given how long its caller
 * has waited since its first attempt.  The first wait ends after wait_max_ms.
 * A caller that comes back sooner after that than callers are now asked to
 * gets no other wait: it is served only if there is capacity at once.
 * Otherwise coming back again and again would be the same as waiting without a
 * bound. */
int64_t
return_wait_ms(const return_times_t *times, unsigned priority_class,
               int64_t wait_max_ms, int64_t waited_ms, int64_t remaining_ms)
{
    const return_class_t *class =
        &times->classes[priority_class < PRIORITY_CLASSES
                            ? priority_class
                            : PRIORITY_CLASSES - 1];
    if (waited_ms < wait_max_ms) {
        return wait_max_ms - waited_ms;
    }
    double after = (double)(waited_ms - wait_max_ms);
    double longest = (after + (double)remaining_ms) / HONOURED_DIVISOR;
    double usual = longest * (class->promised_mean -
                              PROMISED_DEVIATIONS * class->promised_deviation);
    return after < fmax(usual, fmin(RETURN_MIN_MS, longest)) ? 0 : wait_max_ms;
}
