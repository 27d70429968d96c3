/*
 * owner.c - targets owned by this daemon: takeover, queue, loads, dispatch,
 * relay to the entry. Only the owner sends a target work and orders, and only
 * while the daemon's lease runs.
 */
#include "core.h"

#include <string.h>

#include "counter.h"
#include "log.h"
#include "queue.h"
#include "slot.h"

/* Between reads of a target's state, and while something is awaited there. */
#define POLL_US (2 * USEC_PER_SEC)
#define POLL_SOON_US (250 * USEC_PER_MSEC)
/* Failed reads after which a target counts as lost. */
#define POLL_FAILS_MAX 2u
/* Between reports to other daemons. */
#define REPORT_US (500 * USEC_PER_MSEC)
#define REPORT_IDLE_US (4 * USEC_PER_SEC)
/* Daemons that get reports: those that sent work this recently, and at most. */
#define PEER_LIFE_US (30 * USEC_PER_SEC)
#define PEERS_MAX 16u
/* Backoff of failed loads of one adapter on one target. */
#define LOAD_BACKOFF_US USEC_PER_SEC
#define LOAD_BACKOFF_MAX_US (60 * USEC_PER_SEC)
#define RESUMES_MAX 3u
#define RESUME_DELAY_US (100 * USEC_PER_MSEC)
#define DEFAULT_TOKENS 64u
#define DEFAULT_CALL_US (20 * USEC_PER_MSEC)
/* Weight of the newest sample in moving averages. */
#define AVERAGE_WEIGHT 0.1
#define RETRY_MS_MAX 10000

typedef enum own_state {
	OWN_NOT,    /* another daemon's; runs started here may still end */
	OWN_WAIT,   /* orders of the past owner may be under way */
	OWN_READ,   /* the target's state is being read */
	OWN_ACTIVE, /* dispatches */
} own_state_t;

static const char *const own_state_names[] = {"not_owned", "waiting", "reading",
					      "active"};

typedef enum run_phase {
	RUN_WAITING,
	RUN_STARTED, /* an order is out */
	RUN_BROKEN,  /* to be resumed */
} run_phase_t;

typedef struct owner owner_t;

/* One attempt of one request, at its target. */
typedef struct run {
	qitem_t item; /* in the queue while waiting; first member */
	struct cds_list_head node; /* in owner's started, when not waiting */
	owner_t *o;
	run_phase_t phase;
	host_id_t from;
	uint64_t epoch;
	uint64_t handle;
	uint32_t attempt;
	str_t adapter; /* owned, as the next four */
	str_t run_id;
	str_t path;
	str_t body;
	str_t key;
	uint32_t hash; /* slot_hash(adapter); 0 without one */
	uint32_t max_tokens;
	uint64_t order;	 /* under way */
	uint64_t offset; /* answer bytes sent to the entry */
	bool repeatable;
	bool head;
	bool resume;  /* starts with ORDER_RESUME */
	bool gone;    /* nobody listens any more */
	bool stalled; /* waits, or waited, for a load */
	uint32_t resumes;
	int64_t arrived_us;
	int64_t started_us;
	int64_t again_us; /* RUN_BROKEN */
	int64_t stall_us;
	int64_t load_us;
} run_t;

typedef enum load_phase {
	LOAD_WANTED, /* no permit asked: no slot can be had now */
	LOAD_ASKED,  /* a permit is asked for */
	LOAD_EVICTS, /* permit granted; the slot's adapter is unloaded */
	LOAD_RUNS,   /* permit granted; load order out */
} load_phase_t;

/* One adapter on its way to a slot. */
typedef struct load {
	struct cds_list_head node;
	str_t adapter; /* owned */
	uint32_t hash;
	load_phase_t phase;
	uint32_t waiting;
	uint32_t told_waiting; /* in the newest ask */
	int64_t due_us;	       /* deadline of the most urgent waiting request */
	int64_t load_us;
	int64_t since_us;
} load_t;

/* An order whose final event is still to come. */
typedef struct order {
	uint64_t id;
	order_kind_t kind;
	owner_t *o;
	run_t *run;    /* NULL: nobody waits for it any more */
	str_t adapter; /* owned */
	uint64_t boot; /* the target's boot id when it was sent */
	int64_t sent_us;
} order_t;

typedef struct backoff {
	int64_t until_us;
	uint32_t fails;
} backoff_t;

typedef struct peer {
	host_id_t host;
	int64_t at_us; /* its newest submit */
} peer_t;

struct owner {
	struct cds_list_head node; /* in the shard, ascending by id */
	shard_t *sh;
	target_id_t id;
	const target_t *row; /* of the shard's tables; NULL when deleted */
	own_state_t state;
	uint64_t fence;
	bool fenced;	  /* the target knows a newer owner */
	bool leaving;	  /* no new work */
	int64_t ready_us; /* OWN_WAIT ends */
	int64_t poll_us;  /* next read of its state */
	uint64_t poll_order;
	uint32_t poll_fails;
	uint64_t boot;
	int64_t slots_changed_us;
	slots_t slots;
	queue_t queue;
	struct cds_list_head loads;
	struct cds_list_head started; /* run_t not waiting */
	uint32_t n_running;	      /* run orders out, of this boot */
	uint32_t n_orders;	      /* all orders out */
	uint32_t foreign;	      /* runs that a past owner started */
	double ratio;		      /* actual by expected service time */
	double call_us;		      /* mean duration of service calls */
	double load_wait_us;  /* mean time from need of a load to its end */
	GHashTable *backoffs; /* adapter hash -> backoff_t */
	peer_t peers[PEERS_MAX];
	size_t n_peers;
	bool changed; /* since the last report to peers */
	bool urgent;  /* the report must not wait */
	int64_t report_us;
};

