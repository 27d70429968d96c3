/*
 * serve.h - the serving core of one daemon: requests accepted here (entry),
 * targets owned here (owner), store permits and organisation limits where
 * this daemon leads. A state machine without I/O.
 *
 * The core takes its own locks (shards: entries by request, owners by
 * target). Callbacks are made with a shard's lock held: they hand on and
 * return, and never call back into the core.
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

/* Policy and bounds; serve_cfg_default() fills them. */
typedef struct serve_cfg {
	host_id_t self;
	str_t zone;
	uint64_t seed;
	double stall_weight; /* weights of the two measures */
	double batch_weight;
	uint32_t store_concurrency; /* loads at once at full speed */
	double store_rate_per_s;
	uint32_t queue_max; /* waiting requests for each owned target */
	uint32_t replicas_max;
	int64_t step_us;      /* expected engine step at batch 1 */
	double step_growth;   /* relative step time added by each further run */
	int64_t load_us;      /* expected adapter load */
	int64_t order_max_us; /* longest outstanding order of a past owner */
	int64_t progress_us;  /* progress deadline of streams */
	int64_t address_ttl_us;
	int64_t default_deadline_us;
	/* Policy switches for the baselines of the bench. */
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
		bool permits; /* weight-store permits in use */
		bool early_refusal;
		bool prefetch;
	} policy;
} serve_cfg_t;

void serve_cfg_default(serve_cfg_t *cfg);

/* One accepted request. Strings are valid during the call only. */
typedef struct serve_req {
	uint64_t handle;  /* chosen by the caller of the core; unique */
	str_t request_id; /* caller's, or made by the entry; for reconnection */
	uint32_t org_id;
	bool is_call;  /* plain service call, not a completion */
	str_t model;   /* "adapter", "adapter@version" or a base model */
	str_t service; /* of a call */
	str_t path;    /* of a call, below the service */
	str_t body;    /* for completions: JSON without "model" */
	uint32_t prompt_tokens; /* estimate */
	uint32_t max_tokens;
	uint64_t prefix_hash; /* of the prompt's head; 0: none */
	int32_t priority;
	int64_t deadline_us; /* absolute; 0: default */
	bool not_repeatable;
	str_t idempotency_key;
	uint64_t resume_offset; /* reconnection: answer bytes had so far */
} serve_req_t;

typedef enum reply_kind {
	REPLY_HEAD,  /* the answer begins */
	REPLY_CHUNK, /* answer bytes */
	REPLY_DONE,  /* final: the answer is whole */
	REPLY_FAIL,  /* final: refused before, or broken after the head */
} reply_kind_t;

/* Strings are valid during the call only. */
typedef struct serve_reply {
	reply_kind_t kind;
	int http_status;   /* HEAD */
	str_t data;	   /* CHUNK */
	reason_t reason;   /* FAIL */
	run_state_t run;   /* FAIL: was it run */
	uint32_t retry_ms; /* FAIL: when to come back; 0: do not */
	str_t detail;	   /* FAIL: one clear sentence, may be empty */
	/* HEAD and DONE: for the response headers. */
	str_t adapter; /* "name@version" */
	target_id_t target;
	host_id_t owner;
	uint32_t attempt; /* 1-based */
	bool replayed;	  /* stored answer of an idempotency key */
	int64_t stall_us; /* DONE: waited for a load */
} serve_reply_t;

typedef struct serve_ops {
	void (*order)(void *ctx, const engine_order_t *order);
	/* Sends bytes to a peer's serving core; may lose on a broken link. */
	void (*send)(void *ctx, host_id_t to, const void *p, size_t n);
	void (*reply)(void *ctx, uint64_t handle, const serve_reply_t *rep);
	void (*claim)(void *ctx, const claim_req_t *req);
} serve_ops_t;

serve_t *serve_new(const serve_cfg_t *cfg, const serve_ops_t *ops, void *ctx,
		   timer_svc_t *timers);
void serve_free(serve_t *s);

/* Every submitted handle ends with exactly one DONE or FAIL reply. */
void serve_submit(serve_t *s, const serve_req_t *req);
/* The caller went away: no reply follows. */
void serve_cancel(serve_t *s, uint64_t handle);

void serve_recv(serve_t *s, host_id_t from, const void *p, size_t n);
void serve_engine_event(serve_t *s, const engine_event_t *ev);
void serve_claimed(serve_t *s, const claim_result_t *res);
/* Takes its own reference to d. */
void serve_tables(serve_t *s, decided_t *d);
void serve_standing(serve_t *s, const lease_status_t *st);
/* A peer link went down or came up. */
void serve_link(serve_t *s, host_id_t peer, bool up);

/* The platform's lagging list or the target itself says so; a hint. */
void serve_target_hint(serve_t *s, target_id_t target, bool leaving);

typedef struct serve_addr {
	host_id_t host;
	str_t addr; /* valid while d of the call is referenced */
} serve_addr_t;

/*
 * Addresses for a model, owner first, then others in different zones, never a
 * leaving, stale or dead host. Returns how many of max were filled; *d gets a
 * reference that the caller drops.
 */
size_t serve_addresses(serve_t *s, str_t model, serve_addr_t *out, size_t max,
		       decided_t **d);
/* Appends JSON: candidates with their scores, and the choice. */
void serve_explain(serve_t *s, str_t model, buf_t *json);
/* Appends JSON: owned targets with queues, slots, runs, leases. */
void serve_status(serve_t *s, buf_t *json);

/*
 * Drain: out of address answers at once, refuses new requests once kept
 * address answers have run out, lets what runs end.
 */
void serve_drain(serve_t *s);
/*
 * The kept address answers have run out, and nothing that was accepted here
 * or runs on a target owned here is left. Targets still owned pass on with
 * the session.
 */
bool serve_drained(serve_t *s);

#ifdef __cplusplus
}
#endif
#endif
