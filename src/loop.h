/*
 * loop.h - one event loop: descriptors, a polled timer service and mail from
 * other threads, all on the thread that runs it. Everything but loop_post()
 * and loop_stop() belongs to that thread.
 */
#ifndef DK_LOOP_H
#define DK_LOOP_H

#include "mailbox.h"
#include "timer.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct loop loop_t;

/* One watched descriptor, embedded in its owner. */
typedef struct loop_watch {
	int fd; /* -1: not watched */
	uint32_t events;
	void (*fn)(void *ctx, uint32_t events);
	void *ctx;
} loop_watch_t;

/* Work for the end of the present turn; embedded in its owner. */
typedef struct loop_task {
	struct cds_list_head node;
	void (*fn)(void *ctx);
	void *ctx;
	bool queued;
} loop_task_t;

/* Something to be freed once no event of this turn can refer to it. */
typedef struct loop_deferred_free {
	struct loop_deferred_free *next;
	void (*free_fn)(struct loop_deferred_free *g);
} loop_deferred_free_t;

/* ctx is passed to mail. NULL with errno set. */
loop_t *loop_new(timer_svc_t *timers, void *mail_ctx);
void loop_free(loop_t *l);
/* 0, or -1 with errno set. events as for epoll(7). */
int loop_watch(loop_t *l, loop_watch_t *w, int fd, uint32_t events);
void loop_set_events(loop_t *l, loop_watch_t *w, uint32_t events);
/* The descriptor stays open. */
void loop_unwatch(loop_t *l, loop_watch_t *w);
/* Runs once at the end of this turn; queued twice is queued once. */
void loop_defer(loop_t *l, loop_task_t *t);
void loop_cancel_deferred(loop_task_t *t);
void loop_defer_free(loop_t *l, loop_deferred_free_t *g);
timer_svc_t *loop_timers(const loop_t *l);
/* Called after each turn that took at least bound_us; ctx is that of mail. */
void loop_set_slow_callback(loop_t *l, int64_t bound_us,
			    void (*slow)(void *ctx, int64_t us, int events));
/* From any thread; runs in order on the loop's. */
void loop_post(loop_t *l, mail_t *m);
/* Runs until loop_stop(). */
void loop_run(loop_t *l);
void loop_stop(loop_t *l);

#ifdef __cplusplus
}
#endif
#endif