static void owner_work(owner_t *o, int64_t now);

void owners_init(shard_t *sh)
{
	CDS_INIT_LIST_HEAD(&sh->owners);
	sh->orders = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static int64_t owner_now(const owner_t *o)
{
	return core_now(o->sh->s);
}

static bool owner_may_send(const owner_t *o, int64_t now)
{
	return o->state >= OWN_READ && o->row && !o->fenced &&
	       now < o->sh->standing.lease_until_us;
}

static owner_t *owner_find(shard_t *sh, target_id_t id)
{
	owner_t *o;

	cds_list_for_each_entry (o, &sh->owners, node)
		if (o->id == id)
			return o;
	return NULL;
}

/* Runs. */

static void run_free(run_t *r)
{
	if (r->phase == RUN_WAITING)
		queue_drop(&r->o->queue, &r->item);
	else
		cds_list_del(&r->node);
	atomic_fetch_sub(&r->o->sh->s->n_runs, 1);
	str_free(&r->adapter);
	str_free(&r->run_id);
	str_free(&r->path);
	str_free(&r->body);
	str_free(&r->key);
	free(r);
}

static Serve__Ref run_ref(const run_t *r)
{
	Serve__Ref ref = SERVE__REF__INIT;

	ref.epoch = r->epoch;
	ref.handle = r->handle;
	ref.attempt = r->attempt;
	return ref;
}

static void send_refused(owner_t *o, host_id_t to, Serve__Ref *ref,
			 reason_t reason, run_state_t run, int retry,
			 uint32_t retry_ms)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Refused m = SERVE__REFUSED__INIT;

	m.ref = ref;
	m.reason = reason;
	m.run = run;
	m.retry = (uint32_t)(retry + 1);
	m.retry_ms = retry_ms;
	m.detail = core_bytes(str_c(reason_info(reason)->help));
	msg.body_case = SERVE__SERVE_MSG__BODY_REFUSED;
	msg.refused = &m;
	core_send(o->sh->s, to, &msg);
}

#define NO_RETRY (-1)

/* Ends an attempt without a whole answer; frees r. */
static void run_refuse(run_t *r, reason_t reason, run_state_t run, int retry,
		       uint32_t retry_ms)
{
	Serve__Ref ref = run_ref(r);

	if (!r->gone)
		send_refused(r->o, r->from, &ref, reason, run, retry, retry_ms);
	run_free(r);
}

static int64_t owner_step_us(const owner_t *o, uint32_t batch)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;

	return (int64_t)((double)cfg->step_us *
			 (1 + cfg->step_growth * (batch ? batch - 1 : 0)));
}

static uint32_t owner_batch(const owner_t *o)
{
	return o->row && o->row->max_batch ? o->row->max_batch : 1;
}

/* Expected service time of a request in the batch that is likely. */
static int64_t run_cost(const owner_t *o, uint32_t max_tokens)
{
	uint32_t batch = o->n_running + o->foreign + o->queue.n + 1;
	uint32_t tokens = max_tokens ? max_tokens : DEFAULT_TOKENS;

	if (o->row && o->row->kind == TARGET_SERVICE)
		return (int64_t)o->call_us;
	if (batch > owner_batch(o))
		batch = owner_batch(o);
	return (int64_t)((double)tokens * o->ratio *
			 (double)owner_step_us(o, batch));
}

static int64_t owner_running_left(const owner_t *o, int64_t now)
{
	int64_t sum = 0, left;
	const run_t *r;

	cds_list_for_each_entry (r, &o->started, node) {
		left = r->started_us + r->item.cost_us - now;
		if (left > 0)
			sum += left;
	}
	return sum;
}

/* Expected wait until a request with ahead_us of work before it starts. */
static int64_t owner_wait_us(const owner_t *o, int64_t ahead_us, int64_t now)
{
	uint32_t batch = owner_batch(o);
	uint32_t busy = o->n_running + o->foreign;

	if (busy + o->queue.n < batch)
		return 0;
	return (owner_running_left(o, now) / 2 + ahead_us) / batch;
}

/* Reports. */

static void owner_add_peer(owner_t *o, host_id_t host, int64_t now)
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

static int64_t owner_evict_us(owner_t *o, int64_t now)
{
	const slot_t *victim;

	if (slots_empty(&o->slots))
		return 0;
	victim = slots_victim(&o->slots, &o->sh->s->cfg, now);
	if (!victim)
		return o->sh->s->cfg.load_us;
	return (int64_t)slot_cost(&o->slots, victim, now);
}

static void owner_fill_report(owner_t *o, Serve__Report *m, uint32_t *hashes,
			      int64_t now)
{
	m->target = o->id;
	m->fence = o->fence;
	m->waiting = o->queue.n;
	m->running = o->n_running + o->foreign;
	m->wait_us = owner_wait_us(o, o->queue.cost_us, now);
	m->each_us = run_cost(o, 0) / owner_batch(o);
	m->evict_us = owner_evict_us(o, now);
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
}

static void owner_report_peers(owner_t *o, Serve__Report *m, int64_t now)
{
	host_id_t live[PEERS_MAX + 1];
	size_t n = place_live(&o->sh->s->place, live, ARRAY_SIZE(live));
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;

	msg.body_case = SERVE__SERVE_MSG__BODY_REPORT;
	msg.report = m;
	if (n <= ARRAY_SIZE(live)) {
		for (size_t i = 0; i < n; i++)
			if (live[i] != o->sh->s->cfg.self)
				core_send(o->sh->s, live[i], &msg);
		return;
	}
	for (size_t i = 0; i < o->n_peers; i++)
		if (now - o->peers[i].at_us < PEER_LIFE_US)
			core_send(o->sh->s, o->peers[i].host, &msg);
}

