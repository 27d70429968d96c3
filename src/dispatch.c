/* dispatch.c - requests that ask for a place, and the places granted. */
#include "dispatch_int.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

/* A part of the allowed repeats stays unused: windows slide. */
#define BUDGET_SHARE 0.8
/* A place whose end was never told is free so long after nobody waits. */
#define PLACE_LINGER_US (3 * USEC_PER_SEC)
/* A first event that is this late against its estimate shows a runner that
 * hangs. */
#define HANG_US (1500 * USEC_PER_MSEC)
/* How often places are looked over. */
#define SWEEP_US (250 * USEC_PER_MSEC)
/* Requests decided at once; the most urgent come first. */
#define DECIDE_MAX 64u
/* How often requests that wait are decided again. */
#define QUEUE_US (10 * USEC_PER_MSEC)
/* A runner that refused a request gets none for so long. */
#define FULL_US (100 * USEC_PER_MSEC)
#define ASK_TRIES_MAX 4u
#define PACE_WEIGHT 0.1
#define STAY_DIV 16 /* a new time counts so much less than what was learnt */
#define PACE_MIN 0.5
#define PACE_MAX 6.0
#define NO_BUDGET_RETRY_US (1 * USEC_PER_SEC)

const char *place_outcome_name(place_outcome_t o)
{
	static const char *const names[] = {
#define X(name, text) text,
		PLACE_OUTCOMES(X)
#undef X
	};

	return o < PLACE_OUTCOME_COUNT ? names[o] : "unknown";
}

static guint key_hash(gconstpointer p)
{
	const place_key_t *k = p;

	return (guint)(k->id * 0x9e3779b97f4a7c15ull >> 32) ^ k->host;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const place_key_t *ka = a;
	const place_key_t *kb = b;

	return ka->id == kb->id && ka->host == kb->host;
}

dispatch_t *dispatch_new(const dispatch_cfg_t *cfg, const dispatch_ops_t *ops,
			 void *ctx)
{
	dispatch_t *d = xcalloc(1, sizeof(*d));

	d->cfg = *cfg;
	d->cfg.holder = str_copy(cfg->holder);
	d->ops = *ops;
	d->ctx = ctx;
	d->places = g_hash_table_new(key_hash, key_equal);
	d->versions = g_hash_table_new(NULL, NULL);
	CDS_INIT_LIST_HEAD(&d->runners);
	CDS_INIT_LIST_HEAD(&d->asks);
	CDS_INIT_LIST_HEAD(&d->budgets);
	return d;
}

/* Repeats. */

static budget_t *budget_of(dispatch_t *d, str_t service)
{
	budget_t *b;

	cds_list_for_each_entry (b, &d->budgets, node)
		if (str_eq(b->service, service))
			return b;
	b = xcalloc(1, sizeof(*b));
	b->service = str_copy(service);
	cds_list_add(&b->node, &d->budgets);
	return b;
}

/* Moves on to the present step, forgetting those out of the window. */
static void budget_advance(const dispatch_t *d, budget_t *b, int64_t now_us)
{
	int64_t step = now_us / (d->cfg.retry_window_us / BUDGET_STEPS);

	if (step - b->step >= (int64_t)BUDGET_STEPS)
		b->step = step - BUDGET_STEPS;
	while (b->step < step) {
		b->step++;
		b->requests[b->step % BUDGET_STEPS] = 0;
		b->repeats[b->step % BUDGET_STEPS] = 0;
	}
}

/*
 * Counts a request, or a repeat where the window allows one. A dispatcher that
 * has just begun does not know what was spent, and gives out half.
 */
static bool budget_take(dispatch_t *d, const Dispatch__Ask *a, int64_t now_us)
{
	budget_t *b = budget_of(d, pb_str(a->service));
	double allowed = d->cfg.retry_slack * BUDGET_SHARE;
	uint32_t requests = 0;
	uint32_t repeats = 0;

	budget_advance(d, b, now_us);
	if (!a->repeat) {
		b->requests[b->step % BUDGET_STEPS]++;
		return true;
	}
	for (size_t i = 0; i < BUDGET_STEPS; i++) {
		requests += b->requests[i];
		repeats += b->repeats[i];
	}
	if (now_us - d->began_us < d->cfg.retry_window_us)
		allowed /= 2;
	allowed *= d->share;
	allowed += requests * d->cfg.retry_ratio * BUDGET_SHARE;
	if (repeats + 1 > allowed)
		return false;
	b->repeats[b->step % BUDGET_STEPS]++;
	return true;
}

