#include "faults.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>

/* Runs one soak from a seed: some seconds of faults, a recovery phase without
 * faults, then the checks. */

#define TICK_MS 20
/* Length of the recovery phase, without faults.  The longest pauses of a
 * circuit breaker, a watch and a lease fit in its first six seconds. */
#define RECOVERY_MS 9000
/* Time for the daemons to start, and at the end for requests in flight to
 * complete. */
#define SETTLE_MS 3000

typedef struct {
    uint64_t seed;
    int seconds;
    int relays;
    int engines;
    int callers;
    int port;
    bool signals;
    bool cuts;
    bool planned;
    bool extras;
    bool returns;
    bool versions;
    bool priorities;
    const char *dir;
    const char *build;
} args_t;

static const struct argp_option options[] = {
    {"seed", 's', "N", 0, "seed of the random faults", 0},
    {"seconds", 't', "N", 0, "duration of the faults", 0},
    {"relays", 'r', "N", 0, "number of daemons, at most 16", 0},
    {"engines", 'e', "N", 0,
     "number of engines, at most 8; two plain servers are added", 0},
    {"callers", 'c', "N", 0, "number of concurrent callers", 0},
    {"port", 'p', "N", 0, "first of 240 consecutive ports", 0},
    {"signals", 'S', NULL, 0,
     "servers also state rate limits and ask for rest", 0},
    {"cuts", 'C', NULL, 0,
     "besides that, hosts are cut off from all servers and servers are "
     "brittle",
     0},
    {"planned", 'P', NULL, 0,
     "nothing but changes of the configuration, SIGHUP and servers that are "
     "silent for about a second",
     0},
    {"versions", 'V', NULL, 0,
     "engines have several software versions, and callers take streams up; "
     "the "
     "last third is planned work",
     0},
    {"priorities", 'U', NULL, 0,
     "engines have few slots, admission by priority is turned on and off, and "
     "rejected callers return",
     0},
    {"extras", 'X', NULL, 0,
     "besides all else, servers send answers that belong to no request", 0},
    {"returns", 'R', NULL, 0,
     "besides all else, daemons are killed in series, and find their "
     "addresses "
     "held or their settings cut off when they start",
     0},
    {"dir", 'd', "DIR", 0, "directory for logs and records", 0},
    {"build", 'b', "DIR", 0, "directory of the programs", 0},
    {0},
};

