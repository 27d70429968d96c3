/* lib_sim.c - daemons and their links in virtual time. */
#include "lib_sim_priv.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_US (1500 * USEC_PER_MSEC)
#define DRIFT_US (50 * USEC_PER_MSEC)
/* Until links notice silence, and until they are dialed again. */
#define LINK_SILENT_US (2 * USEC_PER_SEC)
#define LINK_DIAL_US (50 * USEC_PER_MSEC)
#define FOREVER_US (INT64_MAX / 4)
#define OUTCOME_BOUND_US (30 * USEC_PER_SEC)

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

void event_at(event_t *ev, int64_t us)
{
	timer_svc_arm(ev->sim->timers, &ev->sub, us);
}

void event_after(event_t *ev, int64_t us)
{
	event_at(ev, sim_now(ev->sim) + us);
}

void event_to_host(event_t *ev, sim_host_t *h)
{
	ev->host = h;
	ev->life = h->life;
}

/* The daemon that the event was meant for still runs and is reachable. */
bool event_host_there(const event_t *ev)
{
	return ev->host->core && ev->host->life == ev->life;
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

/* --- what the cores ask of their daemon --------------------------------- */

/* A daemon changes nothing at a target once its lease has ended. */
static void check_lease(sim_t *s, const sim_host_t *h, const engine_order_t *o)
{
	char what[64];

	if (!s->cfg.state || o->kind == ORDER_STATE ||
	    o->kind == ORDER_CANCEL || sim_now(s) < h->lease_until_us)
		return;
	snprintf(what, sizeof(what), "host-%u target=%u", h->id, o->target);
	sim_violation(s, SIM_ORDER_WITHOUT_LEASE, what);
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
	ev->p = order_copy(h, o);
	event_after(ev, sim_zone_delay(s, h->zone, ev->engine->zone));
}

static void deliver_message(sim_t *s, event_t *ev)
{
	if (event_host_there(ev) && !ev->host->silent)
		serve_recv(ev->host->core, (host_id_t)ev->x, ev->data.p,
			   ev->data.n);
}

void sim_message(sim_host_t *from, host_id_t to, event_fn_t deliver,
		 const void *p, size_t n)
{
	sim_host_t *h = sim_host(from->sim, to);
	event_t *ev;

	if (!h || from->silent || !h->core)
		return;
	ev = event_new(from->sim, deliver);
	event_to_host(ev, h);
	ev->x = from->id;
	buf_put(&ev->data, p, n);
	event_after(ev,
		    h == from ? 1
			      : sim_zone_delay(from->sim, from->zone, h->zone));
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
		if (s->hosts[i].core && !s->hosts[i].silent)
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

void sim_publish(sim_t *s, host_id_t id)
{
	sim_host_t *h = sim_host(s, id);

	if (h->core && !h->silent)
		serve_set_tables(h->core, s->tables);
}

static void publish_all(sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		sim_publish(s, s->hosts[i].id);
}

static void stand_all(sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		if (!s->hosts[i].silent)
			sim_set_lease_status(s, s->hosts[i].id, FOREVER_US,
					     FOREVER_US);
}

/* Rendezvous over live daemons, those of the target's zone first. */
static host_id_t choose_owner(const sim_t *s, const sim_engine_t *e)
{
	uint64_t key = hash_bytes(e->name, strlen(e->name), 0), best = 0;
	host_id_t owner = 0;
	bool same = false;

	for (size_t i = 0; i < s->n_hosts; i++) {
		const sim_host_t *h = &s->hosts[i];
		uint64_t score = rendezvous_score(key, h->id);
		bool near = h->zone == e->zone;

		if (!h->core || h->silent || h->draining)
			continue;
		if (owner && (near < same || (near == same && score < best)))
			continue;
		owner = h->id;
		same = near;
		best = score;
	}
	return owner;
}

void sim_assign(sim_t *s)
{
	decided_t *d = decided_unshare(decided_ref(s->tables));

	s->index++;
	for (size_t i = 0; i < s->n_engines; i++) {
		target_t row = *decided_target(d, s->engines[i].id);
		host_id_t owner = choose_owner(s, &s->engines[i]);

		if (owner == row.owner)
			continue;
		row.previous_owner = row.owner;
		row.owner = owner;
		row.fence = s->index;
		decided_put_target(d, &row);
		sim_log(s, "owner of %s is host-%u", s->engines[i].name, owner);
	}
	decided_set_position(d, s->index, decided_revision(d));
	decided_unref(s->tables);
	s->tables = d;
	publish_all(s);
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
	s->index++;
	decided_set_position(d, s->index, decided_revision(d) + 1);
	decided_unref(s->tables);
	s->tables = d;
	publish_all(s);
}

static void tell_links(sim_t *s, host_id_t id, bool up)
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
	if (s->cfg.state)
		state_host_down(s, h);
	serve_free(h->core);
	h->core = NULL;
	h->life++;
	sim_log(s, "host-%u is down", id);
	callers_lose_host(s, h);
	tell_links(s, id, false);
}

static void host_boot(sim_t *s, sim_host_t *h)
{
	serve_cfg_t cfg = s->cfg.serve;

	cfg.self = h->id;
	cfg.zone = str_c(s->cfg.deploy->zones[h->zone]);
	cfg.seed = hash_bytes(&h->id, sizeof(h->id), s->cfg.seed) + h->life;
	h->life++;
	h->silent = false;
	h->draining = false;
	h->drained = false;
	h->core = serve_new(&cfg, &sim_ops, h, s->timers);
	if (s->cfg.state)
		state_host_boot(s, h);
}

void sim_host_start(sim_t *s, host_id_t id)
{
	sim_host_t *h = sim_host(s, id);

	if (h->core)
		return;
	host_boot(s, h);
	sim_log(s, "host-%u is up", id);
	if (!s->cfg.state) {
		sim_publish(s, id);
		stand_all(s);
	}
	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && s->hosts[i].id != id)
			serve_link_changed(h->core, s->hosts[i].id, true);
	tell_links(s, id, true);
}

