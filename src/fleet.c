/*
 * fleet.c - the dispatcher's state of each runner: what the runner list, the
 * runners' reports and the outcomes of requests say.
 */
#include "dispatch_int.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

/*
 * A copy that a runner's report omits this long after it became uncertain is
 * not there.
 */
#define UNCERTAIN_MIN_US (400 * USEC_PER_MSEC)
/*
 * The runner list shows a state of some hundred milliseconds ago; it certainly
 * shows what changed this long ago.
 */
#define LIST_LAG_MAX_US (2 * USEC_PER_SEC)
/* A runner is suspended after this many failures in a row. */
#define SUSPEND_FAILURES 2u
/* Length of the first suspension. */
#define SUSPEND_MIN_US (500 * USEC_PER_MSEC)
/* Each further failure doubles the suspension, at most this many times. */
#define SUSPEND_SHIFT_MAX 4u
/* A new answer counts 1/8 in runner_t.failure_rate. */
#define FAILURE_RATE_DIV 8
/* The failure rate halves in this time without answers. */
#define FAILURE_RATE_HALF_LIFE_US (2 * USEC_PER_SEC)
#define SLOWDOWN_INITIAL 1.0
#define HOLD_TIME_INITIAL_US (500 * USEC_PER_MSEC)
/*
 * A report from this many load times after an order shows whether the store
 * delivered the adapter in the usual time.
 */
#define LOAD_CHECK_TIMES 2
/* Adapters in a row that have to arrive on time for a trial to succeed. */
#define TRIAL_ON_TIME_MIN 2u

static guint str_key_hash(gconstpointer p)
{
	const str_t *s = p;

	return (guint)hash_bytes(s->p, s->n, 0);
}

static gboolean str_key_equal(gconstpointer a, gconstpointer b)
{
	return str_eq(*(const str_t *)a, *(const str_t *)b);
}

void fleet_init(dispatch_t *d)
{
	CDS_INIT_LIST_HEAD(&d->runners);
	CDS_INIT_LIST_HEAD(&d->wanting);
	d->runners_by_id = g_hash_table_new(str_key_hash, str_key_equal);
	d->copies_by_key = g_hash_table_new(NULL, NULL);
	CDS_INIT_LIST_HEAD(&d->service_fleets);
}

void fleet_free(dispatch_t *d)
{
	service_fleet_t *f, *tmp;

	g_hash_table_destroy(d->runners_by_id);
	g_hash_table_destroy(d->copies_by_key);
	cds_list_for_each_entry_safe (f, tmp, &d->service_fleets, node) {
		str_free(&f->service);
		g_ptr_array_free(f->runners, TRUE);
		free(f);
	}
}

static void set_str(str_t *to, str_t from)
{
	if (str_eq(*to, from))
		return;
	str_free(to);
	*to = str_copy(from);
}

static void set_build(const dispatch_t *d, runner_t *r, str_t build)
{
	set_str(&r->build, build);
	r->build_decided =
		build_set_has(d->decided_builds, r->service, r->build);
}

service_fleet_t *fleet_of_service(const dispatch_t *d, str_t service)
{
	service_fleet_t *f;

	cds_list_for_each_entry (f, &d->service_fleets, node)
		if (str_eq(f->service, service))
			return f;
	return NULL;
}

static void leave_service(runner_t *r)
{
	if (r->fleet)
		g_ptr_array_remove_fast(r->fleet->runners, r);
	r->fleet = NULL;
}

/* Sets the service of a runner, which may be another one than before. */
static void set_service(dispatch_t *d, runner_t *r, str_t service)
{
	service_fleet_t *f = fleet_of_service(d, service);

	if (f && r->fleet == f)
		return;
	leave_service(r);
	set_str(&r->service, service);
	if (!f) {
		f = xcalloc(1, sizeof(*f));
		f->service = str_copy(service);
		f->runners = g_ptr_array_new();
		cds_list_add_tail(&f->node, &d->service_fleets);
	}
	r->fleet = f;
	g_ptr_array_add(f->runners, r);
}

