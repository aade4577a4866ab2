#ifndef CELERYSPOOL_SETTINGS_H
#define CELERYSPOOL_SETTINGS_H

/* The settings of one daemon, read from an INI file. */

#include "base.h"

#define SETTINGS_SEEDS_MAX 16
#define SECRET_BYTES 32

/* What a daemon runs as: MODE_CHAT serves the product's own interface,
 * MODE_RELAY is the router on the users' platform.  Some settings apply to
 * one mode only. */
typedef enum { MODE_CHAT = 1, MODE_RELAY = 2 } daemon_mode_t;
#define MODE_BOTH (MODE_CHAT | MODE_RELAY)

typedef struct {
    char name[CS_NAME_MAX];
    char dc[CS_NAME_MAX];
    int mode;
    int objective; /* 0: tail latency, 1: cache hits */
    char ready_addr[CS_ADDR_MAX];
    char metrics_addr[CS_ADDR_MAX];
    double stop_timeout_s;
    double lease_ms;
    double old_weights_max_ms;
    double retry_ratio;
    double retry_slack;
    double retry_window_s;
    double quota_window_s;
    double quota_overage;
    double quota_slack;
    double memory_mb; /* of this host; 0 if it is not known */
    double link_mbps; /* of this host; 0 if it is not known */
    int descriptors;  /* 0: as many as the system allows */
    int hosts_min;
    int log_level;
    char event_log[256];
    char http_addr[CS_ADDR_MAX];
    char peer_addr[CS_ADDR_MAX];
    char store_addr[CS_ADDR_MAX];
    char source_ip[CS_ADDR_MAX]; /* of own connections; empty for any */
    char seeds[SETTINGS_SEEDS_MAX][CS_ADDR_MAX];
    unsigned seed_count;
    unsigned char secret[SECRET_BYTES];
    char operator_key[CS_NAME_MAX * 2];
    int http_threads;
    int relay_threads;
    int connections_max;
    int body_max_kib;
    int idle_timeout_s;
    int shutdown_grace_ms;
    int stream_silence_max_ms;
    int store_timeout_ms;
} settings_t;

/* Ordered by severity. */
typedef enum {
    SETTINGS_VALID,
    /* The file is missing or ends too early, as while it is being written. */
    SETTINGS_INCOMPLETE,
    SETTINGS_INVALID
} settings_status_t;

/* These functions report every problem of a file, one per line:
 * "file:line: problem". */
settings_status_t settings_read(settings_t *settings, const char *path,
                                buf_t *problems);
settings_status_t settings_wait(settings_t *settings, const char *path);
settings_status_t settings_parse(settings_t *settings, const char *name,
                                 const char *text, buf_t *problems);
void settings_print_help(FILE *out);

#endif
