/* intake.c - the answering side: requests of all daemons at the leader. */
#include "forward.h"

#include "counter.h"

#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

/* Bounds of one batch of claims. */
#define BATCH_CLAIMS 256u
#define BATCH_BYTES (128u << 10)

/* One request, kept until its origin waits for it no more. */
typedef struct item {
	struct cds_list_head node;  /* of its origin */
	struct cds_list_head queue; /* of what waits for a record or a result */
	host_id_t from;
	uint64_t session;
	uint64_t id;
	uint32_t attempt;
	bool is_claim;
	bool is_docs;
	bool done;
	uint64_t index; /* of its record; 0: not appended yet */
	size_t pos;	/* inside the record */
	buf_t change;
	claim_req_t claim; /* strings owned */
	/* Result, once done. */
	uint32_t status;
	uint64_t revision;
	bool resent;
	uint32_t http_status;
	buf_t text;
} item_t;

typedef struct origin {
	struct cds_list_head node;
	host_id_t host;
	uint64_t session;
	uint64_t oldest;
	struct cds_list_head items;
} origin_t;

struct intake {
	intake_ops_t ops;
	void *ctx;
	struct cds_list_head origins;
	struct cds_list_head fresh;	/* not appended yet */
	struct cds_list_head undecided; /* appended; ascending by index, pos */
};

static void item_free(item_t *it)
{
	cds_list_del(&it->node);
	cds_list_del(&it->queue);
	buf_free(&it->change);
	buf_free(&it->text);
	str_free(&it->claim.key);
	str_free(&it->claim.holder);
	str_free(&it->claim.body);
	free(it);
}

static void forget_below(origin_t *o, uint64_t oldest)
{
	item_t *it, *tmp;

	if (oldest <= o->oldest)
		return;
	o->oldest = oldest;
	cds_list_for_each_entry_safe (it, tmp, &o->items, node) {
		/* One on its way is still needed, to keep the order. */
		if (it->id < oldest && it->done)
			item_free(it);
	}
}

static origin_t *origin_get(intake_t *in, host_id_t host, uint64_t session)
{
	origin_t *o;

	cds_list_for_each_entry (o, &in->origins, node) {
		if (o->host == host && o->session == session)
			return o;
	}
	o = xcalloc(1, sizeof(*o));
	o->host = host;
	o->session = session;
	CDS_INIT_LIST_HEAD(&o->items);
	cds_list_add(&o->node, &in->origins);
	return o;
}

static void answer(intake_t *in, const item_t *it)
{
	Peer__Msg msg = PEER__MSG__INIT;
	Peer__ProposeRes pb = PEER__PROPOSE_RES__INIT;
	ProtobufCBinaryData text = {it->text.n, (uint8_t *)it->text.p};

	pb.id = it->id;
	pb.session = it->session;
	pb.attempt = it->attempt;
	pb.status = it->status;
	pb.revision = it->revision;
	pb.resent = it->resent;
	pb.http_status = it->http_status;
	if (it->is_claim)
		pb.body = text;
	else
		pb.error = text;
	msg.body_case = PEER__MSG__BODY_PROPOSE_RES;
	msg.propose_res = &pb;
	in->ops.send(in->ctx, it->from, &msg);
}

static str_t copy_bytes(ProtobufCBinaryData b)
{
	return str_copy(str_n((char *)b.data, b.len));
}

static item_t *item_new(host_id_t from, const Peer__Propose *p)
{
	item_t *it = xcalloc(1, sizeof(*it));

	it->from = from;
	it->session = p->session;
	it->id = p->id;
	it->attempt = p->attempt;
	it->is_claim = p->claim != NULL;
	it->is_docs = p->docs;
	if (!p->claim) {
		buf_put(&it->change, p->change.data, p->change.len);
		return it;
	}
	it->claim.op = (claim_op_t)p->claim->op;
	it->claim.org_id = p->claim->org_id;
	it->claim.body_hash = p->claim->body_hash;
	it->claim.ttl_ms = p->claim->ttl_ms;
	it->claim.http_status = (int)p->claim->http_status;
	it->claim.key = copy_bytes(p->claim->key);
	it->claim.holder = copy_bytes(p->claim->holder);
	it->claim.body = copy_bytes(p->claim->body);
	return it;
}

static item_t *item_find(const origin_t *o, uint64_t id)
{
	item_t *it;

	cds_list_for_each_entry (it, &o->items, node) {
		if (it->id == id)
			return it;
	}
	return NULL;
}

bool intake_propose(intake_t *in, host_id_t from, const Peer__Propose *p)
{
	origin_t *o = origin_get(in, from, p->session);
	item_t *it;

	forget_below(o, p->oldest);
	if (p->id < o->oldest)
		return false;
	it = item_find(o, p->id);
	if (it) {
		it->attempt = p->attempt;
		if (it->done)
			answer(in, it);
		return false;
	}
	it = item_new(from, p);
	cds_list_add_tail(&it->node, &o->items);
	cds_list_add_tail(&it->queue, &in->fresh);
	return true;
}

