/* journal_thread.c - the thread of the journal of streams. */
#include "journal_thread.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "counter.h"
#include "log.h"

/* The thread rests for so many times the duration of its last write. */
#define REST_FACTOR 4
/* After a failed write the next one is tried after this time. */
#define RETRY_US (1 * USEC_PER_SEC)
/* Wake-up for what expires is put off by this much, to remove more at once. */
#define SWEEP_DELAY_US (1 * USEC_PER_SEC)

/* Streams of one software version that wait to be written. */
typedef struct waiting {
	str_t build;	 /* owned */
	GArray *records; /* journal_record_t */
} waiting_t;

struct journal_thread {
	stream_journal_t *journal; /* used by the thread alone */
	void (*read)(void *ctx, stream_builds_t *found);
	void *ctx;
	pthread_t thread;
	pthread_mutex_t lock; /* of the fields below */
	pthread_cond_t wake;
	GPtrArray *waiting; /* waiting_t */
	size_t n_waiting;   /* records */
	bool stop;
};

static void waiting_free(void *p)
{
	waiting_t *w = p;

	str_free(&w->build);
	g_array_free(w->records, TRUE);
	free(w);
}

static GPtrArray *waiting_list_new(void)
{
	return g_ptr_array_new_with_free_func(waiting_free);
}

/* Reading. */

static void keep_found(void *ctx, uint64_t key, str_t build, int64_t left_us)
{
	stream_builds_tell(ctx, key, build, 0, left_us);
}

static void read_journal(journal_thread_t *t)
{
	stream_builds_t *found = stream_builds_new();
	int64_t began_us = g_get_monotonic_time();
	journal_found_t n;

	if (stream_journal_read(t->journal, g_get_real_time(), keep_found,
				found, &n) < 0)
		log_event(LOG_WARNING, "stream_journal_failed",
			  KV_C("error", strerror(errno)), kv_u("streams", 0));
	else
		log_event(LOG_INFO, "stream_journal_read",
			  kv_u("streams", n.streams),
			  kv_u("segments", n.segments),
			  kv_u("unreadable", n.unreadable),
			  kv_u("torn_bytes", n.torn_bytes),
			  kv_i("after_ms", (g_get_monotonic_time() - began_us) /
						   USEC_PER_MSEC));
	t->read(t->ctx, found);
}

/* Writing. */

/* Writes the list; returns when the next write may begin. */
static int64_t write_list(journal_thread_t *t, const GPtrArray *list,
			  size_t n_records)
{
	AUTO_FREE journal_batch_t *batches =
		xcalloc(list->len, sizeof(*batches));
	int64_t began_us = g_get_monotonic_time();
	int64_t ended_us;
	int rc;

	for (guint i = 0; i < list->len; i++) {
		const waiting_t *w = g_ptr_array_index(list, i);

		batches[i].build = w->build;
		batches[i].records = (const journal_record_t *)w->records->data;
		batches[i].n = w->records->len;
	}
	rc = stream_journal_write(t->journal, batches, list->len,
				  g_get_real_time());
	if (rc < 0) {
		counter_add(CTR_STREAM_JOURNAL_DROPPED, n_records);
		log_event(LOG_WARNING, "stream_journal_failed",
			  KV_C("error", strerror(errno)),
			  kv_u("streams", n_records));
	}
	ended_us = g_get_monotonic_time();
	if (rc < 0)
		return ended_us + RETRY_US;
	return ended_us + (ended_us - began_us) * REST_FACTOR;
}

/* Waits for a wake-up, or until until_us. Called with the lock. */
static void wait_until(journal_thread_t *t, int64_t until_us)
{
	struct timespec at = {.tv_sec = until_us / USEC_PER_SEC,
			      .tv_nsec = until_us % USEC_PER_SEC * 1000};

	if (until_us == INT64_MAX)
		pthread_cond_wait(&t->wake, &t->lock);
	else
		pthread_cond_timedwait(&t->wake, &t->lock, &at);
}

