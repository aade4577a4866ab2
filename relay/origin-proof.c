#include "origin-proof.h"

/* Keeps the report that was requested last. */
void
process_report_update(process_report_t *report, const process_report_t *newer)
{
    if (newer->sent_us > report->sent_us) {
        *report = *newer;
    }
}

/* Whether the report was requested after the connection was made.  Only then
 * the process behind the connection is no younger than the one that answered
 * the report. */
bool
origin_proof_covers(const origin_evidence_t *evidence)
{
    return evidence->report.sent_us != 0 &&
           evidence->report.sent_us >= evidence->opened_us;
}

/* Returns which process is behind a connection.
 *
 * The entry is written by a process that has started, so the process behind
 * the connection is no older than the entry's, and by a report that covers the
 * connection no younger than the reported one.  If both have the same start
 * time, it is that process.  Otherwise it may be either: what a process has
 * sent may arrive long after its end, if the network has held it up, so data
 * that follows the report proves nothing.  The report of a process that lists
 * the request does.  A report of an earlier start than the entry's contradicts
 * it, as that process has ended; the entry then holds, as for all other
 * decisions. */
origin_verdict_t
origin_proof_decide(const origin_evidence_t *evidence)
{
    if (evidence->entry_start_ms == 0) {
        return ORIGIN_ENTRY; /* nothing could contradict the entry */
    }
    if (evidence->listed_start_ms > evidence->entry_start_ms) {
        return ORIGIN_REPORTED;
    }
    if (!origin_proof_covers(evidence)) {
        /* Most connections end with the process that the entry describes. */
        return evidence->ended ? ORIGIN_ENTRY : ORIGIN_OPEN;
    }
    return evidence->report.started_ms <= evidence->entry_start_ms
               ? ORIGIN_ENTRY
               : ORIGIN_UNKNOWN;
}

const char *
origin_verdict_name(origin_verdict_t verdict)
{
    switch (verdict) {
        case ORIGIN_OPEN:
            return "open";
        case ORIGIN_ENTRY:
            return "entry";
        case ORIGIN_REPORTED:
            return "reported";
        case ORIGIN_UNKNOWN:
            return "unknown";
    }
    return "invalid";
}