/* Messages. */

static void send_refusal(dispatch_t *d, const place_key_t *key, reason_t reason,
			 int64_t retry_us)
{
	Dispatch__Refusal pb = DISPATCH__REFUSAL__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.id = key->id;
	pb.reason = reason;
	pb.retry_us = retry_us;
	msg.body_case = DISPATCH__MSG__BODY_REFUSAL;
	msg.refusal = &pb;
	d->ops.send(d->ctx, key->host, &msg);
}

static void send_waiting(dispatch_t *d, const place_key_t *key)
{
	Dispatch__Waiting pb = DISPATCH__WAITING__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.id = key->id;
	msg.body_case = DISPATCH__MSG__BODY_WAITING;
	msg.waiting = &pb;
	d->ops.send(d->ctx, key->host, &msg);
}

static void send_pong(dispatch_t *d, host_id_t to, const Dispatch__Ping *m)
{
	Dispatch__Pong pb = DISPATCH__PONG__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.sent_us = m->sent_us;
	msg.body_case = DISPATCH__MSG__BODY_PONG;
	msg.pong = &pb;
	d->ops.send(d->ctx, to, &msg);
}

static void send_grant(dispatch_t *d, const grant_place_t *p)
{
	Dispatch__Grant pb = DISPATCH__GRANT__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.id = p->key.id;
	pb.runner = pb_bytes(p->runner->id);
	pb.addr = pb_bytes(p->runner->addr);
	pb.term = d->term;
	if (p->copy)
		pb.adapter_version = p->copy->version;
	msg.body_case = DISPATCH__MSG__BODY_GRANT;
	msg.grant = &pb;
	d->ops.send(d->ctx, p->key.host, &msg);
}

/* Places. */

static void place_start(grant_place_t *p)
{
	if (p->started)
		return;
	p->started = true;
	p->runner->unread_tokens -= p->unread;
}

static void place_free(dispatch_t *d, grant_place_t *p, int64_t now_us)
{
	place_start(p);
	p->runner->n_places--;
	p->runner->held_tokens -= p->tokens;
	if (p->copy) {
		p->copy->users--;
		p->copy->used_us = now_us;
	}
	cds_list_del(&p->node);
	g_hash_table_remove(d->places, &p->key);
	free(p);
}

static void unqueue(ask_t *k)
{
	if (k->queued_at)
		k->queued_at->queued--;
	k->queued_at = NULL;
}

static void queue_at(ask_t *k, runner_t *r)
{
	k->queued_at = r;
	r->queued++;
}

void places_runner_gone(dispatch_t *d, runner_t *r)
{
	grant_place_t *p, *tmp;
	ask_t *k;

	cds_list_for_each_entry_safe (p, tmp, &r->places, node)
		place_free(d, p, 0);
	cds_list_for_each_entry (k, &d->asks, node)
		if (k->queued_at == r)
			unqueue(k);
}

static grant_place_t *place_add(dispatch_t *d, const place_key_t *key,
				runner_t *r, copy_t *c)
{
	grant_place_t *old = g_hash_table_lookup(d->places, key);
	grant_place_t *p;

	if (old)
		place_free(d, old, 0);
	p = xcalloc(1, sizeof(*p));
	p->key = *key;
	p->runner = r;
	p->copy = c;
	cds_list_add_tail(&p->node, &r->places);
	r->n_places++;
	if (c)
		c->users++;
	g_hash_table_insert(d->places, &p->key, p);
	return p;
}

