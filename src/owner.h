/*
 * owner.h - inside of the owner's side of the serving core, shared by owner.c
 * (takeover, orders, reports, the target's state), run.c (queue, dispatch,
 * relay) and load.c (adapters brought into slots). All under the lock of the
 * shard that holds the owner.
 */
#ifndef DK_OWNER_H
#define DK_OWNER_H

#include "core.h"
#include "queue.h"
#include "slot.h"

/* Requests told in one report. */
#define ASKED_MAX 64u
/* Daemons that get reports on one target, where there are many. */
#define PEERS_MAX 16u
#define NO_RETRY (-1)

typedef enum own_state {
	OWN_NOT,    /* another daemon's; runs started here may still end */
	OWN_WAIT,   /* orders of the past owner may be under way */
	OWN_READ,   /* the target's state is being read */
	OWN_ACTIVE, /* dispatches */
} own_state_t;

typedef enum run_phase {
	RUN_WAITING,
	RUN_STARTED, /* an order is out */
	RUN_BROKEN,  /* to be resumed */
} run_phase_t;

typedef struct owner owner_t;

/* One attempt of one request, at its target. */
typedef struct run {
	queue_item_t item; /* in the queue while waiting; first member */
	struct cds_list_head node; /* in owner's started, when not waiting */
	owner_t *o;
	run_phase_t phase;
	host_id_t from;
	uint64_t epoch;
	uint64_t handle;
	uint32_t attempt;
	str_t adapter; /* owned, as the next four */
	str_t run_id;
	str_t path;
	str_t body;
	str_t key;
	uint32_t hash; /* slot_hash(adapter); 0 without one */
	uint32_t max_tokens;
	uint64_t order;	 /* under way */
	uint64_t offset; /* answer bytes sent to the entry */
	bool repeatable;
	bool head;
	bool resume;  /* starts with ORDER_RESUME */
	bool gone;    /* nobody listens any more */
	bool stalled; /* waits, or waited, for a load */
	uint32_t resumes;
	int64_t arrived_us;
	int64_t started_us;
	int64_t plain_cost_us; /* expected at the start, without the ratio */
	int64_t again_us;      /* RUN_BROKEN */
	int64_t stall_us;
	int64_t load_us;
} run_t;

typedef enum load_phase {
	LOAD_WANTED, /* no permit asked: no slot can be had now */
	LOAD_ASKED,  /* a permit is asked for */
	LOAD_EVICTS, /* permit granted; the slot's adapter is unloaded */
	LOAD_RUNS,   /* permit granted; load order out */
} load_phase_t;

/* One adapter on its way to a slot. */
typedef struct load {
	struct cds_list_head node;
	str_t adapter; /* owned */
	uint32_t hash;
	load_phase_t phase;
	bool prefetch; /* of an announced version; nobody waits yet */
	uint32_t waiting;
	uint32_t told_waiting; /* in the newest ask */
	int64_t due_us;	       /* deadline of the most urgent waiting request */
	int64_t load_us;
	int64_t since_us;
} load_t;

/* An order whose final event is still to come. */
typedef struct order {
	uint64_t id;
	order_kind_t kind;
	owner_t *o;
	run_t *run;	/* NULL: nobody waits for it any more */
	str_t adapter;	/* owned */
	uint64_t boot;	/* the target's boot id when it was sent */
	uint64_t fence; /* it was sent under */
	int64_t sent_us;
} order_t;

typedef struct backoff {
	int64_t until_us;
	uint32_t fails;
} backoff_t;

typedef struct peer {
	host_id_t host;
	int64_t at_us; /* its newest submit */
} peer_t;

struct owner {
	struct cds_list_head node; /* in the shard, ascending by id */
	shard_t *sh;
	target_id_t id;
	const target_t *row; /* of the shard's tables; NULL when deleted */
	own_state_t state;
	uint64_t fence;
	bool fenced;	       /* the target knows a newer owner */
	bool leaving;	       /* no new work */
	int64_t wait_until_us; /* OWN_WAIT ends */
	int64_t poll_us;       /* next read of its state */
	uint64_t poll_order;
	uint32_t poll_fails;
	uint64_t boot;
	int64_t slots_changed_us;
	slots_t slots;
	queue_t queue;
	struct cds_list_head loads;
	struct cds_list_head started; /* run_t not waiting */
	uint32_t n_ready;     /* waiting, and could start were there room */
	int64_t ready_us;     /* their expected service time */
	uint32_t n_running;   /* run orders out, of this boot */
	uint32_t n_orders;    /* all orders out */
	uint32_t foreign;     /* runs that a past owner started */
	double ratio;	      /* actual by expected service time */
	double mean_cost_us;  /* expected service time of recent requests */
	double call_us;	      /* mean duration of service calls */
	GHashTable *backoffs; /* adapter hash -> backoff_t */
	peer_t peers[PEERS_MAX];
	size_t n_peers;
	uint32_t store_backlog;	   /* as told with the last permit, plus 1 */
	uint32_t asked[ASKED_MAX]; /* adapters, since the last report */
	size_t n_asked;
	bool changed; /* since the last report to peers */
	bool urgent;  /* the report must not wait */
	int64_t report_us;
	int64_t report_wait_us; /* until the next that is not urgent */
};

