/*
 * upstream.h - connections to targets and to the platform: kept ones by
 * address, and calls of our own over them. On the loop's thread.
 */
#ifndef DK_UPSTREAM_H
#define DK_UPSTREAM_H

#include "http1.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct upstream upstream_t;

upstream_t *upstream_new(loop_t *l);
/* Calls under way end without a callback. */
void upstream_free(upstream_t *u);

/*
 * A kept connection to an address that was idle for at most max_idle_us, for
 * the caller to own by http1_set_owner(); NULL where there is none.
 */
http1_conn_t *upstream_acquire(upstream_t *u, str_t addr, int64_t max_idle_us);
/*
 * Keeps an idle connection, or closes it. h is the head of the last response:
 * it says whether, and for how long, the target keeps it.
 */
void upstream_release(upstream_t *u, str_t addr, http1_conn_t *c,
		      const http1_head_t *h);

/* How a call has ended. */
typedef struct call_result {
	int status; /* 0: no whole answer */
	bool sent;  /* something may have reached the peer */
	str_t body;
	http1_end_t end; /* where status is 0 */
} call_result_t;

typedef void (*call_done_t)(void *ctx, const call_result_t *res);

/*
 * One call; done is called exactly once, never from within. body NULL: a GET.
 * An answer is waited for until timeout_us from now.
 */
void upstream_call(upstream_t *u, str_t addr, str_t target, const buf_t *body,
		   const char *extra_fields, int64_t timeout_us,
		   call_done_t done, void *ctx);

#ifdef __cplusplus
}
#endif
#endif
