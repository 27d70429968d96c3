/*
 * dispatch_int.h - inside of the dispatcher: shared by dispatch.c (requests and
 * places), fleet.c (what is known of the runners), orders.c (loading and
 * dropping adapters) and choice.c (which runner), and by nothing else.
 */
#ifndef DK_DISPATCH_INT_H
#define DK_DISPATCH_INT_H

#include "dispatch.h"
#include "pb.h"

#include <glib.h>
#include <urcu/list.h>

/* Adapters that the store brings at full speed, until more is known: at least
 * so many, and so many for each model that it allows a second. */
#define ADAPTERS_AT_ONCE 8u
#define ADAPTERS_PER_RATE 1.8
/* How long one takes, until more is known. */
#define ADAPTER_START_US (250 * USEC_PER_MSEC)
/* Adapters on their way to one runner. */
#define ADAPTERS_COMING_MAX 4u
/* A report shows what was some hundred milliseconds ago. */
#define REPORT_LAG_US (150 * USEC_PER_MSEC)
/* Prompt parts remembered for each runner, direct-mapped. */
#define PARTS_KEPT 512u
/* Adapters that a runner still has at hand after dropping them. */
#define RECENT_KEPT 128u

typedef enum copy_state {
	COPY_WANTED,  /* to be ordered */
	COPY_ORDERED, /* the order is on its way */
	COPY_LOADING, /* ready at ready_us */
	COPY_READY,
	COPY_DROPPING, /* the order to drop it is on its way */
	COPY_UNSURE,   /* may be there: keeps its slot until a report tells */
} copy_state_t;

/* An adapter, or a model (empty adapter), at one runner. */
typedef struct copy {
	struct cds_list_head node; /* of its runner */
	struct runner *runner;	   /* that has it */
	uint64_t key;		   /* hash of model and adapter */
	str_t model;		   /* owned, as adapter */
	str_t adapter;
	uint64_t version; /* 0: not known */
	copy_state_t state;
	bool there; /* it may take a slot at the runner, in whatever version */
	/*
	 * Certainly there as of the order number known: shown by a report, or
	 * loaded since. One whose unload may have been taken leaves at any time,
	 * and no order number tells.
	 */
	bool seen;
	bool may_leave;
	bool replaces; /* its older version may still take a slot */
	bool fresh;    /* ready by the clock, no request has shown it yet */
	int64_t wanted_us;
	int64_t ready_us;
	int64_t ordered_us;
	int64_t taken_us;  /* when the runner took the order to load it */
	int64_t due_us;	   /* when it should have been ready, as was thought */
	int64_t unsure_us; /* since when */
	int64_t used_us;
	uint32_t users;	  /* places granted for it */
	uint32_t waiting; /* requests that wait for it */
	uint32_t tried;	  /* on their way with it, where that tries more */
} copy_t;

typedef struct runner {
	struct cds_list_head node;
	str_t id; /* owned, as the next three */
	str_t service;
	str_t addr;
	str_t zone;
	uint64_t born_ms;
	bool draining;
	bool listed;	   /* in the list that is being taken in */
	bool models_known; /* it says what it holds; a dead one does not */
	str_t at_hand;	/* owned: a model that need not come from the store */
	bool in_memory; /* where at_hand is, else on its disk */
	uint32_t slots;
	struct cds_list_head copies;
	uint32_t wanted; /* copies to be ordered */
	/* Orders: one at a time, each expects the number accepted before. */
	bool ordering;
	copy_t *ordered; /* what the order on its way is about; may be gone */
	bool seq_known;
	uint64_t seq;
	int64_t dropped_us; /* when a copy was dropped last */
	int64_t no_room_us; /* when no copy could be dropped for another */
	bool probing;
	int64_t probed_us;    /* when the report on its way was asked for */
	int64_t settled_us;   /* when the last order ended */
	int64_t probe_due_us; /* INT64_MAX: none needed */
	/* Load. */
	struct cds_list_head places;
	uint32_t n_places;
	uint32_t queued;	/* requests that wait for a place here */
	int64_t stay_us;	/* how long a place is taken, as learnt */
	uint64_t unread_tokens; /* of prompts granted and not started */
	uint64_t held_tokens; /* of all granted, with what they may generate */
	double pace; /* how long a first event takes against the estimate */
	double recent_tokens; /* granted to be read, less what time has read */
	int64_t recent_us;
	uint64_t parts[PARTS_KEPT];
	/* Adapters held before, direct-mapped; see runner_held_recently(). */
	uint64_t recent[RECENT_KEPT];
	int64_t started_us; /* last time that an answer began */
	/* Health. */
	uint32_t failures; /* in a row, without an answer */
	double failing;	   /* share of its answers that were failures, as of */
	int64_t failing_us;
	int64_t suspended_until_us;
	bool on_trial;
	int64_t full_until_us; /* it refused requests that it had places for */
} runner_t;

