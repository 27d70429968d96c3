/*
 * site_streams.c - which other hosts keep the streams of this one: any live host, or,
 * while several software versions of a service are decided, two hosts with a disk. On a
 * host with a disk, the journal of streams.
 */
#include "site_int.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "build_set.h"
#include "counter.h"
#include "journal_disk.h"
#include "journal_thread.h"
#include "log.h"
#include "state_mail.h"

/* Hosts with a disk that get each record. */
#define JOURNAL_COPIES 2u
/* New streams are collected for at least so long before they are sent. */
#define JOURNAL_DELAY_US (5 * USEC_PER_MSEC)
/*
 * Messages with new streams that a host with a disk should get in a second from all
 * others together; where there are many daemons, each collects for longer.
 */
#define JOURNAL_MESSAGES_PER_S 2000u

struct site_streams {
	journal_thread_t *journal; /* NULL: this host has no disk */
	build_set_t *builds;	   /* decided software versions */
	size_t n_several;	   /* services with several of them */
	GArray *disks;		   /* host_id_t of hosts with a journal */
	bool doc_proposed;	   /* this host's, since the start */
};

/* The journal's content, on its way to the loop. */
typedef struct found_mail {
	mail_t mail;
	stream_builds_t *found; /* owned */
} found_mail_t;

static void found_drop(mail_t *m)
{
	stream_builds_free(((found_mail_t *)m)->found);
	free(m);
}

static void found_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;

	gateway_journal_read(s->gateway, ((found_mail_t *)m)->found);
	found_drop(m);
}

/* Called on the journal's thread. */
static void on_journal_read(void *ctx, stream_builds_t *found)
{
	site_t *s = ctx;
	found_mail_t *m = xcalloc(1, sizeof(*m));

	m->mail.run = found_run;
	m->mail.drop = found_drop;
	m->found = found;
	loop_post(s->loop, &m->mail);
}

int site_streams_start(site_t *s)
{
	site_streams_t *ss = xcalloc(1, sizeof(*ss));
	journal_disk_t disk;

	ss->builds = build_set_new();
	ss->disks = g_array_new(FALSE, FALSE, sizeof(host_id_t));
	s->streams = ss;
	if (!s->wal)
		return 0;
	/* A host whose journal cannot be used serves as one without. */
	if (!journal_disk_open(s->settings.data_dir, &disk))
		ss->journal = journal_thread_start(&disk, on_journal_read, s);
	if (!ss->journal)
		log_event(LOG_WARNING, "stream_journal_failed",
			  KV_C("error", strerror(errno)), kv_u("streams", 0));
	return 0;
}

/* Proposes that this host keeps a journal, or none any more, once after the start. */
static void propose_journal_doc(site_t *s)
{
	AUTO_BUF buf_t body = {0};

	if (s->streams->doc_proposed || !site_tables_are_fresh(s))
		return;
	s->streams->doc_proposed = true;
	if (s->streams->journal)
		buf_printf(&body, "%u", s->self);
	else if (!site_find_host_doc(s->tables, DOC_JOURNAL_PREFIX, s->self))
		return;
	site_propose_host_doc(s, DOC_JOURNAL_PREFIX, buf_str(&body));
}

void site_streams_lease_status_changed(site_t *s)
{
	propose_journal_doc(s);
}

void site_streams_tables_changed(site_t *s)
{
	site_streams_t *ss = s->streams;
	const doc_t *doc = decided_doc_by_name(s->tables, STR(DOC_BUILDS));
	build_set_t *before = ss->builds;
	size_t n_before = ss->n_several;

	g_array_set_size(ss->disks, 0);
	for (size_t i = 0; i < decided_doc_count(s->tables); i++) {
		host_id_t host =
			dispatch_journal_host(decided_doc_at(s->tables, i));

		if (host)
			g_array_append_val(ss->disks, host);
	}
	ss->builds = build_set_new();
	build_set_read(ss->builds, doc ? doc->body : str_n(NULL, 0), 0);
	ss->n_several = build_set_count_several(ss->builds);
	if (ss->n_several != n_before)
		log_event(LOG_NOTICE, "streams_journaled",
			  kv_u("services", ss->n_several),
			  kv_u("hosts", ss->disks->len));
	/* Streams under way have begun at versions decided before. */
	if (build_set_adds_several(ss->builds, before))
		gateway_journal_streams(s->gateway);
	build_set_free(before);
}

