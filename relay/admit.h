#ifndef CELERYSPOOL_ADMIT_H
#define CELERYSPOOL_ADMIT_H

/* Whether a request is let in where servers are busy.  No I/O. */

#include "../kernel/base.h"

typedef struct {
    double wait_ms;       /* for what is ahead of it at the best server */
    double read_ms;       /* for its own prompt behind that */
    double margin_ms;     /* that answers lately came later than expected */
    int target_ms;        /* that is in time */
    int64_t remaining_ms; /* until nobody waits for it any more */
    bool engine;
} admit_input_t;

int64_t admit_retry_after_ms(const admit_input_t *ask);

#endif