static void grant(dispatch_t *d, const place_key_t *key, const Dispatch__Ask *a,
		  runner_t *r, int64_t first_us, int64_t now_us)
{
	copy_t *c = a->adapter.len ? runner_copy(r, pb_str(a->model),
						 pb_str(a->adapter))
				   : NULL;
	grant_place_t *p = place_add(d, key, r, c);
	part_keys_t keys;

	part_keys(a, &keys);
	p->unread = runner_unread(r, a, &keys);
	p->tokens = a->tokens_in + a->tokens_out;
	p->granted_us = now_us;
	p->expected_us = first_us;
	p->ends_us = now_us + a->left_us;
	r->unread_tokens += p->unread;
	r->held_tokens += p->tokens;
	choice_note_grant(r, p->unread, now_us);
	runner_remember_parts(r, &keys);
	if (c)
		c->used_us = now_us;
	log_event(LOG_INFO, "placed", kv_s("id", pb_str(a->request)),
		  kv_s("runner", r->id), kv_s("adapter", pb_str(a->adapter)),
		  kv_u("version", c ? c->version : 0),
		  kv_u("unread", r->unread_tokens), kv_u("places", r->n_places),
		  kv_i("first_ms", first_us / USEC_PER_MSEC));
	send_grant(d, p);
}

/* Requests that wait for an adapter. */

static void ask_free(ask_t *k)
{
	unqueue(k);
	if (k->copy)
		k->copy->waiting--;
	cds_list_del(&k->node);
	dispatch__msg__free_unpacked(k->msg, NULL);
	free(k);
}

static void ask_refuse(dispatch_t *d, ask_t *k, reason_t reason,
		       int64_t retry_us)
{
	log_event(LOG_INFO, "turned_away",
		  kv_s("id", pb_str(k->msg->ask->request)),
		  KV_C("reason", reason_info(reason)->name),
		  kv_i("retry_ms", retry_us / USEC_PER_MSEC));
	send_refusal(d, &k->key, reason, retry_us);
	ask_free(k);
}

static ask_t *ask_find(dispatch_t *d, const place_key_t *key)
{
	ask_t *k;

	cds_list_for_each_entry (k, &d->asks, node)
		if (key_equal(&k->key, key))
			return k;
	return NULL;
}

/* Has the copy loaded, and waits for it. */
static void wait_for_copy(dispatch_t *d, ask_t *k, const choice_t *ch,
			  int64_t now_us)
{
	const Dispatch__Ask *a = k->msg->ask;
	str_t model = pb_str(a->model);
	str_t adapter = pb_str(a->adapter);
	copy_t *c = runner_copy(ch->runner, model, adapter);

	if (!c) {
		c = runner_add_copy(d, ch->runner, model, adapter, COPY_WANTED);
		c->wanted_us = now_us;
	} else if (ch->load) {
		copy_set_state(d, c, COPY_WANTED);
	}
	log_event(LOG_INFO, "waits", kv_s("id", pb_str(a->request)),
		  kv_s("runner", ch->runner->id), kv_s("adapter", adapter),
		  kv_u("tries", k->tries));
	k->wait_from_us = now_us;
	k->copy = c;
	c->waiting++;
	c->used_us = now_us;
	orders_pump(d, now_us);
	d->orders_due_us = now_us;
}

static bool copy_ready(const runner_t *r, const Dispatch__Ask *a)
{
	const copy_t *c;

	if (!a->adapter.len)
		return true;
	c = runner_copy(r, pb_str(a->model), pb_str(a->adapter));
	return c && c->state == COPY_READY;
}

/* Grants, refuses, or waits. */
static void ask_decide(dispatch_t *d, ask_t *k, int64_t now_us)
{
	const Dispatch__Ask *a = k->msg->ask;
	choice_t ch;

	if (!d->have_list || !d->manifest)
		return; /* decided again once they are known */
	unqueue(k);
	ch = choose_runner(d, a, now_us - k->asked_us, k->load_us, now_us);
	if (!ch.runner) {
		ask_refuse(d, k, ch.reason, ch.retry_us);
		return;
	}
	if (!ch.load && copy_ready(ch.runner, a)) {
		if (ch.room_us > 0) {
			queue_at(k, ch.runner); /* decided again soon */
			return;
		}
		grant(d, &k->key, a, ch.runner, ch.first_us, now_us);
		ask_free(k);
		return;
	}
	if (k->tries++ >= ASK_TRIES_MAX) {
		ask_refuse(d, k, REASON_LOAD_FAILED, NO_BUDGET_RETRY_US);
		return;
	}
	wait_for_copy(d, k, &ch, now_us);
}

