/* assign.c - owners of targets by rendezvous over live daemons. */
#include "assign.h"

#include <glib.h>

/* Live hosts that may own targets, in all and by zone. */
typedef struct candidates {
	GArray *all;	     /* host_id_t, ascending */
	GHashTable *by_zone; /* str_t of a host row -> GArray of host_id_t */
} candidates_t;

static guint zone_hash(gconstpointer key)
{
	const str_t *zone = key;

	return (guint)hash_bytes(zone->p, zone->n, 0);
}

static gboolean zone_equal(gconstpointer a, gconstpointer b)
{
	return str_eq(*(const str_t *)a, *(const str_t *)b);
}

static void free_ids(gpointer ids)
{
	g_array_free(ids, TRUE);
}

static bool may_own(const decided_t *d, host_id_t id)
{
	const host_t *h = decided_host(d, id);

	return h && !h->draining;
}

static void candidates_add(candidates_t *c, const host_t *h)
{
	GArray *ids = g_hash_table_lookup(c->by_zone, &h->zone);

	if (!ids) {
		ids = g_array_new(FALSE, FALSE, sizeof(host_id_t));
		g_hash_table_insert(c->by_zone, (gpointer)&h->zone, ids);
	}
	g_array_append_val(ids, h->id);
	g_array_append_val(c->all, h->id);
}

/* Valid as long as the tables and the sessions stay as they are. */
static void candidates_init(candidates_t *c, const decided_t *d,
			    const sessions_t *s)
{
	size_t n;
	const host_id_t *live = sessions_live(s, &n);

	c->all = g_array_new(FALSE, FALSE, sizeof(host_id_t));
	c->by_zone =
		g_hash_table_new_full(zone_hash, zone_equal, NULL, free_ids);
	for (size_t i = 0; i < n; i++)
		if (may_own(d, live[i]))
			candidates_add(c, decided_host(d, live[i]));
}

static void candidates_free(candidates_t *c)
{
	free_ids(c->all);
	g_hash_table_unref(c->by_zone);
}

/* Best host for a target, of its zone if that has any; 0: none at all. */
static host_id_t best_host(const candidates_t *c, const target_t *t)
{
	uint64_t key = hash_bytes(t->name.p, t->name.n, 0);
	const GArray *ids = g_hash_table_lookup(c->by_zone, &t->zone);
	host_id_t best = 0;
	uint64_t best_score = 0;

	if (!ids)
		ids = c->all;
	for (guint i = 0; i < ids->len; i++) {
		host_id_t id = g_array_index(ids, host_id_t, i);
		uint64_t score = rendezvous_score(key, id);

		if (!best || score > best_score) {
			best = id;
			best_score = score;
		}
	}
	return best;
}

static bool settled(const sessions_t *s, host_id_t host, int64_t now_us,
		    int64_t settle_us)
{
	const session_t *row = sessions_get(s, host);

	return row && row->live && now_us - row->opened_us >= settle_us;
}

/* Whether host surely does not take itself for the owner any more. */
static bool has_let_go(const sessions_t *s, host_id_t host, uint64_t fence,
		       int64_t now_us)
{
	const session_t *row = sessions_get(s, host);

	if (!host || sessions_is_over(s, host, now_us))
		return true;
	return row && row->live && row->index >= fence;
}

/* Next owner of one target; false where nothing changes now. */
static bool next_owner(const decided_t *d, const sessions_t *s,
		       const candidates_t *c, const target_t *t, int64_t now_us,
		       int64_t settle_us, size_t *moves, assignment_t *out)
{
	host_id_t best = best_host(c, t);
	bool over;

	if (!t->owner) {
		out->owner = best;
		return best &&
		       has_let_go(s, t->previous_owner, t->fence, now_us);
	}
	over = sessions_is_over(s, t->owner, now_us);
	if (!over && !sessions_is_live(s, t->owner))
		return false; /* unknown yet to a new leader */
	if (over) {
		const session_t *row = sessions_get(s, t->owner);

		out->released = row && row->left;
		out->owner = best;
		return best || out->released;
	}
	out->owner = 0;
	if (!may_own(d, t->owner))
		return true;
	if (best == t->owner || !*moves || !settled(s, best, now_us, settle_us))
		return false;
	(*moves)--;
	return true;
}

size_t assign_pick(const decided_t *d, const sessions_t *s, int64_t now_us,
		   int64_t settle_us, size_t max_moves, assignment_t *out)
{
	candidates_t c;
	size_t n = 0;

	candidates_init(&c, d, s);
	for (size_t i = 0; i < decided_target_count(d); i++) {
		const target_t *t = decided_target_at(d, i);

		if (n == ASSIGN_MAX)
			break;
		out[n].target = t->id;
		out[n].released = false;
		if (next_owner(d, s, &c, t, now_us, settle_us, &max_moves,
			       &out[n]) &&
		    out[n].owner != t->owner)
			n++;
	}
	candidates_free(&c);
	return n;
}