static error_t
parse_number(const char *text, long min, long max, struct argp_state *state,
             long *out)
{
    char *end;
    *out = strtol(text, &end, 10);
    if (*end != '\0' || *out < min || *out > max) {
        argp_error(state, "%s is not a number from %ld to %ld", text, min,
                   max);
    }
    return 0;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    args_t *args = state->input;
    long value = 0;
    switch (key) {
        case 's':
            args->seed = strtoull(arg, NULL, 10);
            return 0;
        case 't':
            (void)parse_number(arg, 1, 3600, state, &value);
            args->seconds = (int)value;
            return 0;
        case 'r':
            (void)parse_number(arg, 1, RELAYS_MAX, state, &value);
            args->relays = (int)value;
            return 0;
        case 'e':
            (void)parse_number(arg, 1, ENGINES_MAX, state, &value);
            args->engines = (int)value;
            return 0;
        case 'c':
            (void)parse_number(arg, 1, 1000, state, &value);
            args->callers = (int)value;
            return 0;
        case 'p':
            (void)parse_number(arg, 1024, 65000, state, &value);
            args->port = (int)value;
            return 0;
        case 'S':
            args->signals = true;
            return 0;
        case 'C':
            args->signals = true;
            args->cuts = true;
            return 0;
        case 'P':
            args->planned = true;
            return 0;
        case 'X':
            args->extras = true;
            return 0;
        case 'R':
            args->returns = true;
            return 0;
        case 'V':
            args->versions = true;
            return 0;
        case 'U':
            args->priorities = true;
            return 0;
        case 'd':
            args->dir = arg;
            return 0;
        case 'b':
            args->build = arg;
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp arguments = {
    options,
    parse_option,
    NULL,
    "Runs real daemons under seeded faults and checks their guarantees.",
    NULL,
    NULL,
    NULL};

static void
on_child(evutil_socket_t fd, short what, void *arg)
{
    int status;
    pid_t pid;
    (void)fd;
    (void)what;
    while ((pid = waitpid(-1, &status, WNOHANG)) > 0) {
        deployment_child_exited(arg, pid, status);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    soak_t *soak = arg;
    int64_t now = time_mono_ms();
    (void)fd;
    (void)what;
    deployment_tick(soak);
    if (now < soak->start_ms) {
        return;
    }
    if (soak->callers == NULL) {
        extras_start(soak);
        soak->callers = callers_start(soak, soak->caller_count);
    }
    faults_tick(soak);
    extras_tick(soak);
    returns_tick(soak);
    versions_tick(soak);
    slots_tick(soak);
    paces_tick(soak);
    exchanges_sweep(soak->exchanges);
    if (now >= soak->end_ms) {
        callers_stop(soak->callers);
    }
    if (now >= soak->end_ms + SETTLE_MS) {
        (void)event_base_loopbreak(soak->base);
    }
}

static int
soak_open(soak_t *soak, const args_t *args, err_t *err)
{
    static const struct timeval interval = {0, TICK_MS * 1000};
    soak->seed = args->seed;
    soak->rng.state = args->seed;
    soak->own_fault_rng.state = args->seed;
    soak->fault_rng = args->versions || args->planned || args->priorities
                          ? &soak->own_fault_rng
                          : &soak->rng;
    soak->build = args->build;
    soak->first_port = args->port;
    soak->signals = args->signals;
    soak->cuts = args->cuts;
    soak->planned = args->planned;
    soak->extras = args->extras;
    soak->returns = args->returns;
    soak->versions = args->versions;
    soak->priorities = args->priorities;
    soak->relay_count = (size_t)args->relays;
    soak->server_count = (size_t)args->engines + PLAIN_SERVERS;
    soak->caller_count = (size_t)args->callers;
    (void)snprintf(soak->dir, sizeof(soak->dir), "%s", args->dir);
    (void)snprintf(soak->record_path, sizeof(soak->record_path), "%s/record",
                   args->dir);
    (void)mkdir(args->dir, 0755);
    (void)remove(soak->record_path);
    soak->base = event_base_new();
    soak->exchanges = exchanges_new(soak->base);
    struct event *child = evsignal_new(soak->base, SIGCHLD, on_child, soak);
    struct event *tick = event_new(soak->base, -1, EV_PERSIST, on_tick, soak);
    (void)event_add(child, NULL);
    (void)event_add(tick, &interval);
    soak->start_ms = time_mono_ms() + SETTLE_MS;
    soak->faults_end_ms = soak->start_ms + (int64_t)args->seconds * 1000;
    soak->planned_from_ms =
        soak->versions ? soak->faults_end_ms - (int64_t)args->seconds * 333
                       : soak->faults_end_ms;
    soak->end_ms = soak->faults_end_ms + RECOVERY_MS;
    return deployment_open(soak, err);
}

/* With versions there are two or more engines of each, and enough relays that
 * most are undisturbed while one is killed. */
static void
set_sizes(args_t *args)
{
    if (args->relays == 0) {
        args->relays = args->versions ? 5 : 3;
    }
    if (args->engines == 0) {
        args->engines = args->versions ? 7 : 3;
    }
}

int
main(int argc, char **argv)
{
    args_t args = {.seed = 1,
                   .seconds = 15,
                   .callers = 24,
                   .port = 21000,
                   .dir = "out/soak",
                   .build = "build"};
    soak_t *soak = mem_zalloc(sizeof(*soak));
    err_t err = {0};
    (void)argp_parse(&arguments, argc, argv, 0, NULL, &args);
    set_sizes(&args);
    (void)signal(SIGPIPE, SIG_IGN);
    (void)setvbuf(stdout, NULL, _IOLBF, 0);
    (void)printf("soak: seed %llu, %d relays, %d engines, %d s\n",
                 (unsigned long long)args.seed, args.relays, args.engines,
                 args.seconds);
    if (soak_open(soak, &args, &err) != 0) {
        (void)fprintf(stderr, "soak: %s\n", err.text);
        deployment_stop(soak);
        return EXIT_UNREACHABLE;
    }
    (void)event_base_dispatch(soak->base);
    deployment_stop(soak);
    callers_check(soak->callers);
    (void)printf("soak: seed %llu, %u faults, %u guarantees violated\n",
                 (unsigned long long)args.seed, soak->fault_count,
                 soak->violations);
    return soak->violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