void asks_copy_ready(dispatch_t *d, copy_t *c, int64_t now_us)
{
	ask_t *k, *tmp;

	cds_list_for_each_entry_safe (k, tmp, &d->asks, node) {
		if (k->copy != c)
			continue;
		c->waiting--;
		k->copy = NULL;
		k->load_us += now_us - k->wait_from_us;
		ask_decide(d, k, now_us);
	}
}

void asks_copy_gone(dispatch_t *d, const copy_t *c)
{
	ask_t *k;

	cds_list_for_each_entry (k, &d->asks, node)
		if (k->copy == c)
			k->copy = NULL;
}

/* Whether the request waits or has its place; then the answer was lost. */
static bool is_resent(dispatch_t *d, const place_key_t *key)
{
	const grant_place_t *p = g_hash_table_lookup(d->places, key);

	if (p) {
		send_grant(d, p);
		return true;
	}
	if (!ask_find(d, key))
		return false;
	send_waiting(d, key);
	return true;
}

/* Behind all that are as urgent. */
static void ask_queue(dispatch_t *d, ask_t *k)
{
	struct cds_list_head *at = d->asks.prev;

	while (at != &d->asks &&
	       cds_list_entry(at, ask_t, node)->msg->ask->priority >
		       k->msg->ask->priority)
		at = at->prev;
	cds_list_add(&k->node, at);
}

/* Takes over the message. */
static void on_ask(dispatch_t *d, const place_key_t *key, Dispatch__Msg *msg,
		   int64_t now_us)
{
	const Dispatch__Ask *a = msg->ask;
	ask_t *k;

	if (is_resent(d, key)) {
		dispatch__msg__free_unpacked(msg, NULL);
		return;
	}
	if (!budget_take(d, a, now_us)) {
		send_refusal(d, key, REASON_RETRY_BUDGET, NO_BUDGET_RETRY_US);
		dispatch__msg__free_unpacked(msg, NULL);
		return;
	}
	k = xcalloc(1, sizeof(*k));
	k->key = *key;
	k->msg = msg;
	k->asked_us = now_us;
	k->until_us = now_us + a->left_us;
	ask_queue(d, k);
	ask_decide(d, k, now_us);
	if (!ask_find(d, key))
		return;
	send_waiting(d, key);
	d->decide_due_us = MIN(d->decide_due_us, now_us + QUEUE_US);
}

/* Messages of entries. */

static void learn_pace(grant_place_t *p, int64_t waited_us)
{
	runner_t *r = p->runner;
	double ratio;

	if (p->expected_us <= 0 || waited_us <= 0)
		return;
	ratio = (double)waited_us / (double)p->expected_us;
	r->pace += PACE_WEIGHT * (ratio - 1) * r->pace;
	if (r->pace < PACE_MIN)
		r->pace = PACE_MIN;
	if (r->pace > PACE_MAX)
		r->pace = PACE_MAX;
}

static void learn_stay(const grant_place_t *p, int64_t now_us)
{
	int64_t stay = now_us - p->granted_us;

	if (p->granted_us)
		p->runner->stay_us += (stay - p->runner->stay_us) / STAY_DIV;
}

static void on_started(dispatch_t *d, const place_key_t *key,
		       const Dispatch__Started *m, int64_t now_us)
{
	grant_place_t *p = g_hash_table_lookup(d->places, key);

	if (!p || p->started)
		return;
	if (p->copy)
		orders_learn_time(d, p->copy, false, now_us);
	learn_pace(p, m->waited_us);
	p->runner->started_us = now_us;
	place_start(p);
}

