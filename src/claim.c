/*
 * claim.c - the table of claims: a hash table by organisation and key, and a
 * list in the order of the last change, from whose head claims are spent: only
 * a hash of their key stays, in a second table with its own list.
 */
#include "claim.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <urcu/list.h>
#include <xxhash.h>

#include "change.pb-c.h"
#include "pb.h"

_Static_assert(CLAIM_TTL_MAX_MS < CLAIM_ANSWER_KEEP_MS,
	       "a claim in progress must lapse before it is spent");

/* Saved; add at the end only. */
typedef enum claim_state {
	CLAIM_ST_TAKEN,
	CLAIM_ST_ANSWERED,
	CLAIM_ST_UNKNOWN,
	CLAIM_ST_RELEASED,
	CLAIM_ST_COUNT,
} claim_state_t;

typedef struct claim {
	struct cds_list_head node; /* claims_t.order */
	uint32_t org_id;
	uint16_t http_status;
	uint8_t state;
	uint64_t body_hash;
	uint64_t until_ms;   /* TAKEN: lapses after this */
	uint64_t touched_ms; /* last change */
	str_t key;	     /* inside this allocation */
	str_t holder;	     /* owned */
	str_t body;	     /* owned */
} claim_t;

/* What is left of a claim after the time of its answer. */
typedef struct spent {
	struct cds_list_head node; /* claims_t.spent_order */
	XXH128_hash_t hash;	   /* of the key, seeded by the organisation */
	uint32_t org_id;
	uint64_t touched_ms;
} spent_t;

/* Accounted for each, with its share of the hash table. */
#define SPENT_BYTES (sizeof(spent_t) + 32u)

struct claims {
	GHashTable *by_key; /* claim_t to itself; the claims are owned */
	GHashTable *by_org; /* org id to bytes held */
	GHashTable *spent;  /* spent_t to itself; owned */
	struct cds_list_head order;
	struct cds_list_head spent_order;
	uint64_t now_ms;
	size_t bytes;
};

static guint claim_hash(gconstpointer p)
{
	const claim_t *c = p;

	return (guint)hash_bytes(c->key.p, c->key.n, c->org_id);
}

static gboolean claim_equal(gconstpointer a, gconstpointer b)
{
	const claim_t *x = a;
	const claim_t *y = b;

	return x->org_id == y->org_id && str_eq(x->key, y->key);
}

static guint spent_hash(gconstpointer p)
{
	return (guint)((const spent_t *)p)->hash.low64;
}

static gboolean spent_equal(gconstpointer a, gconstpointer b)
{
	return XXH128_isEqual(((const spent_t *)a)->hash,
			      ((const spent_t *)b)->hash);
}

claims_t *claims_new(void)
{
	claims_t *c = xcalloc(1, sizeof(*c));

	c->by_key = g_hash_table_new(claim_hash, claim_equal);
	c->by_org = g_hash_table_new(NULL, NULL);
	c->spent = g_hash_table_new_full(spent_hash, spent_equal, free, NULL);
	CDS_INIT_LIST_HEAD(&c->order);
	CDS_INIT_LIST_HEAD(&c->spent_order);
	return c;
}

static size_t claim_size(const claim_t *cl)
{
	return sizeof(*cl) + cl->key.n + cl->holder.n + cl->body.n;
}

static size_t org_bytes(const claims_t *c, uint32_t org_id)
{
	gpointer key = GUINT_TO_POINTER(org_id);

	return GPOINTER_TO_SIZE(g_hash_table_lookup(c->by_org, key));
}

static void account(claims_t *c, uint32_t org_id, size_t less, size_t more)
{
	size_t bytes = org_bytes(c, org_id) - less + more;
	gpointer key = GUINT_TO_POINTER(org_id);

	c->bytes = c->bytes - less + more;
	if (bytes)
		g_hash_table_insert(c->by_org, key, GSIZE_TO_POINTER(bytes));
	else
		g_hash_table_remove(c->by_org, key);
}

static void claim_free(claim_t *cl)
{
	str_free(&cl->holder);
	str_free(&cl->body);
	free(cl);
}

static void forget(claims_t *c, claim_t *cl)
{
	account(c, cl->org_id, claim_size(cl), 0);
	g_hash_table_remove(c->by_key, cl);
	cds_list_del(&cl->node);
	claim_free(cl);
}

