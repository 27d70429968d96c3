/*
 * lib_deploy.h - deployments (examples/NAME/bench.toml) and their traffic:
 * what the policy bench and the load tool both read, so that virtual time and
 * real processes can be held against each other on one load.
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

/* A kind of request. Token counts are means. */
typedef struct traffic_class {
	char *name;
	double share;
	int64_t priority;
	int64_t deadline_ms;
	int64_t prompt_tokens;
	int64_t output_tokens;
} traffic_class_t;

/* A stretch of traffic after a warm-up of steady traffic; 0: not in it. */
typedef struct phase {
	char *name;
	double seconds;
	double rate_factor;
	double shifted_share;	   /* of popularity ranks that change owner */
	int64_t surge_adapters;	   /* to which the added traffic goes */
	int64_t surge_deadline_ms; /* when the surge's requests are due */
	double scan_per_s;	   /* requests for cold adapters, each once */
	double store_factor;	   /* load time times this */
	double load_failure_share;
	double restart_at_s; /* one engine restarts empty */
	double lose_host_at_s;
} phase_t;

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

/* 0, or -1 with one line on standard error. */
int deploy_load(deploy_t *d, const char *path);
void deploy_free(deploy_t *d);
size_t deploy_adapter_count(const deploy_t *d);
/* Name of adapter i < deploy_adapter_count(), into out. */
void deploy_adapter_name(const deploy_t *d, size_t i, char *out, size_t n);
/* Organisation (index into orgs) of adapter i. */
size_t deploy_adapter_org(const deploy_t *d, size_t i);
/* The phase of a name; NULL where there is none. */
const phase_t *deploy_phase(const deploy_t *d, const char *name);

/* One request. Strings are interned (g_intern_string()) and never freed. */
typedef struct arrival {
	int64_t at_us;
	const char *adapter;
	uint32_t version; /* 0: the current one */
	const char *org;
	uint32_t prompt_tokens, output_tokens;
	int32_t priority;
	int64_t deadline_us;  /* relative */
	uint32_t class_index; /* index into classes */
	bool warm_up;	      /* before the phase proper */
} arrival_t;

/*
 * Arrivals of a phase in ascending time, warm-up first, as a GArray of
 * arrival_t; the same for the same deployment, phase and seed.
 */
GArray *deploy_arrivals(const deploy_t *d, const phase_t *p, uint64_t seed);
/*
 * Reads a trace: arrival_ms, adapter, version, organisation, prompt_tokens,
 * output_tokens, priority, deadline_ms; one header line. NULL with one line on
 * standard error where it is malformed.
 */
GArray *trace_read(const char *path);
int trace_write(const char *path, const GArray *arrivals);

#ifdef __cplusplus
}
#endif
#endif
