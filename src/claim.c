/*
 * claim.c - the table of claims: a hash table by organisation and key, and a
 * list by the time of the last change, whose oldest claims expire first. An
 * expired claim becomes a tombstone, which holds only a hash of its key and is
 * kept in a second hash table and list of the same kind.
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
	       "a claim in progress must lapse before it expires");

/* The values are stored in snapshots: add new ones only before the count. */
typedef enum claim_state {
	CLAIM_ST_TAKEN,
	CLAIM_ST_ANSWERED,
	CLAIM_ST_UNKNOWN,
	CLAIM_ST_RELEASED,
	CLAIM_ST_COUNT,
} claim_state_t;

typedef struct claim {
	struct cds_list_head node; /* in claims_t.by_touch_time */
	uint32_t org_id;
	uint16_t http_status; /* of the stored answer */
	uint8_t state;	      /* claim_state_t */
	uint64_t body_hash;   /* of the request body */
	uint64_t until_ms;    /* a claim in progress lapses after this time */
	uint64_t touched_ms;  /* time of the last change */
	str_t key;	      /* stored behind this struct */
	str_t holder;	      /* owned */
	str_t body;	      /* owned; the stored answer */
} claim_t;

/*
 * What remains of a claim once it is too old for its answer to be kept; stored
 * as a SpentRow (proto/change.proto).
 */
typedef struct tombstone {
	struct cds_list_head node; /* in claims_t.tombstones_by_touch_time */
	XXH128_hash_t hash;	   /* of the key, seeded by the organisation */
	uint32_t org_id;
	uint64_t touched_ms; /* of the claim */
} tombstone_t;

/* Memory accounted for a tombstone, with its share of the hash table. */
#define TOMBSTONE_BYTES (sizeof(tombstone_t) + 32u)