runner_t *fleet_find(const dispatch_t *d, str_t id)
{
	return g_hash_table_lookup(d->runners_by_id, &id);
}

const copy_set_t *fleet_copies(const dispatch_t *d, uint64_t key)
{
	return g_hash_table_lookup(d->copies_by_key, GSIZE_TO_POINTER(key));
}

static void index_copy(dispatch_t *d, copy_t *c)
{
	gpointer key = GSIZE_TO_POINTER(c->key);
	copy_set_t *set = g_hash_table_lookup(d->copies_by_key, key);

	if (!set) {
		set = xcalloc(1, sizeof(*set));
		CDS_INIT_LIST_HEAD(&set->copies);
		g_hash_table_insert(d->copies_by_key, key, set);
	}
	cds_list_add_tail(&c->same_key, &set->copies);
}

static void unindex_copy(dispatch_t *d, copy_t *c)
{
	gpointer key = GSIZE_TO_POINTER(c->key);
	copy_set_t *set = g_hash_table_lookup(d->copies_by_key, key);

	cds_list_del(&c->same_key);
	if (!cds_list_empty(&set->copies))
		return;
	g_hash_table_remove(d->copies_by_key, key);
	free(set);
}

uint64_t copy_key(str_t model, str_t adapter)
{
	return hash_bytes(adapter.p, adapter.n,
			  hash_bytes(model.p, model.n, 0));
}

copy_t *runner_copy_by_key(const runner_t *r, uint64_t key)
{
	copy_t *c;

	cds_list_for_each_entry (c, &r->copies, node)
		if (c->key == key)
			return c;
	return NULL;
}

copy_t *runner_find_copy(const runner_t *r, str_t model, str_t adapter)
{
	return runner_copy_by_key(r, copy_key(model, adapter));
}

static bool is_loading(copy_state_t s)
{
	return s == COPY_LOAD_ORDERED || s == COPY_LOADING;
}

/* Keeps dispatch_t.wanting up to date. */
static void update_wanting(dispatch_t *d, runner_t *r)
{
	bool listed = !cds_list_empty(&r->wanted);

	if (r->n_wanted && !listed)
		cds_list_add_tail(&r->wanted, &d->wanting);
	if (!r->n_wanted && listed)
		cds_list_del_init(&r->wanted);
}

void copy_set_state(dispatch_t *d, copy_t *c, copy_state_t state)
{
	runner_t *r = c->runner;

	if (c->adapter.n) {
		d->adapters_loading -= is_loading(c->state);
		d->n_wanted -= c->state == COPY_WANTED;
		d->adapters_loading += is_loading(state);
		d->n_wanted += state == COPY_WANTED;
	}
	r->n_loading -= c->state == COPY_LOADING;
	r->n_loading += state == COPY_LOADING;
	r->n_wanted -= c->state == COPY_WANTED;
	r->n_wanted += state == COPY_WANTED;
	update_wanting(d, r);
	c->state = state;
	if (state == COPY_READY || state == COPY_UNCERTAIN)
		c->occupies_slot = true;
}

void copy_predict_ready(copy_t *c, int64_t at_us)
{
	c->ready_us = at_us;
	c->predicted_us = at_us;
}

copy_t *runner_add_copy(dispatch_t *d, runner_t *r, str_t model, str_t adapter,
			copy_state_t state)
{
	copy_t *c = xcalloc(1, sizeof(*c));

	c->runner = r;
	c->key = copy_key(model, adapter);
	c->model = str_copy(model);
	c->adapter = str_copy(adapter);
	c->state = COPY_READY; /* a state that no counter includes */
	copy_set_state(d, c, state);
	index_copy(d, c);
	/* Models first, as each request looks for one. */
	if (adapter.n)
		cds_list_add_tail(&c->node, &r->copies);
	else
		cds_list_add(&c->node, &r->copies);
	return c;
}

static void forget_concurrent_loads(dispatch_t *d, copy_t *c)
{
	d->trial_unknown -= c->concurrent_loads > 0;
	c->concurrent_loads = 0;
}

