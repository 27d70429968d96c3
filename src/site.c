/*
 * site.c - wiring of the daemon on a platform.
 *
 * Threads: the main thread runs the loop, with gateway, dispatcher and ports;
 * the link thread passes on the frames that it receives; the state core runs on
 * the threads of its mailbox and its timers, so that a stalled disk blocks
 * nothing else; one thread waits for signals. The other threads post to the
 * loop whatever it has to handle.
 */
#include "site_int.h"
#include "site_times.h"

#include <errno.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <glib.h>
#include <sodium.h>
#include <urcu.h>

#include "compress.h"
#include "log.h"
#include "state_mail.h"

#define MALLOC_ARENAS_MAX 1
#define THREAD_STACK_BYTES (256u << 10)
#define FRAME_MAX (8u << 20)
#define LINK_QUEUE_MAX (4u << 20)
#define LINK_SILENT_HEARTBEATS 4
/*
 * While no leader can be reached, requests are served with the last confirmed
 * manifest for this long.
 */
#define SERVE_UNCONFIRMED_MAX_US (12 * USEC_PER_SEC)
/* A turn of the loop that takes longer is logged: callers notice it. */
#define SLOW_TURN_US (50 * USEC_PER_MSEC)
#define SETTINGS_POLL_US (1 * USEC_PER_SEC)
/*
 * A host counts as starting for at most this long: by then it has learnt the
 * decided state, or it cannot.
 */
#define STARTUP_MAX_US (5 * USEC_PER_SEC)

/* Messages to the loop. */

typedef struct outcome_mail {
	mail_t mail;
	uint64_t tag;
	change_status_t status;
} outcome_mail_t;

int site_read_manifest(const doc_t *doc, buf_t *out)
{
	if (compress_is_compressed(doc->body))
		return decompress_append(out, doc->body, MANIFEST_TEXT_MAX);
	/* Earlier builds stored the text as it is. */
	buf_put(out, doc->body.p, doc->body.n);
	return 0;
}

/* Puts the decided manifest in force here, if it is newer. */
static void apply_manifest(site_t *s)
{
	const doc_t *doc = decided_doc_by_name(s->tables, STR(DOC_MANIFEST));
	AUTO_BUF buf_t text = {0};
	AUTO_BUF buf_t error = {0};
	manifest_t *m = NULL;

	if (doc && s->manifest && s->manifest->version > doc->version)
		log_event(LOG_ERR, "manifest_regressed",
			  kv_u("version", doc->version),
			  kv_u("held", s->manifest->version));
	if (!doc || (s->manifest && s->manifest->version >= doc->version))
		return;
	if (site_read_manifest(doc, &text) < 0)
		buf_puts(&error, "the stored text cannot be decompressed");
	else
		m = dialect_parse_manifest(buf_str(&text), &error);
	if (!m) {
		log_event(LOG_ERR, "manifest_unusable",
			  kv_u("version", doc->version),
			  kv_s("reason", buf_str(&error)));
		return;
	}
	log_event(LOG_NOTICE, "manifest_in_force", kv_u("version", m->version),
		  kv_u("routes", m->n_routes), kv_u("services", m->n_services));
	manifest_unref(s->manifest);
	s->manifest = m;
	gateway_set_manifest(s->gateway, m);
}

static void tables_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;

	decided_unref(s->tables);
	s->tables = decided_ref(((tables_mail_t *)m)->tables);
	apply_manifest(s);
	site_streams_tables_changed(s);
	dispatch_set_tables(s->dispatch, s->manifest, s->tables);
	dispatch_set_tables(s->isolated_dispatch, s->manifest, s->tables);
	site_run_dispatch(s);
	m->drop(m);
}

static void on_tables(void *ctx, decided_t *t)
{
	site_t *s = ctx;

	loop_post(s->loop, &tables_mail_new(tables_run, t)->mail);
}

bool site_is_live_host(const site_t *s, host_id_t host)
{
	const lease_status_t *st = &s->lease_status;

	for (size_t i = 0; i < st->n_live; i++)
		if (st->live[i] == host)
			return true;
	return false;
}

static void lease_status_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;
	lease_status_mail_t *status_mail = (lease_status_mail_t *)m;
	lease_status_t old = s->lease_status;
	size_t n = status_mail->lease_status.n_live * sizeof(host_id_t);
	host_id_t *live = xmalloc(n + 1);

	if (n)
		memcpy(live, status_mail->live, n);
	s->lease_status = status_mail->lease_status;
	s->lease_status.live = live;
	site_dispatch_lease_status_changed(s, &old);
	free((void *)(uintptr_t)old.live);
	site_hosts_propose(s);
	site_streams_lease_status_changed(s);
	site_ports_lease_status_changed(s);
	site_run_dispatch(s);
	free(m);
}

