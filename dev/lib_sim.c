/* lib_sim.c - events, daemons and their links in virtual time. */
#include "lib_sim_priv.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_US (1500 * USEC_PER_MSEC)
#define MAX_DRIFT_US (50 * USEC_PER_MSEC)
/* Time until links notice an isolated daemon, and until they are redialed. */
#define LINK_LOSS_DETECT_US (2 * USEC_PER_SEC)
#define LINK_REDIAL_US (50 * USEC_PER_MSEC)
#define FOREVER_US (INT64_MAX / 4)
/* Longest time from the deadline of a request to its outcome. */
#define OUTCOME_GRACE_US (30 * USEC_PER_SEC)

const char *sim_violation_name(sim_violation_t v)
{
	static const char *const names[] = {
#define X(name, str) str,
		SIM_VIOLATIONS(X)
#undef X
	};

	return v < SIM_VIOLATION_COUNT ? names[v] : "none";
}

int64_t sim_now(const sim_t *s)
{
	return timer_svc_now(s->timers);
}

void sim_run_until(sim_t *s, int64_t us)
{
	timer_svc_run_until(s->timers, us);
}

void sim_log(sim_t *s, const char *fmt, ...)
{
	char line[512];
	va_list ap;

	if (!s->cfg.log)
		return;
	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	s->cfg.log(s->cfg.log_ctx, sim_now(s), line);
}

void sim_violation(sim_t *s, sim_violation_t v, const char *detail)
{
	s->violations[v]++;
	sim_log(s, "violation %s %s", sim_violation_name(v), detail);
}

/* --- events ------------------------------------------------------------- */

static void event_fire(void *ctx, int64_t now)
{
	event_t *ev = ctx;

	cds_list_del(&ev->node);
	ev->fn(ev->sim, ev);
	buf_free(&ev->data);
	free(ev);
}

event_t *event_new(sim_t *s, event_fn_t fn)
{
	event_t *ev = xcalloc(1, sizeof(*ev));

	ev->sim = s;
	ev->fn = fn;
	timer_sub_init(&ev->sub, event_fire, ev);
	cds_list_add_tail(&ev->node, &s->p->events);
	return ev;
}

void event_schedule_at(event_t *ev, int64_t us)
{
	timer_svc_arm(ev->sim->timers, &ev->sub, us);
}

void event_schedule_after(event_t *ev, int64_t us)
{
	event_schedule_at(ev, sim_now(ev->sim) + us);
}

void event_bind_host(event_t *ev, sim_host_t *h)
{
	ev->host = h;
	ev->generation = h->generation;
}

bool event_host_alive(const event_t *ev)
{
	return ev->host->core && ev->host->generation == ev->generation;
}

int64_t sim_zone_delay(const sim_t *s, size_t a, size_t b)
{
	return a == b ? s->cfg.deploy->local_delay_us
		      : s->cfg.deploy->zone_delay_us;
}

sim_host_t *sim_host(sim_t *s, host_id_t id)
{
	return id && id <= s->n_hosts ? &s->hosts[id - 1] : NULL;
}

/* --- callbacks of the serving cores ------------------------------------- */

/* Once its lease has ended, a daemon must not change anything at a target. */
static void check_lease(sim_t *s, const sim_host_t *h, const engine_order_t *o)
{
	char detail[64];

	if (!s->cfg.with_state_cores || o->kind == ORDER_STATE ||
	    o->kind == ORDER_CANCEL || sim_now(s) < h->lease_until_us)
		return;
	snprintf(detail, sizeof(detail), "host-%u target=%u", h->id, o->target);
	sim_violation(s, SIM_ORDER_WITHOUT_LEASE, detail);
}

static void op_order(void *ctx, const engine_order_t *o)
{
	sim_host_t *h = ctx;
	sim_t *s = h->sim;
	event_t *ev;

	if (!o->target || o->target > s->n_engines)
		return;
	check_lease(s, h, o);
	ev = event_new(s, order_arrives);
	ev->engine = &s->engines[o->target - 1];
	ev->arg = order_copy(h, o);
	event_schedule_after(ev, sim_zone_delay(s, h->zone, ev->engine->zone));
}

static void deliver_message(sim_t *s, event_t *ev)
{
	if (event_host_alive(ev) && !ev->host->isolated)
		serve_recv(ev->host->core, (host_id_t)ev->value, ev->data.p,
			   ev->data.n);
}

