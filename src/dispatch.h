/*
 * dispatch.h - the dispatcher: grants places at targets to the daemons that
 * hold requests (entries), and has adapters loaded where they are needed. It
 * runs on the daemon that leads the log; its fencing number is the term.
 *
 * A state machine without I/O, clock or lock: messages, the runner list, reports
 * and outcomes of orders come in; grants, refusals and orders go out through
 * callbacks, which hand on and return.
 */
#ifndef DK_DISPATCH_H
#define DK_DISPATCH_H

#include "decided.h"
#include "dialect.h"
#include "manifest.h"
#include "reason.h"
#include "dispatch.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* X(NAME, "name") - how the use of a granted place has ended. */
#define PLACE_OUTCOMES(X)                                           \
	X(ANSWERED, "answered")                                     \
	X(FAILED, "failed")		/* the target said so */    \
	X(NOT_RUN, "not_run")		/* refused by the target */ \
	X(NO_ADAPTER, "no_adapter")	/* not held there */        \
	X(OTHER_RUNNER, "other_runner") /* it has the address */    \
	X(UNREACHABLE, "unreachable")	/* nothing was sent */      \
	X(BROKEN, "broken")		/* connection lost */       \
	X(SILENT, "silent")		/* no answer in time */     \
	X(CANCELLED, "cancelled")	/* by the caller */         \
	X(UNUSED, "unused")

typedef enum place_outcome {
#define X(name, text) PLACE_##name,
	PLACE_OUTCOMES(X)
#undef X
	PLACE_OUTCOME_COUNT,
} place_outcome_t;

const char *place_outcome_name(place_outcome_t o);

/* Answer of a runner to an order. */
typedef enum order_result {
	ORDER_ACCEPTED,	 /* being carried out */
	ORDER_DONE,	 /* was so already */
	ORDER_CONFLICT,	 /* another order, or other orders were accepted */
	ORDER_FENCED,	 /* a later holder has ordered */
	ORDER_REFUSED,	 /* not the runner, or no such order */
	ORDER_NO_ANSWER, /* no answer: it may be carried out, also later */
} order_result_t;

typedef struct dispatch_ops {
	/* Message to the dispatching side of an entry. */
	void (*send)(void *ctx, host_id_t to, const Dispatch__Msg *msg);
	/* An order to a runner; its end comes by dispatch_order_result(). */
	void (*order)(void *ctx, str_t runner, str_t addr,
		      const runner_order_t *o);
	/* Reads a runner's report; it comes by dispatch_runner_report(). */
	void (*probe)(void *ctx, str_t runner, str_t addr);
} dispatch_ops_t;

typedef struct dispatch_cfg {
	str_t holder;		  /* of orders: this host */
	int64_t takeover_wait_us; /* after an earlier holder's last order */
	double retry_ratio;	  /* repeats for each request, and */
	double retry_slack;	  /* so many more, in retry_window_us */
	int64_t retry_window_us;
} dispatch_cfg_t;

/* For whom a dispatcher works. */
typedef enum dispatch_mode {
	DISPATCH_LEADER,   /* the only one: the leader of the log */
	DISPATCH_ISOLATED, /* for its own daemon, while no other can be reached */
} dispatch_mode_t;

typedef struct dispatch dispatch_t;

/* Strings of cfg are copied. */
dispatch_t *dispatch_new(const dispatch_cfg_t *cfg, const dispatch_ops_t *ops,
			 void *ctx);
void dispatch_free(dispatch_t *d);

/* Begins with an empty picture; first: nobody dispatched before. */
void dispatch_begin(dispatch_t *d, uint64_t term, bool first, int64_t now_us);
/*
 * Begins for this daemon alone, one of n that do the same at the same runners:
 * it takes its part of them, and gives no orders.
 */
void dispatch_begin_isolated(dispatch_t *d, size_t n, int64_t now_us);
void dispatch_end(dispatch_t *d);
bool dispatch_active(const dispatch_t *d);
/* Until when orders may be given: the leader's lease. */
void dispatch_set_lease(dispatch_t *d, int64_t until_us);

/* Tables in force; takes its own references. */
void dispatch_set_tables(dispatch_t *d, manifest_t *m, const decided_t *tables);
/* The whole runner list. */
void dispatch_set_runners(dispatch_t *d, const runner_list_t *l,
			  int64_t now_us);
void dispatch_runner_report(dispatch_t *d, str_t runner, const runner_info_t *r,
			    int64_t now_us);
void dispatch_order_result(dispatch_t *d, str_t runner, order_result_t result,
			   int64_t now_us);
/* From an entry; messages of other kinds are ignored. */
void dispatch_recv(dispatch_t *d, host_id_t from, const Dispatch__Msg *msg,
		   int64_t now_us);
/* Its requests have ended with it. */
void dispatch_host_lost(dispatch_t *d, host_id_t host, int64_t now_us);
/* Does what is due; when it wants to be called again. */
int64_t dispatch_tick(dispatch_t *d, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
