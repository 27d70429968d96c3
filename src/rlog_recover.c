/* rlog_recover.c - the log in a data folder whose daemon does not run. */
#include "rlog_recover.h"

#include <string.h>

#include "rlog_int.h"

/* No leader of the log before can be of a later term than the recovered one. */
#define RECOVERY_TERMS (1u << 20)
/* The log is only read: no timeout of it passes. */
#define READ_ELECTION_US USEC_PER_SEC

static int ignore_load(void *ctx, uint64_t index, str_t bytes)
{
	(void)ctx, (void)index, (void)bytes;
	return 0;
}

static void ignore_change(void *ctx)
{
	(void)ctx;
}

/* The log in the folder, of which nothing is applied; NULL with *err set. */
static rlog_t *read_log(wal_t *wal, wal_err_t *err)
{
	static const rlog_ops_t ops = {.load = ignore_load,
				       .changed = ignore_change};
	const rlog_cfg_t cfg = {
		.self = wal->recovered.host,
		.voters = (const host_id_t[]){wal->recovered.host},
		.n_voters = 1,
		.seed = random_seed(),
		.heartbeat_us = READ_ELECTION_US,
		.election_us = READ_ELECTION_US,
		.join_only = true,
	};
	rlog_t *l = rlog_new(&cfg, &ops, NULL, wal, 0, err);

	if (!l || l->members.n)
		return l;
	err->code = WAL_MISSING;
	rlog_free(l);
	return NULL;
}

int rlog_summarize(wal_t *wal, rlog_summary_t *out, wal_err_t *err)
{
	rlog_t *l = read_log(wal, err);

	if (!l)
		return -1;
	memset(out, 0, sizeof(*out));
	out->host = l->cfg.self;
	out->log_id = l->members.log_id;
	out->term = rlog_last_term(l);
	out->index = rlog_last_index(l);
	out->votes = rlog_self_is_voter(l);
	out->n_voters = rlog_voters(l, out->voters, RLOG_VOTERS_MAX);
	rlog_free(l);
	return 0;
}

/* Remembers the log that is replaced; the earliest is forgotten for it. */
static void add_replaced(members_t *m, uint64_t log_id)
{
	if (m->n_replaced == RLOG_REPLACED_MAX) {
		m->n_replaced--;
		memmove(m->replaced, m->replaced + 1,
			m->n_replaced * sizeof(m->replaced[0]));
	}
	m->replaced[m->n_replaced++] = log_id;
}

int rlog_recover(wal_t *wal, wal_err_t *err)
{
	AUTO_BUF buf_t data = {0};
	rlog_t *l = read_log(wal, err);
	members_t m;
	uint64_t term;
	int rc = -1;

	if (!l)
		return -1;
	m = l->members;
	term = l->term + RECOVERY_TERMS;
	add_replaced(&m, m.log_id);
	m.log_id = rlog_random(l) | 1;
	m.n = 1;
	m.v[0].id = l->cfg.self;
	m.v[0].incarnation = l->incarnation;
	rlog_members_pack(&m, &data);
	if (rlog_save_vote(l, term, 0))
		goto fail;
	rlog_append_record(l, rlog_last_index(l) + 1, term, ENTRY_MEMBERS,
			   buf_str(&data));
	if (rlog_store(l))
		goto fail;
	rc = 0;
fail:
	if (rc)
		*err = l->error;
	rlog_free(l);
	return rc;
}
