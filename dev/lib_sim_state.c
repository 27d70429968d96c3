/*
 * lib_sim_state.c - state cores of the simulated daemons: their disks and
 * messages, the changes of operators, and the oracle's checks of the decisions.
 */
#include "lib_sim_priv.h"

#include "change.h"
#include "change_json.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_US (100 * USEC_PER_MSEC)
#define ELECTION_US (600 * USEC_PER_MSEC)
#define LEASE_US (1500 * USEC_PER_MSEC)
#define MAX_STALENESS_US (2 * USEC_PER_SEC)
#define DRIFT_PPM 1000u
#define SNAPSHOT_ENTRIES 64u
#define FANOUT 2u
#define BOOTSTRAP_TIMEOUT_US (30 * USEC_PER_SEC)
#define DRAIN_POLL_US (50 * USEC_PER_MSEC)
/*
 * The users require that an accepted change is "in force at every site within
 * seconds": the oracle takes this time for it.
 */
#define IN_FORCE_WITHIN_US (5 * USEC_PER_SEC)

/* --- disks -------------------------------------------------------------- */

typedef struct disk_rec {
	uint64_t index, term;
	uint32_t kind;
	buf_t data;
} disk_rec_t;

/* An operation that is not synced yet. */
typedef struct disk_op {
	enum {
		OP_APPEND,
		OP_TRUNCATE,
		OP_VOTE
	} kind;
	disk_rec_t rec; /* OP_APPEND */
	uint64_t from;	/* OP_TRUNCATE */
	uint64_t term;	/* OP_VOTE */
	uint32_t voted_for;
} disk_op_t;

/* The disk of a voter. A stop of the daemon loses what is not synced. */
struct sim_disk {
	wal_t wal;
	uint64_t incarnation; /* unique to each disk, also to its replacement */
	/* The synced state. */
	GArray *recs; /* of disk_rec_t */
	uint64_t term, snap_index, snap_term;
	uint32_t voted_for;
	buf_t snap;
	GArray *unsynced; /* of disk_op_t, in order */
};

typedef struct sim_disk sim_disk_t;

static void unsynced_clear(sim_disk_t *d)
{
	for (guint i = 0; i < d->unsynced->len; i++)
		buf_free(&g_array_index(d->unsynced, disk_op_t, i).rec.data);
	g_array_set_size(d->unsynced, 0);
}

static void recs_truncate(sim_disk_t *d, uint64_t from)
{
	while (d->recs->len) {
		disk_rec_t *r =
			&g_array_index(d->recs, disk_rec_t, d->recs->len - 1);

		if (r->index < from)
			return;
		buf_free(&r->data);
		g_array_set_size(d->recs, d->recs->len - 1);
	}
}

static int disk_append(void *ctx, const wal_rec_t *recs, size_t n,
		       wal_err_t *err)
{
	sim_disk_t *d = ctx;

	for (size_t i = 0; i < n; i++) {
		disk_op_t op = {.kind = OP_APPEND};

		op.rec.index = recs[i].index;
		op.rec.term = recs[i].term;
		op.rec.kind = recs[i].kind;
		buf_put(&op.rec.data, recs[i].data.p, recs[i].data.n);
		g_array_append_val(d->unsynced, op);
	}
	return 0;
}

static int disk_truncate(void *ctx, uint64_t from, wal_err_t *err)
{
	disk_op_t op = {.kind = OP_TRUNCATE, .from = from};

	g_array_append_val(((sim_disk_t *)ctx)->unsynced, op);
	return 0;
}

static int disk_set_vote(void *ctx, uint64_t term, uint32_t voted_for,
			 wal_err_t *err)
{
	disk_op_t op = {.kind = OP_VOTE, .term = term, .voted_for = voted_for};

	g_array_append_val(((sim_disk_t *)ctx)->unsynced, op);
	return 0;
}

static int disk_sync(void *ctx, wal_err_t *err)
{
	sim_disk_t *d = ctx;

	for (guint i = 0; i < d->unsynced->len; i++) {
		disk_op_t *op = &g_array_index(d->unsynced, disk_op_t, i);

		if (op->kind == OP_APPEND) {
			g_array_append_val(d->recs, op->rec);
		} else if (op->kind == OP_TRUNCATE) {
			recs_truncate(d, op->from);
		} else {
			d->term = op->term;
			d->voted_for = op->voted_for;
		}
	}
	g_array_set_size(d->unsynced, 0);
	return 0;
}

