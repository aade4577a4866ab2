#include "daemon.h"

#include <stdlib.h>

/* Worker threads for jobs that may block on the platform or a peer. */

typedef struct job {
    CK_STAILQ_ENTRY(job) entry;
    void (*run)(void *arg);
    void *arg;
} job_t;

struct pool {
    pthread_mutex_t lock;
    pthread_cond_t job_added;
    CK_STAILQ_HEAD(jobs, job) jobs;
    bool stopping;
    unsigned threads;
    pthread_t *workers;
};

static job_t *
pool_next(pool_t *pool)
{
    LOCK_SCOPE(&pool->lock);
    while (CK_STAILQ_EMPTY(&pool->jobs) && !pool->stopping) {
        (void)pthread_cond_wait(&pool->job_added, &pool->lock);
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

/* Creates a pool and starts its threads. */
pool_t *
pool_new(unsigned threads)
{
    pool_t *pool = mem_zalloc(sizeof(*pool));
    (void)pthread_mutex_init(&pool->lock, NULL);
    (void)pthread_cond_init(&pool->job_added, NULL);
    CK_STAILQ_INIT(&pool->jobs);
    pool->threads = threads;
    pool->workers = mem_zalloc(threads * sizeof(pthread_t));
    for (unsigned i = 0; i < threads; i++) {
        (void)pthread_create(&pool->workers[i], NULL, pool_run, pool);
    }
    return pool;
}

/* Queues a job.  Jobs start in order of submission and run in parallel. */
void
pool_submit(pool_t *pool, void (*run)(void *arg), void *arg)
{
    job_t *job = mem_zalloc(sizeof(*job));
    job->run = run;
    job->arg = arg;
    LOCK_SCOPE(&pool->lock);
    CK_STAILQ_INSERT_TAIL(&pool->jobs, job, entry);
    (void)pthread_cond_signal(&pool->job_added);
}

/* Runs the queued jobs, joins the threads and frees the pool. */
void
pool_free(pool_t *pool)
{
    (void)pthread_mutex_lock(&pool->lock);
    pool->stopping = true;
    (void)pthread_cond_broadcast(&pool->job_added);
    (void)pthread_mutex_unlock(&pool->lock);
    for (unsigned i = 0; i < pool->threads; i++) {
        (void)pthread_join(pool->workers[i], NULL);
    }
    (void)pthread_cond_destroy(&pool->job_added);
    (void)pthread_mutex_destroy(&pool->lock);
    free(pool->workers);
    free(pool);
}
