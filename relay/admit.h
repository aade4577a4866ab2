#ifndef CELERYSPOOL_ADMIT_H
#define CELERYSPOOL_ADMIT_H

/* Admission control for requests to engines.  No I/O. */

#include "../kernel/base.h"

typedef struct {
    double wait_ms;    /* expected queueing time at the best server */
    double prefill_ms; /* expected prefill time after that */
    double margin_ms;  /* excess over the estimate that covers most answers */
    int target_ms;     /* latest time to the first answer */
    int64_t remaining_ms; /* until the request times out */
    bool engine;          /* only requests for engines can be rejected */
} admit_input_t;

int64_t admit_retry_after_ms(const admit_input_t *input);

#endif
