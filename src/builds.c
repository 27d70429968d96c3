/*
 * builds.c - which versions of their software the runners have, as decided, and at
 * which one a stream began.
 */
#include "dispatch_int.h"

#include <string.h>

#include "log.h"

/*
 * A software version that no runner has shown for so long has no stream that a
 * caller may still take up.
 */
#define BUILD_FORGET_US (600 * USEC_PER_SEC)
/* A proposal of software versions without effect is made again after this time. */
#define BUILDS_PROPOSE_AGAIN_US (300 * USEC_PER_MSEC)
/*
 * How long after its beginning the dispatcher expects hosts with a disk to tell their
 * journals: those that get their power back a second after the first ones have to read
 * their disks and settings and to get a session.
 */
#define JOURNALS_EXPECTED_US (4 * USEC_PER_SEC)
/* Hosts that have not told their journals are asked at this interval. */
#define JOURNALS_ASK_INTERVAL_US (200 * USEC_PER_MSEC)

str_t builds_of_stream(const dispatch_t *d, const Dispatch__Ask *a,
		       int64_t now_us)
{
	str_t build = stream_builds_find(d->streams, a->stream, now_us);

	/* Under a lease, no other dispatcher has let another version begin one. */
	if (!build.n && d->mode == DISPATCH_LEADER &&
	    now_us < d->lease_until_us)
		build = build_set_only(d->decided_builds, pb_str(a->service));
	return build;
}

static str_t decided_builds_body(const dispatch_t *d)
{
	const doc_t *doc = dispatch_find_doc(d, STR(DOC_BUILDS));

	return doc ? doc->body : str_n(NULL, 0);
}

void builds_propose(dispatch_t *d, const runner_list_t *l, int64_t now_us)
{
	AUTO_BUF buf_t body = {0};

	for (size_t i = 0; i < l->n; i++)
		build_set_add(d->seen_builds, l->rows[i].service,
			      l->rows[i].build, now_us);
	build_set_forget(d->seen_builds, now_us - BUILD_FORGET_US);
	if (build_set_equal(d->seen_builds, d->decided_builds) ||
	    now_us - d->builds_proposed_us < BUILDS_PROPOSE_AGAIN_US)
		return;
	d->builds_proposed_us = now_us;
	build_set_write(d->seen_builds, &body);
	d->ops.propose_doc(d->ctx, STR(DOC_BUILDS), buf_str(&body));
}

host_id_t dispatch_journal_host(const doc_t *doc)
{
	str_t prefix = STR(DOC_JOURNAL_PREFIX);
	uint64_t host;

	if (doc->name.n <= prefix.n ||
	    memcmp(doc->name.p, prefix.p, prefix.n) ||
	    str_to_u64(doc->body, &host) || host > UINT32_MAX)
		return 0;
	return (host_id_t)host;
}

static void apply_journal_docs(dispatch_t *d)
{
	g_hash_table_remove_all(d->journal_hosts);
	for (size_t i = 0; d->tables && i < decided_doc_count(d->tables); i++) {
		host_id_t host =
			dispatch_journal_host(decided_doc_at(d->tables, i));

		if (host)
			g_hash_table_add(d->journal_hosts,
					 GUINT_TO_POINTER(host));
	}
}

void builds_apply_tables(dispatch_t *d)
{
	build_set_read(d->decided_builds, decided_builds_body(d), 0);
	apply_journal_docs(d);
	fleet_apply_builds(d);
}

void builds_begin(dispatch_t *d, int64_t now_us)
{
	d->builds_proposed_us = INT64_MIN / 2;
	/* What was decided may have begun streams until now. */
	build_set_read(d->seen_builds, decided_builds_body(d), now_us);
}

/* Journals of hosts with a disk. */

void builds_init(dispatch_t *d)
{
	d->journal_hosts = g_hash_table_new(NULL, NULL);
	d->journals_told = g_hash_table_new(NULL, NULL);
}

void builds_clear(dispatch_t *d)
{
	g_hash_table_remove_all(d->journals_told);
	d->journals_asked_us = INT64_MIN / 2;
}

void builds_free(dispatch_t *d)
{
	g_hash_table_destroy(d->journal_hosts);
	g_hash_table_destroy(d->journals_told);
}

void builds_on_journal(dispatch_t *d, host_id_t from,
		       const Dispatch__Journal *m)
{
	if (m->told)
		g_hash_table_add(d->journals_told, GUINT_TO_POINTER(from));
}

static void ask_for_journal(dispatch_t *d, host_id_t host)
{
	Dispatch__Journal pb = DISPATCH__JOURNAL__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	msg.body_case = DISPATCH__MSG__BODY_JOURNAL;
	msg.journal = &pb;
	d->ops.send(d->ctx, host, &msg);
}

/* Calls ask_for_journal() for the hosts that have not told; returns their number. */
static guint missing_journals(dispatch_t *d, bool ask)
{
	GHashTableIter it;
	gpointer host;
	guint n = 0;

	g_hash_table_iter_init(&it, d->journal_hosts);
	while (g_hash_table_iter_next(&it, &host, NULL)) {
		if (g_hash_table_contains(d->journals_told, host))
			continue;
		n++;
		if (ask)
			ask_for_journal(d, GPOINTER_TO_UINT(host));
	}
	return n;
}

bool builds_await_journals(dispatch_t *d, const Dispatch__Ask *a,
			   int64_t now_us)
{
	bool ask = now_us - d->journals_asked_us >= JOURNALS_ASK_INTERVAL_US;
	guint n;

	if (d->mode != DISPATCH_LEADER || !a->stream ||
	    now_us - d->began_us >= JOURNALS_EXPECTED_US ||
	    !build_set_several(d->decided_builds, pb_str(a->service)))
		return false;
	n = missing_journals(d, ask);
	if (!n || !ask)
		return n > 0;
	d->journals_asked_us = now_us;
	log_event(LOG_INFO, "stream_journals_missing",
		  kv_u("told", g_hash_table_size(d->journals_told)),
		  kv_u("hosts", g_hash_table_size(d->journal_hosts)),
		  kv_i("after_ms", (now_us - d->began_us) / USEC_PER_MSEC));
	return true;
}
