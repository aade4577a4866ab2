#ifndef CELERYSPOOL_WATCH_DUTY_H
#define CELERYSPOOL_WATCH_DUTY_H

/* Which daemons watch the platform's store, and from which of them the others
 * hear.  No I/O. */

#include "../kernel/tables.h"

#define WATCHERS_MAX 16

size_t watch_duty_count(size_t daemons);
const member_t *watch_duty_choose(const member_t *owners, size_t count,
                                  const char *self, const char *dc);

#endif
