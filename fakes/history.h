#ifndef CELERYSPOOL_HISTORY_H
#define CELERYSPOOL_HISTORY_H

/* Checks histories: the answers to callers against the recorded executions.
 * Each check takes time linear in the history, returns the number of
 * violations and describes them in problems. */

#include "../kernel/base.h"

size_t history_check_keys(const json_t *answers, const json_t *effects,
                          buf_t *problems);
size_t history_check_not_run(const json_t *events, const json_t *executed,
                             buf_t *problems);
size_t history_check_generations(const json_t *events, buf_t *problems);
int64_t history_last_sent_ms(const json_t *events, const char *backend);

#endif