void sim_message(sim_host_t *from, host_id_t to, event_fn_t deliver,
		 const void *p, size_t n)
{
	sim_host_t *h = sim_host(from->sim, to);
	event_t *ev;

	if (!h || from->isolated || !h->core)
		return;
	ev = event_new(from->sim, deliver);
	event_bind_host(ev, h);
	ev->value = from->id;
	buf_put(&ev->data, p, n);
	event_schedule_after(
		ev,
		h == from ? 1 : sim_zone_delay(from->sim, from->zone, h->zone));
}

static void op_send(void *ctx, host_id_t to, const void *p, size_t n)
{
	sim_message(ctx, to, deliver_message, p, n);
}

static const serve_ops_t sim_ops = {
	.order = op_order,
	.send = op_send,
	.reply = op_reply,
	.claim = op_claim,
};

/* --- control ------------------------------------------------------------ */

static size_t live_hosts(const sim_t *s, host_id_t *out)
{
	size_t n = 0;

	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && !s->hosts[i].isolated)
			out[n++] = s->hosts[i].id;
	return n;
}

void sim_set_lease_status(sim_t *s, host_id_t id, int64_t lease_until_us,
			  int64_t tables_fresh_until_us)
{
	AUTO_FREE host_id_t *live = xcalloc(s->n_hosts, sizeof(*live));
	sim_host_t *h = sim_host(s, id);
	lease_status_t st = {.lease_until_us = lease_until_us,
			     .tables_fresh_until_us = tables_fresh_until_us,
			     .leader = s->leader,
			     .term = 1,
			     .is_leader = id == s->leader,
			     .live = live};

	st.n_live = live_hosts(s, live);
	if (h->core)
		serve_set_lease_status(h->core, &st);
}

void sim_publish_tables(sim_t *s, host_id_t id)
{
	sim_host_t *h = sim_host(s, id);

	if (h->core && !h->isolated)
		serve_set_tables(h->core, s->tables);
}

static void publish_to_all(sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		sim_publish_tables(s, s->hosts[i].id);
}

static void grant_all_leases(sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		if (!s->hosts[i].isolated)
			sim_set_lease_status(s, s->hosts[i].id, FOREVER_US,
					     FOREVER_US);
}

/* Rendezvous hashing over live daemons; those in the target's zone go first. */
static host_id_t choose_owner(const sim_t *s, const sim_engine_t *e)
{
	uint64_t key = hash_bytes(e->name, strlen(e->name), 0), best = 0;
	host_id_t owner = 0;
	bool owner_in_zone = false;

	for (size_t i = 0; i < s->n_hosts; i++) {
		const sim_host_t *h = &s->hosts[i];
		uint64_t score = rendezvous_score(key, h->id);
		bool in_zone = h->zone == e->zone;

		if (!h->core || h->isolated || h->draining)
			continue;
		if (owner && (in_zone < owner_in_zone ||
			      (in_zone == owner_in_zone && score < best)))
			continue;
		owner = h->id;
		owner_in_zone = in_zone;
		best = score;
	}
	return owner;
}

void sim_assign_targets(sim_t *s)
{
	decided_t *d = decided_unshare(decided_ref(s->tables));

	s->log_index++;
	for (size_t i = 0; i < s->n_engines; i++) {
		target_t row = *decided_target(d, s->engines[i].id);
		host_id_t owner = choose_owner(s, &s->engines[i]);

		if (owner == row.owner)
			continue;
		row.previous_owner = row.owner;
		row.owner = owner;
		row.fence = s->log_index;
		decided_put_target(d, &row);
		sim_log(s, "owner of %s is host-%u", s->engines[i].name, owner);
	}
	decided_set_position(d, s->log_index, decided_revision(d));
	decided_unref(s->tables);
	s->tables = d;
	publish_to_all(s);
}

void sim_set_version(sim_t *s, const char *adapter, uint32_t version)
{
	decided_t *d = decided_unshare(decided_ref(s->tables));
	adapter_t row = *decided_adapter_by_name(d, str_c(adapter));
	uint32_t versions[64];
	size_t n = 0;

	for (size_t i = 0; i < row.n_versions && n < 63; i++)
		versions[n++] = row.versions[i];
	if (!adapter_has_version(&row, version))
		versions[n++] = version;
	row.versions = versions;
	row.n_versions = n;
	row.current_version = version;
	decided_put_adapter(d, &row);
	s->log_index++;
	decided_set_position(d, s->log_index, decided_revision(d) + 1);
	decided_unref(s->tables);
	s->tables = d;
	publish_to_all(s);
}