static void mark_appended(intake_t *in, item_t *it, uint64_t index, size_t pos)
{
	it->index = index;
	it->pos = pos;
	cds_list_del(&it->queue);
	cds_list_add_tail(&it->queue, &in->undecided);
}

/* Appends the claims at the head of the queue as one record. */
static bool flush_claims(intake_t *in, uint64_t now_ms)
{
	AUTO_BUF buf_t data = {0};
	claim_req_t reqs[BATCH_CLAIMS] = {0};
	item_t *items[BATCH_CLAIMS];
	size_t bytes = 0;
	size_t n = 0;
	uint64_t index;
	item_t *it;

	cds_list_for_each_entry (it, &in->fresh, queue) {
		size_t size = it->claim.body.n + it->claim.key.n;

		if (!it->is_claim || n == BATCH_CLAIMS ||
		    (n && bytes + size > BATCH_BYTES))
			break;
		bytes += size;
		reqs[n] = it->claim;
		items[n++] = it;
	}
	machine_pack_claims(&data, reqs, n, now_ms);
	index = in->ops.append(in->ctx, ENTRY_CLAIM, buf_str(&data));
	if (!index)
		return false;
	for (size_t i = 0; i < n; i++)
		mark_appended(in, items[i], index, i);
	return true;
}

void intake_flush(intake_t *in, uint64_t now_ms)
{
	while (!cds_list_empty(&in->fresh)) {
		item_t *it = cds_list_first_entry(&in->fresh, item_t, queue);
		uint64_t index;

		if (it->is_claim) {
			if (!flush_claims(in, now_ms))
				return;
			continue;
		}
		index = in->ops.append(in->ctx,
				       it->is_docs ? ENTRY_DOC : ENTRY_CHANGE,
				       buf_str(&it->change));
		if (!index)
			return;
		mark_appended(in, it, index, 0);
	}
}

static item_t *find_undecided(intake_t *in, uint64_t index, size_t pos)
{
	item_t *it;

	cds_list_for_each_entry (it, &in->undecided, queue) {
		if (it->index > index)
			break;
		if (it->index == index && it->pos == pos)
			return it;
	}
	return NULL;
}

static void finish(intake_t *in, item_t *it)
{
	it->done = true;
	cds_list_del(&it->queue);
	CDS_INIT_LIST_HEAD(&it->queue);
	buf_free(&it->change);
	answer(in, it);
}

static void count_change(const change_outcome_t *o)
{
	if (o->status == CHANGE_CONFLICT)
		counter_add(CTR_CHANGES_CONFLICT, 1);
	else if (o->status == CHANGE_DECIDED && o->resent)
		counter_add(CTR_CHANGES_RESENT, 1);
	else if (o->status == CHANGE_DECIDED)
		counter_add(CTR_CHANGES_DECIDED, 1);
}

void intake_change_applied(intake_t *in, uint64_t index,
			   const change_outcome_t *o)
{
	item_t *it = find_undecided(in, index, 0);

	if (!it)
		return;
	count_change(o);
	it->status = o->status;
	it->revision = o->revision;
	it->resent = o->resent;
	buf_put(&it->text, o->error.p, o->error.n);
	finish(in, it);
}

void intake_claim_applied(intake_t *in, uint64_t index, size_t pos,
			  const claim_result_t *res)
{
	item_t *it = find_undecided(in, index, pos);

	if (!it)
		return;
	counter_add(CTR_CLAIMS, 1);
	it->status = res->outcome;
	it->http_status = (uint32_t)res->http_status;
	buf_put(&it->text, res->body.p, res->body.n);
	finish(in, it);
}

void intake_step_down(intake_t *in)
{
	item_t *it, *tmp;

	cds_list_for_each_entry_safe (it, tmp, &in->fresh, queue) {
		item_free(it);
	}
	/* Other records may come at their indexes now. */
	cds_list_for_each_entry_safe (it, tmp, &in->undecided, queue) {
		cds_list_del(&it->queue);
		CDS_INIT_LIST_HEAD(&it->queue);
	}
}

bool intake_lookup(intake_t *in, host_id_t from, const Peer__Propose *p)
{
	item_t *it = item_find(origin_get(in, from, p->session), p->id);

	if (it && it->done)
		answer(in, it);
	return it != NULL;
}

void intake_reset(intake_t *in)
{
	origin_t *o, *otmp;
	item_t *it, *tmp;

	cds_list_for_each_entry_safe (o, otmp, &in->origins, node) {
		cds_list_for_each_entry_safe (it, tmp, &o->items, node) {
			item_free(it);
		}
		cds_list_del(&o->node);
		free(o);
	}
}

intake_t *intake_new(const intake_ops_t *ops, void *ctx)
{
	intake_t *in = xcalloc(1, sizeof(*in));

	in->ops = *ops;
	in->ctx = ctx;
	CDS_INIT_LIST_HEAD(&in->origins);
	CDS_INIT_LIST_HEAD(&in->fresh);
	CDS_INIT_LIST_HEAD(&in->undecided);
	return in;
}

void intake_free(intake_t *in)
{
	if (!in)
		return;
	intake_reset(in);
	free(in);
}
