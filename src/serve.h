/*
 * serve.h - the serving core of one daemon. It accepts requests (the entry
 * side), decides what runs on the targets assigned to this daemon (the owner
 * side) and, while this daemon is the leader, grants weight-store permits and
 * shares of organisation limits. It is a state machine that does no I/O.
 *
 * The core does its own locking: entries are sharded by request handle, owned
 * targets by target id. It calls the functions of serve_ops_t with a shard lock
 * held, so they must hand the work on and return, and must not call back into
 * the core.
 */
#ifndef DK_SERVE_H
#define DK_SERVE_H

#include "claim.h"
#include "decided.h"
#include "engine.h"
#include "lease.h"
#include "reason.h"
#include "timer.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct serve serve_t;

/* Policy and bounds. serve_cfg_default() sets every field. */
typedef struct serve_cfg {
	host_id_t self;
	str_t zone;
	uint64_t seed;
	double stall_weight; /* of expected load stalls in placement scores */
	double batch_weight; /* read by no policy at present */
	uint32_t store_concurrency; /* loads at once at full store speed */
	double store_rate_per_s;    /* loads started per second */
	uint32_t queue_max;	    /* waiting requests for each owned target */
	uint32_t replicas_max;	    /* targets that may hold one adapter */
	int64_t step_us;    /* expected duration of an engine step at batch 1 */
	double step_growth; /* relative step time added by each further run */
	int64_t load_us;    /* expected duration of an adapter load */
	/*
	 * How long an order of a previous owner may still be on its way to a
	 * target that does not check fencing numbers.
	 */
	int64_t order_max_us;
	int64_t progress_timeout_us; /* longest wait for the next byte of an answer */
	int64_t address_ttl_us;	     /* how long callers may cache addresses */
	int64_t default_deadline_us; /* for requests that name no deadline */
	/* Switches that let the benchmarks compare baseline policies. */
	struct serve_policy {
		enum {
			PLACE_COST,
			PLACE_LEAST_LOADED,
			PLACE_RENDEZVOUS,
			PLACE_RANDOM
		} place;
		enum {
			EVICT_COST,
			EVICT_LRU
		} evict;
		enum {
			QUEUE_DEADLINE,
			QUEUE_FIFO
		} queue;
		bool permits;	    /* loads need a weight-store permit */
		bool early_refusal; /* refuse what cannot meet its deadline */
		bool prefetch;	    /* load new versions before a request */
	} policy;
} serve_cfg_t;

void serve_cfg_default(serve_cfg_t *cfg);

/* One request to accept. Strings are valid only during the call. */
typedef struct serve_req {
	uint64_t handle; /* chosen by the caller of the core; unique */
	/* From the caller, or generated; a reconnecting caller repeats it. */
	str_t request_id;
	uint32_t org_id;
	bool is_call;  /* a plain service call, not a completion */
	str_t model;   /* "adapter", "adapter@version" or a base model */
	str_t service; /* service calls only */
	str_t path;    /* service calls only: the path below the service */
	str_t body;    /* for completions: JSON without "model" */
	uint32_t prompt_tokens; /* estimate */
	uint32_t max_tokens;
	uint64_t prefix_hash; /* of the start of the prompt; 0: none */
	int32_t priority;
	int64_t deadline_us; /* absolute; 0: default_deadline_us from now */
	bool not_repeatable;
	str_t idempotency_key;
	/* Answer bytes that a reconnecting caller already has; else 0. */
	uint64_t resume_offset;
} serve_req_t;

typedef enum reply_kind {
	REPLY_HEAD,  /* the answer begins */
	REPLY_CHUNK, /* answer bytes */
	REPLY_DONE,  /* final: the answer is complete */
	REPLY_FAIL,  /* final: refused before HEAD, or broken off after it */
} reply_kind_t;

/*
 * One part of the reply to a request. Strings are valid only during the call.
 * The kind in a comment names the replies in which a field is set.
 */