struct claims {
	GHashTable *by_key;	  /* set of claim_t; owned */
	GHashTable *bytes_by_org; /* org id to bytes used */
	GHashTable *tombstones;	  /* set of tombstone_t; owned */
	/* The same claims and tombstones, least recently changed first. */
	struct cds_list_head by_touch_time;
	struct cds_list_head tombstones_by_touch_time;
	uint64_t now_ms; /* latest time of a log entry */
	size_t bytes;	 /* used by all organisations */
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

static guint tombstone_hash(gconstpointer p)
{
	return (guint)((const tombstone_t *)p)->hash.low64;
}

static gboolean tombstone_equal(gconstpointer a, gconstpointer b)
{
	return XXH128_isEqual(((const tombstone_t *)a)->hash,
			      ((const tombstone_t *)b)->hash);
}

claims_t *claims_new(void)
{
	claims_t *c = xcalloc(1, sizeof(*c));

	c->by_key = g_hash_table_new(claim_hash, claim_equal);
	c->bytes_by_org = g_hash_table_new(NULL, NULL);
	c->tombstones = g_hash_table_new_full(tombstone_hash, tombstone_equal,
					      free, NULL);
	CDS_INIT_LIST_HEAD(&c->by_touch_time);
	CDS_INIT_LIST_HEAD(&c->tombstones_by_touch_time);
	return c;
}

static size_t claim_size(const claim_t *claim)
{
	return sizeof(*claim) + claim->key.n + claim->holder.n + claim->body.n;
}

static size_t org_bytes(const claims_t *c, uint32_t org_id)
{
	gpointer key = GUINT_TO_POINTER(org_id);

	return GPOINTER_TO_SIZE(g_hash_table_lookup(c->bytes_by_org, key));
}

static void adjust_bytes(claims_t *c, uint32_t org_id, size_t removed,
			 size_t added)
{
	size_t bytes = org_bytes(c, org_id) - removed + added;
	gpointer key = GUINT_TO_POINTER(org_id);

	c->bytes = c->bytes - removed + added;
	if (bytes)
		g_hash_table_insert(c->bytes_by_org, key,
				    GSIZE_TO_POINTER(bytes));
	else
		g_hash_table_remove(c->bytes_by_org, key);
}

static void free_claim(claim_t *claim)
{
	str_free(&claim->holder);
	str_free(&claim->body);
	free(claim);
}

static void remove_claim(claims_t *c, claim_t *claim)
{
	adjust_bytes(c, claim->org_id, claim_size(claim), 0);
	g_hash_table_remove(c->by_key, claim);
	cds_list_del(&claim->node);
	free_claim(claim);
}

void claims_free(claims_t *c)
{
	claim_t *claim, *next;

	if (!c)
		return;
	cds_list_for_each_entry_safe (claim, next, &c->by_touch_time, node)
		free_claim(claim);
	g_hash_table_destroy(c->by_key);
	g_hash_table_destroy(c->bytes_by_org);
	g_hash_table_destroy(c->tombstones);
	free(c);
}

size_t claims_count(const claims_t *c)
{
	return g_hash_table_size(c->by_key);
}

size_t claims_tombstone_count(const claims_t *c)
{
	return g_hash_table_size(c->tombstones);
}

static XXH128_hash_t key_hash(uint32_t org_id, str_t key)
{
	return XXH3_128bits_withSeed(key.p, key.n, org_id);
}

static bool has_tombstone(const claims_t *c, uint32_t org_id, str_t key)
{
	tombstone_t probe;

	probe.hash = key_hash(org_id, key);
	return g_hash_table_contains(c->tombstones, &probe);
}

static void add_tombstone(claims_t *c, uint32_t org_id, XXH128_hash_t hash,
			  uint64_t touched_ms)
{
	tombstone_t *tomb = xcalloc(1, sizeof(*tomb));

	tomb->hash = hash;
	tomb->org_id = org_id;
	tomb->touched_ms = touched_ms;
	cds_list_add_tail(&tomb->node, &c->tombstones_by_touch_time);
	g_hash_table_add(c->tombstones, tomb);
	adjust_bytes(c, org_id, 0, TOMBSTONE_BYTES);
}

static void remove_tombstone(claims_t *c, tombstone_t *tomb)
{
	adjust_bytes(c, tomb->org_id, TOMBSTONE_BYTES, 0);
	cds_list_del(&tomb->node);
	g_hash_table_remove(c->tombstones, tomb);
}

/*
 * A released claim leaves no tombstone, as its call was never sent. With any
 * other claim the call may have run.
 */
static void expire_claim(claims_t *c, claim_t *claim)
{
	if (claim->state != CLAIM_ST_RELEASED)
		add_tombstone(c, claim->org_id,
			      key_hash(claim->org_id, claim->key),
			      claim->touched_ms);
	remove_claim(c, claim);
}

uint64_t claims_now_ms(const claims_t *c)
{
	return c->now_ms;
}

void claims_advance_time(claims_t *c, uint64_t now_ms)
{
	if (now_ms > c->now_ms)
		c->now_ms = now_ms;
	while (!cds_list_empty(&c->by_touch_time)) {
		claim_t *claim =
			cds_list_entry(c->by_touch_time.next, claim_t, node);

		/* A claim in progress lapses before its time to expire. */
		if (claim->touched_ms + CLAIM_ANSWER_KEEP_MS >= c->now_ms)
			break;
		expire_claim(c, claim);
	}
	while (!cds_list_empty(&c->tombstones_by_touch_time)) {
		tombstone_t *tomb = cds_list_entry(
			c->tombstones_by_touch_time.next, tombstone_t, node);

		if (tomb->touched_ms + CLAIM_KEY_KEEP_MS >= c->now_ms)
			break;
		remove_tombstone(c, tomb);
	}
}

static claim_t *find_claim(const claims_t *c, uint32_t org_id, str_t key)
{
	claim_t probe;

	probe.org_id = org_id;
	probe.key = key;
	return g_hash_table_lookup(c->by_key, &probe);
}

static claim_t *add_claim(claims_t *c, uint32_t org_id, str_t key, str_t holder)
{
	claim_t *claim = xcalloc(1, sizeof(*claim) + key.n);

	memcpy(claim + 1, key.p, key.n);
	claim->key = str_n((char *)(claim + 1), key.n);
	claim->org_id = org_id;
	claim->holder = str_copy(holder);
	cds_list_add_tail(&claim->node, &c->by_touch_time);
	g_hash_table_add(c->by_key, claim);
	adjust_bytes(c, org_id, 0, claim_size(claim));
	return claim;
}

static void set_state(claims_t *c, claim_t *claim, claim_state_t state)
{
	claim->state = (uint8_t)state;
	claim->touched_ms = c->now_ms;
	cds_list_del(&claim->node);
	cds_list_add_tail(&claim->node, &c->by_touch_time);
}

static void start_claim(claims_t *c, claim_t *claim, const claim_req_t *req)
{
	uint64_t ttl = req->ttl_ms ? req->ttl_ms : CLAIM_TTL_DEFAULT_MS;

	if (ttl > CLAIM_TTL_MAX_MS)
		ttl = CLAIM_TTL_MAX_MS;
	claim->body_hash = req->body_hash;
	claim->until_ms = c->now_ms + ttl;
	set_state(c, claim, CLAIM_ST_TAKEN);
}

static bool has_memory_for(const claims_t *c, const claim_req_t *req)
{
	return c->bytes < CLAIM_TOTAL_BYTES_MAX &&
	       org_bytes(c, req->org_id) < CLAIM_ORG_BYTES_MAX;
}

static void change_holder(claims_t *c, claim_t *claim, str_t holder)
{
	adjust_bytes(c, claim->org_id, claim->holder.n, holder.n);
	str_free(&claim->holder);
	claim->holder = str_copy(holder);
}

static claim_outcome_t take_available(claims_t *c, claim_t *claim,
				      const claim_req_t *req)
{
	if (claim && str_eq(claim->holder, req->holder))
		return CLAIM_NOT_APPLIED;
	if (!has_memory_for(c, req))
		return CLAIM_NOT_APPLIED;
	if (claim)
		change_holder(c, claim, req->holder);
	else
		claim = add_claim(c, req->org_id, req->key, req->holder);
	start_claim(c, claim, req);
	return CLAIM_GRANTED;
}

static claim_outcome_t apply_take(claims_t *c, claim_t *claim,
				  const claim_req_t *req, claim_result_t *res)
{
	if (!claim && has_tombstone(c, req->org_id, req->key))
		return CLAIM_OUTCOME_UNKNOWN;
	if (!claim || claim->state == CLAIM_ST_RELEASED)
		return take_available(c, claim, req);
	if (claim->body_hash != req->body_hash)
		return CLAIM_BODY_MISMATCH;
	if (claim->state == CLAIM_ST_ANSWERED) {
		res->http_status = claim->http_status;
		res->body = claim->body;
		return CLAIM_ANSWERED;
	}
	if (claim->state == CLAIM_ST_UNKNOWN || c->now_ms > claim->until_ms)
		return CLAIM_OUTCOME_UNKNOWN;
	if (str_eq(claim->holder, req->holder))
		return CLAIM_GRANTED;
	return CLAIM_IN_PROGRESS;
}

static claim_outcome_t apply_answer(claims_t *c, claim_t *claim,
				    const claim_req_t *req)
{
	if (claim->state == CLAIM_ST_RELEASED)
		return CLAIM_NOT_APPLIED;
	if (claim->state == CLAIM_ST_ANSWERED)
		return CLAIM_RECORDED;
	adjust_bytes(c, claim->org_id, 0, req->body.n);
	claim->body = str_copy(req->body);
	claim->http_status = (uint16_t)req->http_status;
	set_state(c, claim, CLAIM_ST_ANSWERED);
	return CLAIM_RECORDED;
}

static claim_outcome_t apply_unknown(claims_t *c, claim_t *claim)
{
	if (claim->state == CLAIM_ST_RELEASED)
		return CLAIM_NOT_APPLIED;
	if (claim->state == CLAIM_ST_TAKEN)
		set_state(c, claim, CLAIM_ST_UNKNOWN);
	return CLAIM_RECORDED;
}

static claim_outcome_t apply_release(claims_t *c, claim_t *claim)
{
	if (claim->state == CLAIM_ST_RELEASED)
		return CLAIM_RECORDED;
	if (claim->state != CLAIM_ST_TAKEN)
		return CLAIM_NOT_APPLIED;
	set_state(c, claim, CLAIM_ST_RELEASED);
	return CLAIM_RECORDED;
}

static bool is_valid(const claim_req_t *req)
{
	return req->org_id && req->key.n && req->key.n <= CLAIM_KEY_MAX &&
	       req->holder.n && req->holder.n <= CLAIM_HOLDER_MAX &&
	       req->body.n <= CLAIM_BODY_MAX && req->http_status >= 0 &&
	       req->http_status <= UINT16_MAX;
}

void claims_apply(claims_t *c, const claim_req_t *req, claim_result_t *res)
{
	claim_t *claim;

	memset(res, 0, sizeof(*res));
	res->tag = req->tag;
	res->outcome = CLAIM_NOT_APPLIED;
	if (!is_valid(req))
		return;
	claim = find_claim(c, req->org_id, req->key);
	if (req->op == CLAIM_OP_TAKE) {
		res->outcome = apply_take(c, claim, req, res);
		return;
	}
	if (!claim || !str_eq(claim->holder, req->holder))
		return;
	if (req->op == CLAIM_OP_ANSWER)
		res->outcome = apply_answer(c, claim, req);
	else if (req->op == CLAIM_OP_UNKNOWN)
		res->outcome = apply_unknown(c, claim);
	else if (req->op == CLAIM_OP_RELEASE)
		res->outcome = apply_release(c, claim);
}

static void fill_claim_row(const claim_t *claim, Dk__ClaimRow *row)
{
	dk__claim_row__init(row);
	row->org_id = claim->org_id;
	row->key = pb_bytes(claim->key);
	row->holder = pb_bytes(claim->holder);
	row->body_hash = claim->body_hash;
	row->state = claim->state;
	row->until_ms = claim->until_ms;
	row->touched_ms = claim->touched_ms;
	row->has_http_status = claim->http_status != 0;
	row->http_status = claim->http_status;
	row->has_body = claim->body.n != 0;
	row->body = pb_bytes(claim->body);
}

static void fill_tombstone_row(const tombstone_t *tomb, Dk__SpentRow *row)
{
	dk__spent_row__init(row);
	row->hash_low = tomb->hash.low64;
	row->hash_high = tomb->hash.high64;
	row->org_id = tomb->org_id;
	row->touched_ms = tomb->touched_ms;
}

void claims_save(const claims_t *c, buf_t *out)
{
	size_t n = claims_count(c);
	size_t n_spent = claims_tombstone_count(c);
	AUTO_FREE Dk__SpentRow *spent = xcalloc(n_spent, sizeof(*spent));
	AUTO_FREE Dk__SpentRow **spent_list =
		xcalloc(n_spent, sizeof(*spent_list));
	AUTO_FREE Dk__ClaimRow *rows = xcalloc(n, sizeof(*rows));
	AUTO_FREE Dk__ClaimRow **list = xcalloc(n, sizeof(*list));
	Dk__ClaimRows all = DK__CLAIM_ROWS__INIT;
	const claim_t *claim;
	const tombstone_t *tomb;
	size_t packed;

	all.now_ms = c->now_ms;
	all.rows = list;
	cds_list_for_each_entry (claim, &c->by_touch_time, node) {
		fill_claim_row(claim, &rows[all.n_rows]);
		list[all.n_rows] = &rows[all.n_rows];
		all.n_rows++;
	}
	all.spent = spent_list;
	cds_list_for_each_entry (tomb, &c->tombstones_by_touch_time, node) {
		fill_tombstone_row(tomb, &spent[all.n_spent]);
		spent_list[all.n_spent] = &spent[all.n_spent];
		all.n_spent++;
	}
	packed = dk__claim_rows__get_packed_size(&all);
	dk__claim_rows__pack(&all, (uint8_t *)buf_reserve(out, packed));
	out->n += packed;
}

static int load_claim(claims_t *c, const Dk__ClaimRow *row)
{
	str_t key = pb_str(row->key);
	str_t holder = pb_str(row->holder);
	claim_t *claim;

	if (!row->org_id || !key.n || !holder.n || key.n > CLAIM_KEY_MAX ||
	    holder.n > CLAIM_HOLDER_MAX || row->state >= CLAIM_ST_COUNT ||
	    row->http_status > UINT16_MAX || row->touched_ms > c->now_ms ||
	    row->until_ms > row->touched_ms + CLAIM_TTL_MAX_MS ||
	    find_claim(c, row->org_id, key))
		return -1;
	claim = add_claim(c, row->org_id, key, holder);
	claim->body_hash = row->body_hash;
	claim->state = (uint8_t)row->state;
	claim->until_ms = row->until_ms;
	claim->touched_ms = row->touched_ms;
	claim->http_status = (uint16_t)row->http_status;
	if (row->has_body && row->body.len) {
		adjust_bytes(c, claim->org_id, 0, row->body.len);
		claim->body = str_copy(pb_str(row->body));
	}
	return 0;
}

static int load_tombstone(claims_t *c, const Dk__SpentRow *row)
{
	tombstone_t probe;

	probe.hash.low64 = row->hash_low;
	probe.hash.high64 = row->hash_high;
	if (!row->org_id || row->touched_ms > c->now_ms ||
	    g_hash_table_contains(c->tombstones, &probe))
		return -1;
	add_tombstone(c, row->org_id, probe.hash, row->touched_ms);
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
		rc = load_claim(c, all->rows[i]);
	for (size_t i = 0; i < all->n_spent && !rc; i++)
		rc = load_tombstone(c, all->spent[i]);
	dk__claim_rows__free_unpacked(all, NULL);
	if (!rc)
		return c;
	claims_free(c);
	return NULL;
}
