/*
 * owner.c - targets owned by this daemon: takeover, orders, reports, the
 * target's state. Only the owner sends a target work and orders, and only
 * while the daemon's lease runs.
 */
#include "owner.h"

#include <string.h>

#include "counter.h"
#include "log.h"

/* Between reads of a target's state, and while something is awaited there. */
#define POLL_US (2 * USEC_PER_SEC)
#define POLL_SOON_US (250 * USEC_PER_MSEC)
/* Failed reads after which a target counts as lost. */
#define POLL_FAILS_MAX 2u
/* Loads told in one report. */
#define LOADS_TOLD_MAX 32u
/* Between reports to other daemons. */
#define REPORT_US (2 * USEC_PER_SEC)
/* Bytes a second that the reports of one target may take, all receivers. */
#define REPORT_BYTES_PER_S 300
#define REPORT_IDLE_US (4 * USEC_PER_SEC)
/* Daemons that get reports sent work this recently. */
#define PEER_LIFE_US (30 * USEC_PER_SEC)
#define DEFAULT_CALL_US (20 * USEC_PER_MSEC)

static const char *const own_state_names[] = {"not_owned", "waiting", "reading",
					      "active"};

void owners_init(shard_t *sh)
{
	CDS_INIT_LIST_HEAD(&sh->owners);
	sh->orders = g_hash_table_new(g_int64_hash, g_int64_equal);
}

int64_t owner_now(const owner_t *o)
{
	return core_now(o->sh->s);
}

bool owner_may_send(const owner_t *o, int64_t now)
{
	return o->state >= OWN_READ && o->row && !o->fenced &&
	       now < o->sh->standing.lease_until_us;
}

owner_t *owner_find(shard_t *sh, target_id_t id)
{
	owner_t *o;

	cds_list_for_each_entry (o, &sh->owners, node)
		if (o->id == id)
			return o;
	return NULL;
}

/* Reports. */

void owner_add_peer(owner_t *o, host_id_t host, int64_t now)
{
	size_t oldest = 0;

	if (host == o->sh->s->cfg.self)
		return;
	for (size_t i = 0; i < o->n_peers; i++) {
		if (o->peers[i].host == host) {
			o->peers[i].at_us = now;
			return;
		}
		if (o->peers[i].at_us < o->peers[oldest].at_us)
			oldest = i;
	}
	if (o->n_peers < PEERS_MAX)
		oldest = o->n_peers++;
	o->peers[oldest].host = host;
	o->peers[oldest].at_us = now;
}

void owner_asked(owner_t *o, uint32_t hash, int64_t now)
{
	place_count_request(&o->sh->s->place, hash, now);
	if (o->n_asked < ASKED_MAX)
		o->asked[o->n_asked++] = hash;
}

static void owner_fill_report(owner_t *o, Serve__Report *m, uint32_t *hashes,
			      uint64_t *costs, int64_t now)
{
	const load_t *l;

	m->target = o->id;
	m->fence = o->fence;
	m->waiting = o->queue.n;
	m->running = o->n_running + o->foreign;
	m->wait_us = owner_wait_us(o, o->ready_us, now);
	m->each_us = (int64_t)o->mean_cost_us / owner_batch(o);
	m->evict_us = costs;
	m->n_evict_us = owner_evict_costs(o, costs, now);
	m->spare_copies = owner_spare_copies(o);
	m->leaving = o->leaving;
	m->active = o->state == OWN_ACTIVE && owner_may_send(o, now);
	m->resident = hashes;
	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].state == SLOT_RESIDENT)
			hashes[m->n_resident++] = o->slots.v[i].hash;
	m->loading = hashes + m->n_resident;
	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].state == SLOT_LOADING)
			m->loading[m->n_loading++] = o->slots.v[i].hash;
	cds_list_for_each_entry (l, &o->loads, node)
		if (l->phase != LOAD_RUNS && m->n_loading < LOADS_TOLD_MAX)
			m->loading[m->n_loading++] = l->hash;
}

/* Those that may send work here: all daemons if few, else who did lately. */
static size_t owner_receivers(const owner_t *o, host_id_t *out, int64_t now)
{
	serve_t *s = o->sh->s;
	host_id_t live[PEERS_MAX + 1];
	size_t n_live = place_live_hosts(&s->place, live, ARRAY_SIZE(live));
	size_t n = 0;

	if (n_live <= ARRAY_SIZE(live)) {
		for (size_t i = 0; i < n_live; i++)
			if (live[i] != s->cfg.self)
				out[n++] = live[i];
		return n;
	}
	for (size_t i = 0; i < o->n_peers; i++)
		if (now - o->peers[i].at_us < PEER_LIFE_US)
			out[n++] = o->peers[i].host;
	return n;
}