void runner_remove_copy(dispatch_t *d, runner_t *r, copy_t *c)
{
	grant_t *g;

	cds_list_for_each_entry (g, &r->grants, node)
		if (g->copy == c)
			g->copy = NULL;
	copy_set_state(d, c, COPY_READY); /* leaves all counters */
	if (r->ordered_copy == c)
		r->ordered_copy = NULL;
	cds_list_del(&c->node);
	unindex_copy(d, c);
	forget_concurrent_loads(d, c);
	pending_copy_removed(d, c);
	str_free(&c->model);
	str_free(&c->adapter);
	free(c);
}

static void remove_copies(dispatch_t *d, runner_t *r)
{
	copy_t *c, *tmp;

	cds_list_for_each_entry_safe (c, tmp, &r->copies, node)
		runner_remove_copy(d, r, c);
}

static void runner_free(dispatch_t *d, runner_t *r)
{
	grants_runner_removed(d, r);
	remove_copies(d, r);
	cds_list_del(&r->node);
	g_hash_table_remove(d->runners_by_id, &r->id);
	leave_service(r);
	str_free(&r->id);
	str_free(&r->service);
	str_free(&r->addr);
	str_free(&r->zone);
	str_free(&r->build);
	str_free(&r->local_weights);
	free(r);
}

void fleet_clear(dispatch_t *d)
{
	runner_t *r, *tmp;

	cds_list_for_each_entry_safe (r, tmp, &d->runners, node)
		runner_free(d, r);
}

/* Forgets what was known of a runner that has restarted. */
static void reset_runner(dispatch_t *d, runner_t *r)
{
	log_event(LOG_INFO, "runner_restarted", kv_s("runner", r->id),
		  kv_u("born_ms", r->start_time_ms));
	grants_runner_removed(d, r);
	remove_copies(d, r);
	memset(r->prefix_cache, 0, sizeof(r->prefix_cache));
	memset(r->recent_adapters, 0, sizeof(r->recent_adapters));
	set_build(d, r, str_n(NULL, 0));
	r->order_pending = false;
	r->report_pending = false;
	r->seq_known = false;
	r->models_known = false;
	r->report_due_us = 0;
	r->consecutive_failures = 0;
	r->failure_rate = 0;
	r->suspended_until_us = 0;
	r->half_open = false;
	r->said_leaving = false;
	memset(r->speeds, 0, sizeof(r->speeds));
	memset(&r->prefills, 0, sizeof(r->prefills));
	runner_limit_reset(&r->limit);
}

/* Updates the runner's start time; returns whether it has (re)started. */
static bool update_start_time(dispatch_t *d, runner_t *r,
			      uint64_t start_time_ms)
{
	if (start_time_ms <= r->start_time_ms)
		return false;
	if (r->start_time_ms)
		reset_runner(d, r);
	r->start_time_ms = start_time_ms;
	return true;
}

static runner_t *runner_new(dispatch_t *d, const runner_info_t *info)
{
	runner_t *r = xcalloc(1, sizeof(*r));

	r->id = str_copy(info->id);
	set_service(d, r, info->service);
	r->addr = str_copy(info->addr);
	r->zone = str_copy(info->zone);
	r->start_time_ms = info->start_time_ms;
	r->slowdown = SLOWDOWN_INITIAL;
	r->prefill_share = 1;
	r->mean_hold_us = HOLD_TIME_INITIAL_US;
	r->report_due_us = INT64_MAX;
	CDS_INIT_LIST_HEAD(&r->copies);
	CDS_INIT_LIST_HEAD(&r->grants);
	CDS_INIT_LIST_HEAD(&r->wanted);
	cds_list_add_tail(&r->node, &d->runners);
	g_hash_table_insert(d->runners_by_id, &r->id, r);
	log_event(LOG_INFO, "runner_added", kv_s("runner", r->id),
		  kv_s("service", r->service), kv_s("addr", r->addr),
		  kv_s("zone", r->zone), kv_s("build", info->build));
	return r;
}