static void on_done(dispatch_t *d, const place_key_t *key,
		    const Dispatch__Done *m, int64_t now_us)
{
	grant_place_t *p = g_hash_table_lookup(d->places, key);
	place_outcome_t o = (place_outcome_t)m->outcome;
	ask_t *k = ask_find(d, key);
	runner_t *r;
	copy_t *c;

	if (k)
		ask_free(k);
	if (!p)
		return;
	r = p->runner;
	c = p->copy;
	if (o == PLACE_NO_ADAPTER && c)
		log_event(LOG_DEBUG, "adapter_not_there", kv_s("runner", r->id),
			  kv_s("adapter", c->adapter),
			  kv_u("version", c->version), kv_u("state", c->state),
			  kv_u("fresh", c->fresh),
			  kv_i("ready_ms",
			       (now_us - c->ready_us) / USEC_PER_MSEC),
			  kv_i("granted_ms",
			       (now_us - p->granted_us) / USEC_PER_MSEC),
			  kv_i("load_ms", d->adapter_us / USEC_PER_MSEC));
	if (o == PLACE_ANSWERED)
		learn_stay(p, now_us);
	place_free(d, p, now_us);
	if (c && c->state == COPY_READY &&
	    (o == PLACE_NOT_RUN || o == PLACE_NO_ADAPTER)) {
		orders_learn_time(d, c, true, now_us);
		if (c->state == COPY_LOADING) {
			d->orders_due_us = now_us;
			return;
		}
	}
	if (o == PLACE_NOT_RUN)
		r->full_until_us = now_us + FULL_US;
	runner_note(r, o, now_us);
	if (o == PLACE_NO_ADAPTER || o == PLACE_OTHER_RUNNER)
		d->orders_due_us = now_us;
	if (o == PLACE_NO_ADAPTER)
		copy_doubt(d, r, c, now_us);
	else if (o == PLACE_OTHER_RUNNER)
		r->probe_due_us = now_us;
}

/* A place of an earlier term. */
static void on_held(dispatch_t *d, const place_key_t *key,
		    const Dispatch__Held *m)
{
	runner_t *r = fleet_find(d, pb_str(m->runner));
	grant_place_t *p;
	copy_t *c;

	if (!r || g_hash_table_lookup(d->places, key))
		return;
	c = m->adapter.len
		    ? runner_copy(r, pb_str(m->model), pb_str(m->adapter))
		    : NULL;
	p = place_add(d, key, r, c);
	p->tokens = m->tokens;
	p->started = true;
	p->ends_us = INT64_MAX / 2;
	r->held_tokens += p->tokens;
}

static bool is_used(const Dispatch__Uses *m, uint64_t id)
{
	for (size_t i = 0; i < m->n_ids; i++)
		if (m->ids[i] == id)
			return true;
	return false;
}

/* Frees the places of a host; NULL: all, else those that it does not use. */
static void free_places(dispatch_t *d, host_id_t host, const Dispatch__Uses *m,
			int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	GSList *lost = NULL;

	g_hash_table_iter_init(&it, d->places);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const grant_place_t *p = value;

		if (p->key.host == host && !(m && is_used(m, p->key.id)))
			lost = g_slist_prepend(lost, value);
	}
	for (GSList *l = lost; l; l = l->next)
		place_free(d, l->data, now_us);
	g_slist_free(lost);
}

/* Messages may have been lost: what the entry does not use is free. */
static void on_uses(dispatch_t *d, host_id_t from, const Dispatch__Uses *m,
		    int64_t now_us)
{
	ask_t *k, *tmp;

	free_places(d, from, m, now_us);
	cds_list_for_each_entry_safe (k, tmp, &d->asks, node)
		if (k->key.host == from && !is_used(m, k->key.id))
			ask_free(k);
}

static Dispatch__Msg *msg_copy(const Dispatch__Msg *msg)
{
	size_t n = dispatch__msg__get_packed_size(msg);
	AUTO_FREE uint8_t *bytes = xmalloc(n);

	dispatch__msg__pack(msg, bytes);
	return dispatch__msg__unpack(NULL, n, bytes);
}