/* When, by the monotonic clock, expired segments are removed next. */
static int64_t sweep(journal_thread_t *t)
{
	int64_t now_us = g_get_real_time();
	int64_t next_us = stream_journal_sweep(t->journal, now_us);

	if (next_us == INT64_MAX)
		return INT64_MAX;
	return g_get_monotonic_time() + next_us - now_us + SWEEP_DELAY_US;
}

static void *run(void *arg)
{
	journal_thread_t *t = arg;
	int64_t write_from_us = INT64_MIN;
	int64_t sweep_due_us;

	read_journal(t);
	sweep_due_us = sweep(t);
	pthread_mutex_lock(&t->lock);
	while (!t->stop) {
		int64_t now_us = g_get_monotonic_time();
		GPtrArray *list = t->waiting;
		size_t n = t->n_waiting;

		if (n && now_us >= write_from_us) {
			t->waiting = waiting_list_new();
			t->n_waiting = 0;
			pthread_mutex_unlock(&t->lock);
			write_from_us = write_list(t, list, n);
			g_ptr_array_free(list, TRUE);
			sweep_due_us = sweep(t);
			pthread_mutex_lock(&t->lock);
		} else if (now_us >= sweep_due_us) {
			pthread_mutex_unlock(&t->lock);
			sweep_due_us = sweep(t);
			pthread_mutex_lock(&t->lock);
		} else {
			wait_until(t, n ? MIN(write_from_us, sweep_due_us)
					: sweep_due_us);
		}
	}
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

/* Of these streams; made where there is none. Called with the lock. */
static GArray *records_of_build(journal_thread_t *t, str_t build)
{
	waiting_t *w;

	for (guint i = 0; i < t->waiting->len; i++) {
		w = g_ptr_array_index(t->waiting, i);
		if (str_eq(w->build, build))
			return w->records;
	}
	w = xcalloc(1, sizeof(*w));
	w->build = str_copy(build);
	w->records = g_array_new(FALSE, FALSE, sizeof(journal_record_t));
	g_ptr_array_add(t->waiting, w);
	return w->records;
}

void journal_thread_put(journal_thread_t *t, str_t build, const uint64_t *keys,
			const int64_t *keep_us, size_t n)
{
	size_t n_taken;
	GArray *records;

	if (!build.n || !n)
		return;
	pthread_mutex_lock(&t->lock);
	n_taken = MIN(n, JOURNAL_QUEUE_MAX - t->n_waiting);
	records = records_of_build(t, build);
	for (size_t i = 0; i < n_taken; i++) {
		int64_t keep_ms = keep_us[i] / USEC_PER_MSEC;
		const journal_record_t r = {
			keys[i], (uint32_t)CLAMP(keep_ms, 0, UINT32_MAX)};

		g_array_append_val(records, r);
	}
	t->n_waiting += n_taken;
	pthread_cond_signal(&t->wake);
	pthread_mutex_unlock(&t->lock);
	if (n_taken < n)
		counter_add(CTR_STREAM_JOURNAL_DROPPED, n - n_taken);
}

static void thread_free(journal_thread_t *t)
{
	stream_journal_free(t->journal);
	g_ptr_array_free(t->waiting, TRUE);
	pthread_cond_destroy(&t->wake);
	pthread_mutex_destroy(&t->lock);
	free(t);
}

journal_thread_t *
journal_thread_start(const journal_disk_t *disk,
		     void (*read)(void *ctx, stream_builds_t *found), void *ctx)
{
	journal_thread_t *t = xcalloc(1, sizeof(*t));
	pthread_condattr_t attr;

	t->journal = stream_journal_new(disk);
	t->read = read;
	t->ctx = ctx;
	t->waiting = waiting_list_new();
	pthread_mutex_init(&t->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&t->wake, &attr);
	pthread_condattr_destroy(&attr);
	errno = pthread_create(&t->thread, NULL, run, t);
	if (!errno)
		return t;
	thread_free(t);
	return NULL;
}

void journal_thread_stop(journal_thread_t *t)
{
	if (!t)
		return;
	pthread_mutex_lock(&t->lock);
	t->stop = true;
	pthread_cond_signal(&t->wake);
	pthread_mutex_unlock(&t->lock);
	pthread_join(t->thread, NULL);
	thread_free(t);
}