static const runner_adapter_t *info_adapter(const runner_info_t *info,
					    const copy_t *c)
{
	for (size_t i = 0; i < info->n_adapters; i++)
		if (str_eq(info->adapters[i].adapter, c->adapter) &&
		    str_eq(info->adapters[i].model, c->model))
			return &info->adapters[i];
	return NULL;
}

static bool info_has_model(const runner_info_t *info, str_t model)
{
	for (size_t i = 0; i < info->n_models; i++)
		if (str_eq(info->models[i].name, model))
			return true;
	return false;
}

void copy_mark_uncertain(dispatch_t *d, runner_t *r, copy_t *c, int64_t now_us)
{
	r->seq_known = false;
	if (r->report_due_us > now_us + REPORT_LAG_US)
		r->report_due_us = now_us + REPORT_LAG_US;
	if (!c || c->state != COPY_READY)
		return;
	copy_set_state(d, c, COPY_UNCERTAIN);
	c->confirmed = false;
	c->uncertain_since_us = now_us;
}

/* Whether an uncertain copy that a report omits is certainly gone. */
static bool is_certainly_gone(const copy_t *c, int64_t now_us)
{
	return c->state == COPY_UNCERTAIN &&
	       now_us - c->uncertain_since_us >= UNCERTAIN_MIN_US &&
	       now_us - c->ordered_us >= LIST_LAG_MAX_US / 2;
}

/*
 * A copy that should be ready but is not shown becomes uncertain. Only the
 * runner's own report settles whether it is there, as it also shows adapters
 * that are being loaded.
 */
static void handle_missing_copy(dispatch_t *d, runner_t *r, copy_t *c,
				bool from_list, int64_t now_us)
{
	if (c->state == COPY_READY && now_us - c->ready_us >= LIST_LAG_MAX_US) {
		copy_mark_uncertain(d, r, c, now_us);
	} else if (!from_list && is_certainly_gone(c, now_us)) {
		log_event(LOG_INFO, "copy_missing", kv_s("runner", r->id),
			  kv_s("model", c->model), kv_s("adapter", c->adapter));
		runner_remove_copy(d, r, c);
	} else if (!from_list && c->state == COPY_UNCERTAIN) {
		r->report_due_us = now_us + UNCERTAIN_MIN_US;
	}
}

static void handle_missing_copies(dispatch_t *d, runner_t *r,
				  const runner_info_t *info, bool from_list,
				  int64_t now_us)
{
	copy_t *c, *tmp;

	cds_list_for_each_entry_safe (c, tmp, &r->copies, node) {
		bool shown = c->adapter.n ? info_adapter(info, c) != NULL
					  : info_has_model(info, c->model);

		if (!shown)
			handle_missing_copy(d, r, c, from_list, now_us);
	}
}

static void apply_model(dispatch_t *d, runner_t *r, const runner_model_t *m,
			int64_t now_us)
{
	copy_t *c = runner_find_copy(r, m->name, str_n(NULL, 0));

	if (!c)
		c = runner_add_copy(d, r, m->name, str_n(NULL, 0), COPY_READY);
	c->version = m->version;
	if (c->state == COPY_READY)
		return;
	copy_set_state(d, c, COPY_READY);
	copy_predict_ready(c, now_us);
}

/*
 * All adapters of a trial have been seen. Those that were ordered first come in
 * the usual time even if the store is at its limit, so each of them has to.
 */
static void conclude_trial(dispatch_t *d, int64_t now_us)
{
	if (!d->trial_failed && d->trial_on_time >= TRIAL_ON_TIME_MIN &&
	    d->trial_loads > d->store_concurrency) {
		d->store_concurrency = d->trial_loads;
		d->next_trial_us = now_us;
	}
	d->trial_loads = 0;
}

/*
 * Learns from a report whether the store delivered the copy in the usual time
 * while it delivered concurrent_loads adapters. Does nothing if that is 0, or
 * before LOAD_CHECK_TIMES load times have passed since the order.
 */
