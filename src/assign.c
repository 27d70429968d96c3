/* assign.c - assigns targets to live daemons by rendezvous hashing. */
#include "assign.h"

#include <stdlib.h>

/* A live host that may own targets. */
typedef struct candidate {
	host_id_t id;
	str_t zone; /* points into the tables */
} candidate_t;

/* The candidates, ascending by zone, then id. */
typedef struct candidates {
	candidate_t *items;
	size_t n;
} candidates_t;

static int cmp_candidate(const void *pa, const void *pb)
{
	const candidate_t *a = pa;
	const candidate_t *b = pb;
	int r = str_cmp(a->zone, b->zone);

	return r ? r : (a->id > b->id) - (a->id < b->id);
}

static bool may_own(const decided_t *d, host_id_t id)
{
	const host_t *h = decided_host(d, id);

	return h && !h->draining;
}

static candidates_t list_candidates(const decided_t *d, const sessions_t *s)
{
	candidates_t c = {NULL, 0};
	size_t n;
	const host_id_t *live = sessions_live(s, &n);

	c.items = xcalloc(n, sizeof(*c.items));
	for (size_t i = 0; i < n; i++) {
		if (!may_own(d, live[i]))
			continue;
		c.items[c.n].id = live[i];
		c.items[c.n++].zone = decided_host(d, live[i])->zone;
	}
	qsort(c.items, c.n, sizeof(*c.items), cmp_candidate);
	return c;
}

/* Index of the first candidate whose zone does not sort before zone. */
static size_t zone_lower_bound(const candidates_t *c, str_t zone)
{
	size_t lo = 0;
	size_t hi = c->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (str_cmp(c->items[mid].zone, zone) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Preferred owner of a target; 0 if there are no candidates. */
static host_id_t preferred_owner(const candidates_t *c, const target_t *t)
{
	uint64_t key = hash_bytes(t->name.p, t->name.n, 0);
	size_t begin = zone_lower_bound(c, t->zone);
	bool in_zone = begin < c->n && str_eq(c->items[begin].zone, t->zone);
	host_id_t best = 0;
	uint64_t best_score = 0;

	for (size_t i = in_zone ? begin : 0; i < c->n; i++) {
		uint64_t score = rendezvous_score(key, c->items[i].id);

		if (in_zone && !str_eq(c->items[i].zone, t->zone))
			break;
		if (best && score <= best_score)
			continue;
		best = c->items[i].id;
		best_score = score;
	}
	return best;
}

static bool is_stable(const sessions_t *s, host_id_t host, int64_t now_us,
		      int64_t stable_us)
{
	const session_t *row = sessions_get(s, host);

	return row && row->live && now_us - row->live_since_us >= stable_us;
}

/*
 * Whether host certainly no longer considers itself the owner: it has applied
 * the log entry that took the target away (fence), or its lease is over.
 */
static bool has_given_up(const sessions_t *s, host_id_t host, uint64_t fence,
			 int64_t now_us)
{
	const session_t *row = sessions_get(s, host);

	if (!host || sessions_lease_is_over(s, host, now_us))
		return true;
	return row && row->live && row->index >= fence;
}

/*
 * Next owner of a target whose owner's lease is over. Without a candidate the
 * target keeps its owner, unless that owner has left.
 */
static void replace_owner(const sessions_t *s, const target_t *t,
			  host_id_t preferred, assignment_t *out)
{
	const session_t *row = sessions_get(s, t->owner);

	out->released = row && row->has_left;
	out->owner = preferred || out->released ? preferred : t->owner;
}

/*
 * Sets out->owner to the next owner of one target, or to the present one if
 * nothing changes. Returns true if the target may need another owner later
 * although neither the tables nor the set of live hosts has changed.
 */
static bool next_owner(const decided_t *d, const sessions_t *s,
		       const target_t *t, host_id_t preferred, int64_t now_us,
		       int64_t stable_us, size_t *moves_left, assignment_t *out)
{
	out->owner = t->owner;
	if (!t->owner) {
		if (!has_given_up(s, t->previous_owner, t->fence, now_us))
			return true;
		out->owner = preferred;
		return !preferred;
	}
	if (sessions_lease_is_over(s, t->owner, now_us)) {
		replace_owner(s, t, preferred, out);
		return out->owner == t->owner;
	}
	if (!sessions_is_live(s, t->owner))
		return true; /* may hold a lease from an earlier leader */
	if (!may_own(d, t->owner)) {
		out->owner = 0;
		return false;
	}
	if (!preferred || preferred == t->owner)
		return false;
	if (!*moves_left || !is_stable(s, preferred, now_us, stable_us))
		return true;
	(*moves_left)--;
	out->owner = 0;
	return false;
}

size_t assign_pick_owners(const decided_t *d, const sessions_t *s,
			  int64_t now_us, int64_t stable_us, size_t max_moves,
			  assignment_t *out, bool *call_again)
{
	candidates_t c = list_candidates(d, s);
	size_t n = 0;

	*call_again = false;
	for (size_t i = 0; i < decided_target_count(d); i++) {
		const target_t *t = decided_target_at(d, i);

		if (n == ASSIGN_CHANGES_MAX) {
			*call_again = true;
			break;
		}
		out[n].target = t->id;
		out[n].released = false;
		if (next_owner(d, s, t, preferred_owner(&c, t), now_us,
			       stable_us, &max_moves, &out[n]))
			*call_again = true;
		if (out[n].owner != t->owner)
			n++;
	}
	free(c.items);
	return n;
}
