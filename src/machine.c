/*
 * machine.c - applies log entries to the tables and the claims, and saves and
 * loads both as snapshots.
 */
#include "machine.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "change.h"
#include "change.pb-c.h"
#include "pb.h"
#include "state.pb-c.h"

#define SNAPSHOT_MAGIC 0x31534b44u /* "DKS1" */
/*
 * Decoding an entry or snapshot of this size leaves megabytes of free heap
 * memory behind, which are then returned to the system at once.
 */
#define TRIM_BYTES 65536u

struct machine {
	uint64_t index;
	decided_t *tables;
	claims_t *claims;
};

machine_t *machine_new(void)
{
	machine_t *m = xcalloc(1, sizeof(*m));

	m->tables = decided_new();
	m->claims = claims_new();
	return m;
}

void machine_free(machine_t *m)
{
	if (!m)
		return;
	decided_unref(m->tables);
	claims_free(m->claims);
	free(m);
}

uint64_t machine_index(const machine_t *m)
{
	return m->index;
}

uint64_t machine_clock_ms(const machine_t *m)
{
	return claims_now_ms(m->claims);
}

decided_t *machine_tables(const machine_t *m)
{
	return decided_ref(m->tables);
}

static void apply_change(machine_t *m, uint64_t index, str_t data,
			 const machine_sink_t *sink)
{
	AUTO_BUF buf_t error = {0};
	AUTO_BUF buf_t id = {0};
	change_outcome_t out;

	change_apply(&m->tables, data, index, &out, &error);
	if (!sink || !sink->changed)
		return;
	change_read_id(data, &id);
	sink->changed(sink->ctx, buf_str(&id), &out);
}

/* Does nothing where the target or its new owner no longer exists. */
static void assign_owner(decided_t *d, target_id_t id, host_id_t owner,
			 uint64_t index)
{
	const target_t *t = decided_target(d, id);
	target_t row;

	if (!t || (owner && !decided_host(d, owner)))
		return;
	row = *t;
	if (row.owner)
		row.previous_owner = row.owner;
	row.owner = owner;
	row.fence = index;
	decided_put_target(d, &row);
}

/* Records that nobody needs to wait for the target's previous owner. */
static void clear_previous_owner(decided_t *d, target_id_t id)
{
	const target_t *t = decided_target(d, id);
	target_t row;

	if (!t)
		return;
	row = *t;
	row.previous_owner = 0;
	decided_put_target(d, &row);
}

static int apply_assign(machine_t *m, uint64_t index, str_t data)
{
	Dk__Assign *a =
		dk__assign__unpack(NULL, data.n, (const uint8_t *)data.p);

	if (!a)
		return -1;
	m->tables = decided_unshare(m->tables);
	for (size_t i = 0; i + 1 < a->n_pairs; i += 2)
		assign_owner(m->tables, a->pairs[i], a->pairs[i + 1], index);
	for (size_t i = 0; i < a->n_released; i++)
		clear_previous_owner(m->tables, a->released[i]);
	decided_set_position(m->tables, index, decided_revision(m->tables));
	dk__assign__free_unpacked(a, NULL);
	return 0;
}

static void put_doc(machine_t *m, const Peer__Doc *doc)
{
	doc_t row = {.name = pb_str(doc->name),
		     .version = doc->version,
		     .body = pb_str(doc->body)};
	const doc_t *current = decided_doc_by_name(m->tables, row.name);

	if (!row.name.n || (current && current->version >= row.version))
		return;
	m->tables = decided_unshare(m->tables);
	decided_put_doc(m->tables, &row);
}

static int apply_docs(machine_t *m, uint64_t index, str_t data,
		      const machine_sink_t *sink)
{
	Peer__Docs *docs =
		peer__docs__unpack(NULL, data.n, (const uint8_t *)data.p);
	change_outcome_t out = {.status = CHANGE_DECIDED};

	if (!docs)
		return -1;
	for (size_t i = 0; i < docs->n_docs; i++)
		put_doc(m, docs->docs[i]);
	m->tables = decided_unshare(m->tables);
	decided_set_position(m->tables, index, decided_revision(m->tables));
	peer__docs__free_unpacked(docs, NULL);
	if (sink && sink->changed)
		sink->changed(sink->ctx, str_n(NULL, 0), &out);
	return 0;
}

