/*
 * dispatch_int.h - internals of the dispatcher, included only by dispatch.c
 * (pending requests), grants.c (granted places), fleet.c (the state of the runners), orders.c
 * (loading and unloading adapters and models), choice.c (choosing a runner),
 * builds.c (their software versions), quarantine.c (what crashes them), paths.c (who
 * reaches them) and
 * pacing.c (their limits). spill.c decides which requests may leave their failure domain.
 */
#ifndef DK_DISPATCH_INT_H
#define DK_DISPATCH_INT_H

#include "reject_limit.h"
#include "build_set.h"
#include "dispatch.h"
#include "pb.h"
#include "retry_budget.h"
#include "runner_limit.h"
#include "runner_speed.h"
#include "spill.h"

#include <glib.h>
#include <urcu/list.h>

/*
 * How many adapters the weight store is assumed to deliver concurrently at full
 * speed, until trials show more: at least the minimum, and PER_RATE times the
 * model loads per second that the manifest allows.
 */
#define STORE_CONCURRENCY_MIN 8u
#define STORE_CONCURRENCY_PER_RATE 1.8
/* Assumed time to load one adapter until it has been learnt. */
#define ADAPTER_LOAD_INITIAL_US (250 * USEC_PER_MSEC)
/* Adapters that one runner loads at the same time. */
#define RUNNER_LOADS_MAX 4u
/* A runner's report shows its state of some hundred milliseconds ago. */
#define REPORT_LAG_US (150 * USEC_PER_MSEC)
/* Prompt prefixes remembered for each runner, in a direct-mapped table. */
#define PREFIX_CACHE_SIZE 512u
/* Models of one runner whose speed is remembered. */
#define RUNNER_SPEEDS_MAX 4u
/* Adapters that a runner is assumed to have cached after unloading them. */
#define RECENT_ADAPTERS_SIZE 128u

typedef enum copy_state {
	COPY_WANTED,	     /* a load order has to be sent */
	COPY_LOAD_ORDERED,   /* the load order has been sent, not answered */
	COPY_LOADING,	     /* expected to be ready at ready_us */
	COPY_READY,	     /* requests can use it */
	COPY_UNLOAD_ORDERED, /* the unload order has been sent, not answered */
	COPY_UNCERTAIN, /* may be there: takes a slot until a report tells */
} copy_state_t;

/* A copy of an adapter, or of a model (adapter is empty), at one runner. */
typedef struct copy {
	struct cds_list_head node;     /* in runner->copies */
	struct cds_list_head same_key; /* in copy_set_t.copies */
	struct runner *runner;
	uint64_t key;	  /* copy_key() of model and adapter */
	str_t model;	  /* owned */
	str_t adapter;	  /* owned */
	uint64_t version; /* 0: unknown */
	copy_state_t state;
	/* Some version of it may occupy an adapter slot of the runner. */
	bool occupies_slot;
	/*
	 * The runner certainly has it at the order number r->seq: a report has
	 * shown it, or it was loaded since then.
	 */
	bool confirmed;
	/*
	 * The runner may have accepted an unload order for it. Then it can
	 * disappear at any time, which no order number shows.
	 */
	bool unload_pending;
	/* The version that it replaces may occupy a slot besides. */
	bool old_version_held;
	/* Loaded from the store; no request has confirmed the estimate yet. */
	bool load_time_unconfirmed;
	int64_t wanted_us;   /* when the load was first wanted */
	int64_t ready_us;    /* when it is, or was, expected to be ready */
	int64_t ordered_us;  /* when the last order for it was sent */
	int64_t accepted_us; /* when the runner accepted the load order */
	/*
	 * The estimate on which ready_us is based. A request that finds the
	 * copy missing moves ready_us alone, except after a load that
	 * overlapped with a trial of the store: that can move both.
	 */
	int64_t predicted_us;
	int64_t uncertain_since_us;
	int64_t last_used_us;
	uint32_t active_grants;	   /* grants whose requests use it */
	uint32_t waiting_requests; /* pending requests that wait for it */
	/*
	 * Adapters ordered or being loaded, this one included, when its load
	 * order was accepted. 0: nothing to learn, or learnt already.
	 */
	uint32_t concurrent_loads;
} copy_t;

