/*
 * owner.c - takeover of targets, orders to them, reports on them, and reads of
 * their state. Only the owner of a target sends it orders, and only while the
 * daemon's lease is valid.
 */
#include "owner.h"

#include <string.h>

#include "counter.h"
#include "log.h"

/*
 * Interval between reads of a target's state; the shorter one applies after a
 * failed read and while foreign runs or loads are expected to end.
 */
#define STATE_POLL_US (2 * USEC_PER_SEC)
#define STATE_POLL_SOON_US (250 * USEC_PER_MSEC)
/* Failed reads in a row after which a target counts as unreachable. */
#define STATE_POLL_FAILURES_MAX 2u
/* Most loads without a slot that one report lists. */
#define REPORT_LOADS_MAX 32u
/* Shortest interval between non-urgent reports to peers. */
#define REPORT_INTERVAL_US (2 * USEC_PER_SEC)
/*
 * Highest mean rate at which reports on one target that are not urgent are sent
 * to peers, in bytes per second over all receivers.
 */
#define REPORT_BYTES_PER_S 300
/* Interval between reports to peers while nothing changes. */
#define REPORT_IDLE_INTERVAL_US (4 * USEC_PER_SEC)
/* In a large system, peers get reports this long after their last submit. */
#define PEER_ACTIVE_US (30 * USEC_PER_SEC)
/* Expected duration of a service call before one was measured. */
#define DEFAULT_CALL_US (20 * USEC_PER_MSEC)

static const char *const ownership_names[] = {"not_owned", "waiting", "reading",
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
	return o->state >= OWNERSHIP_READING && o->row && !o->fenced_off &&
	       now < o->sh->lease_status.lease_until_us;
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

void owner_note_peer(owner_t *o, host_id_t host, int64_t now)
{
	size_t oldest = 0;

	if (host == o->sh->s->cfg.self)
		return;
	for (size_t i = 0; i < o->n_peers; i++) {
		if (o->peers[i].host == host) {
			o->peers[i].last_submit_us = now;
			return;
		}
		if (o->peers[i].last_submit_us <
		    o->peers[oldest].last_submit_us)
			oldest = i;
	}
	if (o->n_peers < REPORT_PEERS_MAX)
		oldest = o->n_peers++;
	o->peers[oldest].host = host;
	o->peers[oldest].last_submit_us = now;
}

void owner_count_request(owner_t *o, uint32_t name_hash, int64_t now)
{
	place_count_request(&o->sh->s->place, name_hash, now);
	if (o->n_requested < REQUESTED_ADAPTERS_MAX)
		o->requested[o->n_requested++] = name_hash;
}

static void owner_fill_report(owner_t *o, Serve__Report *m, uint32_t *hashes,
			      uint64_t *costs, int64_t now)
{
	const load_t *l;

	m->target = o->id;
	m->fence = o->fence;
	m->waiting = o->queue.n;
	m->running = o->n_running + o->foreign_runs;
	m->wait_us = owner_expected_wait_us(o, o->ready_cost_us, now);
	m->each_us = (int64_t)o->mean_cost_us / owner_max_batch(o);
	m->evict_us = costs;
	m->n_evict_us = owner_evict_costs(o, costs, now);
	m->spare_copies = owner_spare_copies(o);
	m->leaving = o->leaving;
	m->active = o->state == OWNERSHIP_ACTIVE && owner_may_send(o, now);
	m->resident = hashes;
	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].state == SLOT_RESIDENT)
			hashes[m->n_resident++] = o->slots.v[i].hash;
	m->loading = hashes + m->n_resident;
	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].state == SLOT_LOADING)
			m->loading[m->n_loading++] = o->slots.v[i].hash;
	cds_list_for_each_entry (l, &o->loads, node)
		if (l->phase != LOAD_IN_PROGRESS &&
		    m->n_loading < REPORT_LOADS_MAX)
			m->loading[m->n_loading++] = l->adapter_hash;
}

/*
 * Lists the daemons that may send work here: in a small system all live ones,
 * else those that sent some lately.
 */