typedef struct serve_reply {
	reply_kind_t kind;
	int http_status;       /* HEAD */
	str_t data;	       /* CHUNK */
	reason_t reason;       /* FAIL */
	run_state_t run_state; /* FAIL: whether the request has run */
	uint32_t retry_ms;     /* FAIL: when to retry; 0: do not retry */
	str_t detail;	       /* FAIL: one sentence; may be empty */
	/* HEAD and DONE: for the response headers. */
	str_t adapter; /* "name@version" */
	target_id_t target;
	host_id_t owner;
	uint32_t attempt; /* 1-based */
	bool replayed;	  /* the answer stored under an idempotency key */
	int64_t stall_us; /* DONE: time spent waiting for an adapter load */
} serve_reply_t;

typedef struct serve_ops {
	void (*order)(void *ctx, const engine_order_t *order);
	/*
	 * Sends bytes to the serving core of a peer. A message may be lost
	 * when the link breaks.
	 */
	void (*send)(void *ctx, host_id_t to, const void *p, size_t n);
	void (*reply)(void *ctx, uint64_t handle, const serve_reply_t *rep);
	void (*claim)(void *ctx, const claim_req_t *req);
} serve_ops_t;

serve_t *serve_new(const serve_cfg_t *cfg, const serve_ops_t *ops, void *ctx,
		   timer_svc_t *timers);
void serve_free(serve_t *s);

/*
 * Accepts or refuses a request. Each handle ends with exactly one DONE or FAIL
 * reply, unless it is cancelled.
 */
void serve_submit(serve_t *s, const serve_req_t *req);
/* Called when the caller went away; no further reply follows. */
void serve_cancel(serve_t *s, uint64_t handle);

/* Takes in a message that a peer's core passed to serve_ops_t.send. */
void serve_recv(serve_t *s, host_id_t from, const void *p, size_t n);
void serve_engine_event(serve_t *s, const engine_event_t *ev);
/* Takes the outcome of a proposal made with serve_ops_t.claim. */
void serve_claim_result(serve_t *s, const claim_result_t *res);
/* Puts new decided tables in force; takes its own reference to d. */
void serve_set_tables(serve_t *s, decided_t *d);
/* Calls for one core must not overlap. */
void serve_set_lease_status(serve_t *s, const lease_status_t *st);
/* Called when the link to a peer went down or came up. */
void serve_link_changed(serve_t *s, host_id_t peer, bool up);

/*
 * Takes a hint that a target is leaving, or no longer is: from the platform's
 * list, which lags behind, or from the target itself.
 */
void serve_target_hint(serve_t *s, target_id_t target, bool leaving);

typedef struct serve_addr {
	host_id_t host;
	str_t addr; /* valid while the caller holds its reference to *d */
} serve_addr_t;

/*
 * Lists daemon addresses for requests to a model: first the owner of the best
 * target, then other daemons, in different zones as far as possible. A host
 * that is draining, stale or dead is never listed. Returns how many of max
 * entries were filled. *d gets a reference, which the caller must drop.
 */
size_t serve_addresses(serve_t *s, str_t model, serve_addr_t *out, size_t max,
		       decided_t **d);
/* Appends JSON: the candidate targets with their scores, and the choice. */
void serve_explain(serve_t *s, str_t model, buf_t *json);
/* Appends JSON: the owned targets with queue, slots, runs and the lease. */
void serve_status(serve_t *s, buf_t *json);

/*
 * Starts to drain this daemon: serve_addresses() stops listing it at once, and
 * new requests are refused after address_ttl_us, when no caller uses a cached
 * address any more. Running requests go on to their end.
 */
void serve_drain(serve_t *s);
/*
 * Returns whether the drain is complete: cached addresses have expired, no
 * request accepted here is left, and nothing waits or runs on a target owned
 * here. Targets that are still owned are reassigned when the session ends.
 */
bool serve_drained(serve_t *s);

#ifdef __cplusplus
}
#endif
#endif
