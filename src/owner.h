/*
 * owner.h - internals of the owner side of the serving core, shared by owner.c
 * (takeover, orders, reports, the target's state), run.c (queue, dispatch,
 * relaying) and load.c (loading adapters into slots). Every function here must
 * be called with the lock of the shard that holds the owner.
 */
#ifndef DK_OWNER_H
#define DK_OWNER_H

#include "core.h"
#include "queue.h"
#include "slot.h"

/* Most requested adapters that one report lists, one for each request. */
#define REQUESTED_ADAPTERS_MAX 64u
/* Most daemons that get reports on one target in a large system. */
#define REPORT_PEERS_MAX 16u
/* Passed for a retry_reason_t where the entry must not retry. */
#define NO_RETRY (-1)

/* How far this daemon has come in taking over a target. */
typedef enum ownership {
	OWNERSHIP_NONE,	   /* another daemon's; runs started here may go on */
	OWNERSHIP_WAITING, /* orders of the previous owner may still arrive */
	OWNERSHIP_READING, /* the target's state is being read */
	OWNERSHIP_ACTIVE,  /* requests are dispatched */
} ownership_t;

typedef enum run_phase {
	RUN_QUEUED,
	RUN_DISPATCHED,	     /* its run order has been sent */
	RUN_AWAITING_RESUME, /* its stream broke; resumed at resume_at_us */
} run_phase_t;

typedef struct owner owner_t;

/* One attempt of one request, at the owner of its target. */
typedef struct run {
	queue_item_t item; /* must be the first member; queued in RUN_QUEUED */
	struct cds_list_head node; /* in started_runs in the other phases */
	owner_t *owner;
	run_phase_t phase;
	/* The entry's reference to the attempt, as in Serve__Ref. */
	host_id_t entry_host;
	uint64_t entry_epoch;
	uint64_t handle;
	uint32_t attempt;
	/* Strings are owned. */
	str_t adapter; /* "name@version"; empty where none is needed */
	str_t run_id;
	str_t path;
	str_t body;
	str_t idempotency_key;
	uint32_t adapter_hash; /* slot_hash(adapter); 0 without an adapter */
	uint32_t max_tokens;
	uint64_t order_id;	/* of the newest run order */
	uint64_t relayed_bytes; /* answer bytes that the entry has so far */
	bool repeatable;
	bool head_relayed;
	bool resume;	  /* dispatched with ORDER_RESUME, not ORDER_RUN */
	bool entry_gone;  /* no answer is relayed: its entry is lost */
	bool needed_load; /* has waited for its adapter to be loaded */
	uint32_t n_resumes;
	int64_t arrived_us;
	int64_t started_us;
	/* Expected service time at dispatch, without owner's cost_ratio. */
	int64_t uncorrected_cost_us;
	int64_t resume_at_us; /* in RUN_AWAITING_RESUME */
	int64_t stall_us;     /* time spent waiting for its adapter's load */
	int64_t load_us;      /* expected duration of its adapter's load */
} run_t;

typedef enum load_phase {
	LOAD_NEEDS_SLOT,   /* no permit asked for yet: no slot is available */
	LOAD_PERMIT_ASKED, /* the leader has been asked for a permit */
	LOAD_EVICTING,	   /* permit granted; another adapter is unloaded */
	LOAD_IN_PROGRESS,  /* permit granted; the load order has been sent */
} load_phase_t;

/* One adapter that is to be loaded into a slot of the target. */
typedef struct load {
	struct cds_list_head node;
	str_t adapter; /* owned */
	uint32_t adapter_hash;
	load_phase_t phase;
	bool prefetch;	  /* new version, wanted before a request names it */
	uint32_t waiting; /* requests that wait for the adapter */
	uint32_t reported_waiting; /* waiting, as in the last PermitAsk */
	int64_t deadline_us;	   /* of the most urgent waiting request */
	int64_t load_us;	   /* expected duration */
	int64_t created_us;
} load_t;