static void owner_report_peers(owner_t *o, Serve__Report *m, int64_t now)
{
	host_id_t to[PEERS_MAX + 1];
	size_t n = owner_receivers(o, to, now);
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	int64_t bytes, pace_us;

	msg.body_case = SERVE__SERVE_MSG__BODY_REPORT;
	msg.report = m;
	for (size_t i = 0; i < n; i++)
		core_send(o->sh->s, to[i], &msg);
	bytes = (int64_t)(n * serve__serve_msg__get_packed_size(&msg));
	pace_us = bytes * USEC_PER_SEC / REPORT_BYTES_PER_S;
	o->report_wait_us = pace_us > REPORT_US ? pace_us : REPORT_US;
	counter_add(CTR_LOAD_REPORTS, n);
	counter_add(CTR_LOAD_REPORT_BYTES, (uint64_t)bytes);
}

/* Tells this daemon's placement at once, other daemons at a bounded rate. */
void owner_report(owner_t *o, int64_t now)
{
	AUTO_FREE uint32_t *hashes = NULL;
	AUTO_FREE uint64_t *costs = NULL;
	Serve__Report m = SERVE__REPORT__INIT;

	hashes = xcalloc(o->slots.n + LOADS_TOLD_MAX, sizeof(*hashes));
	costs = xcalloc(o->slots.n + 1, sizeof(*costs));
	owner_fill_report(o, &m, hashes, costs, now);
	place_apply_report(&o->sh->s->place, &m, now);
	if (!o->urgent && now < o->report_us + o->report_wait_us)
		return;
	if (!o->urgent && !o->changed && now < o->report_us + REPORT_IDLE_US)
		return;
	o->report_us = now;
	o->changed = false;
	o->urgent = false;
	m.asked = o->asked;
	m.n_asked = o->n_asked;
	m.store_backlog = o->store_backlog;
	owner_report_peers(o, &m, now);
	o->n_asked = 0;
	o->store_backlog = 0;
}

/* Orders. */

order_t *owner_order(owner_t *o, engine_order_t *eo, run_t *run)
{
	serve_t *s = o->sh->s;
	order_t *ord = xcalloc(1, sizeof(*ord));

	ord->id = atomic_fetch_add(&s->next_order, 1);
	ord->kind = eo->kind;
	ord->o = o;
	ord->run = run;
	ord->adapter = str_copy(eo->adapter);
	ord->boot = o->boot;
	ord->fence = o->fence;
	ord->sent_us = core_now(s);
	g_hash_table_insert(o->sh->orders, &ord->id, ord);
	o->n_orders++;
	eo->id = ord->id;
	eo->target = o->id;
	eo->url = o->row->url;
	eo->fence = o->fence;
	s->ops.order(s->ctx, eo);
	return ord;
}

static void order_free(order_t *ord)
{
	ord->o->n_orders--;
	g_hash_table_remove(ord->o->sh->orders, &ord->id);
	str_free(&ord->adapter);
	free(ord);
}

static void owner_read_state(owner_t *o)
{
	engine_order_t eo = {0};

	if (o->poll_order || !o->row)
		return;
	eo.kind = ORDER_STATE;
	o->poll_order = owner_order(o, &eo, NULL)->id;
}

void owner_poll_soon(owner_t *o, int64_t now)
{
	if (o->poll_us > now)
		o->poll_us = now;
}

/* Cancels the run of an order; its final event still comes. */
void owner_order_cancel(owner_t *o, uint64_t order)
{
	serve_t *s = o->sh->s;
	engine_order_t eo = {0};
	order_t *ord = g_hash_table_lookup(o->sh->orders, &order);

	if (!ord)
		return;
	if (ord->run)
		eo.run_id = ord->run->run_id;
	ord->run = NULL;
	if (!owner_may_send(o, core_now(s)))
		return;
	eo.kind = ORDER_CANCEL;
	eo.id = atomic_fetch_add(&s->next_order, 1);
	eo.cancel_id = order;
	eo.target = o->id;
	eo.url = o->row->url;
	eo.fence = o->fence;
	eo.adapter = ord->adapter;
	s->ops.order(s->ctx, &eo);
}