typedef struct runner {
	struct cds_list_head node;   /* in dispatch->runners */
	struct cds_list_head wanted; /* in dispatch->wanting, or empty */
	/* A query of choose_runner() has considered it. */
	uint64_t considered_by;
	struct service_fleet *fleet; /* of its service */
	str_t id;		     /* owned, as are service, addr and zone */
	str_t service;
	str_t addr;
	str_t zone;
	uint64_t start_time_ms; /* start time of its process; 0: unknown */
	str_t build;	    /* owned: version of its software; empty: unknown */
	bool build_decided; /* streams that may be resumed can begin there */
	bool draining;	    /* the runner list says so */
	/* It said itself that it shuts down, which the list shows later. */
	bool said_leaving;
	bool listed; /* seen in the runner list that is being applied */
	/* It reports what it holds; a dead runner does not. */
	bool models_known;
	/* Owned: a model that it can load from its own memory or disk. */
	str_t local_weights;
	bool in_memory; /* local_weights is in memory, else on disk */
	uint32_t slots; /* requests that it runs at once; 0: not reported */
	struct cds_list_head copies;
	uint32_t n_wanted;  /* copies in state COPY_WANTED */
	uint32_t n_loading; /* copies in state COPY_LOADING */

	/*
	 * Orders are sent one at a time. Each names the number of orders that
	 * the runner has to have accepted before it.
	 */
	bool order_pending;
	copy_t *ordered_copy; /* that the pending order is for; NULL: removed */
	bool seq_known;
	uint64_t seq;	     /* orders accepted since the runner started */
	int64_t unloaded_us; /* when the last unload was accepted */
	int64_t no_room_us;  /* when no copy could be unloaded for another */
	bool report_pending;
	int64_t report_asked_us; /* when the last report was requested */
	int64_t order_ended_us;	 /* when the last order was answered or lost */
	int64_t report_due_us;	 /* when to request one; INT64_MAX: never */

	/* Load. */
	struct cds_list_head grants;
	uint32_t n_grants;
	uint32_t n_queued;    /* pending requests that wait for a place here */
	int64_t mean_hold_us; /* moving average of how long a place is held */
	/* Prompt tokens of granted requests that have not started to answer. */
	uint64_t pending_prefill_tokens;
	/* Prompt and output tokens, at most, of all granted requests. */
	uint64_t reserved_tokens;
	/* Learnt factor by which first events take longer than usual. */
	double slowdown;
	/*
	 * Learnt from the pauses of its streams: the share of the usual prompt
	 * tokens that it may prefill at a time, and in the long run.
	 */
	double prefill_share;
	/*
	 * Prompt tokens granted less those that the runner can have prefilled
	 * by prefill_backlog_us.
	 */
	double prefill_backlog_tokens;
	/* The same, had it prefilled only prefill_share of what it can. */
	double paced_backlog_tokens;
	int64_t prefill_backlog_us;
	/* Learnt of the models that it ran lately; see runner_speed_of(). */
	runner_speed_t speeds[RUNNER_SPEEDS_MAX];
	prefills_t prefills;
	uint32_t n_pause_limited; /* grants of streams with an allowed pause */
	uint32_t
		n_spared; /* of these, not expected to pause too long already */
	int64_t pause_allowed_us; /* smallest that is allowed to these; 0: none */
	uint64_t prefix_cache[PREFIX_CACHE_SIZE]; /* keys of prefix_keys_t */
	/* Direct-mapped; see runner_held_recently(). */
	uint64_t recent_adapters[RECENT_ADAPTERS_SIZE];
	int64_t last_started_us; /* when a request last began to answer */

	/* Health. */
	uint32_t consecutive_failures; /* without an answer between them */
	double failure_rate; /* share of failed answers at failure_rate_us */
	int64_t failure_rate_us;
	int64_t suspended_until_us;
	/* After a suspension: one request at a time until one is answered. */
	bool half_open;
	int64_t heard_us; /* when it last answered, whichever host */
	/* It rejected a request that had a place, and gets none until then. */
	int64_t full_until_us;
	runner_limit_t limit;
	reject_limit_t reject_limit;
} runner_t;

/* The runners of one service. */
typedef struct service_fleet {
	struct cds_list_head node; /* in dispatch->service_fleets */
	str_t service;		   /* owned */
	GPtrArray *runners;	   /* in no order */
} service_fleet_t;

/* All copies with the same copy_key(). */
typedef struct copy_set {
	struct cds_list_head copies; /* never empty */
} copy_set_t;