static void notify_link_change(sim_t *s, host_id_t id, bool up)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && s->hosts[i].id != id)
			serve_link_changed(s->hosts[i].core, id, up);
}

void sim_host_kill(sim_t *s, host_id_t id)
{
	sim_host_t *h = sim_host(s, id);

	if (!h->core)
		return;
	if (s->cfg.with_state_cores)
		state_host_down(s, h);
	serve_free(h->core);
	h->core = NULL;
	h->generation++;
	sim_log(s, "host-%u is down", id);
	callers_notice_host_loss(s, h);
	notify_link_change(s, id, false);
}

static void host_boot(sim_t *s, sim_host_t *h)
{
	serve_cfg_t cfg = s->cfg.serve;

	cfg.self = h->id;
	cfg.zone = str_c(s->cfg.deploy->zones[h->zone]);
	cfg.seed =
		hash_bytes(&h->id, sizeof(h->id), s->cfg.seed) + h->generation;
	h->generation++;
	h->isolated = false;
	h->draining = false;
	h->drained = false;
	h->core = serve_new(&cfg, &sim_ops, h, s->timers);
	if (s->cfg.with_state_cores)
		state_host_boot(s, h);
}

void sim_host_start(sim_t *s, host_id_t id)
{
	sim_host_t *h = sim_host(s, id);

	if (h->core)
		return;
	host_boot(s, h);
	sim_log(s, "host-%u is up", id);
	if (!s->cfg.with_state_cores) {
		sim_publish_tables(s, id);
		grant_all_leases(s);
	}
	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && s->hosts[i].id != id)
			serve_link_changed(h->core, s->hosts[i].id, true);
	notify_link_change(s, id, true);
}

/* The links of a daemon go down after it was isolated, or come up again. */
static void links_detect_change(sim_t *s, event_t *ev)
{
	sim_host_t *h = ev->host;

	if (!event_host_alive(ev) || h->isolated != (ev->value != 0))
		return;
	notify_link_change(s, h->id, !h->isolated);
	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && s->hosts[i].id != h->id)
			serve_link_changed(h->core, s->hosts[i].id,
					   !h->isolated);
}

void sim_host_set_isolated(sim_t *s, host_id_t id, bool isolated)
{
	sim_host_t *h = sim_host(s, id);
	event_t *ev = event_new(s, links_detect_change);

	h->isolated = isolated;
	event_bind_host(ev, h);
	ev->value = isolated;
	event_schedule_after(ev,
			     isolated ? LINK_LOSS_DETECT_US : LINK_REDIAL_US);
	sim_log(s, "host-%u is %s", id, isolated ? "cut off" : "back");
}

void sim_host_drain(sim_t *s, host_id_t id)
{
	sim_host_t *h = sim_host(s, id);

	h->draining = true;
	sim_log(s, "host-%u drains", id);
	if (h->core)
		serve_drain(h->core);
	if (h->core && s->cfg.with_state_cores)
		state_drain(s, h);
}

static void reassign_after_lease(sim_t *s, event_t *ev)
{
	sim_assign_targets(s);
	grant_all_leases(s);
}

void sim_host_lose(sim_t *s, host_id_t id)
{
	sim_host_kill(s, id);
	event_schedule_after(event_new(s, reassign_after_lease),
			     LEASE_US + MAX_DRIFT_US);
}

host_id_t sim_owner(const sim_t *s, const sim_engine_t *e)
{
	const target_t *t = decided_target(s->tables, e->id);

	return t ? t->owner : 0;
}

host_id_t sim_non_leader_owner(sim_t *s)
{
	for (size_t i = 0; i < s->n_engines; i++) {
		const target_t *t = decided_target(s->tables, s->engines[i].id);

		if (t->owner && t->owner != s->leader)
			return t->owner;
	}
	return 0;
}

uint32_t sim_key_run_count(sim_t *s, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(s->p->key_run_counts, key));
}

uint64_t sim_violation_total(const sim_t *s)
{
	uint64_t n = 0;

	for (size_t i = 0; i < SIM_VIOLATION_COUNT; i++)
		n += s->violations[i];
	return n;
}