/* Does all that can be done now. */
void owner_work(owner_t *o, int64_t now)
{
	owner_work_deadlines(o, now);
	if (o->state == OWN_ACTIVE && owner_may_send(o, now)) {
		owner_work_broken(o, now);
		owner_work_loads(o, now);
		owner_work_dispatch(o, now);
	}
	if (o->state != OWN_NOT)
		owner_report(o, now);
}

/* Events of the target. */

static void owner_set_leaving(owner_t *o, bool leaving)
{
	if (leaving == o->leaving)
		return;
	o->leaving = leaving;
	o->urgent = true;
	if (leaving)
		owner_refuse_waiting(o, 0, REASON_NO_TARGET,
				     RETRY_TARGET_LEAVING);
	log_event(LOG_NOTICE, "target_leaving", kv_u("target", o->id),
		  kv_u("leaving", leaving));
}

/* The target knows a newer owner: nothing is sent until the tables say so. */
static void owner_set_fenced(owner_t *o)
{
	o->fenced = true;
	o->urgent = true;
	owner_refuse_waiting(o, 0, REASON_NO_OWNER, RETRY_OWNER_MOVED);
	log_event(LOG_WARNING, "owner_fenced_off", kv_u("target", o->id),
		  kv_u("fence", o->fence));
}

static bool owner_is_leaving(const owner_t *o)
{
	if (o->row && o->row->state == TARGET_DRAINING)
		return true;
	return place_is_leaving(&o->sh->s->place, o->id);
}

/*
 * The target restarted: nothing of before is on it. Runs that were on it end;
 * except is the run, if any, that is known to be on the restarted one.
 */
void owner_rebooted(owner_t *o, uint64_t boot, const run_t *except)
{
	run_t *r, *tmp;
	load_t *l, *ltmp;

	log_event(LOG_WARNING, "target_restarted", kv_u("target", o->id),
		  kv_u("boot", boot));
	o->boot = boot;
	o->n_running = 0;
	o->foreign = 0;
	o->slots_changed_us = owner_now(o);
	o->changed = true;
	slots_clear(&o->slots);
	place_set_announced_leaving(&o->sh->s->place, o->id, false);
	o->leaving = owner_is_leaving(o);
	cds_list_for_each_entry_safe (l, ltmp, &o->loads, node)
		if (l->phase >= LOAD_EVICTS)
			load_end(o, l);
	cds_list_for_each_entry_safe (r, tmp, &o->started, node) {
		order_t *ord = g_hash_table_lookup(o->sh->orders, &r->order);

		if (r == except) {
			ord->boot = boot;
			o->n_running++;
			continue;
		}
		if (ord)
			ord->run = NULL;
		run_refuse(r, REASON_TARGET_LOST,
			   r->head ? RUN_YES : RUN_UNKNOWN, RETRY_TARGET_LOST,
			   0);
	}
}

static slot_t *owner_new_slot(owner_t *o)
{
	slot_t *slot = slots_find_empty(&o->slots);

	if (slot)
		return slot;
	slots_resize(&o->slots, o->slots.n + 1);
	return slots_find_empty(&o->slots);
}

/* Takes over what the target says is on it. */
static void owner_adopt(owner_t *o, const engine_resident_t *res, bool first)
{
	slot_t *slot = slots_find(&o->slots, res->adapter);
	bool unknown = !slot;

	if (unknown) {
		slot = owner_new_slot(o);
		slot_assign(slot, res->adapter, SLOT_RESIDENT);
		slot->load_us = o->sh->s->cfg.load_us;
	}
	if (slot->order_id)
		return;
	slot->state = res->loading ? SLOT_LOADING : SLOT_RESIDENT;
	if (first || unknown)
		slot->foreign = res->running > slot->running
					? res->running - slot->running
					: 0;
	else if (res->running < slot->foreign)
		slot->foreign = res->running;
}

static bool state_has(const engine_event_t *ev, str_t adapter)
{
	for (size_t i = 0; i < ev->n_resident; i++)
		if (str_eq(ev->resident[i].adapter, adapter))
			return true;
	return false;
}

static void owner_reconcile(owner_t *o, const engine_event_t *ev)
{
	bool first = o->state != OWN_ACTIVE;

	for (uint32_t i = 0; i < o->slots.n; i++) {
		slot_t *slot = &o->slots.v[i];

		if (slot->state != SLOT_EMPTY && !slot->order_id &&
		    !slot->running && !state_has(ev, slot->adapter))
			slot_clear(slot);
	}
	for (size_t i = 0; i < ev->n_resident; i++)
		owner_adopt(o, &ev->resident[i], first);
	if (first)
		o->foreign = ev->n_running > o->n_running
				     ? ev->n_running - o->n_running
				     : 0;
	else if (ev->n_running < o->foreign)
		o->foreign = ev->n_running;
}