/* Identifies a request among those of all entries. */
typedef struct request_key {
	uint64_t id;
	host_id_t host; /* the entry */
} request_key_t;

/* A place at a runner, granted to one request. */
typedef struct grant {
	request_key_t key;
	struct cds_list_head node; /* in runner->grants */
	runner_t *runner;
	copy_t *copy; /* NULL: the model itself, or a plain service */
	uint32_t prefill_tokens; /* of the prompt, not cached at the runner */
	uint32_t tokens;	 /* of the prompt and, at most, the output */
	int64_t granted_us;	 /* 0: granted in an earlier term */
	int64_t expected_first_event_us; /* delay from granted_us */
	int64_t deadline_us;		 /* the caller has given up by then */
	bool started;			 /* the answer has begun */
	int64_t started_us;		 /* when; 0: not known */
	/* Owned: ids of the prompt's parts that other prompts may share. */
	uint64_t *shared_parts;
	uint32_t n_shared_parts;
	str_t zone;	 /* owned: of the entry; empty: not known */
	uint64_t digest; /* of the request; 0: not known, or answered */
	struct cds_list_head suspect; /* in those of quarantine_t, or empty */
	host_id_t via;		      /* as told to its host */
	bool for_stream;	      /* of a request that takes up a stream */
	quota_charge_t charge;
	uint64_t model_key;   /* copy_key() of the model; 0: not known */
	uint64_t prefill_seq; /* in runner->prefills, if model_key is set */
	double prefill_ahead_tokens; /* open there at granted_us */
	int64_t event_gap_us; /* pause allowed to it; 0: any, or not known */
	/* A pause that is expected to be too long already. */
	bool pause_expected;
} grant_t;

/* A request without a grant: it waits for a copy, or for a place. */
typedef struct pending_request {
	struct cds_list_head node; /* in dispatch->pending */
	request_key_t key;
	Dispatch__Msg *msg;	 /* owned; holds the Ask */
	copy_t *awaited_copy;	 /* being loaded for it; else NULL */
	runner_t *queued_runner; /* where it waits for a place; else NULL */
	int64_t received_us;
	int64_t load_wait_start_us; /* when it began to wait for awaited_copy */
	int64_t load_waited_us;	    /* time spent waiting for earlier copies */
	int64_t deadline_us;	    /* refused then */
	uint32_t load_attempts;
	quota_charge_t charge;
	int64_t quota_due_us; /* not granted before: its quota is used up */
	bool is_trial;	      /* of what it has of the quarantine */
	bool awaits_version;  /* its stream's, which nobody has told yet */
} pending_request_t;

/*
 * A place of an earlier term that an entry named before this dispatcher knew the
 * runners; it becomes a grant once they are known.
 */
typedef struct early_held {
	struct cds_list_head node; /* in dispatch->early_held */
	request_key_t key;
	Dispatch__Msg *msg; /* owned; holds the Held */
} early_held_t;

typedef struct quarantine quarantine_t;
typedef struct paths paths_t;

struct dispatch {
	dispatch_cfg_t cfg;
	dispatch_ops_t ops;
	void *ctx;
	bool active;
	dispatch_mode_t mode;
	/* Share of each runner's capacity that this dispatcher may grant. */
	double runner_share;
	bool list_known; /* a runner list was received since began_us */
	uint64_t term;
	int64_t began_us;
	int64_t orders_from_us; /* no order is sent before */
	int64_t lease_until_us; /* no order is sent from then on */
	int64_t order_lost_us;	/* when an order last ended without an answer */
	manifest_t *manifest;
	decided_t *tables;
	struct cds_list_head runners;
	struct cds_list_head wanting; /* runners with a copy in COPY_WANTED */
	GHashTable *runners_by_id;    /* str_t of runner_t -> runner_t */
	GHashTable *copies_by_key;    /* copy_key() -> copy_set_t */
	struct cds_list_head service_fleets;
	uint64_t n_queries; /* calls of choose_runner() */
	/* Adapters of all runners that are ordered or being loaded. */
	uint32_t adapters_loading;
	uint32_t n_wanted; /* adapters in state COPY_WANTED */
	/* Adapters that the store delivers concurrently at full speed. */
	uint32_t store_concurrency;
	/* Learnt time to load one adapter from the store at full speed. */
	int64_t adapter_load_us;

