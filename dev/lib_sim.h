/*
 * lib_sim.h - a discrete-event simulation of one deployment. The daemons run
 * the real serving cores, and on request the real state cores, on a virtual
 * clock. Engines, services, the weight store, callers and (without state
 * cores) idempotency claims are small fakes. A test oracle counts violations
 * of the guarantees that the daemons give. policy-bench and scenario use it.
 *
 * The network has fixed delays and no other model. The simulation runs in one
 * thread and is deterministic for a seed.
 */
#ifndef DK_DEV_SIM_H
#define DK_DEV_SIM_H

#include "lib_deploy.h"
#include "lib_stats.h"
#include "serve.h"
#include "state.h"

#include <urcu/list.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Violations that the oracle counts. X(NAME, "name")
 *
 * WRONG_ADAPTER: a run started on, or an answer came from, another adapter or
 *   version than the request was accepted for.
 * EVICTED_RUNNING: an unload order named an adapter that served a run.
 * WRONG_ANSWER: a service call got the answer for another key.
 * SHORT_ANSWER: an answer is not exactly all tokens of one run.
 * REPLY_AFTER_FINAL: a reply followed the final one.
 * RAN_THOUGH_REFUSED: a request ran although it was refused as not run.
 * DOUBLE_RUN: a call that is not repeatable ran more than once.
 * WORK_FOR_LEAVING: a target that had been leaving for a while got a run.
 * CUT_OFF_BY_DRAIN: a draining daemon ended while a caller waited for it, or
 *   refused a request because it shut down.
 * NO_OUTCOME: a request was neither answered nor refused long after its
 *   deadline.
 * STALE_VERSION: a request that names no version ran on one that was replaced
 *   more than a few seconds before.
 * REVERTED: a daemon put older tables in force after newer ones.
 * DECISION_LOST: the newest tables lack a change that was reported as decided.
 * TWO_DECIDED: two changes got one revision, or one change got two.
 * ORDER_WITHOUT_LEASE: a daemon sent a target an order that changes something
 *   after its lease had ended.
 */
#define SIM_VIOLATIONS(X)                           \
	X(WRONG_ADAPTER, "wrong_adapter")           \
	X(EVICTED_RUNNING, "evicted_running")       \
	X(WRONG_ANSWER, "wrong_answer")             \
	X(SHORT_ANSWER, "short_answer")             \
	X(REPLY_AFTER_FINAL, "reply_after_final")   \
	X(RAN_THOUGH_REFUSED, "ran_though_refused") \
	X(DOUBLE_RUN, "double_run")                 \
	X(WORK_FOR_LEAVING, "work_for_leaving")     \
	X(CUT_OFF_BY_DRAIN, "cut_off_by_drain")     \
	X(NO_OUTCOME, "no_outcome")                 \
	X(STALE_VERSION, "stale_version")           \
	X(REVERTED, "reverted")                     \
	X(DECISION_LOST, "decision_lost")           \
	X(TWO_DECIDED, "two_decided")               \
	X(ORDER_WITHOUT_LEASE, "order_without_lease")

typedef enum sim_violation {
#define X(name, str) SIM_##name,
	SIM_VIOLATIONS(X)
#undef X
	SIM_VIOLATION_COUNT,
} sim_violation_t;

const char *sim_violation_name(sim_violation_t v);

typedef struct sim sim_t;
typedef struct sim_request sim_request_t;

/* A simulated host with its daemon. */
typedef struct sim_host {
	host_id_t id;
	size_t zone;
	serve_t *core;	     /* NULL while down */
	uint32_t generation; /* changes when the daemon starts or stops */
	sim_t *sim;
	bool isolated; /* no message to or from other daemons arrives */
	bool draining;
	/* NULL without state cores, and while the daemon is down. */
	state_t *state;
	struct sim_disk *disk; /* of a voter; survives a stop of the daemon */
	decided_t *tables;     /* in force here, with state cores */
	/* From the latest lease status that the state core reported. */
	int64_t lease_until_us, tables_fresh_until_us;
	host_id_t leader;
	bool is_leader;
	int64_t lease_return_us; /* earliest return of the lease in a drain */
	bool drained;		 /* stopped after a complete drain */
} sim_host_t;

