#ifndef CELERYSPOOL_ORIGIN_PROOF_H
#define CELERYSPOOL_ORIGIN_PROOF_H

/* Decides which process of a server began a stream: the one that the server's
 * entry describes, or one that started later under the same id, possibly with
 * other software.  Processes differ in their start time.  No I/O and
 * no clock. */

#include "../kernel/base.h"

/* What a server's report shows of the process that answered it. */
typedef struct {
    int64_t sent_us;    /* when it was requested, monotonic; 0 for none */
    int64_t started_ms; /* of the process; 0 if it states none */
} process_report_t;

typedef struct {
    int64_t entry_start_ms; /* in the entry at the send; 0 if unknown */
    int64_t opened_us;      /* when the connection was made */
    process_report_t report;
    /* Start of a process whose report lists the request; 0 if none did. */
    int64_t listed_start_ms;
    bool ended; /* the connection has ended */
} origin_evidence_t;

typedef enum {
    ORIGIN_OPEN,     /* not decided yet */
    ORIGIN_ENTRY,    /* the process that the entry describes */
    ORIGIN_REPORTED, /* the process whose report lists the request */
    ORIGIN_UNKNOWN   /* one of several processes */
} origin_verdict_t;

void process_report_update(process_report_t *report,
                           const process_report_t *newer);
bool origin_proof_covers(const origin_evidence_t *evidence);
origin_verdict_t origin_proof_decide(const origin_evidence_t *evidence);
const char *origin_verdict_name(origin_verdict_t verdict);

#endif