/* Tells this daemon's placement at once, other daemons at a bounded rate. */
static void owner_report(owner_t *o, int64_t now)
{
	AUTO_FREE uint32_t *hashes = NULL;
	Serve__Report m = SERVE__REPORT__INIT;

	hashes = xcalloc(o->slots.n + 1, sizeof(*hashes));
	owner_fill_report(o, &m, hashes, now);
	place_report(&o->sh->s->place, &m, now);
	if (!o->urgent && now < o->report_us + REPORT_US)
		return;
	if (!o->urgent && !o->changed && now < o->report_us + REPORT_IDLE_US)
		return;
	o->report_us = now;
	o->changed = false;
	o->urgent = false;
	owner_report_peers(o, &m, now);
}

/* Orders. */

static order_t *owner_order(owner_t *o, engine_order_t *eo, run_t *run)
{
	serve_t *s = o->sh->s;
	order_t *ord = xcalloc(1, sizeof(*ord));

	ord->id = atomic_fetch_add(&s->next_order, 1);
	ord->kind = eo->kind;
	ord->o = o;
	ord->run = run;
	ord->adapter = str_copy(eo->adapter);
	ord->boot = o->boot;
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

static void owner_poll_soon(owner_t *o, int64_t now)
{
	if (o->poll_us > now)
		o->poll_us = now;
}

/* Cancels the run of an order; its final event still comes. */
static void owner_order_cancel(owner_t *o, uint64_t order)
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

static void run_start(run_t *r, int64_t now)
{
	owner_t *o = r->o;
	engine_order_t eo = {0};
	slot_t *slot = r->hash ? slots_find(&o->slots, r->adapter) : NULL;

	if (r->phase == RUN_WAITING) {
		queue_serve(&o->queue, &r->item);
		cds_list_add_tail(&r->node, &o->started);
		r->started_us = now;
	}
	r->phase = RUN_STARTED;
	eo.kind = r->resume ? ORDER_RESUME : ORDER_RUN;
	eo.adapter = r->adapter;
	eo.base = o->row ? o->row->base : str_n(NULL, 0);
	eo.run_id = r->run_id;
	eo.path = r->path;
	eo.body = r->body;
	eo.idempotency_key = r->key;
	eo.idempotent = r->repeatable;
	eo.resume_offset = r->resume ? r->offset : 0;
	eo.priority = r->item.class_ + r->item.priority;
	eo.deadline_us = r->item.deadline_us;
	eo.progress_us = o->sh->s->cfg.progress_us;
	if (slot) {
		slot->running++;
		slot->used_us = now;
	}
	o->n_running++;
	r->order = owner_order(o, &eo, r)->id;
}

/* Loads. */

static str_t adapter_name(str_t adapter)
{
	str_t name, version;

	str_split(adapter, '@', &name, &version);
	return name;
}

static load_t *load_find(owner_t *o, str_t adapter)
{
	load_t *l;

	cds_list_for_each_entry (l, &o->loads, node)
		if (str_eq(l->adapter, adapter))
			return l;
	return NULL;
}

static load_t *load_new(owner_t *o, const run_t *r, int64_t now)
{
	load_t *l = xcalloc(1, sizeof(*l));

	l->adapter = str_copy(r->adapter);
	l->hash = r->hash;
	l->load_us = r->load_us;
	l->since_us = now;
	cds_list_add_tail(&l->node, &o->loads);
	return l;
}

static void load_free(load_t *l)
{
	cds_list_del(&l->node);
	str_free(&l->adapter);
	free(l);
}

static void load_send_ask(owner_t *o, load_t *l, bool cancel, bool held)
{
	shard_t *sh = o->sh;
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitAsk m = SERVE__PERMIT_ASK__INIT;

	if (!sh->s->cfg.policy.permits)
		return;
	m.target = o->id;
	m.adapter = core_bytes(l->adapter);
	m.waiting = l->waiting;
	m.slack_us = l->due_us - core_now(sh->s);
	m.cancel = cancel;
	m.held = held;
	l->told_waiting = l->waiting;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_ASK;
	msg.permit_ask = &m;
	core_send(sh->s, sh->standing.leader, &msg);
}

/* Drops a load; its permit, or its ask, goes back to the leader. */
static void load_end(owner_t *o, load_t *l)
{
	if (l->phase != LOAD_WANTED)
		load_send_ask(o, l, true, false);
	load_free(l);
}

static void load_start(owner_t *o, load_t *l, slot_t *slot)
{
	engine_order_t eo = {0};
	int64_t now = owner_now(o);

	slot_take(slot, l->adapter, SLOT_LOADING);
	slot->load_us = l->load_us;
	slot->used_us = now;
	o->slots_changed_us = now;
	l->phase = LOAD_RUNS;
	eo.kind = ORDER_LOAD;
	eo.adapter = l->adapter;
	counter_add(CTR_LOADS, 1);
	slot->order = owner_order(o, &eo, NULL)->id;
}

static void load_evict(owner_t *o, load_t *l, slot_t *slot)
{
	engine_order_t eo = {0};

	slot->state = SLOT_UNLOADING;
	o->slots_changed_us = owner_now(o);
	l->phase = LOAD_EVICTS;
	eo.kind = ORDER_UNLOAD;
	eo.adapter = slot->adapter;
	counter_add(CTR_EVICTIONS, 1);
	slot->order = owner_order(o, &eo, NULL)->id;
}

static slot_t *owner_victim(owner_t *o, int64_t now)
{
	for (uint32_t i = 0; i < o->slots.n; i++) {
		slot_t *slot = &o->slots.v[i];

		if (slot_evictable(slot))
			slot->copied = place_copy_elsewhere(
				&o->sh->s->place, adapter_name(slot->adapter),
				slot->hash, o->id, now);
	}
	return slots_victim(&o->slots, &o->sh->s->cfg, now);
}

/* A granted load takes an empty slot, or evicts; else the permit goes back. */
static void load_granted(owner_t *o, load_t *l, int64_t now)
{
	slot_t *slot = slots_empty(&o->slots);

	if (slot) {
		load_start(o, l, slot);
		return;
	}
	slot = owner_victim(o, now);
	if (slot) {
		load_evict(o, l, slot);
		return;
	}
	load_send_ask(o, l, true, false);
	l->phase = LOAD_WANTED;
}

/* Slots that a load could get now, less the loads that already ask for one. */
static int owner_room(const owner_t *o)
{
	const load_t *l;
	int room = 0;

	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].state == SLOT_EMPTY ||
		    slot_evictable(&o->slots.v[i]))
			room++;
	cds_list_for_each_entry (l, &o->loads, node)
		if (l->phase == LOAD_ASKED)
			room--;
	return room;
}