typedef struct sim_slot {
	char *adapter; /* NULL: free */
	bool loading;
	int64_t resident_us;
} sim_slot_t;

/*
 * Faults to inject at a target: how many of the next runs are refused, stall or
 * break off, and how many of the next loads fail.
 */
typedef struct sim_faults {
	uint32_t refuse, stall, drop, fail_loads;
} sim_faults_t;

/* A target: an engine, or a plain service, which has no slots. */
typedef struct sim_engine {
	target_id_t id;
	char *name;
	size_t zone;
	bool is_service;
	bool down; /* every order to it ends as lost */
	bool leaving;
	int64_t leaving_since_us;
	bool ignores_fence;
	uint64_t boot_id, max_fence;
	sim_slot_t *slots;
	uint32_t n_slots;
	struct cds_list_head runs;	 /* of sim_run, by arrival */
	struct cds_list_head ended_runs; /* kept a while for resumption */
	bool stepping;			 /* the end of a step is scheduled */
	sim_faults_t faults;
} sim_engine_t;

typedef enum sim_request_state {
	SIM_WAITING,
	SIM_ANSWERED,
	SIM_REFUSED, /* ended without an answer */
} sim_request_state_t;

/* One request of a caller, with all its attempts. */
struct sim_request {
	uint32_t id;
	const arrival_t *arrival;
	/* due_us: the deadline as a time of the virtual clock. */
	int64_t arrived_us, due_us, ended_us;
	uint32_t n_attempts;
	uint32_t refused_not_run; /* attempts that were refused as not run */
	uint32_t caller;	  /* index of the caller that sends it */
	sim_request_state_t state;
	reason_t reason; /* of the latest refusal */
	run_state_t run_state;
	bool is_service_call, not_repeatable;
	bool attempt_pending;  /* a reply, or addresses, are still to come */
	char key[64];	       /* idempotency key of a service call */
	int64_t stall_us;      /* wait for its adapter to become resident */
	bool started;	       /* an engine began to run it */
	char answered_by[160]; /* adapter@version, from the reply */
};

typedef struct sim_cfg {
	const deploy_t *deploy;
	serve_cfg_t serve; /* of all daemons, but for self, zone and seed */
	uint64_t seed;
	bool retry; /* callers retry after refusals that allow it */
	/*
	 * True: the daemons have state cores, so the replicated log decides
	 * leases, owners and tables. False: the simulation grants every live
	 * daemon a lease without end and assigns the owners itself.
	 */
	bool with_state_cores;
	/* Gets one line for each event worth tracing; may be NULL. */
	void (*log)(void *ctx, int64_t now, const char *line);
	void *log_ctx;
} sim_cfg_t;

/* Totals since sim_counters_reset(). */
typedef struct sim_counters {
	uint64_t steps, step_runs; /* engine steps; sum of the runs in them */
	/* reloads_60s: loads of adapters evicted in the last 60 s. */
	uint64_t loads, evictions, reloads_60s;
	double step_slots; /* sum of the batch capacities of the steps */
} sim_counters_t;

struct sim {
	sim_cfg_t cfg;
	timer_svc_t *timers;
	GRand *rand;
	GRand *callers_rand; /* for the daemons that callers choose */
	sim_host_t *hosts;   /* n_hosts of them; the id is the index + 1 */
	size_t n_hosts;
	sim_engine_t *engines; /* runners, then services; id: index + 1 */
	size_t n_engines;
	host_id_t leader;   /* fixed, without state cores */
	uint64_t log_index; /* of the newest tables, without state cores */
	decided_t *tables;  /* the newest decided tables */
	/* Load times are multiplied by the factor; the share of loads fails. */
	double store_factor, load_failure_share;
	uint64_t violations[SIM_VIOLATION_COUNT];
	sim_counters_t counters;
	GPtrArray *requests; /* of sim_request_t */
	struct sim_private *p;
};