void claims_free(claims_t *c)
{
	claim_t *cl, *next;

	if (!c)
		return;
	cds_list_for_each_entry_safe (cl, next, &c->order, node)
		claim_free(cl);
	g_hash_table_destroy(c->by_key);
	g_hash_table_destroy(c->by_org);
	g_hash_table_destroy(c->spent);
	free(c);
}

size_t claims_count(const claims_t *c)
{
	return g_hash_table_size(c->by_key);
}

size_t claims_spent(const claims_t *c)
{
	return g_hash_table_size(c->spent);
}

static XXH128_hash_t key_hash(uint32_t org_id, str_t key)
{
	return XXH3_128bits_withSeed(key.p, key.n, org_id);
}

static bool is_spent(const claims_t *c, uint32_t org_id, str_t key)
{
	spent_t probe;

	probe.hash = key_hash(org_id, key);
	return g_hash_table_contains(c->spent, &probe);
}

static void add_spent(claims_t *c, uint32_t org_id, XXH128_hash_t hash,
		      uint64_t touched_ms)
{
	spent_t *sp = xcalloc(1, sizeof(*sp));

	sp->hash = hash;
	sp->org_id = org_id;
	sp->touched_ms = touched_ms;
	cds_list_add_tail(&sp->node, &c->spent_order);
	g_hash_table_add(c->spent, sp);
	account(c, org_id, 0, SPENT_BYTES);
}

static void forget_spent(claims_t *c, spent_t *sp)
{
	account(c, sp->org_id, SPENT_BYTES, 0);
	cds_list_del(&sp->node);
	g_hash_table_remove(c->spent, sp);
}

/* A released claim leaves nothing; any other may have run. */
static void spend(claims_t *c, claim_t *cl)
{
	if (cl->state != CLAIM_ST_RELEASED)
		add_spent(c, cl->org_id, key_hash(cl->org_id, cl->key),
			  cl->touched_ms);
	forget(c, cl);
}

uint64_t claims_now_ms(const claims_t *c)
{
	return c->now_ms;
}

void claims_advance_time(claims_t *c, uint64_t now_ms)
{
	if (now_ms > c->now_ms)
		c->now_ms = now_ms;
	while (!cds_list_empty(&c->order)) {
		claim_t *cl = cds_list_entry(c->order.next, claim_t, node);

		/* Lapsed by then: no claim is held for longer. */
		if (cl->touched_ms + CLAIM_ANSWER_KEEP_MS >= c->now_ms)
			break;
		spend(c, cl);
	}
	while (!cds_list_empty(&c->spent_order)) {
		spent_t *sp =
			cds_list_entry(c->spent_order.next, spent_t, node);

		if (sp->touched_ms + CLAIM_KEY_KEEP_MS >= c->now_ms)
			break;
		forget_spent(c, sp);
	}
}

static claim_t *find(const claims_t *c, uint32_t org_id, str_t key)
{
	claim_t probe;

	probe.org_id = org_id;
	probe.key = key;
	return g_hash_table_lookup(c->by_key, &probe);
}

static claim_t *claim_add(claims_t *c, uint32_t org_id, str_t key, str_t holder)
{
	claim_t *cl = xcalloc(1, sizeof(*cl) + key.n);

	memcpy(cl + 1, key.p, key.n);
	cl->key = str_n((char *)(cl + 1), key.n);
	cl->org_id = org_id;
	cl->holder = str_copy(holder);
	cds_list_add_tail(&cl->node, &c->order);
	g_hash_table_add(c->by_key, cl);
	account(c, org_id, 0, claim_size(cl));
	return cl;
}

static void touch(claims_t *c, claim_t *cl, claim_state_t state)
{
	cl->state = (uint8_t)state;
	cl->touched_ms = c->now_ms;
	cds_list_del(&cl->node);
	cds_list_add_tail(&cl->node, &c->order);
}

static void start(claims_t *c, claim_t *cl, const claim_req_t *req)
{
	uint64_t ttl = req->ttl_ms ? req->ttl_ms : CLAIM_TTL_DEFAULT_MS;

	if (ttl > CLAIM_TTL_MAX_MS)
		ttl = CLAIM_TTL_MAX_MS;
	cl->body_hash = req->body_hash;
	cl->until_ms = c->now_ms + ttl;
	touch(c, cl, CLAIM_ST_TAKEN);
}

static bool has_room(const claims_t *c, const claim_req_t *req)
{
	return c->bytes < CLAIM_TOTAL_BYTES_MAX &&
	       org_bytes(c, req->org_id) < CLAIM_ORG_BYTES_MAX;
}

