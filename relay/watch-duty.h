#ifndef CELERYSPOOL_WATCH_DUTY_H
#define CELERYSPOOL_WATCH_DUTY_H

/* How many daemons watch the platform's store, and which of them the others
 * follow.  No I/O. */

#include "../kernel/tables.h"

/* Most daemons that watch the store in a large fleet. */
#define WATCHERS_MAX 16

size_t watch_duty_count(size_t daemons);
/* Watchers that recently failed to serve this daemon. */
typedef struct {
    struct {
        char name[CS_NAME_MAX];
        int64_t until_ms; /* when it can be followed again */
    } all[WATCHERS_MAX];
} watch_avoided_t;

void watch_duty_avoid(watch_avoided_t *avoided, const char *name,
                      int64_t now_ms);
bool watch_duty_is_avoided(const watch_avoided_t *avoided, const char *name,
                           int64_t now_ms);
const member_t *watch_duty_choose(const member_t *owners, size_t count,
                                  const char *self, const char *dc,
                                  const watch_avoided_t *avoided,
                                  int64_t now_ms);

#endif
