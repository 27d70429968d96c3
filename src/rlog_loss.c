/* rlog_loss.c - what a host with a log says while there is no leader. */
#include "rlog_int.h"

#include "counter.h"
#include "log.h"

/*
 * Without a leader for so many election timeouts, more voters are gone than the log
 * can do without, or cannot hear each other.
 */
#define LOSS_ELECTION_TIMEOUTS 20

/* How long nothing came from a voter, as far as this host knows; 0 for itself. */
static int64_t silent_us(const rlog_t *l, host_id_t id, int64_t now_us)
{
	const peer_t *p = rlog_peer((rlog_t *)l, id);
	int64_t heard_us = l->started_us;

	if (id == l->cfg.self)
		return 0;
	if (p && p->last_heard_us > heard_us)
		heard_us = p->last_heard_us;
	return now_us - heard_us;
}

/* Appends "HOST:MILLISECONDS" for each voter, with spaces between. */
static void append_voters(const rlog_t *l, int64_t now_us, buf_t *out)
{
	for (size_t i = 0; i < l->members.n; i++) {
		host_id_t id = l->members.v[i].id;

		buf_printf(
			out, "%s%u:%lld", i ? " " : "", id,
			(long long)(silent_us(l, id, now_us) / USEC_PER_MSEC));
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