	/*
	 * A trial: for a short time more adapters are requested from the store
	 * than store_concurrency, to learn whether it delivers those as fast.
	 */
	int64_t next_trial_us; /* no trial begins before */
	int64_t trial_ends_us;
	uint32_t
		trial_base_concurrency; /* store_concurrency at its beginning */
	uint32_t trial_unknown;		/* copies with concurrent_loads set */
	uint32_t trial_loads;	/* the highest concurrent_loads of a trial */
	uint32_t trial_on_time; /* adapters that came in the usual time */
	bool trial_failed;	/* an adapter took longer */

	/* No model is loaded from the store before. */
	int64_t next_model_load_us;
	struct cds_list_head early_held;
	/* Messages on limits that came before the runners were known; owned. */
	GPtrArray *early_limits;      /* early_limit_t of pacing.c */
	struct cds_list_head pending; /* most urgent first, then oldest first */
	int64_t decide_due_us; /* when to decide pending requests again */
	int64_t orders_due_us;
	int64_t sweep_due_us;
	retry_budgets_t budgets;
	org_quotas_t *quotas;
	stream_builds_t *streams; /* of all entries, as far as they told */
	quarantine_t *quarantine;
	paths_t *paths;
	spill_t *spill;
	build_set_t *decided_builds;
	/* Seen in the list, or decided, within BUILD_FORGET_US. */
	build_set_t *seen_builds;
	int64_t builds_proposed_us;   /* when seen_builds was last proposed */
	GHashTable *journal_hosts;    /* decided; set of host_id_t */
	GHashTable *journals_told;    /* hosts that told theirs in this term */
	int64_t journals_asked_us;    /* when the others were last asked */
	GHashTable *pending_by_key;   /* request_key_t -> pending_request_t */
	GHashTable *grants;	      /* request_key_t -> grant_t */
	GHashTable *adapter_versions; /* copy_key() -> decided version */
};

/* fleet.c */
/* Creates and frees the tables of runners and copies. */
void fleet_init(dispatch_t *d);
void fleet_free(dispatch_t *d);
runner_t *fleet_find(const dispatch_t *d, str_t id);
/* The runners of a service; NULL: none was ever listed. */
service_fleet_t *fleet_of_service(const dispatch_t *d, str_t service);
/* All copies with this copy_key(); NULL: none. */
const copy_set_t *fleet_copies(const dispatch_t *d, uint64_t key);
/* Updates build_decided of all runners. */
void fleet_apply_builds(dispatch_t *d);
void fleet_apply_list(dispatch_t *d, const runner_list_t *l, int64_t now_us);
void fleet_apply_report(dispatch_t *d, runner_t *r, const runner_info_t *info,
			int64_t now_us);
void fleet_clear(dispatch_t *d);
uint64_t copy_key(str_t model, str_t adapter);
copy_t *runner_copy_by_key(const runner_t *r, uint64_t key);
copy_t *runner_find_copy(const runner_t *r, str_t model, str_t adapter);
copy_t *runner_add_copy(dispatch_t *d, runner_t *r, str_t model, str_t adapter,
			copy_state_t state);
/*
 * Requests a report because the runner's state differs from the state known
 * here; a copy c that should be ready becomes uncertain. c may be NULL.
 */
void copy_mark_uncertain(dispatch_t *d, runner_t *r, copy_t *c, int64_t now_us);
void copy_set_state(dispatch_t *d, copy_t *c, copy_state_t state);
/* Sets when the copy is, or was, expected to be ready. */
void copy_predict_ready(copy_t *c, int64_t at_us);
/* Frees the copy; requests that wait for it choose a runner again. */
void runner_remove_copy(dispatch_t *d, runner_t *r, copy_t *c);
/* Whether the copy's version is the decided one, or newer. */
bool copy_is_current(const dispatch_t *d, const copy_t *c);
/* Decided version of the adapter with this copy_key(); 0: none. */
uint64_t decided_version(const dispatch_t *d, uint64_t key);
/*
 * Counts the outcome of a grant for or against the runner's health. host: that told it;
 * 0: the dispatcher itself.
 */
void runner_record_outcome(runner_t *r, place_outcome_t outcome, host_id_t host,
			   int64_t now_us);