static void unpack_claim(const Dk__Claim *c, claim_req_t *req)
{
	memset(req, 0, sizeof(*req));
	req->op = (claim_op_t)c->op;
	req->org_id = c->org_id;
	req->key = pb_str(c->key);
	req->holder = pb_str(c->holder);
	req->body_hash = c->body_hash;
	req->http_status = (int)(c->http_status & 0xffff);
	req->body = pb_str(c->body);
	req->ttl_ms = c->ttl_ms;
}

static int apply_claims(machine_t *m, str_t data, const machine_sink_t *sink)
{
	Dk__Claims *batch =
		dk__claims__unpack(NULL, data.n, (const uint8_t *)data.p);
	claim_req_t req;
	claim_result_t res;

	if (!batch)
		return -1;
	claims_advance_time(m->claims, batch->now_ms);
	for (size_t i = 0; i < batch->n_claims; i++) {
		unpack_claim(batch->claims[i], &req);
		claims_apply(m->claims, &req, &res);
		if (sink && sink->claimed)
			sink->claimed(sink->ctx, i, &res);
	}
	dk__claims__free_unpacked(batch, NULL);
	return 0;
}

int machine_apply(machine_t *m, uint64_t index, entry_kind_t kind, str_t data,
		  const machine_sink_t *sink)
{
	int rc = 0;

	if (index <= m->index)
		return -1;
	if (!data.p)
		data.p = "";
	if (kind == ENTRY_CHANGE)
		apply_change(m, index, data, sink);
	else if (kind == ENTRY_ASSIGN)
		rc = apply_assign(m, index, data);
	else if (kind == ENTRY_DOC)
		rc = apply_docs(m, index, data, sink);
	else if (kind == ENTRY_CLAIM)
		rc = apply_claims(m, data, sink);
	else if (kind != ENTRY_NOOP && kind != ENTRY_MEMBERS)
		rc = -1;
	if (rc)
		return -1;
	m->index = index;
	if (data.n >= TRIM_BYTES)
		malloc_trim(0);
	return 0;
}

void machine_pack_assign(buf_t *out, const assignment_t *a, size_t n)
{
	AUTO_FREE uint32_t *pairs = xcalloc(2 * n, sizeof(*pairs));
	AUTO_FREE uint32_t *released = xcalloc(n, sizeof(*released));
	Dk__Assign msg = DK__ASSIGN__INIT;
	size_t packed;

	for (size_t i = 0; i < n; i++) {
		pairs[2 * i] = a[i].target;
		pairs[2 * i + 1] = a[i].owner;
		if (a[i].released)
			released[msg.n_released++] = a[i].target;
	}
	msg.n_pairs = 2 * n;
	msg.pairs = pairs;
	msg.released = released;
	packed = dk__assign__get_packed_size(&msg);
	dk__assign__pack(&msg, (uint8_t *)buf_reserve(out, packed));
	out->n += packed;
}

void machine_pack_doc(buf_t *out, const doc_t *doc)
{
	Peer__Doc pb = PEER__DOC__INIT;
	Peer__Doc *list[] = {&pb};
	Peer__Docs msg = PEER__DOCS__INIT;
	size_t packed;

	pb.name = pb_bytes(doc->name);
	pb.version = doc->version;
	pb.body = pb_bytes(doc->body);
	msg.docs = list;
	msg.n_docs = 1;
	packed = peer__docs__get_packed_size(&msg);
	peer__docs__pack(&msg, (uint8_t *)buf_reserve(out, packed));
	out->n += packed;
}

static void pack_claim(const claim_req_t *req, Dk__Claim *c)
{
	dk__claim__init(c);
	c->op = req->op;
	c->org_id = req->org_id;
	c->key = pb_bytes(req->key);
	c->holder = pb_bytes(req->holder);
	c->has_body_hash = true;
	c->body_hash = req->body_hash;
	c->has_http_status = req->http_status != 0;
	c->http_status = (uint32_t)req->http_status;
	c->has_body = req->body.n != 0;
	c->body = pb_bytes(req->body);
	c->has_ttl_ms = req->ttl_ms != 0;
	c->ttl_ms = req->ttl_ms;
}