/* run.c */
/* Takes it out of its owner and frees it, without a word to the entry. */
void run_free(run_t *r);
/* Ends an attempt without a whole answer, tells the entry, and frees r. */
void run_refuse(run_t *r, reason_t reason, run_state_t run, int retry,
		uint32_t retry_ms);
/*
 * Ends an attempt here whose stream may be resumed through the target's next
 * owner, and frees r.
 */
void run_hand_over(run_t *r);
/* Most requests that run at once. */
uint32_t owner_batch(const owner_t *o);
/* Expected service time of a request in the batch that is likely. */
int64_t run_cost(const owner_t *o, uint32_t max_tokens);
/* Expected wait until a request with ahead_us of work before it starts. */
int64_t owner_wait_us(const owner_t *o, int64_t ahead_us, int64_t now);
/* Refuses all waiting requests, or those for one adapter (hash not 0). */
void owner_refuse_waiting(owner_t *o, uint32_t hash, reason_t reason,
			  int retry);
/* Whether a waiting request could start; ctx is not used. */
bool run_ready(void *ctx, const queue_item_t *it);
void owner_refuse_late(owner_t *o, int64_t now);
void owner_work_dispatch(owner_t *o, int64_t now);
void owner_work_broken(owner_t *o, int64_t now);
void owner_work_deadlines(owner_t *o, int64_t now);
void owner_run_event(owner_t *o, order_t *ord, const engine_event_t *ev,
		     int64_t now);
/* load.c */

/* Brings the costs of evicting the slots up to now. */
void owner_price_slots(owner_t *o, int64_t now);
/*
 * Expected costs of the evictions that loads not yet known here would need,
 * ascending; returns how many, at most one for each slot.
 */
size_t owner_evict_costs(owner_t *o, uint64_t *costs, int64_t now);
void load_discard(load_t *l);
/* Hash of the name in "name@version": versions share their popularity. */
uint32_t adapter_name_hash(str_t adapter);
/* Drops a load; its permit, or its ask, goes back to the leader. */
void load_end(owner_t *o, load_t *l);
/* Awaited slots whose adapter another target has too. */
uint32_t owner_spare_copies(const owner_t *o);
/* Wants the current versions of adapters resident in older ones. */
void owner_prefetch(owner_t *o, int64_t now);
void owner_work_loads(owner_t *o, int64_t now);
bool load_backed_off(owner_t *o, uint32_t hash, int64_t now);
void owner_load_event(owner_t *o, order_t *ord, const engine_event_t *ev,
		      int64_t now);
void owner_unload_event(owner_t *o, order_t *ord, const engine_event_t *ev,
			int64_t now);
/* owner.c */
int64_t owner_now(const owner_t *o);
bool owner_may_send(const owner_t *o, int64_t now);
owner_t *owner_find(shard_t *sh, target_id_t id);
void owner_add_peer(owner_t *o, host_id_t host, int64_t now);
/* One request for an adapter: its popularity grows, here and at peers. */
void owner_asked(owner_t *o, uint32_t hash, int64_t now);
void owner_report(owner_t *o, int64_t now);
/* Sends an order; the target, its url and the fence are filled in. */
order_t *owner_order(owner_t *o, engine_order_t *eo, run_t *run);
void owner_poll_soon(owner_t *o, int64_t now);
/* Cancels the run of an order; its final event still comes. */
void owner_order_cancel(owner_t *o, uint64_t order);
/* Does all that can be done now. */
void owner_work(owner_t *o, int64_t now);
/*
 * The target restarted: nothing of before is on it. Runs that were on it end;
 * except is the run, if any, that is known to be on the restarted one.
 */
void owner_rebooted(owner_t *o, uint64_t boot, const run_t *except);
static inline int64_t min_time(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

#endif
