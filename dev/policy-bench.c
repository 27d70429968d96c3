/*
 * policy-bench.c - compares the product's policy of placement, eviction and
 * queueing with baseline policies and with a lower bound. Each phase of a
 * deployment is one simulation of the real serving cores on a virtual clock.
 *
 *   policy-bench --deployment examples/estate-rounds/bench.toml --seed 1 \
 *                --policy all --json
 *
 * The load stall of a request is the time from its arrival until its adapter
 * was resident on the engine that ran it, 0 where it was resident already. For
 * a request that never ran, it is 0 where the adapter is resident on any engine
 * at the end of the simulation; else it is the time that the request waited,
 * and at least the time of one load.
 */
#include "lib_bound.h"
#include "lib_sim.h"
#include "log.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time after a phase and its last deadline, in which requests still end. */
#define DRAIN_US (30 * USEC_PER_SEC)

typedef enum policy {
	POLICY_PRODUCT,
	POLICY_LRU_LEAST_LOADED,
	POLICY_LRU_RENDEZVOUS,
	POLICY_RANDOM,
	POLICY_NO_PERMITS,
	POLICY_BOUND,
	POLICY_COUNT,
} policy_t;

static const char *const policy_names[] = {
	"product", "lru-least-loaded", "lru-rendezvous",
	"random",  "no-permits",       "bound",
};

static struct {
	gchar *deployment, *policy, *phase, *trace, *write_trace;
	gint seed, seeds;
	gboolean json;
} opt = {.seed = 1, .seeds = 1};