void sim_check_outcomes(sim_t *s)
{
	for (guint i = 0; i < s->requests->len; i++) {
		const sim_request_t *r = s->requests->pdata[i];
		char detail[64];

		if (r->state != SIM_WAITING || !r->arrived_us ||
		    sim_now(s) < r->due_us + OUTCOME_GRACE_US)
			continue;
		snprintf(detail, sizeof(detail), "request=%u", r->id);
		sim_violation(s, SIM_NO_OUTCOME, detail);
	}
}

void sim_counters_reset(sim_t *s)
{
	memset(&s->counters, 0, sizeof(s->counters));
}

/* --- creating and freeing ----------------------------------------------- */

static void put_hosts(sim_t *s, decided_t *d)
{
	const deploy_t *dep = s->cfg.deploy;

	for (size_t i = 0; i < s->n_hosts; i++) {
		char name[64], addr[64], peer[64];
		host_t row = {.id = (host_id_t)i + 1};

		snprintf(name, sizeof(name), "entry-%zu", i + 1);
		snprintf(addr, sizeof(addr), "10.0.0.%zu:80", i + 1);
		snprintf(peer, sizeof(peer), "10.0.0.%zu:90", i + 1);
		row.name = str_c(name);
		row.zone = str_c(dep->zones[i % dep->n_zones]);
		row.region = str_c(dep->region);
		row.caller_addr = str_c(addr);
		row.peer_addr = str_c(peer);
		row.voter = i < (size_t)dep->voters;
		decided_put_host(d, &row);
	}
}

static void engine_init(sim_t *s, size_t i)
{
	const deploy_t *dep = s->cfg.deploy;
	sim_engine_t *e = &s->engines[i];

	e->id = (target_id_t)i + 1;
	e->is_service = i >= (size_t)dep->runners;
	e->zone = i % dep->n_zones;
	e->boot_id = ++s->p->next_boot;
	e->n_slots = e->is_service ? 0 : (uint32_t)dep->slots;
	e->slots = xcalloc(e->n_slots, sizeof(*e->slots));
	CDS_INIT_LIST_HEAD(&e->runs);
	CDS_INIT_LIST_HEAD(&e->ended_runs);
	if (e->is_service)
		e->name = g_strdup_printf("%s-%zu", dep->service_name,
					  i - (size_t)dep->runners + 1);
	else
		e->name = g_strdup_printf("%s-%zu", dep->runner_name, i + 1);
}

static void put_target(sim_t *s, decided_t *d, size_t i)
{
	const deploy_t *dep = s->cfg.deploy;
	sim_engine_t *e = &s->engines[i];
	target_t row = {.id = (target_id_t)i + 1};
	char url[64];

	engine_init(s, i);
	snprintf(url, sizeof(url), "http://10.1.0.%zu:80", i + 1);
	row.name = str_c(e->name);
	row.kind = e->is_service ? TARGET_SERVICE : TARGET_RUNNER;
	row.url = str_c(url);
	row.zone = str_c(dep->zones[e->zone]);
	row.base = str_c(e->is_service ? dep->service_name : dep->base_model);
	row.slots = e->n_slots;
	row.max_batch = (uint32_t)dep->max_batch;
	row.checks_fence = true;
	row.repeatable = true;
	decided_put_target(d, &row);
}

static void put_adapters(sim_t *s, decided_t *d)
{
	const deploy_t *dep = s->cfg.deploy;
	static const uint32_t first_version[] = {1};
	char name[256];

	for (size_t i = 0; i < dep->n_orgs; i++) {
		char token[32] = {0};
		org_t row = {.id = (uint32_t)i + 1};

		snprintf(token, sizeof(token), "%zu", i);
		row.name = str_c(dep->orgs[i]);
		row.token_hash = str_n(token, sizeof(token));
		decided_put_org(d, &row);
	}
	for (size_t i = 0; i < deploy_adapter_count(dep); i++) {
		adapter_t row = {.id = (uint32_t)i + 1};

		deploy_adapter_name(dep, i, name, sizeof(name));
		row.name = str_c(name);
		row.base = str_c(dep->base_model);
		row.org_id = (uint32_t)deploy_adapter_org(dep, i) + 1;
		row.current_version = 1;
		row.load_ms = (uint32_t)dep->load_ms;
		row.versions = first_version;
		row.n_versions = 1;
		decided_put_adapter(d, &row);
	}
}