/* The runner gets no request until until_us, and then one as a probe. */
void runner_suspend(runner_t *r, int64_t until_us);
/* Whether it shuts down, by the runner list or by its own word. */
bool runner_is_leaving(const runner_t *r);
/* Whether the runner's health allows it to get a request now. */
bool runner_usable(const runner_t *r, int64_t now_us);
/* The share of its answers that are failures; old ones count less with time. */
double runner_failure_rate(const runner_t *r, int64_t now_us);

/* One key for each part of a prompt: a hash of it and all parts before it. */
typedef struct prefix_keys {
	size_t n;
	uint64_t key[PROMPT_PARTS_MAX];
	uint32_t tokens[PROMPT_PARTS_MAX]; /* of the part alone */
} prefix_keys_t;

void prefix_keys(const Dispatch__Ask *ask, prefix_keys_t *out);
/*
 * Stores the ids of the prompt's parts that other prompts may share, PROMPT_PARTS_MAX
 * at most, and returns their number. The last part is the request's own.
 */
size_t prompt_shared_parts(const Dispatch__Ask *ask, uint64_t *out);
/* Prompt tokens that are not in the runner's prefix cache. */
uint32_t runner_prefill_tokens(const runner_t *r, const Dispatch__Ask *ask,
			       const prefix_keys_t *keys);
/* Whether this version of the adapter is among the last that it loaded. */
bool runner_held_recently(const runner_t *r, str_t adapter, uint64_t version);
void runner_record_adapter(runner_t *r, str_t adapter, uint64_t version);
void runner_cache_prefixes(runner_t *r, const prefix_keys_t *keys);

/* orders.c */
/* Sends the orders that are possible now, most valuable first. */
void orders_send_due(dispatch_t *d, int64_t now_us);
/* Takes in the result of the runner's pending order. */
void orders_result(dispatch_t *d, runner_t *r, order_result_t result,
		   int64_t now_us);
/* Estimated time until an adapter that is ordered now can be used. */
int64_t orders_estimate_load_us(const dispatch_t *d, const runner_t *r,
				str_t adapter, uint64_t version);
/* The same for one that is ordered as soon as orders may be sent. */
int64_t orders_estimate_wanted_us(const dispatch_t *d, const runner_t *r,
				  str_t adapter, uint64_t version,
				  int64_t now_us);

/* Conditions for loading one more adapter at a runner. */
typedef struct load_room {
	bool possible;
	uint32_t n_loading; /* adapters wanted, ordered or being loaded there */
	/*
	 * How long the copy to be evicted was unused; INT64_MAX: none has to
	 * be, or its version is old; 0: none can be evicted now.
	 */
	int64_t victim_idle_us;
} load_room_t;

load_room_t orders_load_room(const dispatch_t *d, const runner_t *r,
			     int64_t now_us);
/*
 * Adjusts the learnt load time to a request for a copy that was expected to be
 * ready: refused because the copy was not there, or else answered.
 */
void orders_learn_load_time(dispatch_t *d, copy_t *c, bool refused,
			    int64_t now_us);
/* Does what is due; returns when it has to be called again. */
int64_t orders_tick(dispatch_t *d, int64_t now_us);

/* speeds.c */

/* What is known of the runner's speed with a model; NULL: nothing yet. */
const runner_speed_t *runner_speed_find(const runner_t *r, uint64_t model_key);
/* The same; begins with the assumptions for an unknown runner. */
runner_speed_t *runner_speed_of(runner_t *r, uint64_t model_key,
				int64_t now_us);
/* The grant's prompt is about to be prefilled there. */
void speeds_on_grant(grant_t *g, const Dispatch__Ask *ask, double share,
		     int64_t now_us);
void speeds_on_started(grant_t *g, int64_t waited_us, int64_t now_us);
void speeds_on_done(grant_t *g, const Dispatch__Done *m, int64_t now_us);
/* The grant's place is free; g is freed next. */
void speeds_on_grant_freed(grant_t *g, int64_t now_us);

/* choice.c */
typedef struct choice {
	runner_t *runner;	/* NULL: refuse the request, for reason */
	reason_t reason;	/* REASON_NONE where there is a runner */
	int64_t retry_us;	/* of a refusal: when to ask again */
	int64_t first_event_us; /* expected delay to the first event */
	int64_t prefill_us;	/* the part of it until the prefill ends */
	int64_t grant_in_us;	/* until a place may be granted; 0: now */
	bool needs_load;	/* the adapter has to be loaded there first */
	spill_reason_t leaves;	/* why it is in another domain than the entry */
	/*
	 * No runner, but there may be one soon: the request waits. The software
	 * version of one is not decided yet, or one that could go on with the
	 * request's stream is full for the moment.
	 */
	bool stays_pending;
} choice_t;