void dispatch_recv(dispatch_t *d, host_id_t from, const Dispatch__Msg *msg,
		   int64_t now_us)
{
	place_key_t key = {.host = from};

	if (!d->active)
		return;
	switch (msg->body_case) {
	case DISPATCH__MSG__BODY_ASK:
		key.id = msg->ask->id;
		on_ask(d, &key, msg_copy(msg), now_us);
		break;
	case DISPATCH__MSG__BODY_STARTED:
		key.id = msg->started->id;
		on_started(d, &key, msg->started, now_us);
		break;
	case DISPATCH__MSG__BODY_DONE:
		key.id = msg->done->id;
		on_done(d, &key, msg->done, now_us);
		break;
	case DISPATCH__MSG__BODY_PING:
		send_pong(d, from, msg->ping);
		break;
	case DISPATCH__MSG__BODY_USES:
		on_uses(d, from, msg->uses, now_us);
		break;
	case DISPATCH__MSG__BODY_HELD:
		key.id = msg->held->id;
		on_held(d, &key, msg->held);
		break;
	default:
		break;
	}
}

void dispatch_host_lost(dispatch_t *d, host_id_t host, int64_t now_us)
{
	ask_t *k, *tmp;

	free_places(d, host, NULL, now_us);
	cds_list_for_each_entry_safe (k, tmp, &d->asks, node)
		if (k->key.host == host)
			ask_free(k);
}

/* The platform's side. */

/* A first guess at how many adapters the store brings at once. */
static uint32_t store_size(const dispatch_t *d)
{
	uint32_t n = ADAPTERS_AT_ONCE;

	for (size_t i = 0; d->manifest && i < d->manifest->n_services; i++) {
		double rate = d->manifest->services[i].loads_per_s;

		if (rate * ADAPTERS_PER_RATE > n)
			n = (uint32_t)(rate * ADAPTERS_PER_RATE);
	}
	return n;
}

/* Documents named MODEL/ADAPTER are decided versions of adapters. */
static void note_versions(dispatch_t *d)
{
	for (size_t i = 0; i < decided_doc_count(d->tables); i++) {
		const doc_t *doc = decided_doc_at(d->tables, i);
		str_t model, adapter;

		if (str_split(doc->name, '/', &model, &adapter) && adapter.n)
			g_hash_table_insert(
				d->versions,
				GSIZE_TO_POINTER(copy_key(model, adapter)),
				GSIZE_TO_POINTER(doc->version));
	}
}

void dispatch_set_tables(dispatch_t *d, manifest_t *m, const decided_t *tables)
{
	manifest_unref(d->manifest);
	d->manifest = manifest_ref(m);
	decided_unref(d->tables);
	d->tables = decided_ref(tables);
	note_versions(d);
	if (d->at_once < store_size(d))
		d->at_once = store_size(d);
}

void dispatch_set_runners(dispatch_t *d, const runner_list_t *l, int64_t now_us)
{
	if (!d->active)
		return;
	fleet_take_list(d, l, now_us);
	d->have_list = true;
	d->decide_due_us = now_us;
	d->orders_due_us = now_us;
}

void dispatch_runner_report(dispatch_t *d, str_t runner,
			    const runner_info_t *info, int64_t now_us)
{
	runner_t *r = d->active ? fleet_find(d, runner) : NULL;

	if (!r)
		return;
	r->probing = false;
	if (!info)
		return; /* asked again when it is due */
	if (r->ordering || r->probed_us < r->settled_us + REPORT_LAG_US) {
		/* It may be from before the last order. */
		r->probe_due_us =
			(r->ordering ? now_us : r->settled_us) + REPORT_LAG_US;
		return;
	}
	r->probe_due_us = INT64_MAX;
	fleet_take_report(d, r, info, now_us);
	orders_pump(d, now_us);
	d->orders_due_us = now_us;
}

void dispatch_order_result(dispatch_t *d, str_t runner, order_result_t result,
			   int64_t now_us)
{
	runner_t *r = d->active ? fleet_find(d, runner) : NULL;

	if (!r)
		return;
	orders_result(d, r, result, now_us);
	d->orders_due_us = now_us;
}

/* Terms. */

void dispatch_begin(dispatch_t *d, uint64_t term, bool first, int64_t now_us)
{
	dispatch_end(d);
	d->active = true;
	d->mode = DISPATCH_LEADER;
	d->share = 1;
	d->have_list = false;
	d->term = term;
	d->began_us = now_us;
	d->at_once = store_size(d);
	d->adapter_us = ADAPTER_START_US;
	d->orders_due_us = now_us;
	d->decide_due_us = now_us;
	d->sweep_due_us = now_us;
	d->trial_due_us = 0;
	d->trial_ends_us = 0;
	d->orders_from_us = first ? now_us : now_us + d->cfg.takeover_wait_us;
	log_event(LOG_INFO, "dispatch_begun", kv_u("term", term),
		  kv_u("first", first));
}