static void learn_store_concurrency(dispatch_t *d, copy_t *c, bool loading,
				    int64_t now_us)
{
	if (!c->concurrent_loads ||
	    now_us - c->ordered_us < d->adapter_load_us * LOAD_CHECK_TIMES)
		return;
	if (loading)
		d->trial_failed = true;
	else
		d->trial_on_time++;
	d->trial_loads = MAX(d->trial_loads, c->concurrent_loads);
	log_event(LOG_INFO, "store_concurrency_sample",
		  kv_u("store_concurrency", d->store_concurrency),
		  kv_u("concurrent_loads", c->concurrent_loads),
		  kv_u("on_time", !loading));
	forget_concurrent_loads(d, c);
	if (!d->trial_unknown)
		conclude_trial(d, now_us);
}

/* The runner's report shows that the copy is being loaded. */
static void apply_loading_adapter(dispatch_t *d, copy_t *c, uint64_t version,
				  int64_t now_us)
{
	if (c->state == COPY_LOAD_ORDERED || c->state == COPY_LOADING ||
	    c->state == COPY_UNLOAD_ORDERED)
		return;
	copy_set_state(d, c, COPY_LOADING);
	/* Set again if the report shows an older version too. */
	c->occupies_slot = false;
	c->version = version;
	copy_predict_ready(c, now_us + REPORT_LAG_US);
}

static void apply_held_adapter(dispatch_t *d, copy_t *c, uint64_t version,
			       bool from_list, int64_t now_us)
{
	bool older =
		version < c->version || version < decided_version(d, c->key);

	c->occupies_slot = true;
	/*
	 * The list may be older than the load of the newer version. A request
	 * that does not find that version makes the copy uncertain.
	 */
	if (from_list && version < c->version && c->state == COPY_READY)
		return;
	if (version >= c->version)
		c->old_version_held = false;
	if (c->state == COPY_LOAD_ORDERED || c->state == COPY_UNLOAD_ORDERED ||
	    (c->state == COPY_UNCERTAIN && from_list))
		return;
	if (older && c->state != COPY_READY && c->state != COPY_UNCERTAIN) {
		/* A newer version is wanted, ordered or being loaded. */
		c->old_version_held |= c->state == COPY_LOADING;
		return;
	}
	c->confirmed |= !from_list && !c->unload_pending;
	c->version = version;
	if (c->state == COPY_READY)
		return;
	copy_set_state(d, c, COPY_READY);
	copy_predict_ready(c, now_us);
	pending_copy_ready(d, c, now_us);
}

/*
 * from_list: the adapter is shown by the runner list, whose state may be from
 * before the last orders; else by the runner's report.
 */
static void apply_adapter(dispatch_t *d, runner_t *r, const runner_adapter_t *a,
			  bool from_list, int64_t now_us)
{
	copy_t *c = runner_find_copy(r, a->model, a->adapter);

	/* The list may still show an adapter that was unloaded since. */
	if (!c && from_list && now_us - r->unloaded_us < LIST_LAG_MAX_US)
		return;
	if (!c) {
		c = runner_add_copy(d, r, a->model, a->adapter,
				    a->loading ? COPY_LOADING : COPY_READY);
		copy_predict_ready(
			c, now_us + (a->loading ? orders_estimate_load_us(
							  d, r, a->adapter,
							  a->version)
						: 0));
		c->version = a->version;
		return;
	}
	if (!from_list)
		learn_store_concurrency(d, c, a->loading, now_us);
	if (a->loading && !from_list)
		apply_loading_adapter(d, c, a->version, now_us);
	else if (!a->loading)
		apply_held_adapter(d, c, a->version, from_list, now_us);
}

/*
 * Keeps the first of the models that the runner can load without the store, as
 * it loads fastest: those in memory come before those on disk.
 */
static void apply_local_weights(runner_t *r, const runner_info_t *info)
{
	if (!info->n_local_weights)
		return;
	set_str(&r->local_weights, info->local_weights[0].model);
	r->in_memory = info->local_weights[0].in_memory;
}

