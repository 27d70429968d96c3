/*
 * lib_deploy.h - reads deployments (examples/NAME/bench.toml) and generates
 * their request arrivals. The policy bench and the load tool share it, so that
 * results in virtual time and with real processes can be compared on the same
 * traffic.
 */
#ifndef DK_DEV_DEPLOY_H
#define DK_DEV_DEPLOY_H

#include "util.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DEPLOY_ZONES_MAX 16
#define DEPLOY_ORGS_MAX 256
#define DEPLOY_CLASSES_MAX 16
#define DEPLOY_PHASES_MAX 32

/* A class of requests. */
typedef struct traffic_class {
	char *name;
	double share; /* of all requests, 0 to 1 */
	int64_t priority;
	int64_t deadline_ms;
	int64_t prompt_tokens; /* mean */
	int64_t output_tokens; /* mean */
} traffic_class_t;

/*
 * One traffic pattern to run after a warm-up of steady traffic. A field that is
 * 0 leaves its effect out.
 */
typedef struct phase {
	char *name;
	double seconds;
	double rate_factor;   /* request rate in a surge, times steady */
	double shifted_share; /* of popularity ranks given to another adapter */
	int64_t surge_adapters; /* adapters that get the surge's added traffic */
	int64_t surge_deadline_ms; /* deadline of the added requests */
	double scan_per_s; /* rate of requests for unpopular adapters, each once */
	double store_factor;	   /* multiplies the adapter load time */
	double load_failure_share; /* of adapter loads that fail */
	double restart_at_s;	   /* an engine restarts with no adapters */
	double lose_host_at_s;	   /* a host fails */
} phase_t;

/* A deployment; most fields hold the key of the same name in its file. */
typedef struct deploy {
	char *name, *base_model, *region, *template_name;
	int64_t hosts, voters;
	double stall_weight, batch_weight;
	char *zones[DEPLOY_ZONES_MAX];
	size_t n_zones;
	int64_t zone_delay_us, caller_delay_us, local_delay_us;
	char *runner_name;
	int64_t runners, slots, max_batch, step_us;
	double step_growth;
	char *service_name;
	int64_t services, service_delay_ms;
	double calls_per_s, not_repeatable_share;
	int64_t load_ms, store_concurrency;
	char *orgs[DEPLOY_ORGS_MAX];
	size_t n_orgs;
	int64_t adapters_each;
	double requests_per_s, zipf, warm_up_s;
	int64_t callers, address_ttl_ms;
	traffic_class_t classes[DEPLOY_CLASSES_MAX];
	size_t n_classes;
	phase_t phases[DEPLOY_PHASES_MAX];
	size_t n_phases;
} deploy_t;

/* Reads a deployment file. 0, or -1 with the errors on standard error. */
int deploy_load(deploy_t *d, const char *path);
void deploy_free(deploy_t *d);
size_t deploy_adapter_count(const deploy_t *d);
/* Writes the name of adapter i, below deploy_adapter_count(), into out. */
void deploy_adapter_name(const deploy_t *d, size_t i, char *out, size_t n);
/* Index in orgs of the organisation of adapter i. */
size_t deploy_adapter_org(const deploy_t *d, size_t i);
/* The phase with this name; NULL where there is none. */
const phase_t *deploy_phase(const deploy_t *d, const char *name);

/* One request. Strings are interned (g_intern_string()) and never freed. */
typedef struct arrival {
	int64_t at_us; /* from the start of the run */
	const char *adapter;
	uint32_t version; /* 0: the current version */
	const char *org;
	uint32_t prompt_tokens, output_tokens;
	int32_t priority;
	int64_t deadline_us;  /* from its arrival */
	uint32_t class_index; /* index in deploy_t.classes */
	bool warm_up;	      /* arrives before the phase begins */
} arrival_t;

/*
 * Returns the arrivals of a phase and of the warm-up before it, in time order,
 * as a GArray of arrival_t. The same deployment, phase and seed give the same
 * arrivals.
 */
GArray *deploy_arrivals(const deploy_t *d, const phase_t *p, uint64_t seed);
/*
 * Reads arrivals from a CSV file with one header line and the columns
 * arrival_ms, adapter, version, organisation, prompt_tokens, output_tokens,
 * priority, deadline_ms. Returns NULL, with one line on standard error, where
 * the file is malformed or cannot be read.
 */
GArray *trace_read(const char *path);
/* Writes arrivals in that format; 0, or -1. */
int trace_write(const char *path, const GArray *arrivals);

#ifdef __cplusplus
}
#endif
#endif