void dispatch_begin_isolated(dispatch_t *d, size_t n, int64_t now_us)
{
	dispatch_end(d);
	d->active = true;
	d->mode = DISPATCH_ISOLATED;
	d->share = 1.0 / (double)(n ? n : 1);
	d->have_list = false;
	d->term = 0;
	d->began_us = now_us;
	d->orders_from_us = INT64_MAX;
	d->orders_due_us = now_us;
	d->decide_due_us = now_us;
	d->sweep_due_us = now_us;
	log_event(LOG_INFO, "dispatch_alone", kv_u("daemons", n));
}

void dispatch_end(dispatch_t *d)
{
	ask_t *k, *tmp;
	budget_t *b, *btmp;

	if (d->active && d->mode == DISPATCH_LEADER)
		log_event(LOG_INFO, "dispatch_ended", kv_u("term", d->term));

	cds_list_for_each_entry_safe (k, tmp, &d->asks, node)
		ask_free(k);
	fleet_clear(d);
	cds_list_for_each_entry_safe (b, btmp, &d->budgets, node) {
		cds_list_del(&b->node);
		str_free(&b->service);
		free(b);
	}
	d->active = false;
	d->lease_until_us = INT64_MIN;
}

bool dispatch_active(const dispatch_t *d)
{
	return d->active;
}

void dispatch_set_lease(dispatch_t *d, int64_t until_us)
{
	d->lease_until_us = until_us;
}

void dispatch_free(dispatch_t *d)
{
	if (!d)
		return;
	dispatch_end(d);
	g_hash_table_destroy(d->places);
	g_hash_table_destroy(d->versions);
	manifest_unref(d->manifest);
	decided_unref(d->tables);
	str_free(&d->cfg.holder);
	free(d);
}

/* What takes too long. */

static void sweep_runner(dispatch_t *d, runner_t *r, int64_t now_us)
{
	grant_place_t *p, *tmp;
	bool hangs = false;

	cds_list_for_each_entry_safe (p, tmp, &r->places, node) {
		if (now_us > p->ends_us + PLACE_LINGER_US) {
			place_free(d, p, now_us);
			continue;
		}
		if (!p->started && p->expected_us > 0 &&
		    r->started_us < p->granted_us &&
		    now_us - p->granted_us > p->expected_us * 2 + HANG_US)
			hangs = true;
	}
	if (hangs && r->suspended_until_us <= now_us)
		runner_note(r, PLACE_SILENT, now_us);
}

/* Decides the requests that wait; when that has to be done again. */
static int64_t decide_asks(dispatch_t *d, int64_t now_us)
{
	uint32_t n = 0;
	ask_t *k, *tmp;

	cds_list_for_each_entry_safe (k, tmp, &d->asks, node) {
		if (now_us >= k->until_us)
			ask_refuse(d, k, REASON_LOAD_FAILED,
				   NO_BUDGET_RETRY_US);
		else if (!k->copy && n++ < DECIDE_MAX)
			ask_decide(d, k, now_us);
	}
	return cds_list_empty(&d->asks) ? INT64_MAX : now_us + QUEUE_US;
}

int64_t dispatch_tick(dispatch_t *d, int64_t now_us)
{
	runner_t *r;

	if (!d->active)
		return INT64_MAX;
	if (now_us >= d->orders_due_us)
		d->orders_due_us = orders_tick(d, now_us);
	if (now_us >= d->decide_due_us)
		d->decide_due_us = decide_asks(d, now_us);
	if (now_us >= d->sweep_due_us) {
		d->sweep_due_us = now_us + SWEEP_US;
		cds_list_for_each_entry (r, &d->runners, node)
			if (r->n_places)
				sweep_runner(d, r, now_us);
	}
	return MIN(d->sweep_due_us, MIN(d->orders_due_us, d->decide_due_us));
}