static size_t owner_report_receivers(const owner_t *o, host_id_t *out,
				     int64_t now)
{
	serve_t *s = o->sh->s;
	host_id_t live[REPORT_PEERS_MAX + 1];
	size_t n_live = place_live_hosts(&s->place, live, ARRAY_SIZE(live));
	size_t n = 0;

	if (n_live <= ARRAY_SIZE(live)) {
		for (size_t i = 0; i < n_live; i++)
			if (live[i] != s->cfg.self)
				out[n++] = live[i];
		return n;
	}
	for (size_t i = 0; i < o->n_peers; i++)
		if (now - o->peers[i].last_submit_us < PEER_ACTIVE_US)
			out[n++] = o->peers[i].host;
	return n;
}

static void owner_send_report(owner_t *o, Serve__Report *m, int64_t now)
{
	host_id_t to[REPORT_PEERS_MAX + 1];
	size_t n = owner_report_receivers(o, to, now);
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	int64_t bytes, pace_us;

	msg.body_case = SERVE__SERVE_MSG__BODY_REPORT;
	msg.report = m;
	for (size_t i = 0; i < n; i++)
		core_send(o->sh->s, to[i], &msg);
	bytes = (int64_t)(n * serve__serve_msg__get_packed_size(&msg));
	pace_us = bytes * USEC_PER_SEC / REPORT_BYTES_PER_S;
	o->report_interval_us =
		pace_us > REPORT_INTERVAL_US ? pace_us : REPORT_INTERVAL_US;
	counter_add(CTR_LOAD_REPORTS, n);
	counter_add(CTR_LOAD_REPORT_BYTES, (uint64_t)bytes);
}

void owner_report(owner_t *o, int64_t now)
{
	AUTO_FREE uint32_t *hashes = NULL;
	AUTO_FREE uint64_t *costs = NULL;
	Serve__Report m = SERVE__REPORT__INIT;

	hashes = xcalloc(o->slots.n + REPORT_LOADS_MAX, sizeof(*hashes));
	costs = xcalloc(o->slots.n + 1, sizeof(*costs));
	owner_fill_report(o, &m, hashes, costs, now);
	place_apply_report(&o->sh->s->place, &m, now);
	if (!o->report_urgent &&
	    now < o->last_report_us + o->report_interval_us)
		return;
	if (!o->report_urgent && !o->changed_since_report &&
	    now < o->last_report_us + REPORT_IDLE_INTERVAL_US)
		return;
	o->last_report_us = now;
	o->changed_since_report = false;
	o->report_urgent = false;
	m.asked = o->requested;
	m.n_asked = o->n_requested;
	m.store_backlog = o->store_backlog;
	owner_send_report(o, &m, now);
	o->n_requested = 0;
	o->store_backlog = 0;
}

/* Orders. */

order_t *owner_send_order(owner_t *o, engine_order_t *eo, run_t *run)
{
	serve_t *s = o->sh->s;
	order_t *ord = xcalloc(1, sizeof(*ord));

	ord->id = atomic_fetch_add(&s->next_order_id, 1);
	ord->kind = eo->kind;
	ord->owner = o;
	ord->run = run;
	ord->adapter = str_copy(eo->adapter);
	ord->boot_id = o->boot_id;
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
	ord->owner->n_orders--;
	g_hash_table_remove(ord->owner->sh->orders, &ord->id);
	str_free(&ord->adapter);
	free(ord);
}

static void owner_read_state(owner_t *o)
{
	engine_order_t eo = {0};

	if (o->poll_order_id || !o->row)
		return;
	eo.kind = ORDER_STATE;
	o->poll_order_id = owner_send_order(o, &eo, NULL)->id;
}

void owner_poll_now(owner_t *o, int64_t now)
{
	if (o->next_poll_us > now)
		o->next_poll_us = now;
}

void owner_cancel_order(owner_t *o, uint64_t order_id)
{
	serve_t *s = o->sh->s;
	engine_order_t eo = {0};
	order_t *ord = g_hash_table_lookup(o->sh->orders, &order_id);

	if (!ord)
		return;
	if (ord->run)
		eo.run_id = ord->run->run_id;
	ord->run = NULL;
	if (!owner_may_send(o, core_now(s)))
		return;
	eo.kind = ORDER_CANCEL;
	eo.id = atomic_fetch_add(&s->next_order_id, 1);
	eo.cancel_order_id = order_id;
	eo.target = o->id;
	eo.url = o->row->url;
	eo.fence = o->fence;
	eo.adapter = ord->adapter;
	s->ops.order(s->ctx, &eo);
}