static void load_ask(owner_t *o, load_t *l, int64_t now)
{
	l->phase = LOAD_ASKED;
	if (o->sh->s->cfg.policy.permits)
		load_send_ask(o, l, false, false);
	else
		load_granted(o, l, now);
}

/* Counts who waits for each slot and load; makes loads for what is missing. */
static void owner_count_waiting(owner_t *o, int64_t now)
{
	slot_t *slot;
	qitem_t *it;
	load_t *l;

	for (uint32_t i = 0; i < o->slots.n; i++)
		o->slots.v[i].awaited = 0;
	cds_list_for_each_entry (l, &o->loads, node) {
		l->waiting = 0;
		l->due_us = INT64_MAX / 2;
	}
	cds_list_for_each_entry (it, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		if (!r->hash || r->resume)
			continue;
		slot = slots_find(&o->slots, r->adapter);
		if (slot && slot->state != SLOT_UNLOADING)
			slot->awaited++;
		if (slot && slot->state == SLOT_RESIDENT)
			continue;
		r->stalled = true;
		l = load_find(o, r->adapter);
		if (!l && slot)
			continue;
		if (!l)
			l = load_new(o, r, now);
		l->waiting++;
		if (it->deadline_us < l->due_us)
			l->due_us = it->deadline_us;
	}
}

static void owner_work_loads(owner_t *o, int64_t now)
{
	int room;
	load_t *l, *tmp;

	owner_count_waiting(o, now);
	cds_list_for_each_entry_safe (l, tmp, &o->loads, node)
		if (!l->waiting && l->phase <= LOAD_ASKED)
			load_end(o, l);
	room = owner_room(o);
	cds_list_for_each_entry_safe (l, tmp, &o->loads, node) {
		if (l->phase == LOAD_WANTED && room > 0) {
			load_ask(o, l, now);
			room--;
		} else if (l->phase == LOAD_ASKED &&
			   l->waiting != l->told_waiting) {
			load_send_ask(o, l, false, false);
		}
	}
}

void owner_granted(shard_t *sh, const Serve__PermitGrant *m)
{
	owner_t *o = owner_find(sh, m->target);
	load_t *l = o ? load_find(o, core_str(m->adapter)) : NULL;
	int64_t now = core_now(sh->s);
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitAsk back = SERVE__PERMIT_ASK__INIT;

	if (l && l->phase == LOAD_ASKED && owner_may_send(o, now)) {
		load_granted(o, l, now);
		owner_work(o, now);
		return;
	}
	if (l && l->phase >= LOAD_EVICTS)
		return;
	back.target = m->target;
	back.adapter = m->adapter;
	back.cancel = true;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_ASK;
	msg.permit_ask = &back;
	core_send(sh->s, sh->standing.leader, &msg);
}

void owners_tell_permits(shard_t *sh)
{
	owner_t *o;
	load_t *l;

	cds_list_for_each_entry (o, &sh->owners, node)
		cds_list_for_each_entry (l, &o->loads, node)
			if (l->phase != LOAD_WANTED)
				load_send_ask(o, l, false,
					      l->phase >= LOAD_EVICTS);
}

static bool load_backed_off(owner_t *o, uint32_t hash, int64_t now)
{
	const backoff_t *b =
		g_hash_table_lookup(o->backoffs, GUINT_TO_POINTER(hash));

	return b && now < b->until_us;
}

static void load_failed(owner_t *o, uint32_t hash, int64_t now)
{
	gpointer key = GUINT_TO_POINTER(hash);
	backoff_t *b = g_hash_table_lookup(o->backoffs, key);
	int64_t delay;

	if (!b) {
		b = g_new0(backoff_t, 1);
		g_hash_table_insert(o->backoffs, key, b);
	}
	delay = LOAD_BACKOFF_US << (b->fails < 10 ? b->fails : 10);
	if (delay > LOAD_BACKOFF_MAX_US)
		delay = LOAD_BACKOFF_MAX_US;
	b->fails++;
	b->until_us = now + delay;
}

/* Refuses all waiting requests, or those for one adapter (hash not 0). */
static void owner_refuse_waiting(owner_t *o, uint32_t hash, reason_t reason,
				 int retry)
{
	qitem_t *it, *tmp;

	cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		if (!hash || r->hash == hash)
			run_refuse(r, reason, RUN_NO, retry, 0);
	}
	o->changed = true;
}

