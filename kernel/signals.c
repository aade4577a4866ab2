#include "base.h"

#include <pthread.h>
#include <signal.h>

static void
change_mask(int how)
{
    sigset_t set;
    (void)sigemptyset(&set);
    (void)sigaddset(&set, SIGHUP);
    (void)sigaddset(&set, SIGINT);
    (void)sigaddset(&set, SIGTERM);
    (void)pthread_sigmask(how, &set, NULL);
}

/* Blocks the signals that stop or reload a process, in this thread and in
 * those that it creates, so that they wait until their handlers are installed.
 */
void
signals_block(void)
{
    change_mask(SIG_BLOCK);
}

/* Unblocks them in this thread, also those that were blocked at the start of
 * the process. */
void
signals_unblock(void)
{
    change_mask(SIG_UNBLOCK);
}

/* Whether a signal that stops the process was received while blocked. */
bool
signals_stop_pending(void)
{
    sigset_t set;
    return sigpending(&set) == 0 &&
           (sigismember(&set, SIGTERM) == 1 || sigismember(&set, SIGINT) == 1);
}