/* The links of a daemon that was cut off go down, or come up again. */
static void links_notice(sim_t *s, event_t *ev)
{
	sim_host_t *h = ev->host;

	if (!event_host_there(ev) || h->silent != (ev->x != 0))
		return;
	tell_links(s, h->id, !h->silent);
	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && s->hosts[i].id != h->id)
			serve_link_changed(h->core, s->hosts[i].id, !h->silent);
}

void sim_host_silence(sim_t *s, host_id_t id, bool silent)
{
	sim_host_t *h = sim_host(s, id);
	event_t *ev = event_new(s, links_notice);

	h->silent = silent;
	event_to_host(ev, h);
	ev->x = silent;
	event_after(ev, silent ? LINK_SILENT_US : LINK_DIAL_US);
	sim_log(s, "host-%u is %s", id, silent ? "cut off" : "back");
}

void sim_host_drain(sim_t *s, host_id_t id)
{
	sim_host_t *h = sim_host(s, id);

	h->draining = true;
	sim_log(s, "host-%u drains", id);
	if (h->core)
		serve_drain(h->core);
	if (h->core && s->cfg.state)
		state_drain(s, h);
}

static void lease_over(sim_t *s, event_t *ev)
{
	sim_assign(s);
	stand_all(s);
}

void sim_lose_host(sim_t *s, host_id_t id)
{
	sim_host_kill(s, id);
	event_after(event_new(s, lease_over), LEASE_US + DRIFT_US);
}

host_id_t sim_owner(const sim_t *s, const sim_engine_t *e)
{
	const target_t *t = decided_target(s->tables, e->id);

	return t ? t->owner : 0;
}

host_id_t sim_some_owner(sim_t *s)
{
	for (size_t i = 0; i < s->n_engines; i++) {
		const target_t *t = decided_target(s->tables, s->engines[i].id);

		if (t->owner && t->owner != s->leader)
			return t->owner;
	}
	return 0;
}

uint32_t sim_runs_of_key(sim_t *s, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(s->p->key_runs, key));
}