void owner_advance(owner_t *o, int64_t now)
{
	owner_enforce_deadlines(o, now);
	if (o->state == OWNERSHIP_ACTIVE && owner_may_send(o, now)) {
		owner_resume_broken(o, now);
		owner_advance_loads(o, now);
		owner_dispatch(o, now);
	}
	if (o->state != OWNERSHIP_NONE)
		owner_report(o, now);
}

/* Events of the target. */

static void owner_set_leaving(owner_t *o, bool leaving)
{
	if (leaving == o->leaving)
		return;
	o->leaving = leaving;
	o->report_urgent = true;
	if (leaving)
		owner_refuse_waiting(o, 0, REASON_NO_TARGET,
				     RETRY_TARGET_LEAVING);
	log_event(LOG_NOTICE, "target_leaving", kv_u("target", o->id),
		  kv_u("leaving", leaving));
}

/*
 * Called when the target refused an order because it has seen a newer owner's
 * fence. Nothing more is sent to it unless new tables assign it here again.
 */
static void owner_set_fenced_off(owner_t *o)
{
	o->fenced_off = true;
	o->report_urgent = true;
	owner_refuse_waiting(o, 0, REASON_NO_OWNER, RETRY_OWNER_MOVED);
	log_event(LOG_WARNING, "owner_fenced", kv_u("target", o->id),
		  kv_u("fence", o->fence));
}

static bool owner_is_leaving(const owner_t *o)
{
	if (o->row && o->row->state == TARGET_DRAINING)
		return true;
	return place_is_leaving(&o->sh->s->place, o->id);
}

void owner_target_restarted(owner_t *o, uint64_t boot_id, const run_t *except)
{
	run_t *r, *tmp;
	load_t *l, *ltmp;

	log_event(LOG_WARNING, "target_restarted", kv_u("target", o->id),
		  kv_u("boot", boot_id));
	o->boot_id = boot_id;
	o->n_running = 0;
	o->foreign_runs = 0;
	o->slots_changed_us = owner_now(o);
	o->changed_since_report = true;
	slots_clear(&o->slots);
	place_set_announced_leaving(&o->sh->s->place, o->id, false);
	o->leaving = owner_is_leaving(o);
	cds_list_for_each_entry_safe (l, ltmp, &o->loads, node)
		if (l->phase >= LOAD_EVICTING)
			load_end(o, l);
	cds_list_for_each_entry_safe (r, tmp, &o->started_runs, node) {
		order_t *ord = g_hash_table_lookup(o->sh->orders, &r->order_id);

		if (r == except) {
			ord->boot_id = boot_id;
			o->n_running++;
			continue;
		}
		if (ord)
			ord->run = NULL;
		run_fail(r, REASON_TARGET_LOST,
			 r->head_relayed ? RUN_YES : RUN_UNKNOWN,
			 RETRY_TARGET_LOST, 0);
	}
}

/* Returns an empty slot; adds one where all are in use. */
static slot_t *owner_get_empty_slot(owner_t *o)
{
	slot_t *slot = slots_find_empty(&o->slots);

	if (slot)
		return slot;
	slots_resize(&o->slots, o->slots.n + 1);
	return slots_find_empty(&o->slots);
}

/* Brings one slot in line with what the target reported for its adapter. */
static void owner_adopt_resident(owner_t *o, const engine_resident_t *res,
				 bool first_read)
{
	slot_t *slot = slots_find(&o->slots, res->adapter);
	bool unknown = !slot;

	if (unknown) {
		slot = owner_get_empty_slot(o);
		slot_assign(slot, res->adapter, SLOT_RESIDENT);
		slot->load_us = o->sh->s->cfg.load_us;
	}
	if (slot->order_id)
		return;
	slot->state = res->loading ? SLOT_LOADING : SLOT_RESIDENT;
	if (first_read || unknown)
		slot->foreign = res->running > slot->running
					? res->running - slot->running
					: 0;
	else if (res->running < slot->foreign)
		slot->foreign = res->running;
}

static bool state_lists(const engine_event_t *ev, str_t adapter)
{
	for (size_t i = 0; i < ev->n_resident; i++)
		if (str_eq(ev->resident[i].adapter, adapter))
			return true;
	return false;
}