static bool owner_awaits_state(const owner_t *o)
{
	if (o->foreign)
		return true;
	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].foreign ||
		    (o->slots.v[i].state == SLOT_LOADING &&
		     !o->slots.v[i].order_id))
			return true;
	return false;
}

static void owner_state_failed(owner_t *o, const engine_event_t *ev,
			       int64_t now)
{
	o->poll_us = now + POLL_SOON_US;
	if (ev->old_fence || ev->target_leaving)
		return;
	if (++o->poll_fails < POLL_FAILS_MAX || o->state != OWN_ACTIVE)
		return;
	o->state = OWN_READ;
	o->urgent = true;
	owner_refuse_waiting(o, 0, REASON_TARGET_LOST, RETRY_TARGET_LOST);
	log_event(LOG_WARNING, "target_unreachable", kv_u("target", o->id));
}

static void owner_state_event(owner_t *o, order_t *ord,
			      const engine_event_t *ev, int64_t now)
{
	o->poll_order = 0;
	o->poll_us = now + POLL_US;
	if (ord->fence != o->fence) {
		o->poll_us = now; /* read before this takeover */
		return;
	}
	if (ev->kind != EVENT_STATE) {
		owner_state_failed(o, ev, now);
		return;
	}
	o->poll_fails = 0;
	/* A plain service need not name a boot id; none tells nothing. */
	if (ev->boot_id && ev->boot_id != o->boot) {
		if (o->boot)
			owner_rebooted(o, ev->boot_id, NULL);
		o->boot = ev->boot_id;
	} else if (o->slots_changed_us > ord->sent_us) {
		o->poll_us = now + POLL_SOON_US;
		return;
	}
	owner_reconcile(o, ev);
	if (owner_awaits_state(o))
		o->poll_us = now + POLL_SOON_US;
	if (o->state == OWN_READ) {
		o->state = OWN_ACTIVE;
		o->urgent = true;
		log_event(LOG_NOTICE, "target_active", kv_u("target", o->id),
			  kv_u("fence", o->fence), kv_u("boot", o->boot),
			  kv_u("foreign_runs", o->foreign));
	}
}

static void owner_dispatch_event(owner_t *o, order_t *ord,
				 const engine_event_t *ev, int64_t now)
{
	switch (ord->kind) {
	case ORDER_RUN:
	case ORDER_RESUME:
		owner_run_event(o, ord, ev, now);
		break;
	case ORDER_LOAD:
		owner_load_event(o, ord, ev, now);
		break;
	case ORDER_UNLOAD:
		owner_unload_event(o, ord, ev, now);
		break;
	case ORDER_STATE:
		owner_state_event(o, ord, ev, now);
		break;
	case ORDER_CANCEL:
		break;
	}
}

static void owner_free(owner_t *o)
{
	load_t *l, *tmp;

	cds_list_for_each_entry_safe (l, tmp, &o->loads, node)
		load_discard(l);
	cds_list_del(&o->node);
	slots_free(&o->slots);
	queue_free(&o->queue);
	g_hash_table_destroy(o->backoffs);
	free(o);
}

static bool owner_idle(owner_t *o)
{
	return !o->n_orders && !o->queue.n && cds_list_empty(&o->started);
}

void owner_event(shard_t *sh, const engine_event_t *ev)
{
	order_t *ord = g_hash_table_lookup(sh->orders, &ev->order_id);
	int64_t now = core_now(sh->s);
	owner_t *o;

	if (!ord) {
		counter_add(CTR_LATE_DROPPED, 1);
		return;
	}
	o = ord->o;
	o->changed = true;
	owner_dispatch_event(o, ord, ev, now);
	if (ev->old_fence && !o->fenced && o->state != OWN_NOT)
		owner_set_fenced(o);
	if (ev->target_leaving)
		owner_set_leaving(o, true);
	if (engine_event_final(ev))
		order_free(ord);
	owner_work(o, now);
	if (o->state == OWN_NOT && owner_idle(o))
		owner_free(o);
}

/* Ownership. */

