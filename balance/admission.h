#ifndef CELERYSPOOL_ADMISSION_H
#define CELERYSPOOL_ADMISSION_H

/* Admission control by priority class at engines whose slots run out.  No I/O
 * and no clock. */

#include "../kernel/base.h"
#include "priority-class.h"

typedef enum { ADMISSION_SEND, ADMISSION_WAIT, ADMISSION_REJECT } verdict_t;

typedef struct {
    int slots;            /* of the chosen server; 0 if unknown */
    int in_flight;        /* requests of all hosts there */
    double reserve;       /* slots kept free for more urgent classes */
    double wait_ms;       /* expected queueing time at the server */
    double prefill_ms;    /* expected prefill time of the prompt */
    int target_ms;        /* desired maximum time to the first answer */
    int64_t remaining_ms; /* until the request times out */
    int64_t wait_max_ms;  /* that it may wait at this host */
    bool over_share; /* its workspace has more than its share of what there is
                      */
    int64_t waited_here_ms; /* since it arrived at this host */
    /* Share of this host's requests in flight that are of the class or less
     * urgent; meaningful if there are several. */
    double class_share;
    bool most_urgent; /* no class of the service is more urgent */
} admission_input_t;

typedef struct {
    verdict_t verdict;
    bool raised; /* it is sent with the priority of the most urgent class */
    const char *reason; /* why it waits or is rejected */
} admission_t;

unsigned priority_class(int priority);
bool admission_has_room(const admission_input_t *input);
admission_t admission_decide(const admission_input_t *input);
int64_t admission_wait_max_ms(int target_ms, int64_t remaining_ms);

#endif
