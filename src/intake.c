/*
 * intake.c - proposals of all daemons at the leader: appends changes and claims
 * to the log and sends each result back to the daemon that proposed it.
 */
#include "forward.h"

#include "counter.h"

#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

/*
 * Most claims in one log record, and most bytes of their keys and bodies; one
 * claim that is larger gets a record of its own.
 */
#define BATCH_CLAIMS_MAX 256u
#define BATCH_BYTES_MAX (128u << 10)

/*
 * A change or a claim. It is kept with its result until the daemon that sent it
 * has told that it needs the result no more, so that a resent proposal is not
 * appended twice.
 */
typedef struct proposal {
	struct cds_list_head node; /* of origin.proposals */
	/* Of intake.to_append or intake.to_apply; empty: of neither. */
	struct cds_list_head queue_node;
	host_id_t from;
	uint64_t session;
	uint64_t id;
	uint32_t attempt; /* the latest of the sender's */
	bool is_claim;
	bool is_docs; /* change holds packed Docs */
	bool has_result;
	uint64_t index;	  /* of its log record; 0: not appended yet */
	size_t batch_pos; /* of a claim inside its record */
	buf_t change;
	claim_req_t claim; /* strings owned */
	/* The result, where has_result is set. */
	uint32_t status; /* change_status_t or claim_outcome_t */
	uint64_t revision;
	bool resent;
	uint32_t http_status;
	buf_t result_text; /* body of a claim's result, error of a change's */
} proposal_t;

/* A daemon that sends proposals; its session changes with each start. */
typedef struct origin {
	struct cds_list_head node;
	host_id_t host;
	uint64_t session;
	uint64_t oldest; /* it awaits no result of a lower id */
	struct cds_list_head proposals;
} origin_t;

struct intake {
	intake_ops_t ops;
	void *ctx;
	struct cds_list_head origins;
	struct cds_list_head to_append; /* not in the log yet, in order */
	/* In the log without a result; ascending by index, batch_pos. */
	struct cds_list_head to_apply;
};

static void proposal_free(proposal_t *prop)
{
	cds_list_del(&prop->node);
	cds_list_del(&prop->queue_node);
	buf_free(&prop->change);
	buf_free(&prop->result_text);
	str_free(&prop->claim.key);
	str_free(&prop->claim.holder);
	str_free(&prop->claim.body);
	free(prop);
}

static void discard_completed_below(origin_t *o, uint64_t oldest)
{
	proposal_t *prop, *tmp;

	if (oldest <= o->oldest)
		return;
	o->oldest = oldest;
	cds_list_for_each_entry_safe (prop, tmp, &o->proposals, node) {
		/*
		 * A proposal without a result stays, to keep the order of
		 * proposals.
		 */
		if (prop->id < oldest && prop->has_result)
			proposal_free(prop);
	}
}

static origin_t *origin_find_or_add(intake_t *in, host_id_t host,
				    uint64_t session)
{
	origin_t *o;

	cds_list_for_each_entry (o, &in->origins, node) {
		if (o->host == host && o->session == session)
			return o;
	}
	o = xcalloc(1, sizeof(*o));
	o->host = host;
	o->session = session;
	CDS_INIT_LIST_HEAD(&o->proposals);
	cds_list_add(&o->node, &in->origins);
	return o;
}

static void send_result(intake_t *in, const proposal_t *prop)
{
	Peer__Msg msg = PEER__MSG__INIT;
	Peer__ProposeRes pb = PEER__PROPOSE_RES__INIT;
	ProtobufCBinaryData result_text = {prop->result_text.n,
					   (uint8_t *)prop->result_text.p};

	pb.id = prop->id;
	pb.session = prop->session;
	pb.attempt = prop->attempt;
	pb.status = prop->status;
	pb.revision = prop->revision;
	pb.resent = prop->resent;
	pb.http_status = prop->http_status;
	if (prop->is_claim)
		pb.body = result_text;
	else
		pb.error = result_text;
	msg.body_case = PEER__MSG__BODY_PROPOSE_RES;
	msg.propose_res = &pb;
	in->ops.send(in->ctx, prop->from, &msg);
}

static str_t copy_bytes(ProtobufCBinaryData b)
{
	return str_copy(str_n((char *)b.data, b.len));
}

static proposal_t *proposal_new(host_id_t from, const Peer__Propose *p)
{
	proposal_t *prop = xcalloc(1, sizeof(*prop));

	prop->from = from;
	prop->session = p->session;
	prop->id = p->id;
	prop->attempt = p->attempt;
	prop->is_claim = p->claim != NULL;
	prop->is_docs = p->docs;
	if (!p->claim) {
		buf_put(&prop->change, p->change.data, p->change.len);
		return prop;
	}
	prop->claim.op = (claim_op_t)p->claim->op;
	prop->claim.org_id = p->claim->org_id;
	prop->claim.body_hash = p->claim->body_hash;
	prop->claim.ttl_ms = p->claim->ttl_ms;
	prop->claim.http_status = (int)p->claim->http_status;
	prop->claim.key = copy_bytes(p->claim->key);
	prop->claim.holder = copy_bytes(p->claim->holder);
	prop->claim.body = copy_bytes(p->claim->body);
	return prop;
}

static proposal_t *proposal_find(const origin_t *o, uint64_t id)
{
	proposal_t *prop;

	cds_list_for_each_entry (prop, &o->proposals, node) {
		if (prop->id == id)
			return prop;
	}
	return NULL;
}