/* A granted place. */
typedef struct place_key {
	uint64_t id;
	host_id_t host;
} place_key_t;

typedef struct grant_place {
	place_key_t key;
	struct cds_list_head node; /* of its runner */
	runner_t *runner;
	copy_t *copy; /* NULL: the model itself, or a plain service */
	uint32_t unread;
	uint32_t tokens;
	int64_t granted_us;
	int64_t expected_us; /* of the first event, from the grant */
	int64_t ends_us;     /* nobody waits after this */
	bool started;
} grant_place_t;

/* A request that waits for a copy. */
typedef struct ask {
	struct cds_list_head node;
	place_key_t key;
	Dispatch__Msg *msg;  /* owned; holds the Ask */
	copy_t *copy;	     /* that it waits for; else NULL */
	runner_t *queued_at; /* where it waits for a place; else NULL */
	int64_t asked_us;
	int64_t wait_from_us; /* for the copy it waits for now */
	int64_t load_us;      /* spent waiting for copies */
	int64_t until_us;     /* refused then */
	uint32_t tries;
} ask_t;

/* Requests and repeats of one service, counted in steps of its window. */
#define BUDGET_STEPS 20u
typedef struct budget {
	struct cds_list_head node;
	str_t service; /* owned */
	int64_t step;  /* present */
	uint32_t requests[BUDGET_STEPS];
	uint32_t repeats[BUDGET_STEPS];
} budget_t;

struct dispatch {
	dispatch_cfg_t cfg;
	dispatch_ops_t ops;
	void *ctx;
	bool active;
	dispatch_mode_t mode;
	double share; /* of the runners that is this dispatcher's to give */
	bool have_list;
	uint64_t term;
	int64_t began_us;
	int64_t orders_from_us;
	int64_t lease_until_us;
	manifest_t *manifest;
	decided_t *tables;
	struct cds_list_head runners;
	uint32_t loading; /* adapters on their way, over all runners */
	uint32_t wanted;  /* adapters to be ordered */
	uint32_t at_once; /* adapters that the store brings at full speed */
	int64_t adapter_us; /* an adapter from the store, at full speed, as learnt */
	/* A trial whether the store brings more at once. */
	int64_t trial_due_us;
	int64_t trial_ends_us;
	uint32_t trial_of;   /* at_once when it began */
	uint32_t trial_came; /* in the usual time */
	bool trial_failed;
	int64_t model_load_due_us;
	struct cds_list_head asks;
	int64_t decide_due_us; /* requests that wait are decided again */
	int64_t orders_due_us;
	int64_t sweep_due_us;
	struct cds_list_head budgets;
	GHashTable *places;   /* place_key_t -> grant_place_t */
	GHashTable *versions; /* copy key -> decided version of an adapter */
};

/* fleet.c */
runner_t *fleet_find(dispatch_t *d, str_t id);
void fleet_take_list(dispatch_t *d, const runner_list_t *l, int64_t now_us);
void fleet_take_report(dispatch_t *d, runner_t *r, const runner_info_t *info,
		       int64_t now_us);
void fleet_clear(dispatch_t *d);
uint64_t copy_key(str_t model, str_t adapter);
copy_t *runner_find(const runner_t *r, uint64_t key);
copy_t *runner_copy(const runner_t *r, str_t model, str_t adapter);
copy_t *runner_add_copy(dispatch_t *d, runner_t *r, str_t model, str_t adapter,
			copy_state_t state);
