/* rlog_store.c - records of the log in memory and on disk, and snapshots. */
#include "rlog_int.h"

#include "counter.h"
#include "log.h"

#include <string.h>

/*
 * After a snapshot the last snapshot_entries / RETAIN_DIV applied records stay
 * in memory; a peer that lacks only these is sent no snapshot.
 */
#define RETAIN_DIV 2u

uint64_t rlog_last_index(const rlog_t *l)
{
	return l->first + l->n_recs - 1;
}

int rlog_fail(rlog_t *l, const wal_err_t *err)
{
	l->error = *err;
	l->role = RLOG_FAILED;
	l->leader = 0;
	log_event(LOG_ERR, "log_failed", kv_u("host", l->cfg.self),
		  KV_C("reason", wal_code_text(err->code)),
		  KV_C("detail", err->detail));
	l->ops.changed(l->ctx);
	return -1;
}

int rlog_fail_apply(rlog_t *l, const char *what, uint64_t index)
{
	wal_err_t err = {.code = WAL_CORRUPT};
	AUTO_BUF buf_t text = {0};

	buf_printf(&text, "%s at index %llu", what, (unsigned long long)index);
	memcpy(err.detail, text.p,
	       text.n < sizeof(err.detail) ? text.n + 1 : sizeof(err.detail));
	err.detail[sizeof(err.detail) - 1] = '\0';
	return rlog_fail(l, &err);
}

wal_rec_t *rlog_record_at(const rlog_t *l, uint64_t index)
{
	if (index < l->first || index > rlog_last_index(l))
		return NULL;
	return &l->recs[index - l->first];
}

bool rlog_term_at(const rlog_t *l, uint64_t index, uint64_t *term)
{
	const wal_rec_t *rec = rlog_record_at(l, index);

	if (rec)
		*term = rec->term;
	else if (index + 1 == l->first)
		*term = l->prev_term;
	else if (index == l->snap_index)
		*term = l->snap_term;
	else
		return false;
	return true;
}

uint64_t rlog_last_term(const rlog_t *l)
{
	return l->n_recs ? l->recs[l->n_recs - 1].term : l->prev_term;
}

void rlog_append_record(rlog_t *l, uint64_t index, uint64_t term, uint32_t kind,
			str_t data)
{
	wal_rec_t *rec;

	if (l->n_recs == l->cap_recs) {
		l->cap_recs = l->cap_recs ? l->cap_recs * 2 : 256;
		l->recs = xrealloc(l->recs, l->cap_recs * sizeof(*l->recs));
	}
	rec = &l->recs[l->n_recs++];
	rec->index = index;
	rec->term = term;
	rec->kind = kind;
	rec->data = str_copy(data);
}

void rlog_truncate_records(rlog_t *l, uint64_t from)
{
	while (l->n_recs && rlog_last_index(l) >= from)
		str_free(&l->recs[--l->n_recs].data);
	if (l->stored >= from)
		l->stored = from - 1;
}

/* Removes the records before index from memory. */
static void drop_records_before(rlog_t *l, uint64_t index)
{
	size_t n = 0;
	uint64_t term = l->prev_term;

	while (n < l->n_recs && l->recs[n].index < index) {
		term = l->recs[n].term;
		str_free(&l->recs[n].data);
		n++;
	}
	memmove(l->recs, l->recs + n, (l->n_recs - n) * sizeof(*l->recs));
	l->n_recs -= n;
	l->first += n;
	l->prev_term = term;
}

void rlog_reset_records(rlog_t *l, uint64_t index, uint64_t term)
{
	rlog_truncate_records(l, l->first);
	l->first = index + 1;
	l->prev_term = term;
	l->stored = index;
}

int rlog_save_vote(rlog_t *l, uint64_t term, host_id_t voted_for)
{
	wal_err_t err = {0};

	l->term = term;
	l->voted_for = voted_for;
	if (l->wal->ops->set_vote(l->wal->ctx, term, voted_for, &err) ||
	    l->wal->ops->sync(l->wal->ctx, &err))
		return rlog_fail(l, &err);
	counter_add(CTR_LOG_SYNCS, 1);
	return 0;
}

int rlog_store(rlog_t *l)
{
	wal_err_t err = {0};
	uint64_t last = rlog_last_index(l);
	const wal_rec_t *unstored = rlog_record_at(l, l->stored + 1);

	if (!unstored)
		return 0;
	if (l->wal->ops->append(l->wal->ctx, unstored, last - l->stored,
				&err) ||
	    l->wal->ops->sync(l->wal->ctx, &err))
		return rlog_fail(l, &err);
	counter_add(CTR_LOG_SYNCS, 1);
	l->stored = last;
	return 0;
}

