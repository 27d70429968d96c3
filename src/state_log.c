/*
 * state_log.c - what is decided reaches the state machine of this daemon: by its own
 * log, also one that is opened again after its disk failed, or by the feed.
 */
#include "state_int.h"

#include "log.h"
#include "voters.h"

#include <string.h>

/* Time between two tries to reopen a disk that failed. */
#define REOPEN_RETRY_US (300 * USEC_PER_MSEC)

/* Whether the feed carries entries of this kind to hosts without a log. */
static bool is_feed_kind(uint32_t kind)
{
	return kind == ENTRY_CHANGE || kind == ENTRY_ASSIGN ||
	       kind == ENTRY_DOC;
}

static void on_change_applied(void *ctx, str_t change_id,
			      const change_outcome_t *o)
{
	state_t *st = ctx;

	(void)change_id;
	intake_change_applied(st->intake, st->applying_index, o);
}

static void on_claim_applied(void *ctx, size_t pos, const claim_result_t *res)
{
	state_t *st = ctx;

	intake_claim_applied(st->intake, st->applying_index, pos, res);
}

static int apply(state_t *st, uint64_t index, uint32_t kind, str_t data)
{
	const machine_sink_t sink = {on_change_applied, on_claim_applied, st};

	st->applying_index = index;
	if (machine_apply(st->machine, index, (entry_kind_t)kind, data, &sink))
		return -1;
	if (is_feed_kind(kind))
		st->tables_dirty = true;
	return 0;
}

/* Logs an event with the positions in the log that this host goes on from. */
static void log_positions(const state_t *st, const char *event)
{
	log_event(LOG_NOTICE, event, kv_u("host", st->cfg.self),
		  kv_u("machine", machine_index(st->machine)),
		  kv_u("feed", feed_index(st->feed)),
		  kv_u("tables", decided_index(st->tables)),
		  kv_u("replay", st->replay ? machine_index(st->replay) : 0));
}

/*
 * Once the replay holds all that this host has applied without its log, it becomes the
 * machine in use. It also holds the idempotency claims, which the feed does not carry.
 */
static void end_replay_if_caught_up(state_t *st)
{
	if (machine_index(st->replay) < machine_index(st->machine))
		return;
	machine_free(st->machine);
	st->machine = st->replay;
	st->replay = NULL;
	if (st->replay_feed_index > feed_index(st->feed))
		feed_reset(st->feed, st->replay_feed_index);
	feed_set_parent(st->feed, 0, timer_svc_now(st->timers));
	st->tables_dirty = true;
	log_positions(st, "log_caught_up");
}

static int replay_apply(state_t *st, const wal_rec_t *rec)
{
	if (machine_apply(st->replay, rec->index, (entry_kind_t)rec->kind,
			  rec->data, NULL))
		return -1;
	if (is_feed_kind(rec->kind))
		st->replay_feed_index = rec->index;
	end_replay_if_caught_up(st);
	return 0;
}

static int log_apply(void *ctx, const wal_rec_t *rec)
{
	state_t *st = ctx;

	if (rec->kind == ENTRY_NOOP || rec->kind == ENTRY_MEMBERS)
		return 0;
	if (st->replay)
		return replay_apply(st, rec);
	if (apply(st, rec->index, rec->kind, rec->data))
		return -1;
	if (is_feed_kind(rec->kind))
		feed_append(st->feed, rec->index, rec->kind, rec->data,
			    timer_svc_now(st->timers));
	return 0;
}

/* Log snapshots hold the index of the latest feed entry, then the machine. */
static void log_save(void *ctx, buf_t *out)
{
	state_t *st = ctx;
	uint64_t fed_index =
		st->replay ? st->replay_feed_index : feed_index(st->feed);

	buf_put(out, &fed_index, sizeof(fed_index));
	machine_save(st->replay ? st->replay : st->machine, MACHINE_ALL, out);
}

static int log_load(void *ctx, uint64_t index, str_t bytes)
{
	state_t *st = ctx;
	uint64_t fed_index;

	if (bytes.n < sizeof(fed_index))
		return -1;
	memcpy(&fed_index, bytes.p, sizeof(fed_index));
	/* Snapshots of earlier builds may name a later entry than they hold. */
	if (fed_index > index)
		fed_index = index;
	if (machine_load(st->replay ? st->replay : st->machine,
			 str_n(bytes.p + sizeof(fed_index),
			       bytes.n - sizeof(fed_index))))
		return -1;
	if (st->replay) {
		st->replay_feed_index = fed_index;
		end_replay_if_caught_up(st);
		return 0;
	}
	if (fed_index > feed_index(st->feed))
		feed_reset(st->feed, fed_index);
	st->tables_dirty = true;
	return 0;
}

int state_feed_apply(void *ctx, uint64_t index, entry_kind_t kind, str_t data)
{
	state_t *st = ctx;

	if (!state_uses_feed(st) || !is_feed_kind(kind))
		return -1;
	return apply(st, index, kind, data);
}

void state_feed_save(void *ctx, buf_t *out)
{
	state_t *st = ctx;

	machine_save(st->machine, MACHINE_TABLES, out);
}

int state_feed_load(void *ctx, uint64_t index, str_t bytes)
{
	state_t *st = ctx;

	if (!state_uses_feed(st) || index <= feed_index(st->feed))
		return -1;
	if (machine_load(st->machine, bytes))
		return -1;
	st->tables_dirty = true;
	return 0;
}