static void on_lease_status(void *ctx, const lease_status_t *st)
{
	site_t *s = ctx;

	loop_post(s->loop, &lease_status_mail_new(lease_status_run, st)->mail);
}

static void outcome_run(void *ctx, mail_t *m)
{
	outcome_mail_t *om = (outcome_mail_t *)m;

	site_ports_change_outcome(ctx, om->tag, om->status);
	free(m);
}

static void on_change_outcome(void *ctx, uint64_t tag,
			      const change_outcome_t *out)
{
	site_t *s = ctx;
	outcome_mail_t *m = xcalloc(1, sizeof(*m));

	m->mail.run = outcome_run;
	m->mail.drop = mail_free;
	m->tag = tag;
	m->status = out->status;
	loop_post(s->loop, &m->mail);
}

/* Frames from peers; those for the state core go to its mailbox. */

static void state_frame_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;
	frame_mail_t *fm = (frame_mail_t *)m;

	state_recv(s->state, fm->from, fm->bytes, fm->n);
	free(m);
}

static void on_frame(void *ctx, host_id_t from, link_channel_t ch,
		     const void *p, size_t n)
{
	site_t *s = ctx;

	if (ch == LINK_DISPATCH)
		loop_post(s->loop,
			  &frame_mail_new(site_dispatch_frame_run, from, p, n)
				   ->mail);
	else if (ch == LINK_STATE)
		mailbox_send(
			s->state_mailbox,
			&frame_mail_new(state_frame_run, from, p, n)->mail);
}

typedef struct link_changed_mail {
	mail_t mail;
	host_id_t peer;
	bool up;
} link_changed_mail_t;

static void link_changed_run(void *ctx, mail_t *m)
{
	link_changed_mail_t *lm = (link_changed_mail_t *)m;

	site_dispatch_link_changed(ctx, lm->peer, lm->up);
	free(m);
}

static void on_link_changed(void *ctx, host_id_t peer, bool up)
{
	site_t *s = ctx;
	link_changed_mail_t *m = xcalloc(1, sizeof(*m));

	log_event(LOG_INFO, up ? "peer_up" : "peer_down", kv_u("peer", peer));
	m->mail.run = link_changed_run;
	m->mail.drop = mail_free;
	m->peer = peer;
	m->up = up;
	loop_post(s->loop, &m->mail);
}

/* Peers listen for links on the same port as this host. */
static bool peer_addr(void *ctx, host_id_t peer, buf_t *addr)
{
	const site_t *s = ctx;

	site_write_host_ip(peer, addr);
	buf_printf(addr, ":%u", s->settings.peer_port);
	return true;
}

/* Callbacks of the gateway. */

bool site_is_ready(const site_t *s)
{
	return !s->leaving && s->manifest &&
	       s->lease_status.tables_fresh_until_us > site_now(s);
}

static reason_t refusal_reason(void *ctx)
{
	const site_t *s = ctx;

	if (!s->manifest)
		return REASON_NO_MANIFEST;
	/* Callers keep addresses for a while after this host has left. */
	if (s->leaving)
		return REASON_NONE;
	if (site_tables_are_fresh(s))
		return REASON_NONE;
	/* An outage of the replicated log must not end service at once. */
	if (dispatch_active(s->isolated_dispatch) &&
	    s->lease_status.tables_confirmed_us >
		    site_now(s) - SERVE_UNCONFIRMED_MAX_US)
		return REASON_NONE;
	return REASON_STALE;
}

static bool is_starting(void *ctx)
{
	const site_t *s = ctx;

	return !s->leaving && site_now(s) - s->started_us < STARTUP_MAX_US;
}

static bool is_draining(void *ctx)
{
	return ((const site_t *)ctx)->leaving;
}

/* Any live host but this one; 0: there is none. */
static host_id_t pick_peer(void *ctx)
{
	const site_t *s = ctx;
	const lease_status_t *st = &s->lease_status;
	size_t first = st->n_live ? (size_t)random_seed() % st->n_live : 0;

	for (size_t i = 0; i < st->n_live; i++) {
		host_id_t host = st->live[(first + i) % st->n_live];

		if (host != s->self)
			return host;
	}
	return 0;
}

/* The port behind the one for links. */
static uint16_t tunnel_port(const site_t *s)
{
	return (uint16_t)(s->settings.peer_port + 1);
}

/* Construction. */

static int create_loop(site_t *s)
{
	s->timers = timer_svc_new_polled();
	s->state_timers = timer_svc_new_real();
	s->loop = loop_new(s->timers, s);
	s->state_mailbox = mailbox_new(s);
	s->tables = decided_new();
	if (!s->loop)
		return -1;
	loop_set_slow_callback(s->loop, SLOW_TURN_US, site_on_slow_turn);
	return 0;
}

