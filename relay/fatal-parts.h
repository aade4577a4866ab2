#ifndef CELERYSPOOL_FATAL_PARTS_H
#define CELERYSPOOL_FATAL_PARTS_H

/* Parts of prompts that crash the servers that answer them.  A crash is
 * evidence against the shared parts of all requests that the server ran; a
 * complete answer clears the parts of its request.  A part with enough
 * evidence is blocked.  Hosts exchange their observations.  No I/O and no
 * clock. */

#include "../kernel/base.h"

#include <ck_queue.h>

#define FATAL_PARTS_MAX 256
#define FATAL_CRASHES_MAX 16
#define FATAL_SERVERS_MAX 64
#define FATAL_REQUESTS_MAX 64
#define FATAL_ANSWERS_MAX 512
/* Notices that a host may send in one announcement: of its budget for control,
 * 8 KB a second, the part for an announcement each 50 ms. */
#define FATAL_NOTICE_BYTES 25
#define FATAL_ANNOUNCEMENT_BYTES 400
/* Shared parts of one request. */
#define FATAL_REQUEST_PARTS_MAX 8

/* The crash of a server. */
typedef struct {
    uint32_t server; /* identifies its incarnation */
    int64_t at_ms;
} fatal_crash_t;

typedef struct fatal_part {
    CK_LIST_ENTRY(fatal_part) entry;
    uint64_t part;  /* hash of its id; 0 for a free element */
    unsigned depth; /* largest position in a prompt */
    fatal_crash_t crashes[FATAL_CRASHES_MAX];
    bool announced[FATAL_CRASHES_MAX]; /* of each crash */
    size_t crash_count;
    int64_t cleared_ms; /* an answer that began then clears it; 0 for none */
    bool clear_announced;
    int64_t updated_ms;
    bool blocked;
    bool block_announced;
    int64_t blocked_ms;
    /* From then on one request may be sent as a trial. */
    int64_t trial_due_ms;
    unsigned trials;
} fatal_part_t;

typedef CK_LIST_HEAD(fatal_part_list, fatal_part) fatal_part_list_t;

/* The shared parts of a request, in the order of its prompt. */
typedef struct {
    uint64_t parts[FATAL_REQUEST_PARTS_MAX];
    size_t count;
} fatal_request_t;

/* The latest answer to a request with a part. */
typedef struct {
    uint64_t part;
    int64_t began_ms;
} fatal_answer_t;

typedef struct {
    fatal_part_list_t used;
    fatal_part_t items[FATAL_PARTS_MAX];
    /* The latest crashes, each with the time of the first observation. */
    fatal_crash_t crashed[FATAL_SERVERS_MAX];
    size_t crashed_next; /* element that the next one takes */
    /* The latest requests of this host, sound ones included. */
    fatal_request_t requests[FATAL_REQUESTS_MAX];
    size_t request_count; /* since the start */
    /* Answers that this host has received, by hash of the part; a part takes
     * the element of another one. */
    fatal_answer_t answers[FATAL_ANSWERS_MAX];
} fatal_parts_t;

typedef enum {
    FATAL_CRASHED = 1, /* a server crashed that ran a request with the part */
    FATAL_CLEARED,     /* a server answered a request with it */
    FATAL_BLOCKED      /* requests with it are not sent any more */
} fatal_fact_t;

/* An observation of a part that is announced to other hosts. */
typedef struct {
    uint64_t part;
    unsigned depth;
    fatal_fact_t fact;
    uint32_t server; /* of FATAL_CRASHED */
    uint32_t age_ms; /* of the crash, the begin of the answer, or the block */
} fatal_notice_t;

void fatal_parts_init(fatal_parts_t *parts);
void fatal_parts_note_request(fatal_parts_t *parts,
                              const fatal_request_t *request);
bool fatal_parts_note_crash(fatal_parts_t *parts,
                            const fatal_request_t *request, uint32_t server,
                            int64_t sent_ms, int64_t at_ms, int64_t now_ms);
void fatal_parts_note_answer(fatal_parts_t *parts,
                             const fatal_request_t *request, int64_t began_ms,
                             int64_t now_ms);
bool fatal_parts_apply(fatal_parts_t *parts, const fatal_notice_t *notice,
                       int64_t now_ms);
size_t fatal_parts_take_notices(fatal_parts_t *parts, fatal_notice_t *out,
                                size_t max, int64_t now_ms);
size_t fatal_notices_max(size_t receivers);
size_t fatal_parts_list_blocked(const fatal_parts_t *parts,
                                fatal_notice_t *out, size_t max,
                                int64_t now_ms);
fatal_part_t *fatal_parts_find_blocked(fatal_parts_t *parts,
                                       const fatal_request_t *request);
void fatal_part_take_trial(fatal_part_t *part, int64_t now_ms);
bool fatal_part_trial_is_due(const fatal_part_t *part, int64_t now_ms);
int64_t fatal_part_retry_after_ms(const fatal_part_t *part, int64_t now_ms);

#endif