/* A copy that was refused though it should be there. */
void copy_doubt(dispatch_t *d, runner_t *r, copy_t *c, int64_t now_us);
void copy_set_state(dispatch_t *d, copy_t *c, copy_state_t state);
/* When it is, or was, to be ready, as far as is known now. */
void copy_due(copy_t *c, int64_t at_us);
/* Requests that wait for it choose again. */
void runner_drop_copy(dispatch_t *d, runner_t *r, copy_t *c);
/* Whether the copy can serve the decided version. */
bool copy_is_current(const dispatch_t *d, const copy_t *c);
/* Decided version of the adapter with a copy key; 0: none. */
uint64_t decided_version(const dispatch_t *d, uint64_t key);
/* Counts an outcome for or against the runner's health. */
void runner_note(runner_t *r, place_outcome_t o, int64_t now_us);
/* Gets nothing until then, and one request for a trial next. */
void runner_suspend(runner_t *r, int64_t until_us);
bool runner_usable(const runner_t *r, int64_t now_us);
/* The share of its answers that are failures; what is long ago counts little. */
double runner_failing(const runner_t *r, int64_t now_us);
/* Keys of a prompt's parts, each with all before it. */
typedef struct part_keys {
	size_t n;
	uint64_t key[PROMPT_PARTS_MAX];
	uint32_t tokens[PROMPT_PARTS_MAX];
} part_keys_t;

void part_keys(const Dispatch__Ask *a, part_keys_t *out);
/* Tokens of a prompt that the runner has not kept. */
uint32_t runner_unread(const runner_t *r, const Dispatch__Ask *a,
		       const part_keys_t *keys);
/* Whether the runner had the adapter among the last that it held. */
bool runner_held_recently(const runner_t *r, str_t adapter, uint64_t version);
void runner_hold(runner_t *r, str_t adapter, uint64_t version);
void runner_remember_parts(runner_t *r, const part_keys_t *keys);

/* orders.c */
/* Gives the orders that are due, those that most requests wait for first. */
void orders_pump(dispatch_t *d, int64_t now_us);
void orders_result(dispatch_t *d, runner_t *r, order_result_t result,
		   int64_t now_us);
/* How long an adapter that is ordered now takes until it can be used. */
int64_t orders_load_us(const dispatch_t *d, const runner_t *r, str_t adapter,
		       uint64_t version);
/* What one more adapter would meet at a runner. */
typedef struct load_room {
	bool any;	 /* it can be loaded there */
	uint32_t coming; /* adapters that are wanted or on their way there */
	int64_t idle_us; /* how long what gives way was unused; INT64_MAX: none */
} load_room_t;

load_room_t orders_room(const dispatch_t *d, const runner_t *r, int64_t now_us);
/* A request for a copy that should have been ready was refused, or was not. */
void orders_learn_time(dispatch_t *d, copy_t *c, bool refused, int64_t now_us);
/* Marks copies that must be ready by now; when the next one is. */
int64_t orders_tick(dispatch_t *d, int64_t now_us);

/* choice.c */
typedef struct choice {
	runner_t *runner; /* NULL: none, with the reason */
	reason_t reason;
	int64_t retry_us;
	int64_t first_us; /* expected until the first event */
	int64_t read_us;  /* the part of it that prompts take to be read */
	int64_t room_us;  /* until it may be granted; 0: now */
	bool load;	  /* the adapter has to be loaded there */
} choice_t;

/*
 * waited_us: how long the request has waited here; load_us: the part of it for
 * adapters, which says nothing of how much there is to be read.
 */
choice_t choose_runner(dispatch_t *d, const Dispatch__Ask *a, int64_t waited_us,
		       int64_t load_us, int64_t now_us);
/* Counts the tokens of a prompt that is granted now. */
void choice_note_grant(runner_t *r, uint32_t unread, int64_t now_us);

/* dispatch.c */
void asks_copy_ready(dispatch_t *d, copy_t *c, int64_t now_us);
void asks_copy_gone(dispatch_t *d, const copy_t *c);
void places_runner_gone(dispatch_t *d, runner_t *r);

#endif
