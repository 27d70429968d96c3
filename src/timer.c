/* timer.c - binary min-heap of armed timers, in real or virtual time. */
#include "timer.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <time.h>

struct timer_svc {
	pthread_mutex_t lock;
	pthread_cond_t work_changed; /* another first timer, or stop */
	pthread_cond_t callback_ended;
	pthread_t thread;
	bool is_virtual;
	bool started;
	bool stop;
	int64_t virtual_now_us;
	uint64_t next_seq;
	timer_sub_t **heap; /* heap[1..n]; the timers are not owned */
	size_t n;
	size_t cap;
	timer_sub_t *running; /* timer whose callback runs on the thread now */
};

static bool is_before(const timer_sub_t *a, const timer_sub_t *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->seq < b->seq;
}

static void heap_put(timer_svc_t *svc, size_t pos, timer_sub_t *sub)
{
	svc->heap[pos] = sub;
	sub->heap_pos = pos;
}

static void sift_up(timer_svc_t *svc, size_t pos)
{
	timer_sub_t *sub = svc->heap[pos];

	while (pos > 1 && is_before(sub, svc->heap[pos / 2])) {
		heap_put(svc, pos, svc->heap[pos / 2]);
		pos /= 2;
	}
	heap_put(svc, pos, sub);
}

static void sift_down(timer_svc_t *svc, size_t pos)
{
	timer_sub_t *sub = svc->heap[pos];

	for (;;) {
		size_t child = pos * 2;

		if (child > svc->n)
			break;
		if (child < svc->n &&
		    is_before(svc->heap[child + 1], svc->heap[child]))
			child++;
		if (!is_before(svc->heap[child], sub))
			break;
		heap_put(svc, pos, svc->heap[child]);
		pos = child;
	}
	heap_put(svc, pos, sub);
}

static void heap_remove(timer_svc_t *svc, timer_sub_t *sub)
{
	size_t pos = sub->heap_pos;
	timer_sub_t *last = svc->heap[svc->n--];

	sub->heap_pos = 0;
	if (last == sub)
		return;
	heap_put(svc, pos, last);
	sift_up(svc, pos);
	sift_down(svc, last->heap_pos);
}

static void heap_add(timer_svc_t *svc, timer_sub_t *sub)
{
	if (svc->n + 2 > svc->cap) {
		svc->cap = svc->cap ? svc->cap * 2 : 16;
		svc->heap = xrealloc(svc->heap, svc->cap * sizeof(*svc->heap));
	}
	heap_put(svc, ++svc->n, sub);
	sift_up(svc, svc->n);
}

