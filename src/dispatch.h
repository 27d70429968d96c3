/*
 * dispatch.h - the dispatcher: decides which runner gets which request, and
 * which adapters each runner loads. A daemon that holds a request (its entry)
 * asks the dispatcher for a place, which is the right to send one request to
 * one runner; the dispatcher grants or refuses it. The dispatcher runs on the
 * leader of the replicated log; the term is its fencing number.
 *
 * It is a state machine without I/O, clock or lock. The caller passes in
 * messages, the runner list, reports and results of orders; grants, refusals
 * and orders go out through callbacks, which only pass them on and return.
 */
#ifndef DK_DISPATCH_H
#define DK_DISPATCH_H

#include "decided.h"
#include "dialect.h"
#include "manifest.h"
#include "org_quota.h"
#include "reason.h"
#include "stream_build.h"
#include "dispatch.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* X(NAME, "name") - how the use of a granted place has ended. */
#define PLACE_OUTCOMES(X)                                                      \
	X(ANSWERED, "answered")                                                \
	X(FAILED, "failed")   /* the target answered with an error */          \
	X(NOT_RUN, "not_run") /* the target rejected it without running */     \
	X(NO_ADAPTER, "no_adapter") /* the target does not hold the adapter */ \
	X(OTHER_RUNNER, "other_runner") /* another runner has the address */   \
	X(UNREACHABLE, "unreachable")	/* nothing was sent */                 \
	X(BROKEN, "broken")		/* the connection was lost */          \
	X(SILENT, "silent")		/* no answer in time */                \
	X(CANCELLED, "cancelled")	/* the caller gave up */               \
	X(UNUSED, "unused")		/* the entry did not use the place */

typedef enum place_outcome {
#define X(name, text) PLACE_##name,
	PLACE_OUTCOMES(X)
#undef X
	PLACE_OUTCOME_COUNT,
} place_outcome_t;

const char *place_outcome_name(place_outcome_t o);

/* Result of an order to a runner to load or unload something. */
typedef enum order_result {
	ORDER_ACCEPTED,	 /* the runner is carrying it out */
	ORDER_DONE,	 /* complete, or nothing had to be done */
	ORDER_CONFLICT,	 /* another is in progress, or expected_seq is wrong */
	ORDER_FENCED,	 /* the runner has had an order with a later fence */
	ORDER_REFUSED,	 /* not that runner, or the order is invalid */
	ORDER_NO_ANSWER, /* the order may be carried out, now or later */
} order_result_t;

/* Names of decided documents of the dispatcher. */
#define DOC_BUILDS "builds" /* the software versions of the runners */
/* What no runner gets, as it crashes it. */
#define DOC_QUARANTINE "quarantine"

/*
 * The name of the document of a host that keeps a journal of streams has the host's IP
 * address after the prefix; the body is the host's id, or empty if it keeps none any
 * more.
 */
#define DOC_JOURNAL_PREFIX "journal:"

typedef struct dispatch_ops {
	/* Sends a message to an entry. */
	void (*send)(void *ctx, host_id_t to, const Dispatch__Msg *msg);
	/* Sends an order; its result comes by dispatch_order_result(). */
	void (*order)(void *ctx, str_t runner, str_t addr,
		      const runner_order_t *o);
	/* Requests a report; it comes by dispatch_runner_report(). */
	void (*request_report)(void *ctx, str_t runner, str_t addr);
	/* Proposes a new body of one of the documents above. */
	void (*propose_doc)(void *ctx, str_t name, str_t body);
} dispatch_ops_t;

typedef struct dispatch_cfg {
	host_id_t self; /* this host */
	str_t holder;	/* name of this host, sent in each order */
	/*
	 * Delay of the first order after a takeover: orders of the earlier
	 * holder may still be on their way.
	 */
	int64_t takeover_wait_us;
	/*
	 * Limit of the retries granted to a service in any retry_window_us:
	 * retry_ratio for each first attempt, and retry_slack in addition.
	 */
	double retry_ratio;
	double retry_slack;
	int64_t retry_window_us;
	quota_tolerance_t quota_tolerance;
} dispatch_cfg_t;

typedef enum dispatch_mode {
	/* As the leader of the log: the only dispatcher, for all entries. */
	DISPATCH_LEADER,
	/* For this daemon's requests only, while it reaches no dispatcher. */
	DISPATCH_ISOLATED,
} dispatch_mode_t;

typedef struct dispatch dispatch_t;

/* Copies the strings of cfg. */
dispatch_t *dispatch_new(const dispatch_cfg_t *cfg, const dispatch_ops_t *ops,
			 void *ctx);
void dispatch_free(dispatch_t *d);

/*
 * Starts dispatching as the leader of a term, with no knowledge of runners and
 * grants. orders_settled: no order of an earlier dispatcher can still be
 * carried out, so that the first one need not wait.
 */
void dispatch_begin(dispatch_t *d, uint64_t term, bool orders_settled,
		    int64_t now_us);
/*
 * Starts dispatching for this daemon's requests only. n daemons do the same
 * with the same runners: this one uses an n-th of each runner's capacity, and
 * sends no orders.
 */
void dispatch_begin_isolated(dispatch_t *d, size_t n, int64_t now_us);
/* Stops and forgets runners, grants and pending requests; answers none. */
void dispatch_end(dispatch_t *d);
bool dispatch_active(const dispatch_t *d);
/* Allows orders until until_us, the end of the leader's lease. */
void dispatch_set_lease(dispatch_t *d, int64_t until_us);
/*
 * Whether all orders of the last takeover_wait_us were answered, so that none
 * can still be carried out.
 */
bool dispatch_orders_settled(const dispatch_t *d, int64_t now_us);

/* Sets the manifest and the decided tables; takes its own references. */
void dispatch_set_tables(dispatch_t *d, manifest_t *m, const decided_t *tables);
/* The number of live hosts, which the leader's share of quotas follows. */
void dispatch_set_live_hosts(dispatch_t *d, size_t n, int64_t now_us);
/* Takes in the complete runner list: runners that it omits are forgotten. */
void dispatch_set_runners(dispatch_t *d, const runner_list_t *l,
			  int64_t now_us);
/* Takes in a runner's report; info is NULL if the request for it failed. */
void dispatch_runner_report(dispatch_t *d, str_t runner,
			    const runner_info_t *info, int64_t now_us);
void dispatch_order_result(dispatch_t *d, str_t runner, order_result_t result,
			   int64_t now_us);
/* Handles a message of an entry; ignores those that entries do not send. */
void dispatch_recv(dispatch_t *d, host_id_t from, const Dispatch__Msg *msg,
		   int64_t now_us);
/* Frees the grants and drops the pending requests of an entry that is gone. */
void dispatch_host_lost(dispatch_t *d, host_id_t host, int64_t now_us);
/* Does what is due; returns when it has to be called again. */
int64_t dispatch_tick(dispatch_t *d, int64_t now_us);

/*
 * Appends the body of DOC_QUARANTINE without this cause, written as there; false: it is
 * not in it.
 */
bool dispatch_release_cause(str_t body, str_t cause, buf_t *out);

/* The host that keeps a journal, as the document says; 0: it says no such thing. */
host_id_t dispatch_journal_host(const doc_t *doc);

/* Records the streams that an entry tells of. */
void dispatch_store_streams(stream_builds_t *to, const Dispatch__Streams *m,
			    int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