static int disk_snapshot(void *ctx, uint64_t index, uint64_t term, str_t data,
			 wal_err_t *err)
{
	sim_disk_t *d = ctx;
	guint n = 0;

	disk_sync(ctx, err);
	d->snap_index = index;
	d->snap_term = term;
	buf_reset(&d->snap);
	buf_put(&d->snap, data.p, data.n);
	while (n < d->recs->len &&
	       g_array_index(d->recs, disk_rec_t, n).index <= index) {
		buf_free(&g_array_index(d->recs, disk_rec_t, n).data);
		n++;
	}
	if (n)
		g_array_remove_range(d->recs, 0, n);
	return 0;
}

static int disk_replay(void *ctx, int (*each)(void *arg, const wal_rec_t *rec),
		       void *arg, wal_err_t *err)
{
	sim_disk_t *d = ctx;

	for (guint i = 0; i < d->recs->len; i++) {
		const disk_rec_t *r = &g_array_index(d->recs, disk_rec_t, i);
		wal_rec_t rec = {r->index, r->term, r->kind, buf_str(&r->data)};

		if (each(arg, &rec))
			return -1;
	}
	return 0;
}

static const wal_ops_t disk_ops = {disk_append, disk_truncate, disk_set_vote,
				   disk_sync,	disk_snapshot, disk_replay};

static sim_disk_t *disk_new(sim_t *s)
{
	sim_disk_t *d = xcalloc(1, sizeof(*d));

	d->incarnation = ++s->p->next_incarnation;
	d->recs = g_array_new(FALSE, TRUE, sizeof(disk_rec_t));
	d->unsynced = g_array_new(FALSE, TRUE, sizeof(disk_op_t));
	d->wal.ops = &disk_ops;
	d->wal.ctx = d;
	return d;
}

static void disk_free(sim_disk_t *d)
{
	if (!d)
		return;
	unsynced_clear(d);
	recs_truncate(d, 0);
	g_array_free(d->recs, TRUE);
	g_array_free(d->unsynced, TRUE);
	buf_free(&d->snap);
	free(d);
}

static wal_t *disk_open(sim_disk_t *d)
{
	wal_recovered_t *contents = &d->wal.recovered;

	memset(contents, 0, sizeof(*contents));
	contents->term = d->term;
	contents->voted_for = d->voted_for;
	contents->snapshot_index = d->snap_index;
	contents->snapshot_term = d->snap_term;
	contents->snapshot = buf_str(&d->snap);
	contents->empty = !d->term && !d->recs->len && !d->snap_index;
	contents->incarnation = d->incarnation;
	return &d->wal;
}

void sim_disk_wipe(sim_t *s, host_id_t id)
{
	sim_host_t *h = sim_host(s, id);

	disk_free(h->disk);
	h->disk = disk_new(s);
	sim_log(s, "host-%u lost its disk", id);
}

/* --- callbacks of the state cores --------------------------------------- */

static void deliver_state(sim_t *s, event_t *ev)
{
	if (event_host_alive(ev) && !ev->host->isolated)
		state_recv(ev->host->state, (host_id_t)ev->value, ev->data.p,
			   ev->data.n);
}

static void op_state_send(void *ctx, host_id_t to, const void *p, size_t n)
{
	sim_message(ctx, to, deliver_state, p, n);
}

/* Makes d the simulation's tables where it is newer. */
static void keep_newest_tables(sim_t *s, decided_t *d)
{
	if (decided_index(d) <= decided_index(s->tables))
		return;
	decided_unref(s->tables);
	s->tables = decided_ref(d);
}

static void deliver_tables(sim_t *s, event_t *ev)
{
	decided_t *d = ev->arg;
	sim_host_t *h = ev->host;
	char detail[96];

	if (event_host_alive(ev)) {
		if (h->tables && decided_index(d) < decided_index(h->tables)) {
			snprintf(detail, sizeof(detail),
				 "host-%u index %" PRIu64 " after %" PRIu64,
				 h->id, decided_index(d),
				 decided_index(h->tables));
			sim_violation(s, SIM_REVERTED, detail);
		}
		decided_unref(h->tables);
		h->tables = decided_ref(d);
		keep_newest_tables(s, d);
		serve_set_tables(h->core, d);
	}
	decided_unref(d);
}