/*
 * waited_us: how long the request has been pending; load_waited_us: the part of
 * it spent waiting for adapters, which says nothing of the prefill load.
 */
choice_t choose_runner(dispatch_t *d, const Dispatch__Ask *ask,
		       int64_t waited_us, int64_t load_waited_us,
		       int64_t now_us);
/* Passes the state of all runners to d->spill, and has it decide. */
void choice_decide_spill(dispatch_t *d, int64_t now_us);
/* Adds the prompt of a request that is granted now to the prefill backlog. */
void choice_record_grant(runner_t *r, uint32_t prefill_tokens, int64_t now_us);

/* builds.c */
/*
 * The software version that began the stream which a request takes up: as an entry
 * told, or the only one that can have begun any; empty: not known.
 */
str_t builds_of_stream(const dispatch_t *d, const Dispatch__Ask *a,
		       int64_t now_us);
/*
 * Proposes the versions that the list shows, or showed lately. Before a version is
 * decided no stream that may be resumed begins there.
 */
void builds_propose(dispatch_t *d, const runner_list_t *l, int64_t now_us);
/* Takes in the versions that are decided now. */
void builds_apply_tables(dispatch_t *d);
/* A host with a disk has told all streams of its journal. */
void builds_on_journal(dispatch_t *d, host_id_t from,
		       const Dispatch__Journal *m);
/*
 * Whether the version that began an unknown stream may still be told by a host with a
 * disk; asks those that have not told theirs.
 */
bool builds_await_journals(dispatch_t *d, const Dispatch__Ask *a,
			   int64_t now_us);
void builds_init(dispatch_t *d);
void builds_clear(dispatch_t *d);
void builds_free(dispatch_t *d);
/* The dispatcher begins a term. */
void builds_begin(dispatch_t *d, int64_t now_us);

/* quarantine.c */
quarantine_t *quarantine_new(void);
void quarantine_free(quarantine_t *q);
/* The dispatcher begins. */
void quarantine_begin(dispatch_t *d, int64_t now_us);
/* Why the request is refused: what it has of the quarantine; or REASON_NONE. */
reason_t quarantine_reason(const dispatch_t *d, const Dispatch__Ask *ask,
			   int64_t now_us);
/* Whether a request that would be refused is granted, as a trial. */
bool quarantine_begin_trial(dispatch_t *d, const Dispatch__Ask *ask,
			    int64_t now_us);
/* A new request has come. */
void quarantine_on_ask(dispatch_t *d, const Dispatch__Ask *ask);
/* Whether a request under which a runner has ended is likely to end another one. */
bool quarantine_suspects(const dispatch_t *d, const Dispatch__Ask *ask);
/*
 * Whether the request is suspected, and another one that is alike runs: what becomes
 * of that one is to be known first.
 */
bool quarantine_runs_alike(const dispatch_t *d, const Dispatch__Ask *ask,
			   int64_t now_us);
/*
 * Whether the request has ended so many runners that the last one of its service that
 * is left, which this is, is not risked for it.
 */
bool quarantine_spares_last(const dispatch_t *d, const Dispatch__Ask *ask,
			    const runner_t *r, int64_t now_us);
/*
 * Whether the request is suspected, and not to be sent to this runner now, as that runs
 * another suspect: an end of it would not tell which of them is the cause.
 */
bool quarantine_keeps_away(const dispatch_t *d, const Dispatch__Ask *ask,
			   const runner_t *r, int64_t now_us);
/* A place was granted; digest and runner of the grant are set. */
void quarantine_on_grant(dispatch_t *d, grant_t *g);
void quarantine_on_crash(dispatch_t *d, const Dispatch__Crash *m,
			 int64_t now_us);
/* What an entry has seen answered before this dispatcher began. */
void quarantine_on_answered_before(dispatch_t *d, const Dispatch__Answered *m,
				   int64_t now_us);
/* The request of this grant is answered, and the runner lives on. */
void quarantine_on_answered(dispatch_t *d, grant_t *g, int64_t now_us);
/* The runner has sent something. */
void quarantine_on_sign_of_life(dispatch_t *d, const runner_t *r,
				int64_t now_us);
