/* assign.c - owners of targets by rendezvous over live daemons. */
#include "assign.h"

#include <stdlib.h>

/* A live host that may own targets. */
typedef struct candidate {
	host_id_t id;
	str_t zone; /* of its row in the tables */
} candidate_t;

/* The candidates, ascending by zone, then id. */
typedef struct candidates {
	candidate_t *v;
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

	c.v = xcalloc(n, sizeof(*c.v));
	for (size_t i = 0; i < n; i++) {
		if (!may_own(d, live[i]))
			continue;
		c.v[c.n].id = live[i];
		c.v[c.n++].zone = decided_host(d, live[i])->zone;
	}
	qsort(c.v, c.n, sizeof(*c.v), cmp_candidate);
	return c;
}

/* First candidate whose zone is not below zone. */
static size_t zone_begin(const candidates_t *c, str_t zone)
{
	size_t lo = 0;
	size_t hi = c->n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (str_cmp(c->v[mid].zone, zone) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Best host for a target, in its zone if there is one; 0: none at all. */
static host_id_t best_host(const candidates_t *c, const target_t *t)
{
	uint64_t key = hash_bytes(t->name.p, t->name.n, 0);
	size_t begin = zone_begin(c, t->zone);
	bool near = begin < c->n && str_eq(c->v[begin].zone, t->zone);
	host_id_t best = 0;
	uint64_t best_score = 0;

	for (size_t i = near ? begin : 0; i < c->n; i++) {
		uint64_t score = rendezvous_score(key, c->v[i].id);

		if (near && !str_eq(c->v[i].zone, t->zone))
			break;
		if (best && score <= best_score)
			continue;
		best = c->v[i].id;
		best_score = score;
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

/* Next owner of a target whose owner's session is over. */
static void replace_owner(const sessions_t *s, const target_t *t,
			  host_id_t best, assignment_t *out)
{
	const session_t *row = sessions_get(s, t->owner);

	out->released = row && row->left;
	out->owner = best || out->released ? best : t->owner;
}

/*
 * Next owner of one target: out->owner, the present one where it stays. True
 * where it stays only for now.
 */
static bool next_owner(const decided_t *d, const sessions_t *s,
		       const target_t *t, host_id_t best, int64_t now_us,
		       int64_t settle_us, size_t *moves, assignment_t *out)
{
	out->owner = t->owner;
	if (!t->owner) {
		if (!has_let_go(s, t->previous_owner, t->fence, now_us))
			return true;
		out->owner = best;
		return !best;
	}
	if (sessions_is_over(s, t->owner, now_us)) {
		replace_owner(s, t, best, out);
		return out->owner == t->owner;
	}
	if (!sessions_is_live(s, t->owner))
		return true; /* a new leader does not know yet */
	if (!may_own(d, t->owner)) {
		out->owner = 0;
		return false;
	}
	if (!best || best == t->owner)
		return false;
	if (!*moves || !settled(s, best, now_us, settle_us))
		return true;
	(*moves)--;
	out->owner = 0;
	return false;
}

size_t assign_pick(const decided_t *d, const sessions_t *s, int64_t now_us,
		   int64_t settle_us, size_t max_moves, assignment_t *out,
		   bool *waits)
{
	candidates_t c = list_candidates(d, s);
	size_t n = 0;

	*waits = false;
	for (size_t i = 0; i < decided_target_count(d); i++) {
		const target_t *t = decided_target_at(d, i);

		if (n == ASSIGN_MAX) {
			*waits = true;
			break;
		}
		out[n].target = t->id;
		out[n].released = false;
		if (next_owner(d, s, t, best_host(&c, t), now_us, settle_us,
			       &max_moves, &out[n]))
			*waits = true;
		if (out[n].owner != t->owner)
			n++;
	}
	free(c.v);
	return n;
}