static void op_tables(void *ctx, decided_t *d)
{
	sim_host_t *h = ctx;
	event_t *ev = event_new(h->sim, deliver_tables);

	event_bind_host(ev, h);
	ev->arg = decided_ref(d);
	event_schedule_after(ev, 1);
}

static void deliver_lease_status(sim_t *s, event_t *ev)
{
	lease_status_t *st = ev->arg;

	if (event_host_alive(ev)) {
		ev->host->lease_until_us = st->lease_until_us;
		ev->host->tables_fresh_until_us = st->tables_fresh_until_us;
		ev->host->leader = st->leader;
		ev->host->is_leader = st->is_leader;
		serve_set_lease_status(ev->host->core, st);
	}
	free(st);
}

static void op_lease_status(void *ctx, const lease_status_t *st)
{
	sim_host_t *h = ctx;
	event_t *ev = event_new(h->sim, deliver_lease_status);
	lease_status_t *copy =
		xmalloc(sizeof(*copy) + st->n_live * sizeof(*st->live));

	*copy = *st;
	copy->live = (host_id_t *)(copy + 1);
	if (st->n_live)
		memcpy(copy + 1, st->live, st->n_live * sizeof(*st->live));
	event_bind_host(ev, h);
	ev->arg = copy;
	event_schedule_after(ev, 1);
}

static void deliver_state_claimed(sim_t *s, event_t *ev)
{
	ev->u.claim.body = buf_str(&ev->data);
	if (event_host_alive(ev))
		serve_claim_result(ev->host->core, &ev->u.claim);
}

static void op_claimed(void *ctx, const claim_result_t *res)
{
	sim_host_t *h = ctx;
	event_t *ev = event_new(h->sim, deliver_state_claimed);

	event_bind_host(ev, h);
	ev->u.claim = *res;
	buf_put(&ev->data, res->body.p, res->body.n);
	event_schedule_after(ev, 1);
}

/* A claim operation on its way from a serving core to its state core. */
typedef struct claim_message {
	claim_req_t req;
	char *key, *holder;
	buf_t body;
} claim_message_t;

static void claim_message_free(claim_message_t *m)
{
	free(m->key);
	free(m->holder);
	buf_free(&m->body);
	free(m);
}

static void deliver_claim(sim_t *s, event_t *ev)
{
	claim_message_t *m = ev->arg;

	if (event_host_alive(ev))
		state_claim(ev->host->state, &m->req);
	claim_message_free(m);
}

void sim_state_claim(sim_host_t *h, const claim_req_t *req)
{
	claim_message_t *m = xcalloc(1, sizeof(*m));
	event_t *ev = event_new(h->sim, deliver_claim);

	m->req = *req;
	m->key = str_dup(req->key);
	m->holder = str_dup(req->holder);
	buf_put(&m->body, req->body.p, req->body.n);
	m->req.key = str_n(m->key, req->key.n);
	m->req.holder = str_n(m->holder, req->holder.n);
	m->req.body = buf_str(&m->body);
	event_bind_host(ev, h);
	ev->arg = m;
	event_schedule_after(ev, 1);
}

void state_event_free_arg(event_t *ev)
{
	if (ev->fn == deliver_tables)
		decided_unref(ev->arg);
	if (ev->fn == deliver_lease_status)
		free(ev->arg);
	if (ev->fn == deliver_claim)
		claim_message_free(ev->arg);
}

/* --- changes ------------------------------------------------------------ */

void sim_change_free(gpointer p)
{
	sim_change_t *c = p;

	buf_free(&c->packed);
	free(c->id);
	free(c->adapter);
	free(c);
}

sim_change_t *sim_change(sim_t *s, const char *id)
{
	return g_hash_table_lookup(s->p->changes, id);
}

/*
 * Records that a change was reported as decided. A violation where its revision
 * belongs to another change too, or where it had another revision before.
 */
static void record_decision(sim_t *s, sim_change_t *c, uint64_t revision)
{
	gpointer key = g_memdup2(&revision, sizeof(revision));
	const char *other = g_hash_table_lookup(s->p->revisions, &revision);
	accepted_version_t *a;

	if (other && strcmp(other, c->id))
		sim_violation(s, SIM_TWO_DECIDED, c->id);
	if (c->decided && c->revision != revision)
		sim_violation(s, SIM_TWO_DECIDED, c->id);
	g_hash_table_insert(s->p->revisions, key, g_strdup(c->id));
	if (c->decided || !c->adapter)
		return;
	a = xcalloc(1, sizeof(*a));
	a->version = c->version;
	a->at_us = sim_now(s);
	g_hash_table_insert(s->p->accepted_versions, g_strdup(c->adapter), a);
}