/* An order to the target whose final event has not arrived. */
typedef struct order {
	uint64_t id;
	order_kind_t kind;
	owner_t *owner;
	run_t *run;	  /* NULL: the events are for no run any more */
	str_t adapter;	  /* owned */
	uint64_t boot_id; /* of the target when the order was sent */
	uint64_t fence;	  /* fencing number that the order was sent with */
	int64_t sent_us;
} order_t;

/* Backoff after failed loads of one adapter on one target. */
typedef struct backoff {
	int64_t until_us;
	uint32_t failures; /* since the last successful load */
} backoff_t;

typedef struct peer {
	host_id_t host;
	int64_t last_submit_us;
} peer_t;

/*
 * One target that this daemon owns, or has owned while runs or orders of that
 * time have not ended.
 */
struct owner {
	struct cds_list_head node; /* in the shard, ascending by id */
	shard_t *sh;
	target_id_t id;
	const target_t *row; /* in the shard's tables; NULL when deleted */
	ownership_t state;
	uint64_t fence;
	bool fenced_off; /* the target has seen a newer owner's fence */
	bool leaving;	 /* the target takes no new work */
	int64_t takeover_wait_until_us; /* end of OWNERSHIP_WAITING */
	int64_t next_poll_us;		/* when to read the state again */
	uint64_t poll_order_id;		/* of the read under way; 0: none */
	uint32_t poll_failures;		/* in a row */
	/* Since when its state cannot be read; 0: it can. */
	int64_t unreachable_since_us;
	uint64_t boot_id; /* of the target; 0 while unknown */
	/* Last change made here to the slots; older state reads are ignored. */
	int64_t slots_changed_us;
	slots_t slots;
	queue_t queue;
	struct cds_list_head loads;	   /* load_t */
	struct cds_list_head started_runs; /* run_t that are not queued */
	/* Queued runs that could start if the batch had room. */
	uint32_t n_ready;
	int64_t ready_cost_us; /* sum of their expected service times */
	uint32_t n_running;    /* unfinished run orders of this boot id */
	uint32_t n_orders;     /* all unfinished orders */
	uint32_t foreign_runs; /* running, started by a previous owner */
	double cost_ratio;     /* mean of actual to expected service time */
	double mean_cost_us;   /* expected service time of recent requests */
	double mean_call_us;   /* duration of recent service calls */
	GHashTable *load_backoffs; /* adapter hash -> backoff_t */
	peer_t peers[REPORT_PEERS_MAX];
	size_t n_peers;
	/* Backlog named by the last permit, plus 1; 0 once it is reported. */
	uint32_t store_backlog;
	/* Hashes of the adapter names requested since the last report. */
	uint32_t requested[REQUESTED_ADAPTERS_MAX];
	size_t n_requested;
	bool changed_since_report;
	bool report_urgent; /* report without waiting for the interval */
	int64_t last_report_us;
	int64_t report_interval_us; /* between reports that are not urgent */
};

/* run.c */

/* Removes an attempt from its owner and frees it; tells the entry nothing. */
void run_free(run_t *r);
/*
 * Ends an attempt without a complete answer, tells the entry, and frees r.
 * retry is a retry_reason_t or NO_RETRY; retry_ms is 0 for the default delay
 * of the reason.
 */
void run_fail(run_t *r, reason_t reason, run_state_t run, int retry,
	      uint32_t retry_ms);
/*
 * Ends an attempt here, tells the entry that the stream may be resumed through
 * the target's next owner, and frees r.
 */
void run_hand_over(run_t *r);
/* Most requests that the target runs at once. */
uint32_t owner_max_batch(const owner_t *o);
/* Expected service time of a request in a batch of the expected size. */
int64_t run_expected_cost_us(const owner_t *o, uint32_t max_tokens);
/*
 * Expected wait of a request before it starts. ahead_us is the expected service
 * time of the queued requests that are served before it.
 */
int64_t owner_expected_wait_us(const owner_t *o, int64_t ahead_us, int64_t now);
/*
 * Refuses all queued requests, or where adapter_hash is not 0 those for that
 * adapter.
 */