static void owner_reconcile_state(owner_t *o, const engine_event_t *ev)
{
	bool first_read = o->state != OWNERSHIP_ACTIVE;

	for (uint32_t i = 0; i < o->slots.n; i++) {
		slot_t *slot = &o->slots.v[i];

		if (slot->state != SLOT_EMPTY && !slot->order_id &&
		    !slot->running && !state_lists(ev, slot->adapter))
			slot_clear(slot);
	}
	for (size_t i = 0; i < ev->n_resident; i++)
		owner_adopt_resident(o, &ev->resident[i], first_read);
	if (first_read)
		o->foreign_runs = ev->n_running > o->n_running
					  ? ev->n_running - o->n_running
					  : 0;
	else if (ev->n_running < o->foreign_runs)
		o->foreign_runs = ev->n_running;
}

static bool owner_has_foreign_work(const owner_t *o)
{
	if (o->foreign_runs)
		return true;
	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].foreign ||
		    (o->slots.v[i].state == SLOT_LOADING &&
		     !o->slots.v[i].order_id))
			return true;
	return false;
}

/*
 * Ends the runs that wait to be resumed, here or in the queue: the target has
 * been silent for as long as any run may be.
 */
static void owner_fail_broken(owner_t *o)
{
	run_t *r, *tmp;

	owner_refuse_waiting(o, 0, REASON_TARGET_LOST, RETRY_TARGET_LOST);
	cds_list_for_each_entry_safe (r, tmp, &o->started_runs, node)
		if (r->phase == RUN_AWAITING_RESUME)
			run_fail(r, REASON_TARGET_LOST, RUN_YES,
				 RETRY_TARGET_LOST, 0);
}

static void owner_state_failed(owner_t *o, const engine_event_t *ev,
			       int64_t now)
{
	o->next_poll_us = now + STATE_POLL_SOON_US;
	if (ev->old_fence || ev->target_leaving)
		return;
	if (!o->unreachable_since_us)
		o->unreachable_since_us = now;
	if (now - o->unreachable_since_us >= o->sh->s->cfg.progress_timeout_us)
		owner_fail_broken(o);
	if (++o->poll_failures < STATE_POLL_FAILURES_MAX ||
	    o->state != OWNERSHIP_ACTIVE)
		return;
	o->state = OWNERSHIP_READING;
	o->report_urgent = true;
	owner_refuse_waiting(o, 0, REASON_TARGET_LOST, RETRY_TARGET_LOST);
	log_event(LOG_WARNING, "target_unreachable", kv_u("target", o->id));
}

static void owner_state_event(owner_t *o, order_t *ord,
			      const engine_event_t *ev, int64_t now)
{
	o->poll_order_id = 0;
	o->next_poll_us = now + STATE_POLL_US;
	if (ord->fence != o->fence) {
		/* The read is older than this takeover. */
		o->next_poll_us = now;
		return;
	}
	if (ev->kind != EVENT_STATE) {
		owner_state_failed(o, ev, now);
		return;
	}
	o->poll_failures = 0;
	o->unreachable_since_us = 0;
	/* A service may omit its boot id; that does not mean a restart. */
	if (ev->boot_id && ev->boot_id != o->boot_id) {
		if (o->boot_id)
			owner_target_restarted(o, ev->boot_id, NULL);
		o->boot_id = ev->boot_id;
	} else if (o->slots_changed_us > ord->sent_us) {
		o->next_poll_us = now + STATE_POLL_SOON_US;
		return;
	}
	owner_reconcile_state(o, ev);
	if (owner_has_foreign_work(o))
		o->next_poll_us = now + STATE_POLL_SOON_US;
	if (o->state == OWNERSHIP_READING) {
		o->state = OWNERSHIP_ACTIVE;
		o->report_urgent = true;
		log_event(LOG_NOTICE, "target_active", kv_u("target", o->id),
			  kv_u("fence", o->fence), kv_u("boot", o->boot_id),
			  kv_u("foreign_runs", o->foreign_runs));
	}
}

static void owner_handle_event(owner_t *o, order_t *ord,
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
		load_delete(l);
	cds_list_del(&o->node);
	slots_free(&o->slots);
	queue_free(&o->queue);
	g_hash_table_destroy(o->load_backoffs);
	free(o);
}