static void deliver_changed(sim_t *s, event_t *ev)
{
	sim_change_t *c = sim_change(s, ev->text);

	if (ev->generation != c->tag || c->done)
		return;
	c->done = true;
	c->status = (change_status_t)ev->value;
	c->resent = ev->u.change.resent;
	snprintf(c->error, sizeof(c->error), "%.*s",
		 STR_ARG(buf_str(&ev->data)));
	if (c->status == CHANGE_DECIDED) {
		record_decision(s, c, ev->u.change.revision);
		c->decided = true;
	}
	c->revision = ev->u.change.revision;
	sim_log(s, "change %s status=%d revision=%" PRIu64, c->id,
		(int)c->status, c->revision);
}

/* Finds the change by the tag, which counts proposals and fits in 32 bits. */
static void op_changed(void *ctx, uint64_t tag, const change_outcome_t *out)
{
	sim_host_t *h = ctx;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, h->sim->p->changes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		sim_change_t *c = v;
		event_t *ev;

		if (c->tag != tag)
			continue;
		ev = event_new(h->sim, deliver_changed);
		ev->generation = (uint32_t)tag;
		ev->value = out->status;
		ev->u.change.revision = out->revision;
		ev->u.change.resent = out->resent;
		buf_put(&ev->data, out->error.p, out->error.n);
		snprintf(ev->text, sizeof(ev->text), "%s", c->id);
		event_schedule_after(ev, h->sim->cfg.deploy->caller_delay_us);
	}
}

static void deliver_proposal(sim_t *s, event_t *ev)
{
	if (event_host_alive(ev))
		state_propose_change(ev->host->state, ev->value, ev->data.p,
				     ev->data.n);
}

void sim_resend(sim_t *s, host_id_t host, const char *id)
{
	sim_change_t *c = sim_change(s, id);
	event_t *ev = event_new(s, deliver_proposal);

	c->done = false;
	c->tag = ++s->p->next_tag;
	event_bind_host(ev, sim_host(s, host));
	ev->value = c->tag;
	buf_put(&ev->data, c->packed.p, c->packed.n);
	event_schedule_after(ev, s->cfg.deploy->caller_delay_us);
}

/* Records the adapter version that the first operation publishes, if any. */
static void record_published_version(sim_change_t *c, const json_t *doc)
{
	const json_t *op = json_array_get(json_object_get(doc, "ops"), 0);
	const json_t *p = json_object_get(op, "adapter_publish");
	const json_t *name = json_array_get(json_object_get(p, "names"), 0);

	if (!json_is_string(name) || !json_object_get(p, "version"))
		return;
	c->adapter = str_dup(str_c(json_string_value(name)));
	c->version =
		(uint32_t)json_integer_value(json_object_get(p, "version"));
}

int sim_propose(sim_t *s, host_id_t host, const char *id, const char *text)
{
	json_t *doc = json_loads(text, 0, NULL);
	AUTO_BUF buf_t error = {0};
	sim_change_t *c = xcalloc(1, sizeof(*c));

	c->id = str_dup(str_c(id));
	json_object_set_new(doc, "change_id", json_string(id));
	if (!doc || change_from_json(doc, &c->packed, &error)) {
		sim_log(s, "change %s: %.*s", id, STR_ARG(buf_str(&error)));
		json_decref(doc);
		sim_change_free(c);
		return -1;
	}
	record_published_version(c, doc);
	json_decref(doc);
	g_hash_table_insert(s->p->changes, g_strdup(id), c);
	sim_resend(s, host, id);
	return 0;
}

uint32_t state_oldest_version(sim_t *s, const char *adapter, int64_t sent_us)
{
	const accepted_version_t *a =
		g_hash_table_lookup(s->p->accepted_versions, adapter);

	return a && sent_us > a->at_us + IN_FORCE_WITHIN_US ? a->version : 0;
}

/* --- daemons ------------------------------------------------------------ */

static const state_ops_t state_ops = {
	.send = op_state_send,
	.tables = op_tables,
	.lease_status = op_lease_status,
	.claimed = op_claimed,
	.changed = op_changed,
};