static int create_links(site_t *s)
{
	static const link_ops_t ops = {on_frame, on_link_changed, peer_addr};
	AUTO_BUF buf_t listen = {0};
	int64_t heartbeat_us = site_times(&s->settings).link_heartbeat_us;
	link_cfg_t cfg = {
		.self = s->self,
		.cluster = STR(SITE_CLUSTER),
		.secret = STR(SITE_SECRET),
		.frame_max = FRAME_MAX,
		.queue_max = LINK_QUEUE_MAX,
		.heartbeat_us = heartbeat_us,
		.silence_timeout_us = heartbeat_us * LINK_SILENT_HEARTBEATS,
	};

	buf_printf(&listen, "%.*s:%u", STR_ARG(s->settings.ip),
		   s->settings.peer_port);
	cfg.listen = buf_str(&listen);
	s->links = links_new(&cfg, &ops, s, s->state_timers);
	return s->links ? 0 : -1;
}

static int create_serving(site_t *s)
{
	static const gateway_ops_t gateway_ops = {site_send_to_dispatcher,
						  site_send_to_backup,
						  site_begin_isolated,
						  refusal_reason,
						  is_starting,
						  is_draining,
						  pick_peer,
						  site_on_no_path,
						  site_journal_delay_us};
	const gateway_cfg_t gateway_cfg = {
		.zone = s->settings.zone,
		.ip = {htonl(s->self)},
		.seed = random_seed(),
		.tunnel_port = tunnel_port(s),
		.secret = STR(SITE_SECRET),
	};

	s->upstream = upstream_new(s->loop, gateway_cfg.ip);
	s->gateway = gateway_new(s->loop, &gateway_cfg, &gateway_ops, s);
	site_create_dispatch(s);
	return 0;
}

static int create_state(site_t *s)
{
	static const site_state_callbacks_t callbacks = {
		.tables = on_tables,
		.lease_status = on_lease_status,
		.changed = on_change_outcome,
	};

	return site_create_state(s, &callbacks);
}

static int start_tunnels(site_t *s)
{
	const tunnels_cfg_t cfg = {
		.listen = {.sin_family = AF_INET,
			   .sin_port = htons(tunnel_port(s)),
			   .sin_addr = {htonl(s->self)}},
		.from = {htonl(s->self)},
		.secret = STR(SITE_SECRET),
	};

	s->tunnels = tunnels_new(s->loop, &cfg);
	if (s->tunnels)
		return 0;
	log_event(LOG_ERR, "listen_failed", kv_s("addr", s->settings.ip));
	return -1;
}

static int start_io(site_t *s)
{
	struct sockaddr_in addr;

	s->started_us = site_now(s);
	site_hosts_start(s);
	if (timer_svc_start(s->state_timers) ||
	    mailbox_start(s->state_mailbox)) {
		log_event(LOG_ERR, "thread_start_failed",
			  KV_C("error", strerror(errno)));
		return -1;
	}
	if (links_start(s->links) < 0 || site_ports_start(s) < 0 ||
	    start_tunnels(s) < 0)
		return -1;
	if (http1_parse_addr(s->settings.callers_addr, &addr) < 0 ||
	    gateway_listen(s->gateway, &addr) < 0) {
		log_event(LOG_ERR, "listen_failed",
			  kv_s("addr", s->settings.callers_addr));
		return -1;
	}
	site_runners_start(s);
	return 0;
}

/* Reload of the settings file. */

static int64_t settings_mtime_ns(const site_t *s)
{
	struct stat st;

	if (stat(s->settings_path, &st) < 0)
		return s->settings_mtime_ns;
	return st.st_mtim.tv_sec * 1000000000LL + st.st_mtim.tv_nsec;
}

static void reload_settings(site_t *s)
{
	AUTO_BUF buf_t errors = {0};
	site_settings_t loaded;

	s->settings_mtime_ns = settings_mtime_ns(s);
	if (dialect_load_settings(&loaded, s->settings_path, &errors) < 0) {
		log_event(LOG_ERR, "settings_refused",
			  kv_s("errors", buf_str(&errors)));
		site_settings_free(&loaded);
		return;
	}
	log_event(LOG_NOTICE, "settings_reloaded",
		  kv_u("seeds", loaded.n_seeds));
	/* Listening addresses and the data folder stay as they were at start. */
	site_settings_free(&s->settings);
	s->settings = loaded;
	site_update_seeds(s);
	site_hosts_settings_changed(s);
}

static void on_settings_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;

	if (settings_mtime_ns(s) != s->settings_mtime_ns)
		reload_settings(s);
	timer_svc_arm(s->timers, &s->settings_timer, now + SETTINGS_POLL_US);
}

/* Signals. */

typedef struct signal_mail {
	mail_t mail;
	int sig;
} signal_mail_t;