uint64_t sim_violation_sum(const sim_t *s)
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
		char what[64];

		if (r->state != SIM_WAITING || !r->arrived_us ||
		    sim_now(s) < r->due_us + OUTCOME_BOUND_US)
			continue;
		snprintf(what, sizeof(what), "request=%u", r->id);
		sim_violation(s, SIM_NO_OUTCOME, what);
	}
}

void sim_figures_reset(sim_t *s)
{
	memset(&s->figures, 0, sizeof(s->figures));
}
/* --- making and freeing ------------------------------------------------- */

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
	e->service = i >= (size_t)dep->runners;
	e->zone = i % dep->n_zones;
	e->boot_id = ++s->p->next_boot;
	e->n_slots = e->service ? 0 : (uint32_t)dep->slots;
	e->slots = xcalloc(e->n_slots, sizeof(*e->slots));
	CDS_INIT_LIST_HEAD(&e->runs);
	CDS_INIT_LIST_HEAD(&e->ended);
	if (e->service)
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
	row.kind = e->service ? TARGET_SERVICE : TARGET_RUNNER;
	row.url = str_c(url);
	row.zone = str_c(dep->zones[e->zone]);
	row.base = str_c(e->service ? dep->service_name : dep->base_model);
	row.slots = e->n_slots;
	row.max_batch = (uint32_t)dep->max_batch;
	row.checks_fence = true;
	row.repeatable = true;
	decided_put_target(d, &row);
}

static void put_adapters(sim_t *s, decided_t *d)
{
	const deploy_t *dep = s->cfg.deploy;
	static const uint32_t first[] = {1};
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
		row.versions = first;
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

/* All tables at once, every lease_status granted. */
static void found_by_hand(sim_t *s)
{
	put_hosts(s, s->tables);
	for (size_t i = 0; i < s->n_engines; i++)
		put_target(s, s->tables, i);
	put_adapters(s, s->tables);
	s->index = 1;
	decided_set_position(s->tables, s->index, 1);
	boot_all(s);
	sim_assign(s);
	stand_all(s);
}

/* The daemons elect a leader, and an operator's first change is decided. */
static void found_by_log(sim_t *s)
{
	for (size_t i = 0; i < s->n_engines; i++)
		engine_init(s, i);
	boot_all(s);
	if (!state_found(s)) {
		fprintf(stderr, "sim: the cluster could not be founded\n");
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
	p->submits = g_ptr_array_new();
	p->kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	p->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  claim_row_free);
	p->key_runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->changes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   sim_change_free);
	p->accepted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	p->revisions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	p->evicted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	s->n_hosts = (size_t)cfg->deploy->hosts;
	s->hosts = xcalloc(s->n_hosts, sizeof(*s->hosts));
	s->n_engines = (size_t)(cfg->deploy->runners + cfg->deploy->services);
	s->engines = xcalloc(s->n_engines, sizeof(*s->engines));
	s->tables = decided_new();
	if (cfg->state)
		found_by_log(s);
	else
		found_by_hand(s);
	return s;
}

static void free_pending(sim_t *s)
{
	event_t *ev, *next;

	cds_list_for_each_entry_safe (ev, next, &s->p->events, node) {
		engine_event_drop(ev);
		claim_event_drop(ev);
		state_event_drop(ev);
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
	free_pending(s);
	cds_list_for_each_entry_safe (l, next, &s->p->loads, node) {
		load_free(l);
	}
	for (size_t i = 0; i < s->n_engines; i++)
		sim_engine_free(&s->engines[i]);
	for (guint i = 0; i < s->p->submits->len; i++) {
		submit_t *sub = s->p->submits->pdata[i];

		buf_free(&sub->text);
		free(sub);
	}
	g_ptr_array_free(s->p->submits, TRUE);
	g_hash_table_destroy(s->p->kept);
	g_hash_table_destroy(s->p->claims);
	g_hash_table_destroy(s->p->key_runs);
	g_hash_table_destroy(s->p->evicted);
	g_hash_table_destroy(s->p->changes);
	g_hash_table_destroy(s->p->accepted);
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
