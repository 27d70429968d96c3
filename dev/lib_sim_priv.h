/*
 * lib_sim_priv.h - types and functions that the files of the simulation share.
 */
#ifndef DK_DEV_SIM_PRIV_H
#define DK_DEV_SIM_PRIV_H

#include "lib_sim.h"

#define CACHED_ADDRESSES_MAX 4u /* of one model, by one caller */

/* One attempt of a request at one daemon. */
typedef struct attempt {
	uint64_t handle; /* index + 1 in sim_private.attempts */
	sim_request_t *req;
	sim_host_t *host;
	uint32_t generation; /* of the host when the attempt was sent */
	/* adapter@version that the daemon's tables gave at its arrival. */
	char expected_model[160];
	int64_t sent_us;
	uint32_t runs; /* that engines and services started for it */
	bool final;    /* the last reply came, or the caller gave up on it */
	bool refused_not_run;
	buf_t text; /* answer bytes so far */
} attempt_t;

/*
 * A copy of an order, on its way to a target or carried out there. It belongs
 * to the event, load or run that refers to it.
 */
typedef struct order {
	engine_order_t spec; /* its strings are invalid: use the copies below */
	sim_host_t *host;    /* that sent it */
	uint32_t generation;
	char *adapter, *run_id, *body, *key;
} order_t;

/* A run at an engine. */
typedef struct sim_run {
	struct cds_list_head node;
	order_t *order; /* that gets its events; NULL after the last one */
	char *id, *adapter;
	uint64_t attempt_handle; /* of the attempt that it runs for */
	uint64_t serial; /* written into each token: no two answers are equal */
	uint32_t max_tokens, tokens, prefill_steps;
	int32_t priority;
	bool running, head_sent, stalled;
	uint32_t break_at_token; /* the stream breaks after it; 0: never */
	size_t sent_bytes;
	uint32_t sent_tokens;
	buf_t text; /* the whole answer so far */
	int64_t ended_us;
	bool complete; /* ended with all its tokens */
} sim_run_t;

/* A load in progress: weights on their way from the store to an engine. */
typedef struct load {
	struct cds_list_head node;
	sim_engine_t *engine;
	order_t *order;
	uint64_t boot_id;    /* of the engine when the load began */
	double remaining_us; /* at full store speed */
} load_t;

/* The daemons that a caller knows for a model. */
typedef struct address_cache {
	host_id_t host[CACHED_ADDRESSES_MAX];
	size_t n;
	int64_t until_us; /* when the entry expires */
} address_cache_t;

/* The claim on an idempotency key; for simulations without state cores. */
typedef struct claim_row {
	char *holder;
	uint64_t body_hash;
	enum {
		ROW_TAKEN,
		ROW_ANSWERED,
		ROW_UNKNOWN
	} state;
	int status; /* ROW_ANSWERED: HTTP status and body of the answer */
	buf_t body;
} claim_row_t;

/* The version of an adapter whose change was last reported as decided. */
typedef struct accepted_version {
	uint32_t version;
	int64_t at_us;
} accepted_version_t;

typedef struct event event_t;
typedef void (*event_fn_t)(sim_t *s, event_t *ev);

/*
 * Something that happens at a time that is set later; freed after fn has run.
 * fn determines which of the fields from host on are set.
 */
struct event {
	struct cds_list_head node;
	timer_sub_t sub;
	sim_t *sim;
	event_fn_t fn;
	sim_host_t *host; /* the daemon that it is meant for */
	/* Of host; for the outcome of a change: the tag of the proposal. */
	uint32_t generation;
	sim_engine_t *engine;
	void *arg; /* fn determines the type, and whether fn frees it */
	uint64_t value;
	buf_t data;
	union {
		engine_event_t engine_event;
		serve_reply_t reply;
		claim_result_t claim;
		struct {
			uint64_t revision;
			bool resent;
		} change;
	} u;
	char text[160];
};