static void apply_holdings(dispatch_t *d, runner_t *r,
			   const runner_info_t *info, bool from_list,
			   int64_t now_us)
{
	r->models_known = info->models_known;
	if (!info->models_known)
		return;
	apply_local_weights(r, info);
	handle_missing_copies(d, r, info, from_list, now_us);
	for (size_t i = 0; i < info->n_models; i++)
		apply_model(d, r, &info->models[i], now_us);
	/* First those being loaded: they may replace a version that is held. */
	for (size_t i = 0; i < info->n_adapters; i++)
		if (info->adapters[i].loading)
			apply_adapter(d, r, &info->adapters[i], from_list,
				      now_us);
	for (size_t i = 0; i < info->n_adapters; i++)
		if (!info->adapters[i].loading)
			apply_adapter(d, r, &info->adapters[i], from_list,
				      now_us);
}

static void apply_row(dispatch_t *d, const runner_info_t *info, int64_t now_us)
{
	runner_t *r = fleet_find(d, info->id);

	if (!r)
		r = runner_new(d, info);
	r->listed = true;
	if (info->start_time_ms && r->start_time_ms &&
	    info->start_time_ms < r->start_time_ms)
		return; /* a row from before the runner's restart */
	update_start_time(d, r, info->start_time_ms);
	set_service(d, r, info->service);
	set_build(d, r, info->build);
	set_str(&r->addr, info->addr);
	if (info->draining != r->draining)
		log_event(LOG_INFO, "runner_state", kv_s("runner", r->id),
			  kv_u("draining", info->draining));
	r->draining = info->draining;
	if (info->slots)
		r->slots = info->slots;
	apply_holdings(d, r, info, true, now_us);
}

void fleet_apply_builds(dispatch_t *d)
{
	runner_t *r;

	cds_list_for_each_entry (r, &d->runners, node)
		set_build(d, r, r->build);
}

void fleet_apply_list(dispatch_t *d, const runner_list_t *l, int64_t now_us)
{
	runner_t *r, *tmp;

	cds_list_for_each_entry (r, &d->runners, node)
		r->listed = false;
	for (size_t i = 0; i < l->n; i++)
		apply_row(d, &l->rows[i], now_us);
	cds_list_for_each_entry_safe (r, tmp, &d->runners, node) {
		if (r->listed)
			continue;
		log_event(LOG_INFO, "runner_removed", kv_s("runner", r->id));
		runner_free(d, r);
	}
}

void fleet_apply_report(dispatch_t *d, runner_t *r, const runner_info_t *info,
			int64_t now_us)
{
	if (update_start_time(d, r, info->start_time_ms))
		r->report_due_us = INT64_MAX; /* this is the report */
	if (info->build.n)
		set_build(d, r, info->build);
	if (info->draining)
		r->said_leaving = true;
	if (info->seq_known) {
		r->seq = info->seq;
		r->seq_known = true;
	}
	apply_holdings(d, r, info, false, now_us);
}

uint64_t decided_version(const dispatch_t *d, uint64_t key)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(d->adapter_versions,
						    GSIZE_TO_POINTER(key)));
}

bool copy_is_current(const dispatch_t *d, const copy_t *c)
{
	return c->version >= decided_version(d, c->key);
}

bool runner_is_leaving(const runner_t *r)
{
	return r->draining || r->said_leaving;
}

bool runner_usable(const runner_t *r, int64_t now_us)
{
	if (runner_is_leaving(r))
		return false;
	if (r->suspended_until_us > now_us || r->full_until_us > now_us)
		return false;
	/* After a suspension, one request at a time probes the runner. */
	return !r->half_open || r->n_grants == 0;
}

void runner_suspend(runner_t *r, int64_t until_us)
{
	if (until_us > r->suspended_until_us)
		r->suspended_until_us = until_us;
	r->half_open = true;
}

double runner_failure_rate(const runner_t *r, int64_t now_us)
{
	double half_lives = (double)(now_us - r->failure_rate_us) /
			    (double)FAILURE_RATE_HALF_LIFE_US;

	return r->failure_rate > 0 ? r->failure_rate * exp2(-half_lives) : 0;
}

static void record_answer(runner_t *r, bool failed, int64_t now_us)
{
	double rate = runner_failure_rate(r, now_us);

	r->failure_rate = rate + ((failed ? 1 : 0) - rate) / FAILURE_RATE_DIV;
	r->failure_rate_us = now_us;
}

