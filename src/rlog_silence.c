/*
 * rlog_silence.c - voters from which nothing comes: what the leader knows and tells of
 * them, and what a host with a log says while there is no leader.
 */
#include "rlog_int.h"

#include "counter.h"
#include "log.h"

/*
 * Without a leader for so many election timeouts, more voters are gone than the log
 * can do without, or cannot hear each other.
 */
#define LOSS_ELECTION_TIMEOUTS 20

/* On a leader, since it or one before it heard from the voter; else as this host knows. */
static int64_t since_heard_us(const rlog_t *l, host_id_t id, int64_t now_us)
{
	const peer_t *p = rlog_peer((rlog_t *)l, id);
	int64_t heard_us = l->started_us;

	if (id == l->cfg.self)
		return 0;
	if (p && p->last_heard_us > heard_us)
		heard_us = p->last_heard_us;
	return now_us - heard_us;
}

int64_t rlog_peer_silent_us(const rlog_t *l, host_id_t id, int64_t now_us)
{
	int64_t answer_us = l->cfg.heartbeat_us * RESEND_HEARTBEATS;

	if (now_us - l->leader_since_us < answer_us)
		return 0;
	return since_heard_us(l, id, now_us);
}

size_t rlog_pick_silent(const rlog_t *l, int64_t now_us,
			Peer__SilentVoter *rows, Peer__SilentVoter **ptrs)
{
	size_t n = 0;

	for (size_t i = 0; i < l->members.n; i++) {
		host_id_t id = l->members.v[i].id;
		int64_t silent_us = rlog_peer_silent_us(l, id, now_us);

		if (silent_us < l->cfg.heartbeat_us * RESEND_HEARTBEATS)
			continue;
		peer__silent_voter__init(&rows[n]);
		rows[n].id = id;
		rows[n].silent_us = (uint64_t)silent_us;
		ptrs[n] = &rows[n];
		n++;
	}
	return n;
}

void rlog_note_silent(rlog_t *l, const Peer__Append *a, int64_t now_us)
{
	for (size_t i = 0; i < l->members.n; i++) {
		peer_t *p = rlog_peer(l, l->members.v[i].id);

		if (p)
			p->last_heard_us = now_us;
	}
	for (size_t i = 0; i < a->n_silent; i++) {
		peer_t *p = rlog_peer(l, a->silent[i]->id);

		if (p && a->silent[i]->silent_us <= (uint64_t)now_us)
			p->last_heard_us =
				now_us - (int64_t)a->silent[i]->silent_us;
	}
}

/* Appends "HOST:MILLISECONDS" for each voter, with spaces between. */
static void append_voters(const rlog_t *l, int64_t now_us, buf_t *out)
{
	for (size_t i = 0; i < l->members.n; i++) {
		host_id_t id = l->members.v[i].id;

		buf_printf(out, "%s%u:%lld", i ? " " : "", id,
			   (long long)(since_heard_us(l, id, now_us) /
				       USEC_PER_MSEC));
	}
}

static void log_loss(rlog_t *l, int64_t now_us)
{
	AUTO_BUF buf_t voters = {0};

	l->loss_logged = true;
	counter_add(CTR_QUORUM_LOSSES, 1);
	append_voters(l, now_us, &voters);
	log_event(LOG_ERR, "quorum_lost", kv_u("host", l->cfg.self),
		  kv_u("term", l->term), kv_u("index", rlog_last_index(l)),
		  kv_s("silent_ms", buf_str(&voters)));
}

void rlog_note_leader(rlog_t *l, int64_t now_us)
{
	int64_t max_us = l->cfg.election_us * LOSS_ELECTION_TIMEOUTS;

	if (l->leader) {
		if (l->loss_logged)
			log_event(LOG_NOTICE, "quorum_regained",
				  kv_u("host", l->cfg.self),
				  kv_u("leader", l->leader),
				  kv_i("after_ms",
				       (now_us - l->leaderless_since_us) /
					       USEC_PER_MSEC));
		l->leaderless_since_us = 0;
		l->loss_logged = false;
		return;
	}
	if (!l->leaderless_since_us)
		l->leaderless_since_us = now_us;
	if (l->members.n && !l->loss_logged &&
	    now_us - l->leaderless_since_us >= max_us)
		log_loss(l, now_us);
}