/* Dispatch. */

static bool run_ready(void *ctx, const qitem_t *it)
{
	const run_t *r = (const run_t *)it;
	slot_t *slot;

	(void)ctx;
	if (!r->hash || r->resume)
		return true;
	slot = slots_find(&r->o->slots, r->adapter);
	return slot && slot->state == SLOT_RESIDENT;
}

static void owner_work_dispatch(owner_t *o, int64_t now)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;
	qitem_t *it;

	while (o->n_running + o->foreign < owner_batch(o)) {
		it = queue_pick(&o->queue, cfg, run_ready, o);
		if (!it)
			return;
		run_start((run_t *)it, now);
		o->changed = true;
	}
}

static void owner_work_broken(owner_t *o, int64_t now)
{
	run_t *r, *tmp;

	cds_list_for_each_entry_safe (r, tmp, &o->started, node)
		if (r->phase == RUN_BROKEN && now >= r->again_us)
			run_start(r, now);
}

/* Refuses what has no chance any more. */
static void owner_work_deadlines(owner_t *o, int64_t now)
{
	bool early = o->sh->s->cfg.policy.early_refusal;
	qitem_t *it, *tmp;
	run_t *r, *rtmp;

	cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node) {
		r = (run_t *)it;
		if (now >= it->deadline_us)
			run_refuse(r, REASON_DEADLINE_PASSED, RUN_NO, NO_RETRY,
				   0);
		else if (early && now + it->cost_us / 2 > it->deadline_us)
			run_refuse(r, REASON_CANNOT_BE_ON_TIME, RUN_NO,
				   NO_RETRY, 0);
	}
	cds_list_for_each_entry_safe (r, rtmp, &o->started, node) {
		if (now < r->item.deadline_us || !r->repeatable)
			continue;
		owner_order_cancel(o, r->order);
		run_refuse(r, REASON_DEADLINE_EXCEEDED, RUN_YES, NO_RETRY, 0);
	}
}

/* Does all that can be done now. */
static void owner_work(owner_t *o, int64_t now)
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

/* Requests from entries. */

static void refuse_submit(shard_t *sh, host_id_t from, const Serve__Submit *m,
			  reason_t reason, int retry, uint32_t retry_ms)
{
	owner_t fake = {.sh = sh};

	send_refused(&fake, from, m->ref, reason, RUN_NO, retry, retry_ms);
}

static run_t *run_new(owner_t *o, host_id_t from, const Serve__Submit *m,
		      int64_t now)
{
	const org_t *org = decided_org(o->sh->tables, m->org);
	run_t *r = xcalloc(1, sizeof(*r));

	r->o = o;
	r->from = from;
	r->epoch = m->ref->epoch;
	r->handle = m->ref->handle;
	r->attempt = m->ref->attempt;
	r->adapter = str_copy(core_str(m->adapter));
	r->run_id = str_copy(core_str(m->run_id));
	r->path = str_copy(core_str(m->path));
	r->body = str_copy(core_str(m->body));
	r->key = str_copy(core_str(m->key));
	r->hash = r->adapter.n ? slot_hash(r->adapter) : 0;
	r->max_tokens = m->max_tokens;
	r->offset = m->offset;
	r->repeatable = m->repeatable;
	r->resume = m->resume;
	r->arrived_us = now;
	r->load_us =
		m->load_ms ? m->load_ms * USEC_PER_MSEC : o->sh->s->cfg.load_us;
	r->item.org = m->org;
	r->item.class_ = org ? org->priority : 0;
	r->item.priority = m->priority;
	r->item.deadline_us = now + m->slack_us;
	r->item.cost_us = run_cost(o, m->max_tokens);
	return r;
}

/* An earlier attempt of the same request, here, is ended without a word. */
static void owner_drop_older(owner_t *o, host_id_t from, const Serve__Ref *ref)
{
	run_t *r, *tmp;

	cds_list_for_each_entry_safe (r, tmp, &o->started, node) {
		if (r->from != from || r->epoch != ref->epoch ||
		    r->handle != ref->handle)
			continue;
		owner_order_cancel(o, r->order);
		run_free(r);
	}
}

/* When a request that is refused as late could be on time, in ms. */
static uint32_t owner_retry_ms(int64_t late_us)
{
	int64_t ms = late_us / USEC_PER_MSEC;

	if (ms < RETRY_SOON)
		ms = RETRY_SOON;
	return ms > RETRY_MS_MAX ? RETRY_MS_MAX : (uint32_t)ms;
}

/* Expected lateness of a request put into the queue now; 0 or less: on time. */
static int64_t owner_lateness(owner_t *o, const run_t *r, int64_t now)
{
	int64_t ahead = queue_ahead_us(&o->queue, &o->sh->s->cfg, &r->item);
	int64_t wait = owner_wait_us(o, ahead, now);
	int64_t stall = 0;
	slot_t *slot = r->hash ? slots_find(&o->slots, r->adapter) : NULL;

	if (r->hash && !r->resume && (!slot || slot->state != SLOT_RESIDENT))
		stall = r->load_us;
	if (stall > wait)
		wait = stall;
	return now + wait + r->item.cost_us - r->item.deadline_us;
}