static void boot_all(sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++) {
		sim_host_t *h = &s->hosts[i];

		h->id = (host_id_t)i + 1;
		h->zone = i % s->cfg.deploy->n_zones;
		h->sim = s;
		host_boot(s, h);
	}
	for (size_t i = 0; i < s->n_hosts; i++)
		for (size_t j = 0; j < s->n_hosts; j++)
			if (i != j)
				serve_link_changed(s->hosts[i].core,
						   s->hosts[j].id, true);
}

/* Without state cores: sets all tables and grants every lease at once. */
static void install_tables_directly(sim_t *s)
{
	put_hosts(s, s->tables);
	for (size_t i = 0; i < s->n_engines; i++)
		put_target(s, s->tables, i);
	put_adapters(s, s->tables);
	s->log_index = 1;
	decided_set_position(s->tables, s->log_index, 1);
	boot_all(s);
	sim_assign_targets(s);
	grant_all_leases(s);
}

/* With state cores: the tables come from a first change in the log. */
static void bootstrap_through_log(sim_t *s)
{
	for (size_t i = 0; i < s->n_engines; i++)
		engine_init(s, i);
	boot_all(s);
	if (!state_bootstrap(s)) {
		fprintf(stderr, "sim: bootstrap of the cluster failed\n");
		abort();
	}
}

sim_t *sim_new(const sim_cfg_t *cfg)
{
	sim_t *s = xcalloc(1, sizeof(*s));
	struct sim_private *p = xcalloc(1, sizeof(*p));

	s->cfg = *cfg;
	s->p = p;
	s->timers = timer_svc_new_virtual(1);
	s->rand = g_rand_new_with_seed((guint32)cfg->seed);
	s->callers_rand = g_rand_new_with_seed((guint32)cfg->seed + 1);
	s->store_factor = 1;
	s->leader = 1;
	s->requests = g_ptr_array_new_with_free_func(free);
	CDS_INIT_LIST_HEAD(&p->events);
	CDS_INIT_LIST_HEAD(&p->loads);
	p->attempts = g_ptr_array_new();
	p->address_caches =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	p->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  claim_row_free);
	p->key_run_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->changes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   sim_change_free);
	p->accepted_versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	p->revisions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	p->evicted_at =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	s->n_hosts = (size_t)cfg->deploy->hosts;
	s->hosts = xcalloc(s->n_hosts, sizeof(*s->hosts));
	s->n_engines = (size_t)(cfg->deploy->runners + cfg->deploy->services);
	s->engines = xcalloc(s->n_engines, sizeof(*s->engines));
	s->tables = decided_new();
	if (cfg->with_state_cores)
		bootstrap_through_log(s);
	else
		install_tables_directly(s);
	return s;
}

static void free_pending_events(sim_t *s)
{
	event_t *ev, *next;

	cds_list_for_each_entry_safe (ev, next, &s->p->events, node) {
		engine_event_free_arg(ev);
		claim_event_free_arg(ev);
		state_event_free_arg(ev);
		timer_svc_cancel(s->timers, &ev->sub);
		buf_free(&ev->data);
		free(ev);
	}
}

void sim_free(sim_t *s)
{
	load_t *l, *next;

	for (size_t i = 0; i < s->n_hosts; i++) {
		if (s->hosts[i].core)
			serve_free(s->hosts[i].core);
		state_host_free(&s->hosts[i]);
	}
	free_pending_events(s);
	cds_list_for_each_entry_safe (l, next, &s->p->loads, node) {
		load_free(l);
	}
	for (size_t i = 0; i < s->n_engines; i++)
		sim_engine_free(&s->engines[i]);
	for (guint i = 0; i < s->p->attempts->len; i++) {
		attempt_t *attempt = s->p->attempts->pdata[i];

		buf_free(&attempt->text);
		free(attempt);
	}
	g_ptr_array_free(s->p->attempts, TRUE);
	g_hash_table_destroy(s->p->address_caches);
	g_hash_table_destroy(s->p->claims);
	g_hash_table_destroy(s->p->key_run_counts);
	g_hash_table_destroy(s->p->evicted_at);
	g_hash_table_destroy(s->p->changes);
	g_hash_table_destroy(s->p->accepted_versions);
	g_hash_table_destroy(s->p->revisions);
	g_ptr_array_free(s->requests, TRUE);
	decided_unref(s->tables);
	timer_svc_free(s->timers);
	g_rand_free(s->rand);
	g_rand_free(s->callers_rand);
	free(s->engines);
	free(s->hosts);
	free(s->p);
	free(s);
}