void machine_pack_claims(buf_t *out, const claim_req_t *reqs, size_t n,
			 uint64_t now_ms)
{
	AUTO_FREE Dk__Claim *claims = xcalloc(n, sizeof(*claims));
	AUTO_FREE Dk__Claim **list = xcalloc(n, sizeof(*list));
	Dk__Claims msg = DK__CLAIMS__INIT;
	size_t packed;

	for (size_t i = 0; i < n; i++) {
		pack_claim(&reqs[i], &claims[i]);
		list[i] = &claims[i];
	}
	msg.now_ms = now_ms;
	msg.claims = list;
	msg.n_claims = n;
	packed = dk__claims__get_packed_size(&msg);
	dk__claims__pack(&msg, (uint8_t *)buf_reserve(out, packed));
	out->n += packed;
}

bool machine_change_outcome(const machine_t *m, str_t change_id,
			    change_outcome_t *out)
{
	return change_find_outcome(m->tables, change_id, out);
}

void machine_check_change(const machine_t *m, str_t change,
			  change_outcome_t *out, buf_t *error)
{
	decided_t *d = decided_ref(m->tables);

	change_apply(&d, change, m->index + 1, out, error);
	decided_unref(d);
}

/*
 * Header of a snapshot. The tables, the claims and a checksum of all that comes
 * before it follow.
 */
typedef struct snapshot_header {
	uint32_t magic;
	uint32_t parts;
	uint64_t index;
	uint64_t tables_bytes;
	uint64_t claims_bytes;
} snapshot_header_t;

void machine_save(const machine_t *m, machine_parts_t parts, buf_t *out)
{
	size_t start = out->n;
	snapshot_header_t header = {SNAPSHOT_MAGIC, (uint32_t)parts, m->index,
				    0, 0};
	uint64_t sum;

	buf_put(out, &header, sizeof(header));
	decided_save(m->tables, out);
	header.tables_bytes = out->n - start - sizeof(header);
	if (parts == MACHINE_ALL)
		claims_save(m->claims, out);
	header.claims_bytes =
		out->n - start - sizeof(header) - header.tables_bytes;
	memcpy(out->p + start, &header, sizeof(header));
	sum = hash_bytes(out->p + start, out->n - start, 0);
	buf_put(out, &sum, sizeof(sum));
}

/* Checks sizes and checksum. Returns 0, or -1 where the snapshot is corrupt. */
static int read_header(str_t snapshot, snapshot_header_t *header)
{
	uint64_t sum;
	size_t body;

	if (snapshot.n < sizeof(*header) + sizeof(sum))
		return -1;
	body = snapshot.n - sizeof(sum);
	memcpy(header, snapshot.p, sizeof(*header));
	memcpy(&sum, snapshot.p + body, sizeof(sum));
	if (header->magic != SNAPSHOT_MAGIC || header->parts > MACHINE_TABLES)
		return -1;
	body -= sizeof(*header);
	if (header->tables_bytes > body ||
	    header->claims_bytes != body - header->tables_bytes)
		return -1;
	return hash_bytes(snapshot.p, snapshot.n - sizeof(sum), 0) == sum ? 0
									  : -1;
}

int machine_load(machine_t *m, str_t snapshot)
{
	snapshot_header_t header;
	decided_t *tables;
	claims_t *claims;
	const char *at;

	if (read_header(snapshot, &header))
		return -1;
	at = snapshot.p + sizeof(header);
	tables = decided_load(str_n(at, header.tables_bytes));
	if (!tables)
		return -1;
	claims = claims_load(
		str_n(at + header.tables_bytes, header.claims_bytes));
	if (!claims && header.claims_bytes) {
		decided_unref(tables);
		return -1;
	}
	decided_unref(m->tables);
	claims_free(m->claims);
	m->tables = tables;
	m->claims = claims ? claims : claims_new();
	m->index = header.index;
	if (snapshot.n >= TRIM_BYTES)
		malloc_trim(0);
	return 0;
}
