#ifndef CELERYSPOOL_SOAK_FAULTS_H
#define CELERYSPOOL_SOAK_FAULTS_H

#include "soak.h"

typedef enum {
    FAULT_RELAY_KILL,
    FAULT_RELAY_STOP,
    FAULT_RELAY_PAUSE,
    FAULT_RELAY_RELOAD,
    FAULT_CALLER_LINK,       /* the link from callers to a relay */
    FAULT_STORE_LINK,        /* the link from a relay to the store */
    FAULT_SERVER_LINK,       /* the link to a server */
    FAULT_RESET_CONNECTIONS, /* open connections on a link are reset */
    FAULT_STALL_CONNECTIONS, /* open connections on a link transfer no more
                                data */
    FAULT_SERVER,            /* a server answers wrongly or not at all */
    FAULT_STORE_DOWN,
    FAULT_STORE_SILENT,
    FAULT_STORE_LOSES_ANSWERS, /* writes are done but not answered */
    FAULT_STORE_LOSES_HISTORY,
    FAULT_NEW_CONFIG,
    FAULT_NEW_WEIGHTS,
    FAULT_REMOVE_KEY, /* a key is removed from the configuration */
    /* The kinds from here on are drawn with --signals alone, so that the other
     * seeds draw the same faults as before these kinds existed. */
    FAULT_SERVER_LIMIT, /* a server states a rate limit */
    FAULT_SERVER_REST,  /* a server rejects and asks for rest */
    /* From here on with --cuts alone. */
    FAULT_HOST_CUT,       /* a relay is cut off from all servers */
    FAULT_SERVER_BRITTLE, /* a server ends over rejected requests */
    FAULT_FATAL_PART,     /* a part of a prompt ends the engines */
    FAULT_ONE_RELAY,      /* all callers use one relay */
    FAULT_UNFRAMED,       /* answers end with their connection */
    /* From here on with --planned alone. */
    FAULT_SILENCE, /* links from engines deliver nothing for about a second */
    /* From here on with --versions alone. */
    FAULT_ENGINE_DRAIN,   /* an engine leaves, one of another version comes */
    FAULT_ENGINE_RESTART, /* an engine starts again with another version */
    FAULT_ENGINES_ROLL,   /* all of a version do so one by one */
    FAULT_VERSION_LEAVES, /* all of a version do so at once */
    FAULT_STREAMS_END,    /* an engine breaks off half of its streams */
    FAULT_RELAYS_IN_TURN, /* all relays are killed in turn */
    FAULT_RELAYS_AT_ONCE, /* all relays are killed at once */
    FAULT_CALLER_RESETS,  /* the connections of a relay's callers are reset */
    FAULT_KINDS
} fault_kind_t;

void disturb_relay(soak_relay_t *relay, int64_t duration_ms);
void disturb_server(soak_t *soak, soak_server_t *server, int64_t duration_ms);
void extras_start(soak_t *soak);
void extras_tick(soak_t *soak);
void versions_start_fault(soak_t *soak, fault_kind_t kind, size_t target);

#endif