sim_t *sim_new(const sim_cfg_t *cfg);
void sim_free(sim_t *s);
int64_t sim_now(const sim_t *s);
void sim_run_until(sim_t *s, int64_t us);
void sim_log(sim_t *s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Creates a request and starts it at its arrival time. The arrival must outlive
 * the simulation.
 */
sim_request_t *sim_request(sim_t *s, const arrival_t *a);
/*
 * The same in two steps: between them the request can be made a service call.
 */
sim_request_t *sim_request_new(sim_t *s, const arrival_t *a);
void sim_request_start(sim_t *s, sim_request_t *r);
/* Sends a request to one daemon now, without asking for addresses first. */
void sim_request_send(sim_t *s, sim_request_t *r, host_id_t host);

/* Stops a daemon at once; everything that it had in progress is lost. */
void sim_host_kill(sim_t *s, host_id_t id);
void sim_host_start(sim_t *s, host_id_t id);
/*
 * Cuts a daemon off from all others, or connects it again. The links notice it
 * after a while. Callers and targets still reach the daemon.
 */
void sim_host_set_isolated(sim_t *s, host_id_t id, bool isolated);
void sim_host_drain(sim_t *s, host_id_t id);
/* Gives a daemon's serving core a lease status. */
void sim_set_lease_status(sim_t *s, host_id_t id, int64_t lease_until_us,
			  int64_t tables_fresh_until_us);
/* Reassigns all targets among live daemons and publishes the tables. */
void sim_assign_targets(sim_t *s);
/* Puts the newest tables in force at a daemon, unless it is isolated. */
void sim_publish_tables(sim_t *s, host_id_t id);
/* Kills a daemon and reassigns its targets once its lease has expired. */
void sim_host_lose(sim_t *s, host_id_t id);

/* A change that an operator proposed; needs state cores. */
typedef struct sim_change {
	char *id;
	uint64_t tag; /* of the latest proposal */
	buf_t packed; /* the encoded change */
	bool done;    /* the outcome of the latest proposal is known */
	change_status_t status;
	uint64_t revision;
	bool resent;  /* the outcome is that of an earlier proposal */
	bool decided; /* the outcome of some proposal was CHANGE_DECIDED */
	char error[160];
	/* The adapter version that it publishes, if any; for the oracle. */
	char *adapter;
	uint32_t version;
} sim_change_t;
/* NULL where no change has that id. */
sim_change_t *sim_change(sim_t *s, const char *id);
/*
 * Proposes a change, given as JSON (change_json.h), at a daemon. Returns -1
 * where the JSON is not a valid change, else 0.
 */
int sim_propose(sim_t *s, host_id_t host, const char *id, const char *json);
/* Proposes the same encoded change again. */
void sim_resend(sim_t *s, host_id_t host, const char *id);
/* Replaces the disk of a daemon by an empty one; the daemon must be down. */
void sim_disk_wipe(sim_t *s, host_id_t id);
/* Returns the leader that is up and not isolated; 0 where there is none. */
host_id_t sim_leader(const sim_t *s);
/*
 * Returns whether every daemon that is up and not isolated has the newest
 * tables in force and may accept requests on them.
 */
bool sim_tables_in_force(const sim_t *s);
/* Returns the owner of a target in the newest tables; 0: none. */
host_id_t sim_owner(const sim_t *s, const sim_engine_t *e);
/* Checks at the end that no change reported as decided was lost. */
void sim_check_decided(sim_t *s);

/* Returns a daemon that owns a target and does not lead; 0: none. */
host_id_t sim_non_leader_owner(sim_t *s);
/* Without state cores: sets the version for requests that name none. */
void sim_set_version(sim_t *s, const char *adapter, uint32_t version);

/* Returns the target of a name; NULL where there is none. */
sim_engine_t *sim_engine(sim_t *s, const char *name);
/* The target loses its runs and resident adapters, and is up again at once. */
void sim_engine_restart(sim_t *s, sim_engine_t *e);
void sim_engine_kill(sim_t *s, sim_engine_t *e);
/* From now on the target refuses new runs; the present ones go on. */
void sim_engine_leave(sim_t *s, sim_engine_t *e);

/* Returns how often a call with this key ran at the services. */
uint32_t sim_key_run_count(sim_t *s, const char *key);
uint64_t sim_violation_total(const sim_t *s);
/* Counts a violation for each request without an outcome after its deadline. */
void sim_check_outcomes(sim_t *s);
void sim_counters_reset(sim_t *s);

#ifdef __cplusplus
}
#endif
#endif