static bool owner_idle(owner_t *o)
{
	return !o->n_orders && !o->queue.n && cds_list_empty(&o->started_runs);
}

void owner_engine_event(shard_t *sh, const engine_event_t *ev)
{
	order_t *ord = g_hash_table_lookup(sh->orders, &ev->order_id);
	int64_t now = core_now(sh->s);
	owner_t *o;

	if (!ord) {
		counter_add(CTR_LATE_DROPPED, 1);
		return;
	}
	o = ord->owner;
	o->changed_since_report = true;
	owner_handle_event(o, ord, ev, now);
	if (ev->old_fence && !o->fenced_off && o->state != OWNERSHIP_NONE)
		owner_set_fenced_off(o);
	if (ev->target_leaving)
		owner_set_leaving(o, true);
	if (engine_event_is_final(ev))
		order_free(ord);
	owner_advance(o, now);
	if (o->state == OWNERSHIP_NONE && owner_idle(o))
		owner_free(o);
}

/* Ownership. */

static owner_t *owner_new(shard_t *sh, const target_t *row)
{
	owner_t *o = xcalloc(1, sizeof(*o));
	struct cds_list_head *pos = sh->owners.prev;

	o->sh = sh;
	o->id = row->id;
	o->cost_ratio = 1;
	o->mean_call_us = DEFAULT_CALL_US;
	slots_init(&o->slots, row->slots);
	queue_init(&o->queue);
	CDS_INIT_LIST_HEAD(&o->loads);
	CDS_INIT_LIST_HEAD(&o->started_runs);
	o->load_backoffs = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						 NULL, g_free);
	while (pos != &sh->owners &&
	       cds_list_entry(pos, owner_t, node)->id > o->id)
		pos = pos->prev;
	cds_list_add(&o->node, pos);
	return o;
}

/* Ends the loads without a slot; they are added again once active. */
static void owner_end_slotless_loads(owner_t *o)
{
	load_t *l, *tmp;

	cds_list_for_each_entry_safe (l, tmp, &o->loads, node)
		if (l->phase <= LOAD_PERMIT_ASKED)
			load_end(o, l);
}

/* Called when the tables make this daemon the owner under a new fence. */
static void owner_take_over(owner_t *o, int64_t now)
{
	const target_t *row = o->row;

	o->fence = row->fence;
	o->fenced_off = false;
	o->state = OWNERSHIP_WAITING;
	o->poll_failures = 0;
	o->unreachable_since_us = 0;
	owner_end_slotless_loads(o);
	o->takeover_wait_until_us = now;
	if (!row->checks_fence)
		o->takeover_wait_until_us += o->sh->s->cfg.order_max_us;
	log_event(LOG_NOTICE, "target_taken_over", kv_u("target", o->id),
		  kv_u("fence", o->fence),
		  kv_u("previous", row->previous_owner));
}

static void owner_give_up(owner_t *o)
{
	run_t *r, *rtmp;

	if (o->state == OWNERSHIP_NONE)
		return;
	o->state = OWNERSHIP_NONE;
	owner_refuse_waiting(o, 0, REASON_NO_OWNER, RETRY_OWNER_MOVED);
	owner_end_slotless_loads(o);
	cds_list_for_each_entry_safe (r, rtmp, &o->started_runs, node)
		if (r->phase == RUN_AWAITING_RESUME)
			run_hand_over(r);
	log_event(LOG_NOTICE, "target_released", kv_u("target", o->id),
		  kv_u("fence", o->fence));
}

static void owner_apply_row(owner_t *o, int64_t now)
{
	const target_t *row = o->row;

	if (row->fence != o->fence || o->state == OWNERSHIP_NONE)
		owner_take_over(o, now);
	slots_resize(&o->slots, row->slots);
	owner_prefetch(o, now);
	owner_set_leaving(o, owner_is_leaving(o));
}

void owners_tables_changed(shard_t *sh)
{
	int64_t now = core_now(sh->s);
	owner_t *o, *tmp;

	cds_list_for_each_entry_safe (o, tmp, &sh->owners, node) {
		o->row = decided_target(sh->tables, o->id);
		if (!o->row || o->row->owner != sh->s->cfg.self)
			owner_give_up(o);
		if (o->state == OWNERSHIP_NONE && owner_idle(o))
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
		owner_apply_row(o, now);
		owner_advance(o, now);
	}
	core_arm_timer(sh, now);
}