/* Adopts the role, term and leader of the log; gives up a log that failed. */
void state_follow_log(state_t *st, int64_t now_us)
{
	bool is_leader;

	if (!st->rlog)
		return;
	if (rlog_role(st->rlog) == RLOG_FAILED) {
		/* From here on this host runs as one without a disk. */
		st->log_error = *rlog_error(st->rlog);
		log_positions(st, "log_closed");
		if (st->leading)
			state_ask_successor(st, false, now_us);
		rlog_free(st->rlog);
		st->rlog = NULL;
		machine_free(st->replay);
		st->replay = NULL;
		if (st->ops.reopen && st->log_error.code != WAL_REPLACED)
			st->reopen_due_us = now_us + REOPEN_RETRY_US;
		if (st->leading)
			state_lead_end(st);
		st->leader = 0;
		st->renew_due_us = now_us;
		return;
	}
	is_leader = rlog_is_leader(st->rlog);
	if (st->leading &&
	    (!is_leader || st->last_led_term != rlog_term(st->rlog)))
		state_lead_end(st);
	if (is_leader && !st->leading)
		state_lead_begin(st, now_us);
	state_set_leader(st, rlog_leader(st->rlog), rlog_term(st->rlog),
			 now_us);
}

static void log_changed(void *ctx)
{
	(void)ctx; /* process_due() calls state_follow_log() after each step */
}

/* Whether the tables mark all current voters other than id as voters. */
static bool other_voters_marked(const state_t *st, host_id_t id)
{
	host_id_t ids[RLOG_VOTERS_MAX];
	size_t n = rlog_voters(st->rlog, ids, RLOG_VOTERS_MAX);

	for (size_t i = 0; i < n; i++) {
		const host_t *h = decided_host(st->tables, ids[i]);

		if (ids[i] != id && (!h || !h->voter))
			return false;
	}
	return true;
}

/* Whether the voter is silent for long, or has said that it shuts down. */
static bool voter_is_lost(const state_t *st, host_id_t id, int64_t now_us)
{
	return sessions_has_left(st->sessions, id) ||
	       rlog_peer_silent_us(st->rlog, id, now_us) >=
		       st->cfg.voter_lost_us;
}

/* Where operators choose no voters, any host with a disk may become one. */
static bool auto_voter_allowed(const state_t *st, host_id_t id)
{
	int64_t now_us = timer_svc_now(st->timers);
	host_id_t ids[RLOG_VOTERS_MAX];
	voter_t rows[RLOG_VOTERS_MAX];
	voters_t v = {
		.rows = rows,
		.n = rlog_voters(st->rlog, ids, RLOG_VOTERS_MAX),
		.min = st->cfg.auto_voters,
		.leader = st->cfg.self,
		.settled = rlog_members_age_us(st->rlog, now_us) >=
			   st->cfg.voter_lost_us,
	};

	/* The leader asks this at each message, and mostly for these. */
	if (v.n <= v.min && rlog_is_voter(st->rlog, id))
		return true;
	v.n_candidates = rlog_candidates(st->rlog);
	for (size_t i = 0; i < v.n; i++) {
		rows[i].id = ids[i];
		rows[i].is_lost = voter_is_lost(st, ids[i], now_us);
	}
	if (rlog_is_voter(st->rlog, id))
		return voters_keep(&v, id);
	return !sessions_has_left(st->sessions, id) && voters_admit(&v);
}

/*
 * Whether a host with a disk may be a voter. Operators remove a voter by
 * clearing the voter mark of its host row. That only counts if the rows of all
 * other voters carry the mark: tables that mark no voters remove nobody. A host
 * without a row may vote only if it is one of the first voters.
 */
static bool log_voter_allowed(void *ctx, host_id_t id)
{
	const state_t *st = ctx;
	const host_t *h = decided_host(st->tables, id);

	if (st->cfg.auto_voters)
		return auto_voter_allowed(st, id);
	if (h)
		return h->voter || !other_voters_marked(st, id);
	for (size_t i = 0; i < st->cfg.n_voters; i++)
		if (st->first_voters[i] == id)
			return true;
	return false;
}

int state_open_log(state_t *st, wal_t *wal, int64_t now_us, wal_err_t *err)
{
	const rlog_cfg_t cfg = {
		.self = st->cfg.self,
		.voters = st->first_voters,
		.n_voters = st->cfg.n_voters,
		.seed = st->session,
		.heartbeat_us = st->cfg.heartbeat_us,
		.election_us = st->cfg.election_us,
		.snapshot_entries = st->cfg.snapshot_entries,
		.join_only = st->cfg.join_only,
	};
	const rlog_ops_t ops = {state_send_msg, log_apply,   log_save,
				log_load,	log_changed, log_voter_allowed};

	if (!wal)
		return 0;
	st->rlog = rlog_new(&cfg, &ops, st, wal, now_us, err);
	if (!st->rlog)
		return -1;
	st->led_term_max = rlog_term(st->rlog);
	return 0;
}

/*
 * Tries to reopen the disk that failed. The log is replayed from its folder
 * into an empty machine, so this host acknowledges and votes only on what that
 * folder holds. Until it has caught up, the feed goes on into the machine in
 * use: a log that fails again leaves no trace there.
 */
void state_reopen_log(state_t *st, int64_t now_us)
{
	wal_err_t err = {0};
	wal_t *wal;

	if (now_us < st->reopen_due_us)
		return;
	st->reopen_due_us = now_us + REOPEN_RETRY_US;
	wal = st->ops.reopen(st->ctx);
	if (!wal)
		return;
	st->replay = machine_new();
	st->replay_feed_index = 0;
	if (state_open_log(st, wal, now_us, &err)) {
		machine_free(st->replay);
		st->replay = NULL;
		st->log_error = err;
		return;
	}
	st->reopen_due_us = INT64_MAX;
	memset(&st->log_error, 0, sizeof(st->log_error));
	log_positions(st, "log_reopened");
}