static const GOptionEntry options[] = {
	{"deployment", 0, 0, G_OPTION_ARG_FILENAME, &opt.deployment,
	 "file with the sizes and the traffic", "FILE"},
	{"policy", 0, 0, G_OPTION_ARG_STRING, &opt.policy,
	 "product, lru-least-loaded, lru-rendezvous, random, no-permits, "
	 "bound or all",
	 "NAME"},
	{"phase", 0, 0, G_OPTION_ARG_STRING, &opt.phase,
	 "run this phase alone; default: all phases", "NAME"},
	{"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "first seed", "N"},
	{"seeds", 0, 0, G_OPTION_ARG_INT, &opt.seeds, "number of seeds", "N"},
	{"trace", 0, 0, G_OPTION_ARG_FILENAME, &opt.trace,
	 "take the arrivals from a CSV file", "FILE"},
	{"write-trace", 0, 0, G_OPTION_ARG_FILENAME, &opt.write_trace,
	 "write the arrivals of --phase and --seed to a file and exit", "FILE"},
	{"json", 0, 0, G_OPTION_ARG_NONE, &opt.json,
	 "print one JSON object per line", NULL},
	G_OPTION_ENTRY_NULL};

static void set_policy(serve_cfg_t *cfg, policy_t policy)
{
	struct serve_policy *p = &cfg->policy;

	if (policy == POLICY_PRODUCT)
		return;
	if (policy == POLICY_NO_PERMITS) {
		p->permits = false;
		return;
	}
	p->evict = EVICT_LRU;
	p->queue = QUEUE_FIFO;
	p->permits = true;
	p->early_refusal = false;
	p->prefetch = false;
	if (policy == POLICY_LRU_LEAST_LOADED)
		p->place = PLACE_LEAST_LOADED;
	else if (policy == POLICY_LRU_RENDEZVOUS)
		p->place = PLACE_RENDEZVOUS;
	else
		p->place = PLACE_RANDOM;
}

static serve_cfg_t serve_settings(const deploy_t *d, policy_t policy)
{
	serve_cfg_t cfg;

	serve_cfg_default(&cfg);
	cfg.stall_weight = d->stall_weight;
	cfg.batch_weight = d->batch_weight;
	cfg.store_concurrency = (uint32_t)d->store_concurrency;
	cfg.store_rate_per_s =
		1000.0 * (double)d->store_concurrency / (double)d->load_ms;
	cfg.step_us = d->step_us;
	cfg.step_growth = d->step_growth;
	cfg.load_us = d->load_ms * USEC_PER_MSEC;
	cfg.address_ttl_us = d->address_ttl_ms * USEC_PER_MSEC;
	set_policy(&cfg, policy);
	return cfg;
}

/* --- one run ------------------------------------------------------------ */

static sim_engine_t *busiest_engine(sim_t *s)
{
	sim_engine_t *best = &s->engines[0];
	size_t most = 0;

	for (size_t i = 0; i < s->n_engines; i++) {
		sim_engine_t *e = &s->engines[i];
		size_t n = 0;
		struct cds_list_head *at;

		if (e->is_service)
			continue;
		cds_list_for_each (at, &e->runs)
			n++;
		if (n > most) {
			best = e;
			most = n;
		}
	}
	return best;
}

/* last_us: the last deadline of the phase. */
static void run_phase(sim_t *s, const deploy_t *d, const phase_t *ph,
		      int64_t last_us)
{
	int64_t start = (int64_t)(d->warm_up_s * USEC_PER_SEC);
	int64_t end = start + (int64_t)(ph->seconds * USEC_PER_SEC);

	sim_run_until(s, start);
	sim_counters_reset(s);
	if (ph->store_factor > 0)
		s->store_factor = ph->store_factor;
	s->load_failure_share = ph->load_failure_share;
	if (ph->restart_at_s > 0) {
		sim_run_until(
			s, start + (int64_t)(ph->restart_at_s * USEC_PER_SEC));
		sim_engine_restart(s, busiest_engine(s));
	}
	if (ph->lose_host_at_s > 0) {
		sim_run_until(s, start + (int64_t)(ph->lose_host_at_s *
						   USEC_PER_SEC));
		sim_host_lose(s, sim_non_leader_owner(s));
	}
	sim_run_until(s, MAX(end, last_us) + DRAIN_US);
	s->store_factor = 1;
	s->load_failure_share = 0;
	sim_run_until(s, sim_now(s) + 2 * DRAIN_US);
	sim_check_outcomes(s);
}

/* --- results ------------------------------------------------------------ */

typedef struct class_count {
	uint32_t requests, on_time;
} class_count_t;

typedef struct results {
	uint32_t requests, answered, on_time;
	class_count_t classes[DEPLOY_CLASSES_MAX];
	uint32_t refused[REASON_COUNT];
	double useful_tokens; /* of requests answered on time */
	stats_t stall_s;
	sim_counters_t sim;
	uint64_t violations;
} results_t;

static bool resident_anywhere(const sim_t *s, const char *adapter)
{
	size_t n = strlen(adapter);

	for (size_t i = 0; i < s->n_engines; i++)
		for (uint32_t j = 0; j < s->engines[i].n_slots; j++) {
			const sim_slot_t *slot = &s->engines[i].slots[j];

			if (slot->adapter && !slot->loading &&
			    !strncmp(slot->adapter, adapter, n) &&
			    slot->adapter[n] == '@')
				return true;
		}
	return false;
}

static double request_stall_s(const sim_t *s, const sim_request_t *r)
{
	double waited = (double)(r->ended_us - r->arrived_us) / USEC_PER_SEC;
	double load = (double)s->cfg.deploy->load_ms / 1000;

	if (r->started)
		return (double)r->stall_us / USEC_PER_SEC;
	if (resident_anywhere(s, r->arrival->adapter))
		return 0;
	return MAX(waited, load);
}

static void add_request(results_t *f, const sim_t *s, const sim_request_t *r)
{
	class_count_t *c = &f->classes[r->arrival->class_index];

	f->requests++;
	c->requests++;
	stats_add(&f->stall_s, request_stall_s(s, r));
	if (r->state != SIM_ANSWERED) {
		f->refused[r->reason]++;
		return;
	}
	f->answered++;
	if (r->ended_us > r->due_us)
		return;
	f->on_time++;
	c->on_time++;
	f->useful_tokens += r->arrival->output_tokens;
}

static void collect_results(results_t *f, const sim_t *s)
{
	memset(f, 0, sizeof(*f));
	for (guint i = 0; i < s->requests->len; i++) {
		const sim_request_t *r = s->requests->pdata[i];

		if (!r->arrival->warm_up)
			add_request(f, s, r);
	}
	f->sim = s->counters;
	f->violations = sim_violation_total(s);
}

static json_t *refused_json(const results_t *f)
{
	json_t *doc = json_object();

	for (size_t i = 0; i < REASON_COUNT; i++)
		if (f->refused[i])
			json_object_set_new(doc, reason_info((reason_t)i)->name,
					    json_integer(f->refused[i]));
	return doc;
}

static json_t *classes_json(const deploy_t *d, const results_t *f)
{
	json_t *doc = json_object();

	for (size_t i = 0; i < d->n_classes; i++) {
		const class_count_t *c = &f->classes[i];

		if (c->requests)
			json_object_set_new(
				doc, d->classes[i].name,
				json_real((double)c->on_time / c->requests));
	}
	return doc;
}

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static json_t *results_json(const deploy_t *d, const char *phase,
			    policy_t policy, uint64_t seed, const results_t *f)
{
	json_t *doc = json_pack("{s:s,s:s,s:I,s:s,s:i,s:i,s:f}", "deployment",
				d->name, "policy", policy_names[policy], "seed",
				(json_int_t)seed, "phase", phase, "requests",
				(int)f->requests, "answered", (int)f->answered,
				"on_time", ratio(f->on_time, f->requests));

	json_object_set_new(doc, "stall_s", json_real(stats_sum(&f->stall_s)));
	json_object_set_new(doc, "stall_p50_s",
			    json_real(stats_percentile(&f->stall_s, 50)));
	json_object_set_new(doc, "stall_p95_s",
			    json_real(stats_percentile(&f->stall_s, 95)));
	json_object_set_new(doc, "stall_p99_s",
			    json_real(stats_percentile(&f->stall_s, 99)));
	json_object_set_new(doc, "loads",
			    json_integer((json_int_t)f->sim.loads));
	json_object_set_new(doc, "evictions",
			    json_integer((json_int_t)f->sim.evictions));
	json_object_set_new(doc, "reloads_60s",
			    json_integer((json_int_t)f->sim.reloads_60s));
	json_object_set_new(
		doc, "batch_efficiency",
		json_real(ratio((double)f->sim.step_runs, f->sim.step_slots)));
	json_object_set_new(
		doc, "useful_batch_efficiency",
		json_real(ratio(f->useful_tokens, f->sim.step_slots)));
	json_object_set_new(doc, "refused", refused_json(f));
	json_object_set_new(doc, "violations",
			    json_integer((json_int_t)f->violations));
	json_object_set_new(doc, "on_time_by_class", classes_json(d, f));
	return doc;
}

static double json_num(const json_t *doc, const char *key)
{
	return json_number_value(json_object_get(doc, key));
}

static void print_head(void)
{
	printf("%-14s %-16s %4s %6s %7s %9s %7s %7s %7s %6s %6s %6s %6s %6s "
	       "%4s\n",
	       "phase", "policy", "seed", "reqs", "on time", "stall s", "p50 s",
	       "p95 s", "p99 s", "loads", "evict", "reload", "batch", "useful",
	       "viol");
}

static void print_result(json_t *doc)
{
	AUTO_FREE char *text = NULL;

	if (opt.json) {
		text = json_dumps(doc, JSON_COMPACT | JSON_REAL_PRECISION(6));
		printf("%s\n", text);
	} else {
		printf("%-14s %-16s %4.0f %6.0f %7.3f %9.2f %7.2f %7.2f %7.2f "
		       "%6.0f %6.0f %6.0f %6.3f %6.3f %4.0f\n",
		       json_string_value(json_object_get(doc, "phase")),
		       json_string_value(json_object_get(doc, "policy")),
		       json_num(doc, "seed"), json_num(doc, "requests"),
		       json_num(doc, "on_time"), json_num(doc, "stall_s"),
		       json_num(doc, "stall_p50_s"),
		       json_num(doc, "stall_p95_s"),
		       json_num(doc, "stall_p99_s"), json_num(doc, "loads"),
		       json_num(doc, "evictions"), json_num(doc, "reloads_60s"),
		       json_num(doc, "batch_efficiency"),
		       json_num(doc, "useful_batch_efficiency"),
		       json_num(doc, "violations"));
	}
	fflush(stdout);
}

static void print_bound(const deploy_t *d, const phase_t *ph, const char *phase,
			uint64_t seed, const GArray *arrivals)
{
	bound_t b = bound_stall(d, ph, arrivals);
	json_t *doc = json_pack("{s:s,s:s,s:I,s:s,s:i,s:f,s:I}", "deployment",
				d->name, "policy", policy_names[POLICY_BOUND],
				"seed", (json_int_t)seed, "phase", phase,
				"requests", (int)b.requests, "stall_s",
				b.stall_s, "loads", (json_int_t)b.loads);

	print_result(doc);
	json_decref(doc);
}

/* Returns 0, or 1 where the oracle counted a violation. */
static int bench_policy(const deploy_t *d, const phase_t *ph, const char *phase,
			policy_t policy, uint64_t seed, const GArray *arrivals)
{
	sim_cfg_t cfg = {.deploy = d, .seed = seed, .retry = true};
	const arrival_t *last;
	results_t f;
	json_t *doc;
	sim_t *s;

	if (policy == POLICY_BOUND) {
		print_bound(d, ph, phase, seed, arrivals);
		return 0;
	}
	cfg.serve = serve_settings(d, policy);
	s = sim_new(&cfg);
	for (guint i = 0; i < arrivals->len; i++)
		sim_request(s, &g_array_index(arrivals, arrival_t, i));
	last = &g_array_index(arrivals, arrival_t, arrivals->len - 1);
	run_phase(s, d, ph, last->at_us + last->deadline_us);
	collect_results(&f, s);
	doc = results_json(d, phase, policy, seed, &f);
	print_result(doc);
	for (size_t i = 0; i < SIM_VIOLATION_COUNT; i++)
		if (s->violations[i])
			fprintf(stderr,
				"policy-bench: %s %s seed %lu: %s x%lu\n",
				phase, policy_names[policy],
				(unsigned long)seed,
				sim_violation_name((sim_violation_t)i),
				(unsigned long)s->violations[i]);
	json_decref(doc);
	stats_free(&f.stall_s);
	sim_free(s);
	return f.violations ? 1 : 0;
}

/* --- runs of all policies, phases and seeds ----------------------------- */

static int policy_by_name(const char *name)
{
	for (int i = 0; i < POLICY_COUNT; i++)
		if (!strcmp(policy_names[i], name))
			return i;
	return -1;
}

static int bench_policies(const deploy_t *d, const phase_t *ph,
			  const char *phase, uint64_t seed,
			  const GArray *arrivals)
{
	/* -1 for "all" */
	int only = opt.policy ? policy_by_name(opt.policy) : POLICY_PRODUCT;
	int rc = 0;

	if (arrivals->len == 0)
		return 0;
	for (int p = 0; p < POLICY_COUNT; p++)
		if (only < 0 || only == p)
			rc |= bench_policy(d, ph, phase, (policy_t)p, seed,
					   arrivals);
	return rc;
}

static int bench_phases(const deploy_t *d, uint64_t seed)
{
	int rc = 0;

	for (size_t i = 0; i < d->n_phases; i++) {
		const phase_t *ph = &d->phases[i];
		GArray *arrivals;

		if (opt.phase && strcmp(opt.phase, ph->name))
			continue;
		arrivals = deploy_arrivals(d, ph, seed);
		if (opt.write_trace)
			rc |= trace_write(opt.write_trace, arrivals) ? 2 : 0;
		else
			rc |= bench_policies(d, ph, ph->name, seed, arrivals);
		g_array_free(arrivals, TRUE);
	}
	return rc;
}

static int bench_trace(deploy_t *d, uint64_t seed)
{
	GArray *arrivals = trace_read(opt.trace);
	phase_t ph = {.name = "trace"};
	const arrival_t *last;
	int rc;

	if (!arrivals || !arrivals->len)
		return 2;
	d->warm_up_s = 0;
	last = &g_array_index(arrivals, arrival_t, arrivals->len - 1);
	ph.seconds = (double)last->at_us / USEC_PER_SEC;
	rc = bench_policies(d, &ph, ph.name, seed, arrivals);
	g_array_free(arrivals, TRUE);
	return rc;
}

/* Returns 0, or 2 where an option is missing or invalid. */
static int check_options(void)
{
	if (!opt.deployment) {
		fprintf(stderr, "policy-bench: --deployment is required\n");
		return 2;
	}
	if (opt.policy && strcmp(opt.policy, "all") &&
	    policy_by_name(opt.policy) < 0) {
		fprintf(stderr, "policy-bench: unknown policy '%s'\n",
			opt.policy);
		return 2;
	}
	return 0;
}

int main(int argc, char **argv)
{
	GOptionContext *oc =
		g_option_context_new("- compare policies in simulation");
	GError *err = NULL;
	deploy_t d;
	int rc = 0;

	g_option_context_add_main_entries(oc, options, NULL);
	if (!g_option_context_parse(oc, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	log_set_level(LOG_ERR);
	if (check_options() || deploy_load(&d, opt.deployment))
		return 2;
	if (!opt.json && !opt.write_trace)
		print_head();
	for (int i = 0; i < opt.seeds; i++) {
		uint64_t seed = (uint64_t)(opt.seed + i);

		rc |= opt.trace ? bench_trace(&d, seed)
				: bench_phases(&d, seed);
	}
	deploy_free(&d);
	g_option_context_free(oc);
	return rc;
}