/* The order of hosts that keep copies for this one: the highest come first. */
static uint64_t rank_of(const site_t *s, host_id_t host)
{
	return hash_bytes(&host, sizeof(host), s->self);
}

/*
 * The live hosts with a disk that come first; of this one and the dispatcher, which
 * know the streams already, none while there are others. Returns their number.
 */
static size_t journal_hosts(const site_t *s, host_id_t *out)
{
	uint64_t ranks[JOURNAL_COPIES];
	size_t n = 0;

	for (guint i = 0; i < s->streams->disks->len; i++) {
		host_id_t host = g_array_index(s->streams->disks, host_id_t, i);
		bool knows = host == s->self || host == s->lease_status.leader;
		uint64_t rank =
			rank_of(s, host) >> 1 | (knows ? 0 : UINT64_C(1) << 63);
		size_t at = n;

		if (host != s->self && !site_is_live_host(s, host))
			continue;
		while (at > 0 && ranks[at - 1] < rank)
			at--;
		if (at == JOURNAL_COPIES)
			continue;
		n = MIN(n + 1, JOURNAL_COPIES);
		for (size_t k = n - 1; k > at; k--) {
			ranks[k] = ranks[k - 1];
			out[k] = out[k - 1];
		}
		ranks[at] = rank;
		out[at] = host;
	}
	return n;
}

/*
 * The live host, other than this one and the dispatcher, that comes first; 0: there is
 * none.
 */
static host_id_t backup_host(const site_t *s)
{
	const lease_status_t *st = &s->lease_status;
	uint64_t highest = 0;
	host_id_t best = 0;

	for (size_t i = 0; i < st->n_live; i++) {
		host_id_t host = st->live[i];
		uint64_t rank = rank_of(s, host);

		if (host == s->self || host == st->leader || rank < highest)
			continue;
		highest = rank;
		best = host;
	}
	return best;
}

int64_t site_journal_delay_us(void *ctx, str_t service)
{
	const site_t *s = ctx;
	uint64_t messages = s->lease_status.n_live * JOURNAL_COPIES;
	uint64_t per_s = s->streams->disks->len * JOURNAL_MESSAGES_PER_S;
	int64_t delay_us;

	if (!s->streams->n_several || !s->streams->disks->len ||
	    !build_set_several(s->streams->builds, service))
		return 0;
	delay_us = (int64_t)(messages * USEC_PER_SEC / per_s);
	return MAX(delay_us, JOURNAL_DELAY_US);
}

void site_send_to_backup(void *ctx, const Dispatch__Msg *msg)
{
	site_t *s = ctx;
	host_id_t hosts[JOURNAL_COPIES];
	size_t n = 0;

	if (msg->streams->journal)
		n = journal_hosts(s, hosts);
	if (n)
		counter_add(CTR_STREAMS_SENT_TO_JOURNALS,
			    n * msg->streams->n_streams);
	else if ((hosts[0] = backup_host(s)))
		n = 1;
	for (size_t i = 0; i < n; i++)
		site_send_message(s, hosts[i], msg);
}

void site_keep_streams(site_t *s, const Dispatch__Streams *m)
{
	gateway_keep_streams(s->gateway, m);
	if (m->journal && s->streams->journal)
		journal_thread_put(s->streams->journal,
				   str_n((char *)m->build.data, m->build.len),
				   m->streams, m->keep_us,
				   MIN(m->n_streams, m->n_keep_us));
}
