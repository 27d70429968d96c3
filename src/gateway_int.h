/*
 * gateway_int.h - inside of the gateway: shared by gateway.c (requests),
 * attempt.c (one try at one target) and relay.c (answers), and nothing else.
 */
#ifndef DK_GATEWAY_INT_H
#define DK_GATEWAY_INT_H

#include "gateway.h"

/* Targets that one request is tried at, whether or not they ran it. */
#define TRIES_MAX 4u

/* X(NAME, "name") */
#define REQUEST_STATES(X)                                       \
	X(READING, "reading")	    /* its body */              \
	X(ASKING, "asking")	    /* for a place */           \
	X(CONNECTING, "connecting") /* has a place */           \
	X(SENT, "sent")		    /* nothing was passed on */ \
	X(RELAYING, "relaying")                                 \
	X(OVER, "over")

typedef enum request_state {
#define X(name, text) REQUEST_##name,
	REQUEST_STATES(X)
#undef X
} request_state_t;

/* Why an attempt has ended. */
typedef struct attempt_end {
	place_outcome_t outcome;
	bool sent; /* something may have reached the target */
	reason_t reason;
} attempt_end_t;

typedef struct request {
	struct cds_list_head node;
	gateway_t *gw;
	struct caller *caller; /* NULL once it has gone */
	request_state_t state;
	manifest_t *manifest; /* that it began with */
	const route_t *route;
	const service_t *service;
	buf_t text; /* owns what info, method and target view */
	request_info_t info;
	str_t method;
	str_t target;
	buf_t fields; /* head lines to pass on, ready to be sent */
	bool has_body;
	buf_t body;
	int64_t arrived_us;
	int64_t ends_us; /* of the caller's patience or the route's timeout */
	timer_sub_t timer;
	/* Asking. */
	uint64_t ask_id;
	int64_t asked_us;
	bool heard; /* the dispatcher has it */
	int64_t ask_until_us;
	uint32_t tries;
	uint32_t runs;		/* targets that may have run it */
	str_t avoid[TRIES_MAX]; /* owned: runners that were tried */
	size_t n_avoid;
	/* The attempt under way. */
	str_t runner; /* owned, as addr */
	str_t addr;
	uint64_t adapter_version;
	uint64_t grant_term; /* of the dispatcher; 0: this daemon alone */
	http1_conn_t *conn;
	bool reused; /* a connection that was kept */
	int64_t sent_us;
	http1_head_t
		head; /* of the answer; texts valid while it is the latest */
	buf_t answer; /* head and bytes not passed on yet */
	buf_t event;  /* of a stream, not whole yet */
	bool foreign; /* the answer is for another request */
	bool not_run;
	bool other_runner; /* refused, as another runner has the address */
	bool proven;
	bool started; /* the first byte of the answer has come */
	bool chunked; /* as passed on */
	buf_t spare;  /* whole failure of a target, for want of a better one */
	int64_t first_us; /* from the arrival to the answer's first byte */
	int64_t last_us;  /* of the last byte of the answer */
	/* Over all attempts of a stream. */
	bool head_sent;
	bool have_event;
	bool event_cut;	     /* one was passed on in pieces: never resumed */
	uint64_t last_event; /* passed on */
} request_t;

typedef struct caller {
	gateway_t *gw;
	http1_conn_t *conn;
	request_t *req; /* under way; NULL: none */
	bool keep;	/* the connection, as far as the caller says */
	bool discard;	/* a refused request that ends now */
	/* While the host starts; empty: not held. */
	struct cds_list_head held;
	int64_t held_until_us;
} caller_t;

struct gateway {
	loop_t *loop;
	upstream_t *up;
	str_t zone;	  /* owned */
	int64_t heard_us; /* from the dispatcher */
	uint64_t next_ask;
	uint64_t rng;
	gateway_ops_t ops;
	void *ctx;
	http1_listener_t *listener;
	http1_limits_t limits;
	manifest_t *manifest;
	struct cds_list_head requests;
	size_t n_requests;
	struct cds_list_head held; /* callers whose connections are not read */
	timer_sub_t held_timer;
};

static inline int64_t gateway_now(const gateway_t *g)
{
	return timer_svc_now(loop_timers(g->loop));
}

/* gateway.c */

/* Answers with a refusal of ours, or cuts an answer that has begun. */
void request_refuse(request_t *r, reason_t reason, int64_t retry_us);
/* The answer has been passed on whole. */
void request_answered(request_t *r);
/* Tells the dispatcher how the use of the place has ended. */
void request_release(request_t *r, place_outcome_t outcome);
void request_started(request_t *r);
/* An attempt has ended without an answer for the caller. */
void request_attempt_ended(request_t *r, const attempt_end_t *end);
bool request_may_repeat(const request_t *r);

/* attempt.c */

/* Sends the request to the runner that was granted. */
void attempt_begin(request_t *r);
/* Ends it here; the target sees its connection close. */
void attempt_abort(request_t *r);

/* relay.c */

/* Appends the fields of a message that go to its next receiver. */
void relay_copy_fields(buf_t *out, const http1_head_t *h,
		       bool (*drops)(str_t name));
void relay_head(request_t *r, const http1_head_t *h);
void relay_body(request_t *r, str_t piece);
/* The target's answer is whole. */
void relay_end(request_t *r);
void relay_reset(request_t *r);

#endif