void owners_lease_status_changed(shard_t *sh)
{
	core_arm_timer(sh, core_now(sh->s));
}

void owner_target_hint(shard_t *sh, target_id_t target)
{
	owner_t *o = owner_find(sh, target);

	if (!o || !o->row)
		return;
	owner_set_leaving(o, owner_is_leaving(o));
	owner_advance(o, core_now(sh->s));
}

static void owner_start_reading(owner_t *o, int64_t now)
{
	if (o->row->kind == TARGET_SERVICE) {
		o->state = OWNERSHIP_ACTIVE;
		o->report_urgent = true;
		o->next_poll_us = INT64_MAX;
		return;
	}
	o->state = OWNERSHIP_READING;
	o->next_poll_us = now;
}

static void owner_tick(owner_t *o, int64_t now)
{
	bool leased = now < o->sh->lease_status.lease_until_us;

	if (o->state == OWNERSHIP_WAITING && leased &&
	    now >= o->takeover_wait_until_us)
		owner_start_reading(o, now);
	if (!leased && o->queue.n)
		owner_refuse_waiting(o, 0, REASON_NO_OWNER, RETRY_OWNER_MOVED);
	if (now >= o->next_poll_us && owner_may_send(o, now))
		owner_read_state(o);
	owner_advance(o, now);
}

static int64_t owner_next_tick_us(const owner_t *o, int64_t now)
{
	int64_t next = INT64_MAX,
		lease_until = o->sh->lease_status.lease_until_us;
	const queue_item_t *it;
	const run_t *r;

	if (o->state == OWNERSHIP_WAITING)
		next = o->takeover_wait_until_us > now
			       ? o->takeover_wait_until_us
			       : lease_until;
	if (o->state >= OWNERSHIP_READING && !o->poll_order_id)
		next = earlier_of(next, o->next_poll_us);
	if (o->state >= OWNERSHIP_READING)
		next = earlier_of(next, now + REPORT_INTERVAL_US);
	if (o->queue.n && lease_until > now)
		next = earlier_of(next, lease_until);
	cds_list_for_each_entry (it, &o->queue.items, node)
		next = earlier_of(next, it->deadline_us);
	cds_list_for_each_entry (r, &o->started_runs, node) {
		if (r->phase == RUN_AWAITING_RESUME)
			next = earlier_of(next, r->resume_at_us);
		if (r->repeatable)
			next = earlier_of(next, r->item.deadline_us);
	}
	/* What is due but must wait for the lease is tried again shortly. */
	return next > now ? next : now + STATE_POLL_SOON_US;
}

int64_t owners_tick(shard_t *sh, int64_t now)
{
	int64_t next = INT64_MAX;
	owner_t *o, *tmp;

	cds_list_for_each_entry_safe (o, tmp, &sh->owners, node) {
		owner_tick(o, now);
		if (o->state == OWNERSHIP_NONE && owner_idle(o)) {
			owner_free(o);
			continue;
		}
		next = earlier_of(next, owner_next_tick_us(o, now));
	}
	return next;
}

bool owners_idle(shard_t *sh)
{
	owner_t *o;

	cds_list_for_each_entry (o, &sh->owners, node)
		if (o->queue.n || !cds_list_empty(&o->started_runs))
			return false;
	return true;
}

static gboolean free_order_entry(gpointer key, gpointer value, gpointer ctx)
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

	g_hash_table_foreach_remove(sh->orders, free_order_entry, NULL);
	g_hash_table_destroy(sh->orders);
	cds_list_for_each_entry_safe (o, tmp, &sh->owners, node) {
		cds_list_for_each_entry_safe (it, itmp, &o->queue.items, node)
			run_free((run_t *)it);
		cds_list_for_each_entry_safe (r, rtmp, &o->started_runs, node)
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
			   ownership_names[o->state],
			   (unsigned long long)o->fence,
			   o->leaving ? "true" : "false", o->queue.n,
			   o->n_running + o->foreign_runs,
			   (long long)(owner_expected_wait_us(
					       o, o->ready_cost_us, now) /
				       USEC_PER_MSEC));
		status_slots(o, json);
		buf_puts(json, "]}");
		*first = false;
	}
}