void state_host_boot(sim_t *s, sim_host_t *h)
{
	size_t n = (size_t)s->cfg.deploy->voters;
	AUTO_FREE state_voter_t *voters = xcalloc(n, sizeof(*voters));
	wal_err_t err = {0};
	char addr[64];
	state_cfg_t cfg = {
		.self = h->id,
		.zone = str_c(s->cfg.deploy->zones[h->zone]),
		.voters = voters,
		.n_voters = n,
		.seed = hash_bytes(&h->id, sizeof(h->id), s->cfg.seed) +
			h->generation,
		.heartbeat_us = HEARTBEAT_US,
		.election_us = ELECTION_US,
		.lease_us = LEASE_US,
		.max_staleness_us = MAX_STALENESS_US,
		.drift_ppm = DRIFT_PPM,
		.snapshot_entries = SNAPSHOT_ENTRIES,
		.fanout = FANOUT,
	};

	snprintf(addr, sizeof(addr), "10.0.0.1:90");
	for (size_t i = 0; i < n; i++) {
		voters[i].id = (host_id_t)i + 1;
		voters[i].addr = str_c(addr);
	}
	if (h->id <= n && !h->disk)
		h->disk = disk_new(s);
	h->state = state_new(&cfg, &state_ops, h, s->timers,
			     h->disk ? disk_open(h->disk) : NULL, &err);
	if (!h->state)
		sim_log(s, "host-%u: %s", h->id, wal_code_text(err.code));
}

void state_host_down(sim_t *s, sim_host_t *h)
{
	if (h->state)
		state_free(h->state);
	h->state = NULL;
	if (h->disk)
		unsynced_clear(h->disk);
	decided_unref(h->tables);
	h->tables = NULL;
	h->lease_until_us = 0;
	h->tables_fresh_until_us = 0;
	h->is_leader = false;
	h->leader = 0;
}

void state_host_free(sim_host_t *h)
{
	state_host_down(h->sim, h);
	disk_free(h->disk);
}

/*
 * Drains as the daemon does: first the requests that it accepted end, then it
 * returns its lease, then it waits for the runs on its targets. value: whether
 * the lease was returned.
 */
static void drain_poll(sim_t *s, event_t *ev)
{
	sim_host_t *h = ev->host;
	event_t *again;

	if (!event_host_alive(ev))
		return;
	if (!ev->value && sim_now(s) >= h->lease_return_us &&
	    !callers_waiting_for(s, h)) {
		state_leave(h->state, 0);
		ev->value = 1;
	}
	if (ev->value && serve_drained(h->core)) {
		sim_log(s, "host-%u has drained", h->id);
		if (callers_waiting_for(s, h))
			sim_violation(s, SIM_CUT_OFF_BY_DRAIN, "");
		h->drained = true;
		sim_host_kill(s, h->id);
		return;
	}
	again = event_new(s, drain_poll);
	again->value = ev->value;
	event_bind_host(again, h);
	event_schedule_after(again, DRAIN_POLL_US);
}

void state_drain(sim_t *s, sim_host_t *h)
{
	event_t *ev = event_new(s, drain_poll);

	h->lease_return_us = sim_now(s) + s->cfg.serve.address_ttl_us;
	event_bind_host(ev, h);
	event_schedule_after(ev, DRAIN_POLL_US);
}

host_id_t sim_leader(const sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && s->hosts[i].is_leader &&
		    !s->hosts[i].isolated)
			return s->hosts[i].id;
	return 0;
}

bool sim_tables_in_force(const sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++) {
		const sim_host_t *h = &s->hosts[i];

		if (!h->core || h->isolated)
			continue;
		if (h->tables_fresh_until_us <= sim_now(s) || !h->tables ||
		    decided_revision(h->tables) < decided_revision(s->tables))
			return false;
	}
	return true;
}

/* --- bootstrap ---------------------------------------------------------- */

