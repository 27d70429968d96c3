/* assign.c - owners of targets by rendezvous over live daemons. */
#include "assign.h"

/* Whether a live host may own targets. */
static bool may_own(const decided_t *d, host_id_t id)
{
	const host_t *h = decided_host(d, id);

	return h && !h->draining;
}

static bool in_zone(const decided_t *d, host_id_t id, str_t zone)
{
	const host_t *h = decided_host(d, id);

	return h && str_eq(h->zone, zone);
}

/* Best host for a target; 0 where there is none. */
static host_id_t best_host(const decided_t *d, const sessions_t *s,
			   const target_t *t)
{
	uint64_t key = hash_bytes(t->name.p, t->name.n, 0);
	size_t n;
	const host_id_t *live = sessions_live(s, &n);
	host_id_t best = 0;
	uint64_t best_score = 0;
	bool best_near = false;

	for (size_t i = 0; i < n; i++) {
		bool near = in_zone(d, live[i], t->zone);
		uint64_t score = rendezvous_score(key, live[i]);

		if (!may_own(d, live[i]) || (best && best_near && !near))
			continue;
		if (!best || (near && !best_near) || score > best_score) {
			best = live[i];
			best_score = score;
			best_near = near;
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
		       const target_t *t, int64_t now_us, int64_t settle_us,
		       size_t *moves, assignment_t *out)
{
	host_id_t best = best_host(d, s, t);
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
	size_t n = 0;

	for (size_t i = 0; i < decided_target_count(d); i++) {
		const target_t *t = decided_target_at(d, i);

		if (n == ASSIGN_MAX)
			break;
		out[n].target = t->id;
		out[n].released = false;
		if (next_owner(d, s, t, now_us, settle_us, &max_moves,
			       &out[n]) &&
		    out[n].owner != t->owner)
			n++;
	}
	return n;
}