static void owner_accept(owner_t *o, host_id_t from, const Serve__Submit *m)
{
	shard_t *sh = o->sh;
	const serve_cfg_t *cfg = &sh->s->cfg;
	int64_t now = core_now(sh->s), late;
	run_t *r = run_new(o, from, m, now);

	if (r->hash && !r->resume)
		slots_touch(&o->slots, r->adapter, now);
	late = owner_lateness(o, r, now);
	r->phase = RUN_WAITING;
	queue_put(&o->queue, &r->item);
	atomic_fetch_add(&sh->s->n_runs, 1);
	o->changed = true;
	if (r->hash && !r->resume && !slots_find(&o->slots, r->adapter) &&
	    load_backed_off(o, r->hash, now))
		run_refuse(r, REASON_LOAD_FAILED, RUN_NO, RETRY_LOAD_FAILED, 0);
	else if (o->queue.n > cfg->queue_max)
		run_refuse(r, REASON_QUEUE_FULL, RUN_NO, NO_RETRY, 0);
	else if (cfg->policy.early_refusal && late > 0)
		run_refuse(r, REASON_CANNOT_BE_ON_TIME, RUN_NO, NO_RETRY,
			   owner_retry_ms(late));
	owner_work(o, now);
}

void owner_submit(shard_t *sh, host_id_t from, const Serve__Submit *m)
{
	owner_t *o = owner_find(sh, m->target);
	int64_t now = core_now(sh->s);

	if (!m->ref || !sh->tables)
		return;
	if (!o || o->state == OWN_NOT || o->fenced ||
	    now >= sh->standing.lease_until_us) {
		refuse_submit(sh, from, m, REASON_NO_OWNER, RETRY_OWNER_MOVED,
			      0);
		return;
	}
	owner_add_peer(o, from, now);
	owner_drop_older(o, from, m->ref);
	if (o->leaving && !m->resume) {
		o->urgent = true;
		owner_report(o, now);
		refuse_submit(sh, from, m, REASON_NO_TARGET,
			      RETRY_TARGET_LEAVING, 0);
		return;
	}
	owner_accept(o, from, m);
}

static bool run_is(const run_t *r, host_id_t from, const Serve__Ref *ref)
{
	return r->from == from && r->epoch == ref->epoch &&
	       r->handle == ref->handle && r->attempt == ref->attempt;
}

void owner_cancel(shard_t *sh, host_id_t from, const Serve__Cancel *m)
{
	owner_t *o = owner_find(sh, m->target);
	qitem_t *it, *tmp;
	run_t *r, *rtmp;

	if (!o || !m->ref)
		return;
	cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node)
		if (run_is((run_t *)it, from, m->ref))
			run_refuse((run_t *)it, REASON_CANCELLED, RUN_NO,
				   NO_RETRY, 0);
	cds_list_for_each_entry_safe (r, rtmp, &o->started, node) {
		/* A call that may not be repeated goes on to its outcome. */
		if (!run_is(r, from, m->ref) || !r->repeatable)
			continue;
		owner_order_cancel(o, r->order);
		run_free(r);
	}
	owner_work(o, core_now(sh->s));
}

void owners_host_lost(shard_t *sh, host_id_t host)
{
	qitem_t *it, *tmp;
	owner_t *o;
	run_t *r;

	cds_list_for_each_entry (o, &sh->owners, node) {
		cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node)
			if (((run_t *)it)->from == host)
				run_free((run_t *)it);
		/* What runs may be asked for again by its run id. */
		cds_list_for_each_entry (r, &o->started, node)
			if (r->from == host)
				r->gone = true;
		owner_work(o, core_now(sh->s));
	}
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

static void slot_run_ended(owner_t *o, const order_t *ord)
{
	slot_t *slot;

	if (ord->boot != o->boot)
		return;
	o->n_running--;
	slot = ord->adapter.n ? slots_find(&o->slots, ord->adapter) : NULL;
	if (slot && slot->running)
		slot->running--;
}

static void average(double *mean, double sample)
{
	*mean += AVERAGE_WEIGHT * (sample - *mean);
}

static void owner_learn(owner_t *o, const run_t *r, int64_t now)
{
	double took = (double)(now - r->started_us);

	if (o->row && o->row->kind == TARGET_SERVICE) {
		average(&o->call_us, took);
		return;
	}
	if (r->resumes || r->resume || r->item.cost_us <= 0)
		return;
	average(&o->ratio, o->ratio * took / (double)r->item.cost_us);
	if (o->ratio < 0.02)
		o->ratio = 0.02;
	if (o->ratio > 5)
		o->ratio = 5;
}

/*
 * The target restarted: nothing of before is on it. Runs that were on it end;
 * except is the run, if any, that is known to be on the restarted one.
 */
static void owner_rebooted(owner_t *o, uint64_t boot, const run_t *except)
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

static void run_relay_head(run_t *r, int status)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Head m = SERVE__HEAD__INIT;
	Serve__Ref ref = run_ref(r);

	if (r->gone || r->head)
		return;
	r->head = true;
	m.ref = &ref;
	m.status = status;
	m.offset = r->offset;
	msg.body_case = SERVE__SERVE_MSG__BODY_HEAD;
	msg.head = &m;
	core_send(r->o->sh->s, r->from, &msg);
}

static void run_relay_chunk(run_t *r, str_t data)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Chunk m = SERVE__CHUNK__INIT;
	Serve__Ref ref = run_ref(r);

	m.ref = &ref;
	m.offset = r->offset;
	m.data = core_bytes(data);
	r->offset += data.n;
	if (r->gone)
		return;
	msg.body_case = SERVE__SERVE_MSG__BODY_CHUNK;
	msg.chunk = &m;
	core_send(r->o->sh->s, r->from, &msg);
}

