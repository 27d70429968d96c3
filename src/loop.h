/*
 * loop.h - an event loop: file descriptors, a polled timer service and messages
 * from other threads, all handled on the thread that runs it. Only loop_post()
 * and loop_stop() may be called from other threads.
 */
#ifndef DK_LOOP_H
#define DK_LOOP_H

#include "mailbox.h"
#include "timer.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct loop loop_t;

/* One watched file descriptor; embedded in its owner. */
typedef struct loop_watch {
	int fd;		 /* -1: not watched */
	uint32_t events; /* as for epoll(7) */
	void (*fn)(void *ctx, uint32_t events);
	void *ctx;
} loop_watch_t;

/* A call at the end of the present iteration; embedded in its owner. */
typedef struct loop_task {
	struct cds_list_head node;
	void (*fn)(void *ctx);
	void *ctx;
	bool queued;
} loop_task_t;

/*
 * Memory that is freed at the end of the present iteration, when none of its
 * events can refer to it; embedded in its owner.
 */
typedef struct loop_deferred_free {
	struct loop_deferred_free *next;
	void (*free_fn)(struct loop_deferred_free *g);
} loop_deferred_free_t;

/* mail_ctx is passed to mail_t.run(). NULL with errno set on failure. */
loop_t *loop_new(timer_svc_t *timers, void *mail_ctx);
void loop_free(loop_t *l);
/* Starts to watch fd; 0, or -1 with errno set. */
int loop_watch(loop_t *l, loop_watch_t *w, int fd, uint32_t events);
void loop_set_events(loop_t *l, loop_watch_t *w, uint32_t events);
/* Stops watching; the descriptor stays open. */
void loop_unwatch(loop_t *l, loop_watch_t *w);
/* Runs t once at the end of this iteration, also if deferred several times. */
void loop_defer(loop_t *l, loop_task_t *t);
void loop_cancel_deferred(loop_task_t *t);
void loop_defer_free(loop_t *l, loop_deferred_free_t *g);
timer_svc_t *loop_timers(const loop_t *l);
/*
 * Has slow() called after each iteration that took at least threshold_us, with
 * its duration and its number of epoll events; ctx is mail_ctx of loop_new().
 */
void loop_set_slow_callback(loop_t *l, int64_t threshold_us,
			    void (*slow)(void *ctx, int64_t duration_us,
					 int events));
/* From any thread: m runs on the loop's thread, in the order of posting. */
void loop_post(loop_t *l, mail_t *m);
/* Runs on the calling thread until loop_stop(). */
void loop_run(loop_t *l);
void loop_stop(loop_t *l);

#ifdef __cplusplus
}
#endif
#endif