struct sim_private {
	struct cds_list_head events;
	struct cds_list_head loads;
	event_t *load_end_event;    /* end of the next load; NULL: no load */
	int64_t loads_updated_us;   /* when load_t.remaining_us was computed */
	GPtrArray *attempts;	    /* of attempt_t */
	GHashTable *address_caches; /* "caller model" -> address_cache_t */
	GHashTable *claims;	    /* "org key" -> claim_row_t */
	GHashTable *key_run_counts; /* idempotency key -> runs at services */
	GHashTable *changes;	    /* id -> sim_change_t */
	/* adapter -> accepted_version_t, for the oracle */
	GHashTable *accepted_versions;
	GHashTable *revisions; /* revision -> change id */
	uint64_t next_incarnation, next_tag, next_run;
	GHashTable *evicted_at; /* adapter -> time of its last eviction */
	uint64_t next_boot;
	bool log_orders;
};

/* Counts a violation and logs it. */
void sim_violation(sim_t *s, sim_violation_t v, const char *detail);

/* Creates an event that calls fn at the time for which it is scheduled. */
event_t *event_new(sim_t *s, event_fn_t fn);
void event_schedule_at(event_t *ev, int64_t us);
void event_schedule_after(event_t *ev, int64_t us);
/* Ties the event to a daemon as it runs now: see event_host_alive(). */
void event_bind_host(event_t *ev, sim_host_t *h);
/*
 * Sends a message to another daemon: after the delay of the link, deliver gets
 * an event with the bytes in data and the sender's id in value. The message is
 * lost where the sender is isolated or the receiver is down; deliver drops it
 * where the receiver is isolated by then.
 */
void sim_message(sim_host_t *from, host_id_t to, event_fn_t deliver,
		 const void *p, size_t n);
/* Returns whether the event's daemon runs and has not restarted meanwhile. */
bool event_host_alive(const event_t *ev);
/* Returns the one-way delay between two zones. */
int64_t sim_zone_delay(const sim_t *s, size_t a, size_t b);
/* NULL where there is no such daemon. */
sim_host_t *sim_host(sim_t *s, host_id_t id);

/* Engines and services (lib_sim_engine.c). */
/* h is the daemon that sent the order. */
order_t *order_copy(sim_host_t *h, const engine_order_t *o);
void order_free(order_t *order);
/* Carries out an order at a target: ev->arg at ev->engine. */
void order_arrives(sim_t *s, event_t *ev);
void sim_engine_free(sim_engine_t *e);
/* Frees arg of an event that will not happen. */
void engine_event_free_arg(event_t *ev);
void load_free(load_t *l);

/* State cores (lib_sim_state.c). */
/* Start and stop the state core of a daemon. */
void state_host_boot(sim_t *s, sim_host_t *h);
void state_host_down(sim_t *s, sim_host_t *h);
void state_host_free(sim_host_t *h);
void sim_state_claim(sim_host_t *h, const claim_req_t *req);
/* See engine_event_free_arg(). */
void state_event_free_arg(event_t *ev);
/*
 * Lets the daemons elect a leader and decide the deployment's tables. Returns
 * false where that takes too long.
 */
bool state_bootstrap(sim_t *s);
/* Returns the lease in time, and stops the daemon once it has drained. */
void state_drain(sim_t *s, sim_host_t *h);
/* Returns the oldest version that a request sent then may run on; 0: any. */
uint32_t state_oldest_version(sim_t *s, const char *adapter, int64_t sent_us);
void sim_change_free(gpointer p);
/* Returns whether a caller waits for a reply of the daemon. */
bool callers_waiting_for(sim_t *s, const sim_host_t *h);

/* Callers and claims (lib_sim_caller.c). */
/* Functions of serve_ops_t. */
void op_reply(void *ctx, uint64_t handle, const serve_reply_t *rep);
void op_claim(void *ctx, const claim_req_t *req);
void claim_row_free(gpointer p);
/* See engine_event_free_arg(). */
void claim_event_free_arg(event_t *ev);
/* The callers that wait for a daemon notice after a while that it is down. */
void callers_notice_host_loss(sim_t *s, sim_host_t *h);
/*
 * Returns whether the caller was told that this attempt has not run. For a
 * service call, whose attempts share a key: that none of its attempts has.
 */
bool attempt_refused_not_run(const attempt_t *attempt);

#endif