static owner_t *owner_new(shard_t *sh, const target_t *row)
{
	owner_t *o = xcalloc(1, sizeof(*o));
	struct cds_list_head *pos = sh->owners.prev;

	o->sh = sh;
	o->id = row->id;
	o->ratio = 1;
	o->call_us = DEFAULT_CALL_US;
	slots_init(&o->slots, row->slots);
	queue_init(&o->queue);
	CDS_INIT_LIST_HEAD(&o->loads);
	CDS_INIT_LIST_HEAD(&o->started);
	o->backoffs = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					    g_free);
	while (pos != &sh->owners &&
	       cds_list_entry(pos, owner_t, node)->id > o->id)
		pos = pos->prev;
	cds_list_add(&o->node, pos);
	return o;
}

/* Loads that have no slot yet: they are asked for again once active. */
static void owner_end_asked_loads(owner_t *o)
{
	load_t *l, *tmp;

	cds_list_for_each_entry_safe (l, tmp, &o->loads, node)
		if (l->phase <= LOAD_ASKED)
			load_end(o, l);
}

/* This daemon is the owner under a new fencing number. */
static void owner_take_over(owner_t *o, int64_t now)
{
	const target_t *row = o->row;

	o->fence = row->fence;
	o->fenced = false;
	o->state = OWN_WAIT;
	o->poll_fails = 0;
	owner_end_asked_loads(o);
	o->wait_until_us = now;
	if (!row->checks_fence)
		o->wait_until_us += o->sh->s->cfg.order_max_us;
	log_event(LOG_NOTICE, "target_taken_over", kv_u("target", o->id),
		  kv_u("fence", o->fence),
		  kv_u("previous", row->previous_owner));
}

static void owner_lose(owner_t *o)
{
	run_t *r, *rtmp;

	if (o->state == OWN_NOT)
		return;
	o->state = OWN_NOT;
	owner_refuse_waiting(o, 0, REASON_NO_OWNER, RETRY_OWNER_MOVED);
	owner_end_asked_loads(o);
	cds_list_for_each_entry_safe (r, rtmp, &o->started, node)
		if (r->phase == RUN_BROKEN)
			run_hand_over(r);
	log_event(LOG_NOTICE, "target_given_up", kv_u("target", o->id),
		  kv_u("fence", o->fence));
}

static void owner_update(owner_t *o, int64_t now)
{
	const target_t *row = o->row;

	if (row->fence != o->fence || o->state == OWN_NOT)
		owner_take_over(o, now);
	slots_resize(&o->slots, row->slots);
	owner_prefetch(o, now);
	owner_set_leaving(o, owner_is_leaving(o));
}

void owners_tables(shard_t *sh)
{
	int64_t now = core_now(sh->s);
	owner_t *o, *tmp;

	cds_list_for_each_entry_safe (o, tmp, &sh->owners, node) {
		o->row = decided_target(sh->tables, o->id);
		if (!o->row || o->row->owner != sh->s->cfg.self)
			owner_lose(o);
		if (o->state == OWN_NOT && owner_idle(o))
			owner_free(o);
	}
	for (size_t i = 0; i < decided_target_count(sh->tables); i++) {
		const target_t *row = decided_target_at(sh->tables, i);

		if (row->owner != sh->s->cfg.self ||
		    core_target_shard(sh->s, row->id) != sh)
			continue;
		o = owner_find(sh, row->id);
		if (!o)
			o = owner_new(sh, row);
		o->row = row;
		owner_update(o, now);
		owner_work(o, now);
	}
	core_due(sh, now);
}

void owners_standing(shard_t *sh)
{
	core_due(sh, core_now(sh->s));
}

void owner_hint(shard_t *sh, target_id_t target)
{
	owner_t *o = owner_find(sh, target);

	if (!o || !o->row)
		return;
	owner_set_leaving(o, owner_is_leaving(o));
	owner_work(o, core_now(sh->s));
}

static void owner_start_reading(owner_t *o, int64_t now)
{
	if (o->row->kind == TARGET_SERVICE) {
		o->state = OWN_ACTIVE;
		o->urgent = true;
		o->poll_us = INT64_MAX;
		return;
	}
	o->state = OWN_READ;
	o->poll_us = now;
}

static void owner_tick(owner_t *o, int64_t now)
{
	bool leased = now < o->sh->standing.lease_until_us;

	if (o->state == OWN_WAIT && leased && now >= o->wait_until_us)
		owner_start_reading(o, now);
	if (!leased && o->queue.n)
		owner_refuse_waiting(o, 0, REASON_NO_OWNER, RETRY_OWNER_MOVED);
	if (now >= o->poll_us && owner_may_send(o, now))
		owner_read_state(o);
	owner_work(o, now);
}