static void change_holder(claims_t *c, claim_t *cl, str_t holder)
{
	account(c, cl->org_id, cl->holder.n, holder.n);
	str_free(&cl->holder);
	cl->holder = str_copy(holder);
}

static claim_outcome_t take_free(claims_t *c, claim_t *cl,
				 const claim_req_t *req)
{
	if (cl && str_eq(cl->holder, req->holder))
		return CLAIM_NOT_APPLIED;
	if (!has_room(c, req))
		return CLAIM_NOT_APPLIED;
	if (cl)
		change_holder(c, cl, req->holder);
	else
		cl = claim_add(c, req->org_id, req->key, req->holder);
	start(c, cl, req);
	return CLAIM_GRANTED;
}

static claim_outcome_t take(claims_t *c, claim_t *cl, const claim_req_t *req,
			    claim_result_t *res)
{
	if (!cl && is_spent(c, req->org_id, req->key))
		return CLAIM_OUTCOME_UNKNOWN;
	if (!cl || cl->state == CLAIM_ST_RELEASED)
		return take_free(c, cl, req);
	if (cl->body_hash != req->body_hash)
		return CLAIM_BODY_MISMATCH;
	if (cl->state == CLAIM_ST_ANSWERED) {
		res->http_status = cl->http_status;
		res->body = cl->body;
		return CLAIM_ANSWERED;
	}
	if (cl->state == CLAIM_ST_UNKNOWN || c->now_ms > cl->until_ms)
		return CLAIM_OUTCOME_UNKNOWN;
	if (str_eq(cl->holder, req->holder))
		return CLAIM_GRANTED;
	return CLAIM_IN_PROGRESS;
}

static claim_outcome_t answer(claims_t *c, claim_t *cl, const claim_req_t *req)
{
	if (cl->state == CLAIM_ST_RELEASED)
		return CLAIM_NOT_APPLIED;
	if (cl->state == CLAIM_ST_ANSWERED)
		return CLAIM_RECORDED;
	account(c, cl->org_id, 0, req->body.n);
	cl->body = str_copy(req->body);
	cl->http_status = (uint16_t)req->http_status;
	touch(c, cl, CLAIM_ST_ANSWERED);
	return CLAIM_RECORDED;
}

static claim_outcome_t report_unknown(claims_t *c, claim_t *cl)
{
	if (cl->state == CLAIM_ST_RELEASED)
		return CLAIM_NOT_APPLIED;
	if (cl->state == CLAIM_ST_TAKEN)
		touch(c, cl, CLAIM_ST_UNKNOWN);
	return CLAIM_RECORDED;
}

static claim_outcome_t release(claims_t *c, claim_t *cl)
{
	if (cl->state == CLAIM_ST_RELEASED)
		return CLAIM_RECORDED;
	if (cl->state != CLAIM_ST_TAKEN)
		return CLAIM_NOT_APPLIED;
	touch(c, cl, CLAIM_ST_RELEASED);
	return CLAIM_RECORDED;
}

static bool well_formed(const claim_req_t *req)
{
	return req->org_id && req->key.n && req->key.n <= CLAIM_KEY_MAX &&
	       req->holder.n && req->holder.n <= CLAIM_HOLDER_MAX &&
	       req->body.n <= CLAIM_BODY_MAX && req->http_status >= 0 &&
	       req->http_status <= UINT16_MAX;
}

void claims_apply(claims_t *c, const claim_req_t *req, claim_result_t *res)
{
	claim_t *cl;

	memset(res, 0, sizeof(*res));
	res->tag = req->tag;
	res->outcome = CLAIM_NOT_APPLIED;
	if (!well_formed(req))
		return;
	cl = find(c, req->org_id, req->key);
	if (req->op == CLAIM_OP_TAKE) {
		res->outcome = take(c, cl, req, res);
		return;
	}
	if (!cl || !str_eq(cl->holder, req->holder))
		return;
	if (req->op == CLAIM_OP_ANSWER)
		res->outcome = answer(c, cl, req);
	else if (req->op == CLAIM_OP_UNKNOWN)
		res->outcome = report_unknown(c, cl);
	else if (req->op == CLAIM_OP_RELEASE)
		res->outcome = release(c, cl);
}

