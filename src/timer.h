/*
 * timer.h - the timer service: timers with callbacks, and the clock. It is the
 * only source of time for decision code.
 *
 * A real service reads CLOCK_BOOTTIME and runs callbacks on its own thread. A
 * polled one reads the same clock and runs them on the thread that calls
 * timer_svc_poll(), which alone may use it. The clock of a virtual one advances
 * only in timer_svc_run_until().
 */
#ifndef DK_TIMER_H
#define DK_TIMER_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct timer_svc timer_svc_t;
typedef void (*timer_fn_t)(void *ctx, int64_t now_us);

/*
 * One timer, embedded in its owner, which must outlive it. Initialize with
 * timer_sub_init(). Its callback runs once for each timer_svc_arm().
 */
typedef struct timer_sub {
	timer_fn_t fn;
	void *ctx;
	int64_t due_us;
	uint64_t
		seq; /* timers due at the same time run in the order of arming */
	size_t heap_pos; /* 1-based place in the heap; 0 when not armed */
} timer_sub_t;

timer_svc_t *timer_svc_new_real(void);
timer_svc_t *timer_svc_new_virtual(int64_t start_us);
timer_svc_t *timer_svc_new_polled(void);
/*
 * Polled service: runs the callbacks that are due, and returns the earliest due
 * time of the others, or INT64_MAX.
 */
int64_t timer_svc_poll(timer_svc_t *svc);
/* Stops the thread of a real service, if started, and frees the service. */
void timer_svc_free(timer_svc_t *svc);
/* Starts the callback thread of a real service; 0, or -1 with errno set. */
int timer_svc_start(timer_svc_t *svc);

int64_t timer_svc_now(const timer_svc_t *svc);

void timer_sub_init(timer_sub_t *sub, timer_fn_t fn, void *ctx);
/*
 * Arms the timer, or moves it if it is armed. Its callback runs without the
 * lock of the service held.
 */
void timer_svc_arm(timer_svc_t *svc, timer_sub_t *sub, int64_t due_us);
/* As timer_svc_arm(), but never moves an armed timer to a later time. */
void timer_svc_arm_earlier(timer_svc_t *svc, timer_sub_t *sub, int64_t due_us);
/*
 * Disarms the timer. On a real service it also waits for a running callback of
 * sub to end, unless called from the callback thread itself.
 */
void timer_svc_cancel(timer_svc_t *svc, timer_sub_t *sub);

/* Virtual and polled service: earliest due time, or INT64_MAX. */
int64_t timer_svc_next_due(timer_svc_t *svc);
/*
 * Virtual service: runs all callbacks due by until_us, in order, each at its
 * due time, and sets the clock to until_us.
 */
void timer_svc_run_until(timer_svc_t *svc, int64_t until_us);

#ifdef __cplusplus
}
#endif
#endif
