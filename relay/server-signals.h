#ifndef CELERYSPOOL_SERVER_SIGNALS_H
#define CELERYSPOOL_SERVER_SIGNALS_H

/* What a server says of itself in the head of an answer.  Decoded by
 * platform/signals-read.c. */

#include "../kernel/base.h"

typedef enum {
    SIGNAL_ABSENT,
    SIGNAL_VALID,
    SIGNAL_INVALID /* present, but its value cannot be parsed */
} signal_state_t;

typedef struct {
    signal_state_t limit;
    double limit_per_s;  /* requests a second from all hosts together */
    signal_state_t rest; /* in a rejection; absent in any other answer */
    int64_t rest_ms;     /* without requests from this host */
    bool leaving;        /* it takes no new requests */
    signal_state_t brittle;
    double
        brittle_per_s; /* rejections that it bears from all hosts together */
} server_signals_t;

/* What a server says of its load in the head of an answer. */
typedef struct {
    int running;
    int waiting;
    int slots;
    int pace; /* percent of the time that work usually takes; 0: not said */
} server_load_t;

bool platform_load_read(server_load_t *load, const char *text, size_t len);

#endif