/* Takes in the causes that are decided now. */
void quarantine_apply_tables(dispatch_t *d);
/* Does what is due; returns when it has to be called again. */
int64_t quarantine_tick(dispatch_t *d, int64_t now_us);

/* paths.c */
paths_t *paths_new(void);
void paths_free(paths_t *p);
void paths_clear(paths_t *p);
/* The host has gone. */
void paths_host_lost(paths_t *p, host_id_t host);
/* The host has heard from the runner. */
void paths_on_heard(dispatch_t *d, host_id_t host, runner_t *r, int64_t now_us);
/*
 * A place at the runner has ended with this outcome, and the host has heard nothing
 * there: whether the host's path is to blame, and not the runner.
 */
bool paths_is_to_blame(dispatch_t *d, host_id_t host, const runner_t *r,
		       place_outcome_t outcome, int64_t granted_us,
		       int64_t now_us);

/* The host has heard from the runner, but by way of another host. */
void paths_on_by_peer(dispatch_t *d, host_id_t host, runner_t *r,
		      int64_t now_us);
/* A host of this failure domain asks. */
void paths_on_ask(dispatch_t *d, host_id_t host, str_t zone);
/*
 * Another host that reaches runners, best one in this runner's failure domain; 0: none
 * is known. seed: differs from grant to grant.
 */
host_id_t paths_choose_via(const dispatch_t *d, host_id_t host, uint64_t seed,
			   const runner_t *r, int64_t now_us);

/* grants.c */
/*
 * Grants the request a place at the runner, and tells its entry. Takes over the
 * request's charge.
 */
void grants_issue(dispatch_t *d, pending_request_t *req, runner_t *r,
		  int64_t first_event_us, int64_t now_us);
void grants_send(dispatch_t *d, const grant_t *g);
void grants_on_started(dispatch_t *d, const request_key_t *key,
		       const Dispatch__Started *m, int64_t now_us);
void grants_on_done(dispatch_t *d, const request_key_t *key,
		    const Dispatch__Done *m, int64_t now_us);
/* A place of an earlier term, kept until the runners are known. */
void grants_on_held(dispatch_t *d, const request_key_t *key,
		    const Dispatch__Msg *msg);
/* The runners are known now: takes in what was told before. */
void grants_apply_early(dispatch_t *d);
/* Whether the entry uses the place that it asked for by this id. */
bool grants_is_used(const Dispatch__Uses *m, uint64_t id);
/* Frees the host's grants, except those that m names; m may be NULL. */
void grants_free_of_host(dispatch_t *d, host_id_t host, const Dispatch__Uses *m,
			 int64_t now_us);
/* The runner has gone or restarted: frees its grants and its queue. */
void grants_runner_removed(dispatch_t *d, runner_t *r);
/* Forgets places of earlier terms that are not taken in yet. */
void grants_clear(dispatch_t *d);
/* Frees expired grants; records failures of runners that hang. */
void grants_sweep(dispatch_t *d, int64_t now_us);

/* pacing.c */
void pacing_init(dispatch_t *d);
void pacing_free(dispatch_t *d);
/* Forgets limits of runners that are not known yet. */
void pacing_clear(dispatch_t *d);
/* key: of the place where the response came. */
void pacing_on_limit(dispatch_t *d, const request_key_t *key,
		     const Dispatch__Limit *m, int64_t now_us);
/* The runners are known now: takes in what was told before. */
void pacing_apply_early(dispatch_t *d, int64_t now_us);

/* dispatch.c */
/* The decided document of this name; NULL: there is none, or no tables yet. */
const doc_t *dispatch_find_doc(const dispatch_t *d, str_t name);
/* Of two request_key_t. */
gboolean request_key_equal(gconstpointer a, gconstpointer b);
/* A copy that the caller owns. */
Dispatch__Msg *dispatch_msg_copy(const Dispatch__Msg *msg);
/* The copy is ready: the requests that wait for it are decided again. */
void pending_copy_ready(dispatch_t *d, copy_t *c, int64_t now_us);
/* The quarantine has grown: refuses the requests that it holds. */
void pending_refuse_quarantined(dispatch_t *d, int64_t now_us);
/* The copy is about to be freed: no request waits for it any more. */
void pending_copy_removed(dispatch_t *d, const copy_t *c);
/* No request waits for a place at the runner any more. */
void pending_runner_removed(dispatch_t *d, runner_t *r);

#endif
