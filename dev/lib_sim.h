/*
 * lib_sim.h - the serving cores of a deployment under the virtual clock, with
 * small fakes of engines, services, weight store, claims and callers, and an
 * oracle that counts broken promises. The bench and the scenarios use it.
 *
 * No model of the network beyond the stated delays. One thread;
 * deterministic for a seed.
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

/* Broken promises that the oracle looks for. X(NAME, "name") */
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

/* A daemon. */
typedef struct sim_host {
	host_id_t id;
	size_t zone;
	serve_t *core;	     /* NULL while down */
	uint32_t generation; /* changes with each start */
	sim_t *sim;
	bool isolated; /* cut off from the other daemons */
	bool draining;
	/* With state cores; NULL otherwise or while down. */
	state_t *state;
	struct sim_disk *disk; /* of a voter; outlives the daemon */
	decided_t *tables;     /* in force here */
	/* As last told by its lease_status. */
	int64_t lease_until_us, tables_fresh_until_us;
	host_id_t leader;
	bool is_leader;
	int64_t lease_return_us; /* draining: when it may return its lease */
	bool drained;		 /* ended gracefully */
} sim_host_t;

typedef struct sim_slot {
	char *adapter; /* NULL: free */
	bool loading;
	int64_t resident_us;
} sim_slot_t;

/* Faults that strike the next orders of a target. */
typedef struct sim_faults {
	uint32_t refuse, stall, drop, fail_loads;
} sim_faults_t;

/* An engine, or a plain service (no slots). */
typedef struct sim_engine {
	target_id_t id;
	char *name;
	size_t zone;
	bool is_service;
	bool down;
	bool leaving;
	int64_t leaving_since_us;
	bool ignores_fence;
	uint64_t boot_id, max_fence;
	sim_slot_t *slots;
	uint32_t n_slots;
	struct cds_list_head runs;	 /* of sim_run, by arrival */
	struct cds_list_head ended_runs; /* kept for resumption */
	bool stepping;
	sim_faults_t faults;
} sim_engine_t;

typedef enum sim_state {
	SIM_WAITING,
	SIM_ANSWERED,
	SIM_REFUSED, /* ended without an answer */
} sim_state_t;

/* One request of a caller over all its attempts. */
struct sim_request {
	uint32_t id;
	const arrival_t *arrival;
	int64_t arrived_us, due_us, ended_us;
	uint32_t n_attempts;
	uint32_t refused_not_run; /* of the attempts */
	uint32_t caller;
	sim_state_t state;
	reason_t reason; /* of the refusal */
	run_state_t run_state;
	bool is_service_call, not_repeatable;
	bool attempt_pending; /* an attempt is under way */
	char key[64];	      /* of a call */
	int64_t stall_us; /* until its adapter was on the engine that ran it */
	bool started;
	char answered_by[160]; /* adapter@version, from the reply */
};

typedef struct sim_cfg {
	const deploy_t *deploy;
	serve_cfg_t serve; /* what all cores share; self, zone, seed are set */
	uint64_t seed;
	bool retry; /* callers come back after refusals */
	/*
	 * With state cores: leases, owners and tables are decided by the real
	 * log; otherwise standings are always granted and owners assigned here.
	 */
	bool state;
	/* One line for each event of interest; may be NULL. */
	void (*log)(void *ctx, int64_t now, const char *line);
	void *log_ctx;
} sim_cfg_t;

/* Figures since sim_figures_reset(). */
typedef struct sim_counters {
	uint64_t steps, step_runs; /* engine steps, runs in them */
	uint64_t loads, evictions, reloads_60s;
	double step_slots; /* sum of the batch capacity of the steps */
} sim_counters_t;