static void add_host_ops(const sim_t *s, json_t *ops)
{
	for (size_t i = 0; i < s->n_hosts; i++) {
		const sim_host_t *h = &s->hosts[i];
		char name[64], addr[64], peer[64];

		snprintf(name, sizeof(name), "entry-%u", h->id);
		snprintf(addr, sizeof(addr), "10.0.0.%u:80", h->id);
		snprintf(peer, sizeof(peer), "10.0.0.%u:90", h->id);
		json_array_append_new(
			ops,
			json_pack("{s:{s:s,s:i,s:s,s:s,s:s,s:s,s:b}}",
				  "host_put", "name", name, "id", (int)h->id,
				  "zone", s->cfg.deploy->zones[h->zone],
				  "region", s->cfg.deploy->region,
				  "caller_addr", addr, "peer_addr", peer,
				  "voter", h->disk != NULL));
	}
}

static void add_target_ops(const sim_t *s, json_t *ops)
{
	const deploy_t *d = s->cfg.deploy;

	for (size_t i = 0; i < s->n_engines; i++) {
		const sim_engine_t *e = &s->engines[i];
		char url[64];
		json_t *row;

		snprintf(url, sizeof(url), "http://10.1.0.%zu:80", i + 1);
		row = json_pack("{s:s,s:s,s:s,s:s,s:i,s:b}", "name", e->name,
				"url", url, "zone", d->zones[e->zone],
				"base_model",
				e->is_service ? d->service_name : d->base_model,
				"max_batch", (int)d->max_batch, "checks_fence",
				1);
		if (e->is_service) {
			json_object_set_new(row, "service", json_true());
			json_object_set_new(row, "repeatable", json_true());
		} else {
			json_object_set_new(row, "slots",
					    json_integer(e->n_slots));
		}
		json_array_append_new(ops,
				      json_pack("{s:o}", "target_put", row));
	}
}

static void add_org_ops(const sim_t *s, json_t *ops)
{
	const deploy_t *d = s->cfg.deploy;
	char count[32];

	snprintf(count, sizeof(count), "%ld", (long)d->adapters_each);
	json_array_append_new(
		ops,
		json_pack("{s:{s:s,s:[{s:s,s:s,s:s,s:i,s:i}]}}", "template_put",
			  "name", d->template_name, "adapters", "name",
			  "{org}-{n}", "base_model", d->base_model, "count",
			  count, "load_ms", (int)d->load_ms, "version", 1));
	for (size_t i = 0; i < d->n_orgs; i++)
		json_array_append_new(ops,
				      json_pack("{s:{s:s,s:s}}", "org_create",
						"name", d->orgs[i], "template",
						d->template_name));
}

/* Repeats the proposal until it is decided; false where by_us passes. */
static bool propose_until_decided(sim_t *s, const char *id, const char *text,
				  int64_t by_us)
{
	const sim_change_t *c;

	while (!sim_leader(s) && sim_now(s) < by_us)
		sim_run_until(s, sim_now(s) + HEARTBEAT_US);
	if (sim_propose(s, 1, id, text))
		return false;
	c = sim_change(s, id);
	while (sim_now(s) < by_us) {
		sim_run_until(s, sim_now(s) + HEARTBEAT_US);
		if (c->done && c->status == CHANGE_DECIDED)
			return true;
		if (c->done && c->status == CHANGE_INVALID)
			break;
		if (c->done)
			sim_resend(s, 1, id);
	}
	fprintf(stderr, "sim: %s: %s\n", id, c->error);
	return false;
}

bool state_bootstrap(sim_t *s)
{
	int64_t by_us = sim_now(s) + BOOTSTRAP_TIMEOUT_US;
	json_t *ops = json_array();
	json_t *doc = json_pack("{s:o,s:i}", "ops", ops, "base_revision", 0);
	char *text;
	bool ok;

	add_host_ops(s, ops);
	add_target_ops(s, ops);
	add_org_ops(s, ops);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	ok = propose_until_decided(s, "found", text, by_us);
	free(text);
	while (ok && sim_now(s) < by_us) {
		bool owned = sim_tables_in_force(s);

		for (size_t i = 0; i < s->n_engines; i++)
			owned = owned && sim_owner(s, &s->engines[i]);
		if (owned)
			return true;
		sim_run_until(s, sim_now(s) + HEARTBEAT_US);
	}
	return false;
}

void sim_check_decided(sim_t *s)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->p->changes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const sim_change_t *c = v;
		change_outcome_t out = {0};

		if (!c->decided)
			continue;
		if (!change_find_outcome(s->tables, str_c(c->id), &out) ||
		    out.status != CHANGE_DECIDED)
			sim_violation(s, SIM_DECISION_LOST, c->id);
	}
}