static void row_of(const claim_t *cl, Dk__ClaimRow *row)
{
	dk__claim_row__init(row);
	row->org_id = cl->org_id;
	row->key = pb_bytes(cl->key);
	row->holder = pb_bytes(cl->holder);
	row->body_hash = cl->body_hash;
	row->state = cl->state;
	row->until_ms = cl->until_ms;
	row->touched_ms = cl->touched_ms;
	row->has_http_status = cl->http_status != 0;
	row->http_status = cl->http_status;
	row->has_body = cl->body.n != 0;
	row->body = pb_bytes(cl->body);
}

static void spent_row_of(const spent_t *sp, Dk__SpentRow *row)
{
	dk__spent_row__init(row);
	row->hash_low = sp->hash.low64;
	row->hash_high = sp->hash.high64;
	row->org_id = sp->org_id;
	row->touched_ms = sp->touched_ms;
}

void claims_save(const claims_t *c, buf_t *out)
{
	size_t n = claims_count(c);
	size_t n_spent = claims_spent(c);
	AUTO_FREE Dk__SpentRow *spent = xcalloc(n_spent, sizeof(*spent));
	AUTO_FREE Dk__SpentRow **spent_list =
		xcalloc(n_spent, sizeof(*spent_list));
	AUTO_FREE Dk__ClaimRow *rows = xcalloc(n, sizeof(*rows));
	AUTO_FREE Dk__ClaimRow **list = xcalloc(n, sizeof(*list));
	Dk__ClaimRows all = DK__CLAIM_ROWS__INIT;
	const claim_t *cl;
	const spent_t *sp;
	size_t packed;

	all.now_ms = c->now_ms;
	all.rows = list;
	cds_list_for_each_entry (cl, &c->order, node) {
		row_of(cl, &rows[all.n_rows]);
		list[all.n_rows] = &rows[all.n_rows];
		all.n_rows++;
	}
	all.spent = spent_list;
	cds_list_for_each_entry (sp, &c->spent_order, node) {
		spent_row_of(sp, &spent[all.n_spent]);
		spent_list[all.n_spent] = &spent[all.n_spent];
		all.n_spent++;
	}
	packed = dk__claim_rows__get_packed_size(&all);
	dk__claim_rows__pack(&all, (uint8_t *)buf_room(out, packed));
	out->n += packed;
}

static int load_row(claims_t *c, const Dk__ClaimRow *row)
{
	str_t key = pb_str(row->key);
	str_t holder = pb_str(row->holder);
	claim_t *cl;

	if (!row->org_id || !key.n || !holder.n || key.n > CLAIM_KEY_MAX ||
	    holder.n > CLAIM_HOLDER_MAX || row->state >= CLAIM_ST_COUNT ||
	    row->http_status > UINT16_MAX || row->touched_ms > c->now_ms ||
	    row->until_ms > row->touched_ms + CLAIM_TTL_MAX_MS ||
	    find(c, row->org_id, key))
		return -1;
	cl = claim_add(c, row->org_id, key, holder);
	cl->body_hash = row->body_hash;
	cl->state = (uint8_t)row->state;
	cl->until_ms = row->until_ms;
	cl->touched_ms = row->touched_ms;
	cl->http_status = (uint16_t)row->http_status;
	if (row->has_body && row->body.len) {
		account(c, cl->org_id, 0, row->body.len);
		cl->body = str_copy(pb_str(row->body));
	}
	return 0;
}

static int load_spent(claims_t *c, const Dk__SpentRow *row)
{
	spent_t probe;

	probe.hash.low64 = row->hash_low;
	probe.hash.high64 = row->hash_high;
	if (!row->org_id || row->touched_ms > c->now_ms ||
	    g_hash_table_contains(c->spent, &probe))
		return -1;
	add_spent(c, row->org_id, probe.hash, row->touched_ms);
	return 0;
}

claims_t *claims_load(str_t bytes)
{
	Dk__ClaimRows *all = dk__claim_rows__unpack(
		NULL, bytes.n, (const uint8_t *)(bytes.p ? bytes.p : ""));
	claims_t *c;
	int rc = 0;

	if (!all)
		return NULL;
	c = claims_new();
	c->now_ms = all->now_ms;
	for (size_t i = 0; i < all->n_rows && !rc; i++)
		rc = load_row(c, all->rows[i]);
	for (size_t i = 0; i < all->n_spent && !rc; i++)
		rc = load_spent(c, all->spent[i]);
	dk__claim_rows__free_unpacked(all, NULL);
	if (!rc)
		return c;
	claims_free(c);
	return NULL;
}