static int64_t clock_us(clockid_t clock)
{
	struct timespec ts;

	clock_gettime(clock, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Includes the time that a host is suspended, so that leases expire in it. */
static int64_t boot_time_us(void)
{
	return clock_us(CLOCK_BOOTTIME);
}

static timer_svc_t *svc_new(bool is_virtual, int64_t start_us)
{
	timer_svc_t *svc = xcalloc(1, sizeof(*svc));
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_mutex_init(&svc->lock, NULL);
	pthread_cond_init(&svc->work_changed, &attr);
	pthread_cond_init(&svc->callback_ended, NULL);
	pthread_condattr_destroy(&attr);
	svc->is_virtual = is_virtual;
	svc->virtual_now_us = start_us;
	return svc;
}

timer_svc_t *timer_svc_new_real(void)
{
	return svc_new(false, 0);
}

timer_svc_t *timer_svc_new_virtual(int64_t start_us)
{
	return svc_new(true, start_us);
}

/*
 * Removes and returns the first timer due at now_us, or NULL. The caller holds
 * the lock of a real service.
 */
static timer_sub_t *pop_due(timer_svc_t *svc, int64_t now_us)
{
	timer_sub_t *sub = svc->n ? svc->heap[1] : NULL;

	if (!sub || sub->due_us > now_us)
		return NULL;
	heap_remove(svc, sub);
	return sub;
}

timer_svc_t *timer_svc_new_polled(void)
{
	return svc_new(false, 0);
}

int64_t timer_svc_poll(timer_svc_t *svc)
{
	int64_t now_us = boot_time_us();
	timer_sub_t *sub;

	/* Timers that become due after now_us run in the next call. */
	while ((sub = pop_due(svc, now_us)))
		sub->fn(sub->ctx, boot_time_us());
	return timer_svc_next_due(svc);
}

int64_t timer_svc_now(const timer_svc_t *svc)
{
	return svc->is_virtual ? svc->virtual_now_us : boot_time_us();
}

void timer_sub_init(timer_sub_t *sub, timer_fn_t fn, void *ctx)
{
	sub->fn = fn;
	sub->ctx = ctx;
	sub->due_us = 0;
	sub->seq = 0;
	sub->heap_pos = 0;
}

static void arm_locked(timer_svc_t *svc, timer_sub_t *sub, int64_t due_us)
{
	if (sub->heap_pos)
		heap_remove(svc, sub);
	sub->due_us = due_us;
	sub->seq = svc->next_seq++;
	heap_add(svc, sub);
	if (sub->heap_pos == 1)
		pthread_cond_signal(&svc->work_changed);
}

void timer_svc_arm(timer_svc_t *svc, timer_sub_t *sub, int64_t due_us)
{
	pthread_mutex_lock(&svc->lock);
	arm_locked(svc, sub, due_us);
	pthread_mutex_unlock(&svc->lock);
}

void timer_svc_arm_earlier(timer_svc_t *svc, timer_sub_t *sub, int64_t due_us)
{
	pthread_mutex_lock(&svc->lock);
	if (!sub->heap_pos || due_us < sub->due_us)
		arm_locked(svc, sub, due_us);
	pthread_mutex_unlock(&svc->lock);
}

void timer_svc_cancel(timer_svc_t *svc, timer_sub_t *sub)
{
	pthread_mutex_lock(&svc->lock);
	if (sub->heap_pos)
		heap_remove(svc, sub);
	while (svc->running == sub &&
	       !pthread_equal(svc->thread, pthread_self()))
		pthread_cond_wait(&svc->callback_ended, &svc->lock);
	pthread_mutex_unlock(&svc->lock);
}

static void wait_for_due(timer_svc_t *svc)
{
	struct timespec ts;
	int64_t until;

	if (!svc->n) {
		pthread_cond_wait(&svc->work_changed, &svc->lock);
		return;
	}
	/* pthread_cond_timedwait() supports CLOCK_MONOTONIC, not BOOTTIME. */
	until = svc->heap[1]->due_us - boot_time_us() +
		clock_us(CLOCK_MONOTONIC);
	if (until < 0)
		until = 0;
	ts.tv_sec = until / USEC_PER_SEC;
	ts.tv_nsec = until % USEC_PER_SEC * 1000;
	pthread_cond_timedwait(&svc->work_changed, &svc->lock, &ts);
}

static void *svc_thread(void *arg)
{
	timer_svc_t *svc = arg;

	pthread_mutex_lock(&svc->lock);
	while (!svc->stop) {
		timer_sub_t *sub = pop_due(svc, boot_time_us());

		if (!sub) {
			wait_for_due(svc);
			continue;
		}
		svc->running = sub;
		pthread_mutex_unlock(&svc->lock);
		sub->fn(sub->ctx, boot_time_us());
		pthread_mutex_lock(&svc->lock);
		svc->running = NULL;
		pthread_cond_broadcast(&svc->callback_ended);
	}
	pthread_mutex_unlock(&svc->lock);
	return NULL;
}

int timer_svc_start(timer_svc_t *svc)
{
	int rc = pthread_create(&svc->thread, NULL, svc_thread, svc);

	if (rc) {
		errno = rc;
		return -1;
	}
	svc->started = true;
	return 0;
}

void timer_svc_free(timer_svc_t *svc)
{
	if (!svc)
		return;
	if (svc->started) {
		pthread_mutex_lock(&svc->lock);
		svc->stop = true;
		pthread_cond_signal(&svc->work_changed);
		pthread_mutex_unlock(&svc->lock);
		pthread_join(svc->thread, NULL);
	}
	pthread_cond_destroy(&svc->work_changed);
	pthread_cond_destroy(&svc->callback_ended);
	pthread_mutex_destroy(&svc->lock);
	free(svc->heap);
	free(svc);
}

int64_t timer_svc_next_due(timer_svc_t *svc)
{
	return svc->n ? svc->heap[1]->due_us : INT64_MAX;
}

void timer_svc_run_until(timer_svc_t *svc, int64_t until_us)
{
	timer_sub_t *sub;

	while ((sub = pop_due(svc, until_us))) {
		if (sub->due_us > svc->virtual_now_us)
			svc->virtual_now_us = sub->due_us;
		sub->fn(sub->ctx, svc->virtual_now_us);
	}
	if (until_us > svc->virtual_now_us)
		svc->virtual_now_us = until_us;
}