static int64_t owner_next(const owner_t *o, int64_t now)
{
	int64_t next = INT64_MAX, lease = o->sh->standing.lease_until_us;
	const queue_item_t *it;
	const run_t *r;

	if (o->state == OWN_WAIT)
		next = o->wait_until_us > now ? o->wait_until_us : lease;
	if (o->state >= OWN_READ && !o->poll_order)
		next = min_time(next, o->poll_us);
	if (o->state >= OWN_READ)
		next = min_time(next, now + REPORT_US);
	if (o->queue.n && lease > now)
		next = min_time(next, lease);
	cds_list_for_each_entry (it, &o->queue.items, node)
		next = min_time(next, it->deadline_us);
	cds_list_for_each_entry (r, &o->started, node) {
		if (r->phase == RUN_BROKEN)
			next = min_time(next, r->again_us);
		if (r->repeatable)
			next = min_time(next, r->item.deadline_us);
	}
	/* What is due but may not be done now waits for the lease. */
	return next > now ? next : now + POLL_SOON_US;
}

int64_t owners_tick(shard_t *sh, int64_t now)
{
	int64_t next = INT64_MAX;
	owner_t *o, *tmp;

	cds_list_for_each_entry_safe (o, tmp, &sh->owners, node) {
		owner_tick(o, now);
		if (o->state == OWN_NOT && owner_idle(o)) {
			owner_free(o);
			continue;
		}
		next = min_time(next, owner_next(o, now));
	}
	return next;
}

bool owners_idle(shard_t *sh)
{
	owner_t *o;

	cds_list_for_each_entry (o, &sh->owners, node)
		if (o->queue.n || !cds_list_empty(&o->started))
			return false;
	return true;
}

static gboolean free_order(gpointer key, gpointer value, gpointer ctx)
{
	order_t *ord = value;

	(void)key;
	(void)ctx;
	str_free(&ord->adapter);
	free(ord);
	return TRUE;
}

void owners_free(shard_t *sh)
{
	queue_item_t *it, *itmp;
	owner_t *o, *tmp;
	run_t *r, *rtmp;

	g_hash_table_foreach_remove(sh->orders, free_order, NULL);
	g_hash_table_destroy(sh->orders);
	cds_list_for_each_entry_safe (o, tmp, &sh->owners, node) {
		cds_list_for_each_entry_safe (it, itmp, &o->queue.items, node)
			run_free((run_t *)it);
		cds_list_for_each_entry_safe (r, rtmp, &o->started, node)
			run_free(r);
		owner_free(o);
	}
}

/* Status. */

static void status_slots(const owner_t *o, buf_t *json)
{
	static const char *const names[] = {"empty", "loading", "resident",
					    "unloading"};
	bool first = true;

	for (uint32_t i = 0; i < o->slots.n; i++) {
		const slot_t *slot = &o->slots.v[i];

		if (slot->state == SLOT_EMPTY)
			continue;
		buf_printf(json,
			   "%s{\"adapter\":\"%.*s\",\"state\":\"%s\","
			   "\"running\":%u,\"waiting\":%u}",
			   first ? "" : ",", STR_ARG(slot->adapter),
			   names[slot->state], slot->running + slot->foreign,
			   slot->n_waiting);
		first = false;
	}
}

void owners_status(shard_t *sh, buf_t *json, bool *first)
{
	int64_t now = core_now(sh->s);
	owner_t *o;

	cds_list_for_each_entry (o, &sh->owners, node) {
		buf_printf(json,
			   "%s{\"target\":%u,\"name\":\"%.*s\","
			   "\"state\":\"%s\",\"fence\":%llu,\"leaving\":%s,"
			   "\"waiting\":%u,\"running\":%u,\"wait_ms\":%lld,"
			   "\"slots\":[",
			   *first ? "" : ",", o->id,
			   STR_ARG(o->row ? o->row->name : str_n(NULL, 0)),
			   own_state_names[o->state],
			   (unsigned long long)o->fence,
			   o->leaving ? "true" : "false", o->queue.n,
			   o->n_running + o->foreign,
			   (long long)(owner_wait_us(o, o->ready_us, now) /
				       USEC_PER_MSEC));
		status_slots(o, json);
		buf_puts(json, "]}");
		*first = false;
	}
}
