/* rlog_handover.c - which voter may lead next, and a voter that is asked to. */
#include "rlog_int.h"

/*
 * How much of the log a successor must hold to win an election: all of it, or, where
 * this host's disk has failed, as much as any other voter.
 */
static uint64_t successor_match(const rlog_t *l)
{
	uint64_t match = 0;

	if (l->role == RLOG_LEADER)
		return rlog_last_index(l);
	for (size_t i = 0; i < l->members.n; i++) {
		const peer_t *p = rlog_peer((rlog_t *)l, l->members.v[i].id);

		if (p && p->match > match)
			match = p->match;
	}
	return match;
}

bool rlog_can_succeed(const rlog_t *l, host_id_t id, int64_t now_us)
{
	const rlog_member_t *m = rlog_member(&l->members, id);
	const peer_t *p = rlog_peer((rlog_t *)l, id);

	return (l->role == RLOG_LEADER || l->role == RLOG_FAILED) && m && p &&
	       p->incarnation == m->incarnation &&
	       p->match == successor_match(l) &&
	       now_us - p->last_heard_us <
		       l->cfg.heartbeat_us * RESEND_HEARTBEATS;
}

bool rlog_take_over(rlog_t *l, host_id_t from, uint64_t term, int64_t now_us)
{
	if (l->role != RLOG_FOLLOWER || l->term != term || l->leader != from ||
	    !rlog_self_is_voter(l))
		return false;
	rlog_campaign(l, CAMPAIGN_HANDOVER, now_us);
	return true;
}