void owner_refuse_waiting(owner_t *o, uint32_t adapter_hash, reason_t reason,
			  int retry);
/* Whether a queued request could start now; ctx is not used. */
bool run_can_start(void *ctx, const queue_item_t *it);
/*
 * Refuses ready requests that would miss their deadline, newest first. Called
 * after many requests have become ready at once.
 */
void owner_refuse_late(owner_t *o, int64_t now);
/* Starts queued requests while the batch has room. */
void owner_dispatch(owner_t *o, int64_t now);
/* Resumes the broken streams whose delay has passed. */
void owner_resume_broken(owner_t *o, int64_t now);
/* Refuses requests that cannot meet their deadline and ends those past it. */
void owner_enforce_deadlines(owner_t *o, int64_t now);
void owner_run_event(owner_t *o, order_t *ord, const engine_event_t *ev,
		     int64_t now);

/* load.c */

/* Updates the eviction costs of the resident slots. */
void owner_update_evict_costs(owner_t *o, int64_t now);
/*
 * Fills costs with the expected costs of the evictions that further loads
 * would need, ascending. Returns how many, at most one for each slot.
 */
size_t owner_evict_costs(owner_t *o, uint64_t *costs, int64_t now);
/* Removes a load and frees it; tells the leader nothing. */
void load_delete(load_t *l);
/*
 * Hash of the name in "name@version". Popularity is counted by name, so that
 * all versions of an adapter share it.
 */
uint32_t adapter_name_hash(str_t adapter);
/* Ends a load and returns its permit, or withdraws its PermitAsk. */
void load_end(owner_t *o, load_t *l);
/*
 * Number of slots with waiting requests whose adapter another target holds
 * too, so that the slot could be given up.
 */
uint32_t owner_spare_copies(const owner_t *o);
/* Adds loads of the current versions of adapters resident in an older one. */
void owner_prefetch(owner_t *o, int64_t now);
/* Adds, ends and advances loads as the queue demands. */
void owner_advance_loads(owner_t *o, int64_t now);
bool load_backed_off(owner_t *o, uint32_t adapter_hash, int64_t now);
void owner_load_event(owner_t *o, order_t *ord, const engine_event_t *ev,
		      int64_t now);
void owner_unload_event(owner_t *o, order_t *ord, const engine_event_t *ev,
			int64_t now);

/* owner.c */

int64_t owner_now(const owner_t *o);
/* Whether this daemon may send orders to the target now. */
bool owner_may_send(const owner_t *o, int64_t now);
/* Returns NULL where this daemon has no owner_t for the target. */
owner_t *owner_find(shard_t *sh, target_id_t id);
/* Notes that a peer sends work to this target; recent ones get reports. */
void owner_note_peer(owner_t *o, host_id_t host, int64_t now);
/* Counts one request in the popularity of an adapter, here and at peers. */
void owner_count_request(owner_t *o, uint32_t name_hash, int64_t now);
/* Reports to this daemon's placement at once, to peers at a bounded rate. */
void owner_report(owner_t *o, int64_t now);
/*
 * Sends an order for run, which may be NULL. Fills in the order's id, target,
 * url and fence.
 */
order_t *owner_send_order(owner_t *o, engine_order_t *eo, run_t *run);
/* Makes the next read of the target's state due now. */
void owner_poll_now(owner_t *o, int64_t now);
/* Cancels the run of an order; the order's final event still arrives. */
void owner_cancel_order(owner_t *o, uint64_t order_id);
/* Enforces deadlines, then resumes, loads, dispatches and reports. */
void owner_advance(owner_t *o, int64_t now);
/*
 * Called when the target has restarted and lost its adapters and runs. Ends
 * its runs, except for the run that is known to have started after the restart
 * (NULL: there is none).
 */
void owner_target_restarted(owner_t *o, uint64_t boot_id, const run_t *except);

static inline int64_t earlier_of(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

#endif
