/*
 * lib_sim_priv.h - what the files of the simulation share.
 */
#ifndef DK_DEV_SIM_PRIV_H
#define DK_DEV_SIM_PRIV_H

#include "lib_sim.h"

#define CACHED_ADDRESSES_MAX 4u /* that callers keep of an answer */

/* One attempt of a request at one daemon. */
typedef struct attempt {
	uint64_t handle; /* index + 1 in p->submits */
	sim_request_t *req;
	sim_host_t *host;
	uint32_t generation;
	char expected_model
		[160]; /* adapter@version decided when it was accepted */
	int64_t sent_us;
	uint32_t runs;
	bool final;
	bool refused_not_run;
	buf_t text;
} attempt_t;

/* An order as the port keeps it; freed with its run, load or event. */
typedef struct order {
	engine_order_t spec; /* strings point into the copies below */
	sim_host_t *host;
	uint32_t generation;
	char *adapter, *run_id, *body, *key;
} order_t;

typedef struct sim_run {
	struct cds_list_head node;
	order_t *order; /* whom the answer goes to; NULL once it ended */
	char *id, *adapter;
	uint64_t attempt_handle; /* handle of the attempt that it runs for */
	uint64_t serial;	 /* no two runs give the same answer */
	uint32_t max_tokens, tokens, prefill_steps;
	int32_t priority;
	bool running, head_sent, stalled;
	uint32_t
		break_at_token; /* tokens after which the stream breaks; 0: none */
	size_t sent_bytes;
	uint32_t sent_tokens;
	buf_t text;
	int64_t ended_us;
	bool complete;
} sim_run_t;

/* A load on its way through the store. */
typedef struct load {
	struct cds_list_head node;
	sim_engine_t *engine;
	order_t *order;
	uint64_t boot_id;
	double remaining_us;
} load_t;

typedef struct address_cache {
	host_id_t host[CACHED_ADDRESSES_MAX];
	size_t n;
	int64_t until_us;
} address_cache_t;

typedef struct claim_row {
	char *holder;
	uint64_t body_hash;
	enum {
		ROW_TAKEN,
		ROW_ANSWERED,
		ROW_UNKNOWN
	} state;
	int status;
	buf_t body;
} claim_row_t;

/* A version that operators were told is accepted. */
typedef struct accepted_version {
	uint32_t version;
	int64_t at_us;
} accepted_version_t;

typedef struct event event_t;
typedef void (*event_fn_t)(sim_t *s, event_t *ev);

/* Something that happens later; freed after it happened. */
struct event {
	struct cds_list_head node;
	timer_sub_t sub;
	sim_t *sim;
	event_fn_t fn;
	sim_host_t *host;
	uint32_t generation;
	sim_engine_t *engine;
	void *arg; /* owned by what fn says */
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
	event_t *load_end_event; /* end of the next load; NULL: none */
	int64_t loads_updated_us;
	GPtrArray *attempts;
	GHashTable *address_caches; /* "caller model" -> kept_t */
	GHashTable *claims;	    /* "org key" -> claim_row_t */
	GHashTable *key_run_counts; /* key -> count */
	GHashTable *changes;	    /* id -> sim_change_t */
	GHashTable
		*accepted_versions; /* adapter -> accepted_t, for the oracle */
	GHashTable *revisions;	    /* revision -> change id */
	uint64_t next_incarnation, next_tag, next_run;
	GHashTable *evicted_at; /* adapter -> int64_t of the last eviction */
	uint64_t next_boot;
	bool log_orders;
};

void sim_violation(sim_t *s, sim_violation_t v, const char *detail);

/* An event that happens once armed; freed after fn has run. */
event_t *event_new(sim_t *s, event_fn_t fn);
void event_schedule_at(event_t *ev, int64_t us);
void event_schedule_after(event_t *ev, int64_t us);
void event_bind_host(event_t *ev, sim_host_t *h);
/*
 * A message between daemons: deliver is called at the other after the delay of
 * the link; lost where one is silent or down. The bytes are in ev->data.
 */
void sim_message(sim_host_t *from, host_id_t to, event_fn_t deliver,
		 const void *p, size_t n);
/* The daemon that the event was meant for still runs and is reachable. */
bool event_host_alive(const event_t *ev);
int64_t sim_zone_delay(const sim_t *s, size_t a, size_t b);
/* NULL where there is no such daemon. */
sim_host_t *sim_host(sim_t *s, host_id_t id);

/* Engines and services (lib_sim_engine.c). */
order_t *order_copy(sim_host_t *h, const engine_order_t *o);
void order_free(order_t *c);
/* An order arrives at ev->engine; ev->p is the order. */
void order_arrives(sim_t *s, event_t *ev);
void sim_engine_free(sim_engine_t *e);
/* Frees what an undelivered event holds. */
void engine_event_free_arg(event_t *ev);
void load_free(load_t *l);

/* State cores (lib_sim_state.c). */
void state_host_boot(sim_t *s, sim_host_t *h);
void state_host_down(sim_t *s, sim_host_t *h);
void state_host_free(sim_host_t *h);
void sim_state_claim(sim_host_t *h, const claim_req_t *req);
void state_event_free_arg(event_t *ev);
/* Leader elected and all tables decided; false where it takes too long. */
bool state_bootstrap(sim_t *s);
void state_drain(sim_t *s, sim_host_t *h);
/* The oldest version that a request sent at the time may run; 0: any. */
uint32_t state_oldest_version(sim_t *s, const char *adapter, int64_t sent_us);
void sim_change_free(gpointer p);
bool callers_waiting_for(sim_t *s, const sim_host_t *h);

/* Callers and claims (lib_sim_caller.c). */
void op_reply(void *ctx, uint64_t handle, const serve_reply_t *rep);
void op_claim(void *ctx, const claim_req_t *req);
void claim_row_free(gpointer p);
void claim_event_free_arg(event_t *ev);
/* The callers that wait for a daemon see that it is gone. */
void callers_notice_host_loss(sim_t *s, sim_host_t *h);
/* Whether every attempt of the request was refused as not run. */
bool attempt_refused_not_run(const attempt_t *attempt);

#endif