static void signal_run(void *ctx, mail_t *m)
{
	int sig = ((signal_mail_t *)m)->sig;

	if (sig == SIGHUP)
		reload_settings(ctx);
	else
		site_begin_leaving(ctx);
	free(m);
}

static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN); /* the write fails instead */
}

static void *signal_thread(void *arg)
{
	site_t *s = arg;
	sigset_t set;

	block_signals(&set);
	for (;;) {
		int sig = sigwaitinfo(&set, NULL);
		signal_mail_t *m;

		if (sig <= 0)
			continue;
		m = xcalloc(1, sizeof(*m));
		m->mail.run = signal_run;
		m->mail.drop = mail_free;
		m->sig = sig;
		loop_post(s->loop, &m->mail);
	}
	return NULL;
}

static int start_signal_thread(site_t *s)
{
	pthread_t thread;

	errno = pthread_create(&thread, NULL, signal_thread, s);
	if (errno)
		return -1;
	/* It is never joined: it waits for signals until the process exits. */
	pthread_detach(thread);
	timer_sub_init(&s->leave_timer, site_on_leave_timer, s);
	timer_sub_init(&s->settings_timer, on_settings_timer, s);
	s->settings_mtime_ns = settings_mtime_ns(s);
	timer_svc_arm(s->timers, &s->settings_timer,
		      site_now(s) + SETTINGS_POLL_US);
	return 0;
}

/* Runs the steps in order; each may use what earlier ones created. */
static int site_start(site_t *s)
{
	static int (*const steps[])(site_t *) = {
		create_loop,	site_open_disk,	     create_links,
		create_serving, create_state,	     site_streams_start,
		start_io,	start_signal_thread,
	};

	for (size_t i = 0; i < ARRAY_SIZE(steps); i++)
		if (steps[i](s) < 0)
			return -1;
	log_event(LOG_NOTICE, "started", kv_s("host", s->settings.host),
		  kv_s("zone", s->settings.zone), kv_s("ip", s->settings.ip),
		  kv_u("disk", s->wal != NULL),
		  kv_u("bootstrap", s->settings.bootstrap));
	return 0;
}

/* Stops the threads; the memory is left to the exit of the process. */
static void site_stop(site_t *s)
{
	if (s->state_mailbox)
		mailbox_stop(s->state_mailbox);
	if (s->links)
		links_stop(s->links);
	if (s->state)
		state_free(s->state);
	if (s->wal)
		wal_close(s->wal);
}

static void limit_memory(void)
{
	pthread_attr_t attr;

	mallopt(M_ARENA_MAX, MALLOC_ARENAS_MAX);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
}

static char *parse_options(int argc, char **argv)
{
	char *path = NULL;
	char *level = NULL;
	GOptionEntry entries[] = {
		{"log-level", 'l', 0, G_OPTION_ARG_STRING, &level,
		 "Lowest priority of log lines: err, warning, notice, info, "
		 "debug",
		 "LEVEL"},
		{"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		 "Settings file of the platform", "FILE"},
		{0},
	};
	GOptionContext *options = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_set_summary(
		options, "Runs the daemon on a platform whose settings file is "
			 "named by " SITE_SETTINGS_VARIABLE " or --settings.");
	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, &error)) {
		fprintf(stderr, "damasklug site: %s\n", error->message);
		g_error_free(error);
	} else if (argc > 1) {
		fprintf(stderr, "damasklug site: unknown argument %s\n",
			argv[1]);
		g_free(path);
		path = NULL;
	} else if (!path) {
		path = g_strdup(getenv(SITE_SETTINGS_VARIABLE));
		if (!path)
			fprintf(stderr, "damasklug site: no settings file: "
					"set " SITE_SETTINGS_VARIABLE
					" or use --settings\n");
	}
	g_option_context_free(options);
	if (path && level && log_level_parse(str_c(level)) < 0) {
		fprintf(stderr, "damasklug site: unknown log level %s\n",
			level);
		g_free(path);
		path = NULL;
	} else if (level) {
		log_set_level(log_level_parse(str_c(level)));
	}
	g_free(level);
	return path;
}

int site_main(int argc, char **argv)
{
	AUTO_BUF buf_t errors = {0};
	site_t s = {0};
	sigset_t set;
	int rc = 1;

	s.settings_path = parse_options(argc, argv);
	if (!s.settings_path)
		return 2;
	if (dialect_load_settings(&s.settings, s.settings_path, &errors) < 0) {
		fputs(errors.p, stderr);
		g_free(s.settings_path);
		return 2;
	}
	s.self = site_parse_host_id(s.settings.ip);
	log_to_stdout(s.settings.host);
	limit_memory();
	block_signals(&set);
	if (sodium_init() >= 0 && site_start(&s) == 0) {
		loop_run(s.loop);
		rc = 0;
	}
	site_stop(&s);
	g_free(s.settings_path);
	return rc;
}