bool intake_propose(intake_t *in, host_id_t from, const Peer__Propose *p)
{
	origin_t *o = origin_find_or_add(in, from, p->session);
	proposal_t *prop;

	discard_completed_below(o, p->oldest);
	if (p->id < o->oldest)
		return false;
	prop = proposal_find(o, p->id);
	if (prop) {
		prop->attempt = p->attempt;
		if (prop->has_result)
			send_result(in, prop);
		return false;
	}
	prop = proposal_new(from, p);
	cds_list_add_tail(&prop->node, &o->proposals);
	cds_list_add_tail(&prop->queue_node, &in->to_append);
	return true;
}

static void mark_appended(intake_t *in, proposal_t *prop, uint64_t index,
			  size_t batch_pos)
{
	prop->index = index;
	prop->batch_pos = batch_pos;
	cds_list_del(&prop->queue_node);
	cds_list_add_tail(&prop->queue_node, &in->to_apply);
}

/*
 * Appends the claims at the head of to_append as one record; false where this
 * host does not lead.
 */
static bool append_claim_batch(intake_t *in, uint64_t now_ms)
{
	AUTO_BUF buf_t data = {0};
	claim_req_t reqs[BATCH_CLAIMS_MAX] = {0};
	proposal_t *batch[BATCH_CLAIMS_MAX];
	size_t bytes = 0;
	size_t n = 0;
	uint64_t index;
	proposal_t *prop;

	cds_list_for_each_entry (prop, &in->to_append, queue_node) {
		size_t size = prop->claim.body.n + prop->claim.key.n;

		if (!prop->is_claim || n == BATCH_CLAIMS_MAX ||
		    (n && bytes + size > BATCH_BYTES_MAX))
			break;
		bytes += size;
		reqs[n] = prop->claim;
		batch[n++] = prop;
	}
	machine_pack_claims(&data, reqs, n, now_ms);
	index = in->ops.append(in->ctx, ENTRY_CLAIM, buf_str(&data));
	if (!index)
		return false;
	for (size_t i = 0; i < n; i++)
		mark_appended(in, batch[i], index, i);
	return true;
}

void intake_flush(intake_t *in, uint64_t now_ms)
{
	while (!cds_list_empty(&in->to_append)) {
		proposal_t *prop = cds_list_first_entry(&in->to_append,
							proposal_t, queue_node);
		uint64_t index;

		if (prop->is_claim) {
			if (!append_claim_batch(in, now_ms))
				return;
			continue;
		}
		index = in->ops.append(in->ctx,
				       prop->is_docs ? ENTRY_DOC : ENTRY_CHANGE,
				       buf_str(&prop->change));
		if (!index)
			return;
		mark_appended(in, prop, index, 0);
	}
}

static proposal_t *find_appended(intake_t *in, uint64_t index, size_t batch_pos)
{
	proposal_t *prop;

	cds_list_for_each_entry (prop, &in->to_apply, queue_node) {
		if (prop->index > index)
			break;
		if (prop->index == index && prop->batch_pos == batch_pos)
			return prop;
	}
	return NULL;
}

static void complete_proposal(intake_t *in, proposal_t *prop)
{
	prop->has_result = true;
	cds_list_del(&prop->queue_node);
	CDS_INIT_LIST_HEAD(&prop->queue_node);
	buf_free(&prop->change);
	send_result(in, prop);
}

static void count_change_outcome(const change_outcome_t *o)
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
	proposal_t *prop = find_appended(in, index, 0);

	if (!prop)
		return;
	count_change_outcome(o);
	prop->status = o->status;
	prop->revision = o->revision;
	prop->resent = o->resent;
	buf_put(&prop->result_text, o->error.p, o->error.n);
	complete_proposal(in, prop);
}

void intake_claim_applied(intake_t *in, uint64_t index, size_t batch_pos,
			  const claim_result_t *res)
{
	proposal_t *prop = find_appended(in, index, batch_pos);

	if (!prop)
		return;
	counter_add(CTR_CLAIMS, 1);
	prop->status = res->outcome;
	prop->http_status = (uint32_t)res->http_status;
	buf_put(&prop->result_text, res->body.p, res->body.n);
	complete_proposal(in, prop);
}

void intake_step_down(intake_t *in)
{
	proposal_t *prop, *tmp;

	cds_list_for_each_entry_safe (prop, tmp, &in->to_append, queue_node) {
		proposal_free(prop);
	}
	/*
	 * The log may get other records at the same indexes, whose results must
	 * not be taken for theirs.
	 */
	cds_list_for_each_entry_safe (prop, tmp, &in->to_apply, queue_node) {
		cds_list_del(&prop->queue_node);
		CDS_INIT_LIST_HEAD(&prop->queue_node);
	}
}

bool intake_lookup(intake_t *in, host_id_t from, const Peer__Propose *p)
{
	proposal_t *prop =
		proposal_find(origin_find_or_add(in, from, p->session), p->id);

	if (prop && prop->has_result)
		send_result(in, prop);
	return prop != NULL;
}

void intake_reset(intake_t *in)
{
	origin_t *o, *otmp;
	proposal_t *prop, *tmp;

	cds_list_for_each_entry_safe (o, otmp, &in->origins, node) {
		cds_list_for_each_entry_safe (prop, tmp, &o->proposals, node) {
			proposal_free(prop);
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
	CDS_INIT_LIST_HEAD(&in->to_append);
	CDS_INIT_LIST_HEAD(&in->to_apply);
	return in;
}

void intake_free(intake_t *in)
{
	if (!in)
		return;
	intake_reset(in);
	free(in);
}
