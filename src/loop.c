/* loop.c - epoll, timers and messages of other threads on one thread. */
#include "loop.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define EPOLL_BATCH 128

struct loop {
	int epoll_fd;
	timer_svc_t *timers; /* not owned */
	void *mail_ctx;
	loop_watch_t wake;
	pthread_mutex_t lock; /* guards mail and wake_pending */
	struct cds_list_head mail;
	bool wake_pending; /* wake.fd is written and the mail not taken yet */
	atomic_bool stop;
	struct cds_list_head deferred_tasks;
	loop_deferred_free_t *deferred_frees;
	int64_t slow_threshold_us; /* slow() is called from this duration on; 0: never */
	void (*slow)(void *ctx, int64_t duration_us, int events);
};

static void read_wake_fd(void *ctx, uint32_t events)
{
	loop_t *l = ctx;
	uint64_t n;
	ssize_t bytes_read = read(l->wake.fd, &n, sizeof(n));

	(void)events;
	(void)bytes_read;
}

loop_t *loop_new(timer_svc_t *timers, void *mail_ctx)
{
	loop_t *l = xcalloc(1, sizeof(*l));
	int fd;

	pthread_mutex_init(&l->lock, NULL);
	CDS_INIT_LIST_HEAD(&l->mail);
	CDS_INIT_LIST_HEAD(&l->deferred_tasks);
	l->timers = timers;
	l->mail_ctx = mail_ctx;
	l->wake.fd = -1;
	l->wake.fn = read_wake_fd;
	l->wake.ctx = l;
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (l->epoll_fd >= 0 && fd >= 0 &&
	    loop_watch(l, &l->wake, fd, EPOLLIN) == 0)
		return l;
	if (fd >= 0)
		close(fd);
	l->wake.fd = -1;
	loop_free(l);
	return NULL;
}

static void run_deferred_frees(loop_t *l)
{
	while (l->deferred_frees) {
		loop_deferred_free_t *g = l->deferred_frees;

		l->deferred_frees = g->next;
		g->free_fn(g);
	}
}

void loop_free(loop_t *l)
{
	mail_t *m, *tmp;

	if (!l)
		return;
	cds_list_for_each_entry_safe (m, tmp, &l->mail, node) {
		cds_list_del(&m->node);
		m->drop(m);
	}
	run_deferred_frees(l);
	if (l->wake.fd >= 0)
		close(l->wake.fd);
	if (l->epoll_fd >= 0)
		close(l->epoll_fd);
	pthread_mutex_destroy(&l->lock);
	free(l);
}

int loop_watch(loop_t *l, loop_watch_t *w, int fd, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.ptr = w};

	w->fd = -1;
	if (epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, fd, &ev) < 0)
		return -1;
	w->fd = fd;
	w->events = events;
	return 0;
}

void loop_set_events(loop_t *l, loop_watch_t *w, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.ptr = w};

	if (w->fd < 0 || w->events == events)
		return;
	w->events = events;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, w->fd, &ev);
}

void loop_unwatch(loop_t *l, loop_watch_t *w)
{
	if (w->fd < 0)
		return;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, w->fd, NULL);
	w->fd = -1;
}

void loop_defer(loop_t *l, loop_task_t *t)
{
	if (t->queued)
		return;
	t->queued = true;
	cds_list_add_tail(&t->node, &l->deferred_tasks);
}

void loop_cancel_deferred(loop_task_t *t)
{
	if (t->queued)
		cds_list_del(&t->node);
	t->queued = false;
}

static void run_tasks(loop_t *l)
{
	while (!cds_list_empty(&l->deferred_tasks)) {
		loop_task_t *t = cds_list_first_entry(&l->deferred_tasks,
						      loop_task_t, node);

		loop_cancel_deferred(t);
		t->fn(t->ctx);
	}
}

void loop_defer_free(loop_t *l, loop_deferred_free_t *g)
{
	g->next = l->deferred_frees;
	l->deferred_frees = g;
}

timer_svc_t *loop_timers(const loop_t *l)
{
	return l->timers;
}

static void wake(const loop_t *l)
{
	uint64_t one = 1;
	ssize_t written = write(l->wake.fd, &one, sizeof(one));

	/* A write to a full eventfd fails; the loop is being woken then. */
	(void)written;
}

void loop_post(loop_t *l, mail_t *m)
{
	bool first;

	pthread_mutex_lock(&l->lock);
	cds_list_add_tail(&m->node, &l->mail);
	first = !l->wake_pending;
	l->wake_pending = true;
	pthread_mutex_unlock(&l->lock);
	if (first)
		wake(l);
}

void loop_stop(loop_t *l)
{
	atomic_store(&l->stop, true);
	wake(l);
}

static void run_mail(loop_t *l)
{
	struct cds_list_head batch;
	mail_t *m, *tmp;

	CDS_INIT_LIST_HEAD(&batch);
	pthread_mutex_lock(&l->lock);
	cds_list_splice(&l->mail, &batch);
	CDS_INIT_LIST_HEAD(&l->mail);
	l->wake_pending = false;
	pthread_mutex_unlock(&l->lock);
	cds_list_for_each_entry_safe (m, tmp, &batch, node) {
		cds_list_del(&m->node);
		m->run(l->mail_ctx, m);
	}
}

void loop_set_slow_callback(loop_t *l, int64_t threshold_us,
			    void (*slow)(void *ctx, int64_t duration_us,
					 int events))
{
	l->slow_threshold_us = threshold_us;
	l->slow = slow;
}

/* Timeout for epoll_wait() until due_us, rounded up; -1: none. */
static int wait_ms(const loop_t *l, int64_t due_us)
{
	int64_t left;

	if (due_us == INT64_MAX)
		return -1;
	left = due_us - timer_svc_now(l->timers);
	if (left <= 0)
		return 0;
	left = (left + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
	return left > INT32_MAX ? INT32_MAX : (int)left;
}

void loop_run(loop_t *l)
{
	struct epoll_event evs[EPOLL_BATCH];
	int events = 0; /* handled in the iteration before; passed to slow() */

	int64_t iteration_start_us = timer_svc_now(l->timers);

	while (!atomic_load(&l->stop)) {
		int64_t due = timer_svc_poll(l->timers);
		int64_t duration_us;
		int n;

		run_tasks(l);
		duration_us = timer_svc_now(l->timers) - iteration_start_us;
		if (l->slow_threshold_us && duration_us >= l->slow_threshold_us)
			l->slow(l->mail_ctx, duration_us, events);
		n = epoll_wait(l->epoll_fd, evs, EPOLL_BATCH, wait_ms(l, due));
		iteration_start_us = timer_svc_now(l->timers);
		events = n;
		for (int i = 0; i < n; i++) {
			loop_watch_t *w = evs[i].data.ptr;

			/* A callback before may have stopped watching it. */
			if (w->fd >= 0)
				w->fn(w->ctx, evs[i].events);
		}
		run_mail(l);
		run_tasks(l);
		run_deferred_frees(l);
	}
}
