#ifndef CELERYSPOOL_PEER_CODEC_H
#define CELERYSPOOL_PEER_CODEC_H

/* The datagrams between daemons: a message authentication code, keyed with the
 * shared secret, followed by msgpack. */

#include "tables.h"

#define PEER_DATAGRAM_MAX 8192
#define PEER_FACTS_MAX 64
#define PEER_MAC_BYTES 16

/* Workspaces in one PEER_USAGES datagram. */
#define PEER_USAGES_MAX 256

/* Servers in one PEER_LOADS datagram. */
#define PEER_LOADS_MAX 256

/* Servers in one PEER_SIGNALS datagram. */
#define PEER_SIGNALS_MAX 128

typedef enum {
    PEER_MEMBERS = 1,
    PEER_FACTS = 2,
    PEER_USAGES = 3,
    PEER_LOADS = 4,
    PEER_SIGNALS = 5,
    PEER_PARTS = 6,
    PEER_ORIGINS = 7,
    PEER_ORIGIN_QUERY = 8, /* each entry names a stream only */
    PEER_SPEEDS = 9,
    PEER_ORIGIN_RECORDS = 10 /* to be written to the platform's store */
} peer_kind_t;

/* A load report or a change of a cache entry of a backend server. */
typedef struct {
    bool is_load;
    char backend[CS_NAME_MAX];
    load_report_t load;
    uint64_t key;
    uint32_t prefix_tokens; /* of the prompt up to the end of this part */
    uint32_t part_tokens;   /* of this part alone, 0 if unknown */
    bool held;              /* the server holds the entry; false: evicted */
} peer_fact_t;

/* Units of a workspace's limit that the sender has spent. */
typedef struct {
    uint64_t workspace_hash; /* of its name */
    uint32_t total_spent;    /* since the sender started, wraps */
    uint32_t recent_spent;   /* since the last announcement; modulo 2^32 if
                                negative */
} peer_usage_t;

/* The load that the sender puts on a server. */
typedef struct {
    uint32_t server_hash;     /* of its id */
    uint32_t prefill_tokens;  /* still to prefill for the sender's requests */
    uint32_t running;         /* requests of the sender */
    uint32_t unshared_tokens; /* of unshared prompt parts added to the cache;
                                 cumulative, wraps */
    uint32_t sent_tokens;     /* sent to prefill; cumulative, wraps */
} peer_load_t;

/* What a server has said of itself. */
typedef struct {
    uint32_t server_hash;    /* of its id */
    uint32_t incarnation;    /* hash of its address and start time */
    uint32_t limit_revision; /* 0 if it never stated a limit */
    bool limit_stated;
    uint64_t limit_milli_per_s; /* requests in 1000 s from all hosts */
    bool leaving;
    uint32_t brittle_revision; /* 0 if it never stated that it is brittle */
    bool brittle_stated;
    uint64_t brittle_milli_per_s;    /* rejections in 1000 s from all hosts */
    uint64_t brittle_milli_capacity; /* thousandths of what hosts share */
    uint32_t brittle_hold_ms; /* how long a request is there; 0 unknown */
} peer_signal_t;

/* Parts in one PEER_PARTS datagram. */
#define PEER_PARTS_MAX 16

/* What a host has observed of a part of prompts; see relay/fatal-parts.h. */
typedef struct {
    uint64_t part; /* hash of its id */
    uint32_t depth;
    uint32_t fact;
    uint32_t server; /* hash of its address and start time; 0 for none */
    uint32_t age_ms; /* of the observation */
} peer_part_t;

/* Streams in one PEER_ORIGINS, PEER_ORIGIN_QUERY or PEER_ORIGIN_RECORDS
 * datagram. */
#define PEER_ORIGINS_MAX 64

/* Which software version began a stream; see relay/stream-id.h. */
typedef struct {
    uint64_t attempt;
    uint32_t caller;
    uint64_t service;
    uint64_t software;
    uint32_t lifetime_ms; /* 0: the sender does not know the stream */
} peer_origin_t;

/* Servers in one PEER_SPEEDS datagram. */
#define PEER_SPEEDS_MAX 128

/* How fast a server is relative to its service; see balance/engine-speed.h. */
typedef struct {
    uint32_t server_hash; /* of its id */
    uint32_t incarnation; /* hash of its address and start time */
    uint32_t ratio_milli; /* of the time that work takes to the mean */
    uint32_t observations;
} peer_speed_t;

/* Of the union, only the member for the kind is valid. */
typedef struct {
    peer_kind_t kind;
    union {
        member_message_t members; /* PEER_MEMBERS */
        struct {                  /* PEER_FACTS */
            peer_fact_t facts[PEER_FACTS_MAX];
            size_t fact_count;
        };
        struct { /* PEER_USAGES */
            peer_usage_t usages[PEER_USAGES_MAX];
            size_t usage_count;
            uint64_t incarnation; /* of the sender */
            uint64_t sequence;
        };
        struct { /* PEER_LOADS */
            peer_load_t loads[PEER_LOADS_MAX];
            size_t load_count;
        };
        struct { /* PEER_SIGNALS */
            peer_signal_t signals[PEER_SIGNALS_MAX];
            size_t signal_count;
        };
        struct { /* PEER_PARTS */
            peer_part_t parts[PEER_PARTS_MAX];
            size_t part_count;
        };
        struct { /* PEER_ORIGINS, PEER_ORIGIN_QUERY, PEER_ORIGIN_RECORDS */
            peer_origin_t origins[PEER_ORIGINS_MAX];
            size_t origin_count;
        };
        struct { /* PEER_SPEEDS */
            peer_speed_t speeds[PEER_SPEEDS_MAX];
            size_t speed_count;
        };
    };
} peer_datagram_t;

size_t peer_encode(const peer_datagram_t *datagram,
                   const unsigned char *secret,
                   unsigned char out[PEER_DATAGRAM_MAX]);
int peer_decode(peer_datagram_t *datagram, const unsigned char *secret,
                const unsigned char *data, size_t len);

#endif
