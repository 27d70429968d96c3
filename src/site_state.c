/*
 * site_state.c - the state core of the daemon on a platform: its creation, and
 * the messages from the loop to its mailbox. The loop never calls the core
 * itself, as the core may wait for the disk.
 */
#include "site_int.h"

#include <stdlib.h>

#include <arpa/inet.h>

#include "log.h"
#include "site_times.h"
#include "state_mail.h"

#define STATE_DRIFT_PPM 500u
#define STATE_FANOUT 8u
/*
 * Records are kept until the next snapshot, and one with a manifest has some
 * 100 KB.
 */
#define STATE_SNAPSHOT_ENTRIES 32u
#define VOTERS_MIN 3u

host_id_t site_parse_host_id(str_t ip)
{
	AUTO_FREE char *text = str_dup(ip);
	struct in_addr addr;

	return inet_pton(AF_INET, text, &addr) == 1 ? ntohl(addr.s_addr) : 0;
}

void site_write_host_ip(host_id_t id, buf_t *out)
{
	buf_printf(out, "%u.%u.%u.%u", id >> 24, id >> 16 & 255, id >> 8 & 255,
		   id & 255);
}

static void state_send(void *ctx, host_id_t to, const void *p, size_t n)
{
	site_t *s = ctx;

	links_send(s->links, to, LINK_STATE, p, n);
}

int site_open_disk(site_t *s)
{
	wal_err_t err = {0};

	if (!s->settings.data_dir.n)
		return 0;
	s->wal = wal_open(s->settings.data_dir, STR(SITE_CLUSTER), s->self,
			  &err);
	if (s->wal)
		return 0;
	log_event(LOG_ERR, "data_folder_unusable",
		  KV_C("error", wal_code_text(err.code)),
		  KV_C("detail", err.detail));
	return -1;
}

/* Runs on a thread of the state core. */
static wal_t *reopen_disk(void *ctx)
{
	site_t *s = ctx;
	wal_err_t err = {0};

	if (s->wal)
		wal_close(s->wal);
	s->wal = wal_open(s->settings.data_dir, STR(SITE_CLUSTER), s->self,
			  &err);
	if (s->wal && s->wal->ops->sync(s->wal->ctx, &err) < 0) {
		wal_close(s->wal);
		s->wal = NULL;
	}
	if (!s->wal)
		log_event(LOG_WARNING, "disk_still_unusable",
			  KV_C("error", wal_code_text(err.code)));
	return s->wal;
}

int site_create_state(site_t *s, const site_state_callbacks_t *callbacks)
{
	const state_ops_t ops = {
		.send = state_send,
		.tables = callbacks->tables,
		.lease_status = callbacks->lease_status,
		.changed = callbacks->changed,
		.reopen = reopen_disk,
	};
	const site_times_t times = site_times(&s->settings);
	state_voter_t seeds[SITE_SEEDS_MAX] = {0};
	uint32_t voters = s->settings.tolerated_failures * 2 + 1;
	state_cfg_t cfg = {
		.self = s->self,
		.zone = s->settings.zone,
		.voters = seeds,
		.n_voters = s->settings.n_seeds,
		.seed = random_seed(),
		.heartbeat_us = times.heartbeat_us,
		.election_us = times.election_us,
		.lease_us = times.lease_us,
		.max_staleness_us = times.max_staleness_us,
		.drift_ppm = STATE_DRIFT_PPM,
		.snapshot_entries = STATE_SNAPSHOT_ENTRIES,
		.fanout = STATE_FANOUT,
		.auto_voters = voters < VOTERS_MIN ? VOTERS_MIN : voters,
		.voter_lost_us = times.voter_lost_us,
		.join_only = !s->settings.bootstrap,
	};
	wal_err_t err = {0};

	for (size_t i = 0; i < s->settings.n_seeds; i++)
		seeds[i].id = site_parse_host_id(s->settings.seed_ips[i]);
	s->state = state_new(&cfg, &ops, s, s->state_timers, s->wal, &err);
	if (s->state)
		return 0;
	log_event(LOG_ERR, "log_unusable",
		  KV_C("error", wal_code_text(err.code)),
		  KV_C("detail", err.detail));
	return -1;
}

/* Messages from the loop to the state core. */

typedef struct doc_mail {
	mail_t mail;
	uint64_t tag;
	doc_t doc; /* strings are owned */
} doc_mail_t;

static void doc_drop(mail_t *m)
{
	doc_mail_t *dm = (doc_mail_t *)m;

	str_free(&dm->doc.name);
	str_free(&dm->doc.body);
	free(dm);
}

static void doc_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;
	doc_mail_t *dm = (doc_mail_t *)m;

	state_put_doc(s->state, dm->tag, &dm->doc);
	doc_drop(m);
}

uint64_t site_propose_doc(site_t *s, str_t name, uint64_t version, str_t body)
{
	doc_mail_t *m = xcalloc(1, sizeof(*m));

	m->mail.run = doc_run;
	m->mail.drop = doc_drop;
	m->tag = ++s->last_tag;
	m->doc.name = str_copy(name);
	m->doc.version = version;
	m->doc.body = str_copy(body);
	mailbox_send(s->state_mailbox, &m->mail);
	return s->last_tag;
}

static void confirm_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;

	state_request_confirmation(s->state);
	free(m);
}

void site_request_confirmation(site_t *s)
{
	mail_t *m = xcalloc(1, sizeof(*m));

	m->run = confirm_run;
	m->drop = mail_free;
	mailbox_send(s->state_mailbox, m);
}

typedef struct seeds_mail {
	mail_t mail;
	size_t n;
	host_id_t ids[SITE_SEEDS_MAX];
} seeds_mail_t;

static void seeds_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;
	seeds_mail_t *sm = (seeds_mail_t *)m;

	state_set_seeds(s->state, sm->ids, sm->n);
	free(m);
}

void site_update_seeds(site_t *s)
{
	seeds_mail_t *m = xcalloc(1, sizeof(*m));

	m->mail.run = seeds_run;
	m->mail.drop = mail_free;
	m->n = s->settings.n_seeds;
	for (size_t i = 0; i < m->n; i++)
		m->ids[i] = site_parse_host_id(s->settings.seed_ips[i]);
	mailbox_send(s->state_mailbox, &m->mail);
}
