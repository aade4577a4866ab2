#include "daemon.h"

#include <stdlib.h>

/* A few workers for jobs that may block on the platform or a peer. */

typedef struct job {
    CK_STAILQ_ENTRY(job) entry;
    void (*run)(void *arg);
    void *arg;
} job_t;

struct pool {
    pthread_mutex_t lock;
    pthread_cond_t more;
    CK_STAILQ_HEAD(jobs, job) jobs;
    bool stop;
    unsigned threads;
    pthread_t *workers;
};

static job_t *
pool_next(pool_t *pool)
{
    LOCK_SCOPE(&pool->lock);
    while (CK_STAILQ_EMPTY(&pool->jobs) && !pool->stop) {
        (void)pthread_cond_wait(&pool->more, &pool->lock);
    }
    job_t *job = CK_STAILQ_FIRST(&pool->jobs);
    if (job != NULL) {
        CK_STAILQ_REMOVE_HEAD(&pool->jobs, entry);
    }
    return job;
}

static void *
pool_run(void *arg)
{
    job_t *job;
    while ((job = pool_next(arg)) != NULL) {
        job->run(job->arg);
        free(job);
    }
    return NULL;
}

/* Start so many workers. */
pool_t *
pool_new(unsigned threads)
{
    pool_t *pool = mem_zalloc(sizeof(*pool));
    (void)pthread_mutex_init(&pool->lock, NULL);
    (void)pthread_cond_init(&pool->more, NULL);
    CK_STAILQ_INIT(&pool->jobs);
    pool->threads = threads;
    pool->workers = mem_zalloc(threads * sizeof(pthread_t));
    for (unsigned i = 0; i < threads; i++) {
        (void)pthread_create(&pool->workers[i], NULL, pool_run, pool);
    }
    return pool;
}

/* Hand a job in; jobs run in order of arrival, several at once. */
void
pool_submit(pool_t *pool, void (*run)(void *arg), void *arg)
{
    job_t *job = mem_zalloc(sizeof(*job));
    job->run = run;
    job->arg = arg;
    LOCK_SCOPE(&pool->lock);
    CK_STAILQ_INSERT_TAIL(&pool->jobs, job, entry);
    (void)pthread_cond_signal(&pool->more);
}

/* Run what has been handed in, then join the workers. */
void
pool_free(pool_t *pool)
{
    (void)pthread_mutex_lock(&pool->lock);
    pool->stop = true;
    (void)pthread_cond_broadcast(&pool->more);
    (void)pthread_mutex_unlock(&pool->lock);
    for (unsigned i = 0; i < pool->threads; i++) {
        (void)pthread_join(pool->workers[i], NULL);
    }
    (void)pthread_cond_destroy(&pool->more);
    (void)pthread_mutex_destroy(&pool->lock);
    free(pool->workers);
    free(pool);
}