static void run_relay_done(run_t *r)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Done m = SERVE__DONE__INIT;
	Serve__Ref ref = run_ref(r);

	if (r->gone)
		return;
	m.ref = &ref;
	m.length = r->offset;
	m.stall_us = r->stall_us;
	msg.body_case = SERVE__SERVE_MSG__BODY_DONE;
	msg.done = &m;
	core_send(r->o->sh->s, r->from, &msg);
}

static void run_head(run_t *r, order_t *ord, const engine_event_t *ev)
{
	owner_t *o = r->o;

	if (ev->boot_id && ev->boot_id != o->boot) {
		if (o->boot)
			owner_rebooted(o, ev->boot_id, r);
		o->boot = ev->boot_id;
		ord->boot = ev->boot_id;
		owner_poll_soon(o, owner_now(o));
	}
	if (r->adapter.n && ev->served_by.n &&
	    !str_eq(ev->served_by, r->adapter)) {
		log_event(LOG_ERR, "wrong_version", kv_u("target", o->id),
			  kv_s("asked", r->adapter),
			  kv_s("served", ev->served_by));
		owner_order_cancel(o, ord->id);
		owner_poll_soon(o, owner_now(o));
		run_refuse(r, REASON_WRONG_VERSION, RUN_YES, NO_RETRY, 0);
		return;
	}
	run_relay_head(r, ev->http_status);
}

static void run_chunk(run_t *r, const order_t *ord, const engine_event_t *ev)
{
	uint64_t skip;

	if (ev->offset > r->offset) {
		owner_order_cancel(r->o, ord->id);
		run_refuse(r, REASON_STREAM_TRUNCATED, RUN_YES, NO_RETRY, 0);
		return;
	}
	skip = r->offset - ev->offset;
	if (skip >= ev->data.n)
		return;
	run_relay_head(r, 200);
	run_relay_chunk(r, str_n(ev->data.p + skip, ev->data.n - skip));
}

static void run_done(run_t *r, int64_t now)
{
	owner_learn(r->o, r, now);
	run_relay_done(r);
	run_free(r);
}

static bool run_resume(run_t *r, const engine_event_t *ev, int64_t now)
{
	owner_t *o = r->o;

	if (!r->repeatable || !r->offset || !r->head ||
	    r->resumes >= RESUMES_MAX || o->state != OWN_ACTIVE ||
	    (o->row && o->row->kind == TARGET_SERVICE) ||
	    ev->reason == REASON_WRONG_VERSION ||
	    ev->reason == REASON_CANCELLED ||
	    ev->reason == REASON_TARGET_REFUSED)
		return false;
	counter_retried(RETRY_RESUMED);
	r->phase = RUN_BROKEN;
	r->resume = true;
	r->order = 0;
	r->again_us = now + RESUME_DELAY_US * r->resumes;
	r->resumes++;
	return true;
}

static int retry_of(reason_t reason)
{
	switch (reason) {
	case REASON_TARGET_REFUSED:
		return RETRY_TARGET_REFUSED;
	case REASON_TARGET_STALLED:
		return RETRY_TARGET_STALLED;
	case REASON_TARGET_LOST:
	case REASON_STREAM_TRUNCATED:
		return RETRY_TARGET_LOST;
	default:
		return NO_RETRY;
	}
}

/* The engine does not have the adapter that it should have. */
static void run_adapter_missing(run_t *r)
{
	owner_t *o = r->o;
	slot_t *slot = slots_find(&o->slots, r->adapter);

	if (slot && slot->state == SLOT_RESIDENT && !slot->running)
		slot_clear(slot);
	run_refuse(r, REASON_TARGET_REFUSED, RUN_NO, RETRY_TARGET_REFUSED, 0);
}

static void run_failed(run_t *r, const engine_event_t *ev, int64_t now)
{
	owner_t *o = r->o;
	run_state_t run = ev->sent ? RUN_UNKNOWN : RUN_NO;

	owner_poll_soon(o, now);
	if (r->head)
		run = RUN_YES;
	else if (reason_info(ev->reason)->run == RUN_NO)
		run = RUN_NO;
	if (ev->old_fence) {
		run_refuse(r, REASON_NO_OWNER, r->head ? RUN_YES : RUN_NO,
			   RETRY_OWNER_MOVED, 0);
	} else if (ev->target_leaving) {
		run_refuse(r, REASON_NO_TARGET, r->head ? RUN_YES : RUN_NO,
			   RETRY_TARGET_LEAVING, 0);
	} else if (ev->http_status == 404 && r->hash && !r->head &&
		   !r->resume) {
		run_adapter_missing(r);
	} else if (!run_resume(r, ev, now)) {
		run_refuse(r, ev->reason, run, retry_of(ev->reason), 0);
	}
}

static void owner_run_event(owner_t *o, order_t *ord, const engine_event_t *ev,
			    int64_t now)
{
	run_t *r = ord->run;

	if (engine_event_final(ev))
		slot_run_ended(o, ord);
	if (!r) {
		counter_add(CTR_LATE_DROPPED, 1);
		return;
	}
	if (engine_event_final(ev))
		ord->run = NULL;
	switch (ev->kind) {
	case EVENT_HEAD:
		run_head(r, ord, ev);
		break;
	case EVENT_CHUNK:
		run_chunk(r, ord, ev);
		break;
	case EVENT_DONE:
		run_done(r, now);
		break;
	default:
		run_failed(r, ev, now);
		break;
	}
}

/* The waiting requests for an adapter that has come: their stall is over. */
static void owner_stall_over(owner_t *o, uint32_t hash, int64_t now)
{
	qitem_t *it;

	cds_list_for_each_entry (it, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		if (r->hash == hash && r->stalled)
			r->stall_us = now - r->arrived_us;
	}
}