static void pack_snapshot_file(rlog_t *l, const members_t *m, str_t machine,
			       buf_t *out)
{
	Peer__SnapshotFile pb = PEER__SNAPSHOT_FILE__INIT;
	AUTO_BUF buf_t packed = {0};
	size_t n;

	rlog_members_pack(m, &packed);
	pb.members.data = (uint8_t *)packed.p;
	pb.members.len = packed.n;
	pb.machine.data = (uint8_t *)machine.p;
	pb.machine.len = machine.n;
	n = peer__snapshot_file__get_packed_size(&pb);
	peer__snapshot_file__pack(&pb, (uint8_t *)buf_reserve(out, n));
	out->n += n;
}

int rlog_load_snapshot(rlog_t *l, uint64_t index, uint64_t term, str_t bytes)
{
	Peer__SnapshotFile *pb = peer__snapshot_file__unpack(
		NULL, bytes.n, (const uint8_t *)bytes.p);
	members_t m;
	int rc = -1;

	if (!pb)
		return -1;
	if (rlog_members_parse(&m, index,
			       str_n((char *)pb->members.data,
				     pb->members.len)))
		goto out;
	if (l->ops.load(l->ctx, index,
			str_n((char *)pb->machine.data, pb->machine.len)))
		goto out;
	l->snap_members = m;
	l->snap_index = index;
	l->snap_term = term;
	buf_reset(&l->snap);
	buf_put(&l->snap, bytes.p, bytes.n);
	l->applied = index;
	if (l->commit < index)
		l->commit = index;
	rc = 0;
out:
	peer__snapshot_file__free_unpacked(pb, NULL);
	return rc;
}

/* Takes a snapshot after each snapshot_entries applied records. */
static int maybe_take_snapshot(rlog_t *l)
{
	AUTO_BUF buf_t machine = {0};
	AUTO_BUF buf_t file = {0};
	wal_err_t err = {0};
	uint64_t retained = l->cfg.snapshot_entries / RETAIN_DIV;
	uint64_t term;
	members_t m;

	if (l->applied < l->snap_index + l->cfg.snapshot_entries ||
	    l->stored < l->applied || !rlog_term_at(l, l->applied, &term))
		return 0;
	m = rlog_members_at(l, l->applied);
	l->ops.save(l->ctx, &machine);
	pack_snapshot_file(l, &m, buf_str(&machine), &file);
	if (l->wal->ops->snapshot(l->wal->ctx, l->applied, term, buf_str(&file),
				  &err))
		return rlog_fail(l, &err);
	l->snap_members = m;
	l->snap_index = l->applied;
	l->snap_term = term;
	buf_free(&l->snap);
	l->snap = file;
	file = (buf_t){0};
	if (l->applied > retained)
		drop_records_before(l, l->applied - retained + 1);
	return 0;
}

int rlog_apply_committed(rlog_t *l)
{
	while (l->applied < l->commit) {
		const wal_rec_t *rec = rlog_record_at(l, l->applied + 1);

		if (!rec)
			break;
		if (l->ops.apply(l->ctx, rec))
			return rlog_fail_apply(
				l, "a committed record is invalid", rec->index);
		l->applied++;
	}
	return maybe_take_snapshot(l);
}

static int replay_record(void *arg, const wal_rec_t *rec)
{
	rlog_t *l = arg;

	if (rec->index <= l->snap_index)
		return 0;
	if (rec->index != rlog_last_index(l) + 1)
		return -1;
	rlog_append_record(l, rec->index, rec->term, rec->kind, rec->data);
	return 0;
}

int rlog_load_wal(rlog_t *l, wal_err_t *err)
{
	const wal_recovered_t *r = &l->wal->recovered;

	l->term = r->term;
	l->voted_for = r->voted_for;
	l->incarnation = r->incarnation;
	l->first = 1;
	if (r->snapshot_index) {
		if (rlog_load_snapshot(l, r->snapshot_index, r->snapshot_term,
				       r->snapshot)) {
			err->code = WAL_SNAPSHOT;
			return -1;
		}
		rlog_reset_records(l, r->snapshot_index, r->snapshot_term);
	}
	if (l->wal->ops->replay(l->wal->ctx, replay_record, l, err)) {
		if (err->code == WAL_OK)
			err->code = WAL_CORRUPT;
		return -1;
	}
	l->stored = rlog_last_index(l);
	return 0;
}