struct sim {
	sim_cfg_t cfg;
	timer_svc_t *timers;
	GRand *rand;
	GRand *callers_rand;
	sim_host_t *hosts; /* n_hosts, id is index + 1 */
	size_t n_hosts;
	sim_engine_t *engines; /* runners, then services; id is index + 1 */
	size_t n_engines;
	host_id_t leader;
	uint64_t log_index; /* of the last decided assignment */
	decided_t *tables;  /* what was decided last */
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

/* A request at its arrival time; the arrival outlives the simulation. */
sim_request_t *sim_request(sim_t *s, const arrival_t *a);
/* The same in two steps, so that it can be made a call in between. */
sim_request_t *sim_request_new(sim_t *s, const arrival_t *a);
void sim_request_start(sim_t *s, sim_request_t *r);
/* Sends a made request to one daemon at once, without asking for addresses. */
void sim_request_send(sim_t *s, sim_request_t *r, host_id_t host);

/* The daemon stops at once; nothing that it had under way comes back. */
void sim_host_kill(sim_t *s, host_id_t id);
void sim_host_start(sim_t *s, host_id_t id);
/* Cuts the daemon off silently, or heals it. */
void sim_host_set_isolated(sim_t *s, host_id_t id, bool isolated);
void sim_host_drain(sim_t *s, host_id_t id);
/* Gives the host's lease_status: leases until the time, live hosts. */
void sim_set_lease_status(sim_t *s, host_id_t id, int64_t lease_until_us,
			  int64_t tables_fresh_until_us);
/* Assigns all targets anew among live daemons and publishes the tables. */
void sim_assign_targets(sim_t *s);
/* Publishes the tables to a daemon. */
void sim_publish_tables(sim_t *s, host_id_t id);
/* Kills a daemon, and after its lease gives its targets to others. */
void sim_host_lose(sim_t *s, host_id_t id);
/*
 * With state cores: proposes a change in JSON (change_json.h) at a daemon;
 * sim_change_t of the id tells its outcome.
 */
typedef struct sim_change {
	char *id;
	uint64_t tag; /* of the latest proposal */
	buf_t packed;
	bool done; /* the latest proposal has its outcome */
	change_status_t status;
	uint64_t revision;
	bool resent;
	bool decided; /* some proposal was told that it is decided */
	char error[160];
	/* What it publishes, for the oracle. */
	char *adapter;
	uint32_t version;
} sim_change_t;
sim_change_t *sim_change(sim_t *s, const char *id);
/* 0, or -1 where the JSON is no change. */
int sim_propose(sim_t *s, host_id_t host, const char *id, const char *json);
/* Proposes the same bytes again. */
void sim_resend(sim_t *s, host_id_t host, const char *id);
/* The daemon's disk loses all; it must be down. */
void sim_disk_wipe(sim_t *s, host_id_t id);
/* The live daemon that leads; 0 where none does. */
host_id_t sim_leader(const sim_t *s);
/* All live, connected daemons hold the newest tables and may serve. */
bool sim_tables_in_force(const sim_t *s);
/* Owner of a target in the newest tables; 0: none. */
host_id_t sim_owner(const sim_t *s, const sim_engine_t *e);
/* Checks of the oracle over decided state, at the end. */
void sim_check_decided(sim_t *s);

/* A daemon that owns targets and does not lead. */
host_id_t sim_non_leader_owner(sim_t *s);
/* The decided version that requests without one get. */
void sim_set_version(sim_t *s, const char *adapter, uint32_t version);

sim_engine_t *sim_engine(sim_t *s, const char *name);
void sim_engine_restart(sim_t *s, sim_engine_t *e);
void sim_engine_kill(sim_t *s, sim_engine_t *e);
void sim_engine_leave(sim_t *s, sim_engine_t *e);

/* How often a key ran at the services. */
uint32_t sim_key_run_count(sim_t *s, const char *key);
uint64_t sim_violation_total(const sim_t *s);
/* Counts requests without an outcome so long after their deadline. */
void sim_check_outcomes(sim_t *s);
void sim_counters_reset(sim_t *s);

#ifdef __cplusplus
}
#endif
#endif