void runner_record_outcome(runner_t *r, place_outcome_t outcome, host_id_t host,
			   int64_t now_us)
{
	uint32_t shift;

	if (outcome == PLACE_OTHER_RUNNER)
		r->consecutive_failures = SUSPEND_FAILURES;
	/* The requests that a crash ends together count as one failure. */
	if (now_us < r->suspended_until_us && outcome != PLACE_ANSWERED)
		return;
	if (outcome == PLACE_ANSWERED || outcome == PLACE_FAILED) {
		record_answer(r, outcome == PLACE_FAILED, now_us);
		r->consecutive_failures = 0;
		r->half_open = false;
		return;
	}
	if (outcome != PLACE_UNREACHABLE && outcome != PLACE_BROKEN &&
	    outcome != PLACE_SILENT && outcome != PLACE_OTHER_RUNNER)
		return;
	r->consecutive_failures++;
	if (r->consecutive_failures < SUSPEND_FAILURES && !r->half_open)
		return;
	shift = r->consecutive_failures - SUSPEND_FAILURES;
	if (shift > SUSPEND_SHIFT_MAX)
		shift = SUSPEND_SHIFT_MAX;
	runner_suspend(r, now_us + (SUSPEND_MIN_US << shift));
	log_event(LOG_INFO, "runner_suspended", kv_s("runner", r->id),
		  kv_u("failures", r->consecutive_failures),
		  KV_C("outcome", place_outcome_name(outcome)),
		  kv_u("host", host),
		  kv_i("for_ms",
		       (r->suspended_until_us - now_us) / USEC_PER_MSEC));
}

void prefix_keys(const Dispatch__Ask *ask, prefix_keys_t *out)
{
	uint64_t key = copy_key(pb_str(ask->model), pb_str(ask->adapter));

	out->n = ask->n_parts < PROMPT_PARTS_MAX ? ask->n_parts
						 : PROMPT_PARTS_MAX;
	for (size_t i = 0; i < out->n; i++) {
		/* Never 0, which marks an empty entry of the cache. */
		key = hash_bytes(&ask->parts[i]->id, sizeof(ask->parts[i]->id),
				 key) |
		      1;
		out->key[i] = key;
		out->tokens[i] = ask->parts[i]->tokens;
	}
}

size_t prompt_shared_parts(const Dispatch__Ask *ask, uint64_t *out)
{
	size_t n = 0;

	while (n + 1 < ask->n_parts && n < PROMPT_PARTS_MAX) {
		out[n] = ask->parts[n]->id;
		n++;
	}
	return n;
}

uint32_t runner_prefill_tokens(const runner_t *r, const Dispatch__Ask *ask,
			       const prefix_keys_t *keys)
{
	uint32_t uncached = ask->tokens_in;

	/* A part is cached only together with all parts before it. */
	for (size_t i = 0; i < keys->n; i++) {
		if (r->prefix_cache[keys->key[i] % PREFIX_CACHE_SIZE] !=
		    keys->key[i])
			break;
		uncached -=
			keys->tokens[i] < uncached ? keys->tokens[i] : uncached;
	}
	return uncached;
}

void runner_cache_prefixes(runner_t *r, const prefix_keys_t *keys)
{
	for (size_t i = 0; i < keys->n; i++)
		r->prefix_cache[keys->key[i] % PREFIX_CACHE_SIZE] =
			keys->key[i];
}

static uint64_t adapter_version_key(str_t adapter, uint64_t version)
{
	return hash_bytes(adapter.p, adapter.n, version);
}

bool runner_held_recently(const runner_t *r, str_t adapter, uint64_t version)
{
	uint64_t key = adapter_version_key(adapter, version);

	return r->recent_adapters[key % RECENT_ADAPTERS_SIZE] == key;
}

void runner_record_adapter(runner_t *r, str_t adapter, uint64_t version)
{
	uint64_t key = adapter_version_key(adapter, version);

	r->recent_adapters[key % RECENT_ADAPTERS_SIZE] = key;
}
