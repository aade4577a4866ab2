#ifndef CELERYSPOOL_CONFIG_FORMER_H
#define CELERYSPOOL_CONFIG_FORMER_H

/* What a configuration remembers of those before it, for as long as requests
 * that began under these may last: the services to which the paths of its
 * routes led, and the longest timeout.  Also the names that its routes had.
 * No I/O and no clock. */

#include "relay-config.h"

/* Requests may have begun this much earlier than the longest timeout: clocks
 * of hosts differ, and they adopt a configuration at different times. */
#define REQUEST_BEGAN_MARGIN_MS 3000

void config_former_take(relay_config_t *config, const relay_config_t *older,
                        int64_t now_ms);
int64_t config_former_timeout_ms(const relay_config_t *config, int64_t now_ms);
size_t config_former_services(const route_t *route, int64_t now_ms,
                              uint64_t out[ROUTE_SERVICES_MAX]);

#endif