static void owner_load_event(owner_t *o, order_t *ord, const engine_event_t *ev,
			     int64_t now)
{
	slot_t *slot = slots_find(&o->slots, ord->adapter);
	load_t *l = load_find(o, ord->adapter);
	uint32_t hash = slot_hash(ord->adapter);

	if (!slot || slot->order != ord->id)
		return; /* of before a restart */
	o->slots_changed_us = now;
	slot->order = 0;
	if (l)
		load_end(o, l);
	if (ev->kind == EVENT_DONE) {
		slot->state = SLOT_RESIDENT;
		g_hash_table_remove(o->backoffs, GUINT_TO_POINTER(hash));
		owner_stall_over(o, hash, now);
		return;
	}
	counter_add(CTR_LOADS_FAILED, 1);
	slot_clear(slot);
	load_failed(o, hash, now);
	if (!ev->old_fence && !ev->target_leaving)
		owner_refuse_waiting(o, hash, REASON_LOAD_FAILED,
				     RETRY_LOAD_FAILED);
	owner_poll_soon(o, now);
}

static void owner_unload_event(owner_t *o, order_t *ord,
			       const engine_event_t *ev, int64_t now)
{
	slot_t *slot = slots_find(&o->slots, ord->adapter);
	load_t *l, *next = NULL;

	if (!slot || slot->order != ord->id)
		return;
	o->slots_changed_us = now;
	slot->order = 0;
	cds_list_for_each_entry (l, &o->loads, node)
		if (!next && l->phase == LOAD_EVICTS)
			next = l;
	if (ev->kind == EVENT_DONE) {
		slot_clear(slot);
		if (next && owner_may_send(o, now))
			load_start(o, next, slot);
		else if (next)
			load_end(o, next);
		return;
	}
	/* It may be gone or not: no run starts on it before a read tells. */
	slot->state = SLOT_LOADING;
	if (next)
		load_end(o, next);
	owner_poll_soon(o, now);
}

static slot_t *owner_new_slot(owner_t *o)
{
	slot_t *slot = slots_empty(&o->slots);

	if (slot)
		return slot;
	slots_resize(&o->slots, o->slots.n + 1);
	return slots_empty(&o->slots);
}

/* Takes over what the target says is on it. */
static void owner_adopt(owner_t *o, const engine_resident_t *res, bool first)
{
	slot_t *slot = slots_find(&o->slots, res->adapter);
	bool unknown = !slot;

	if (unknown) {
		slot = owner_new_slot(o);
		slot_take(slot, res->adapter, SLOT_RESIDENT);
		slot->load_us = o->sh->s->cfg.load_us;
	}
	if (slot->order)
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

		if (slot->state != SLOT_EMPTY && !slot->order &&
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
		     !o->slots.v[i].order))
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
	if (ev->kind != EVENT_STATE) {
		owner_state_failed(o, ev, now);
		return;
	}
	o->poll_fails = 0;
	if (ev->boot_id != o->boot) {
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
		load_free(l);
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

/* This daemon is the owner under a new fencing number. */
static void owner_take_over(owner_t *o, int64_t now)
{
	const target_t *row = o->row;

	o->fence = row->fence;
	o->fenced = false;
	o->state = OWN_WAIT;
	o->poll_fails = 0;
	o->ready_us = now;
	if (!row->checks_fence)
		o->ready_us += o->sh->s->cfg.order_max_us;
	log_event(LOG_NOTICE, "target_taken_over", kv_u("target", o->id),
		  kv_u("fence", o->fence),
		  kv_u("previous", row->previous_owner));
}

static void owner_lose(owner_t *o)
{
	load_t *l, *tmp;

	if (o->state == OWN_NOT)
		return;
	o->state = OWN_NOT;
	owner_refuse_waiting(o, 0, REASON_NO_OWNER, RETRY_OWNER_MOVED);
	cds_list_for_each_entry_safe (l, tmp, &o->loads, node)
		if (l->phase <= LOAD_ASKED)
			load_end(o, l);
	log_event(LOG_NOTICE, "target_given_up", kv_u("target", o->id),
		  kv_u("fence", o->fence));
}

static void owner_update(owner_t *o, int64_t now)
{
	const target_t *row = o->row;

	if (row->fence != o->fence || o->state == OWN_NOT)
		owner_take_over(o, now);
	slots_resize(&o->slots, row->slots);
	owner_set_leaving(o, row->state == TARGET_DRAINING ||
				     place_is_leaving(&o->sh->s->place, o->id));
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
	owner_set_leaving(o, o->row->state == TARGET_DRAINING ||
				     place_is_leaving(&sh->s->place, o->id));
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

	if (o->state == OWN_WAIT && leased && now >= o->ready_us)
		owner_start_reading(o, now);
	if (!leased && o->queue.n)
		owner_refuse_waiting(o, 0, REASON_NO_OWNER, RETRY_OWNER_MOVED);
	if (now >= o->poll_us && owner_may_send(o, now))
		owner_read_state(o);
	owner_work(o, now);
}

static int64_t min_time(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t owner_next(const owner_t *o, int64_t now)
{
	int64_t next = INT64_MAX, lease = o->sh->standing.lease_until_us;
	const qitem_t *it;
	const run_t *r;

	if (o->state == OWN_WAIT)
		next = o->ready_us > now ? o->ready_us : lease;
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
	qitem_t *it, *itmp;
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
			   slot->awaited);
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
			   (long long)(owner_wait_us(o, o->queue.cost_us, now) /
				       USEC_PER_MSEC));
		status_slots(o, json);
		buf_puts(json, "]}");
		*first = false;
	}
}
