/*
 * site.c - wiring of the daemon on a platform.
 *
 * Threads: main runs the loop, with gateway, dispatcher and ports; the link
 * thread hands frames on; the state core runs on its mailbox and its timers,
 * so that a disk that stalls holds up nothing else; one thread waits for
 * signals. What the others have for the loop goes there as mail.
 */
#include "site_int.h"

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

#include "log.h"
#include "state_mail.h"

#define ARENAS_MAX 1
#define THREAD_STACK_BYTES (256u << 10)
#define FRAME_MAX (8u << 20)
#define LINK_QUEUE_MAX (4u << 20)
#define LINK_HEARTBEAT_US (500 * USEC_PER_MSEC)
#define LINK_SILENT_HEARTBEATS 4
/* Where runners refuse orders with older fences, a new holder need only know
 * what they hold. */
#define ORDER_WAIT_FENCED_US (100 * USEC_PER_MSEC)
/* While alone, between two questions whether the leader dispatches. */
#define PING_EVERY_US (150 * USEC_PER_MSEC)
/* A dispatcher that answers later than this is not gone back to. */
#define PONG_MAX_US (50 * USEC_PER_MSEC)
/* While no leader can be reached, requests are served by the last confirmed
 * manifest for so long. */
#define SERVE_UNCONFIRMED_US (12 * USEC_PER_SEC)
/* A turn of the loop that callers can feel. */
#define SLOW_TURN_US (50 * USEC_PER_MSEC)
/* The dispatcher looks at its timers no more often. */
#define DISPATCH_TICK_US (2 * USEC_PER_MSEC)
/* Between two of them passes so many times what one took. */
#define DISPATCH_TICK_PART 4
#define SETTINGS_EVERY_US (1 * USEC_PER_SEC)
/* A host that has started has learnt by then what is decided, or cannot. */
#define START_US (5 * USEC_PER_SEC)
/* Leaving: new connections are taken for so long, then what runs is ended. */
#define LEAVE_LISTEN_US (1200 * USEC_PER_MSEC)
#define LEAVE_TICK_US (50 * USEC_PER_MSEC)
#define LEAVE_MARGIN_US (400 * USEC_PER_MSEC)
/* The daemons of one system share it; the platform hands out no secret. */
#define SITE_SECRET "damasklug site, one system"

/* Mail to the loop. */

typedef struct changed_mail {
	mail_t mail;
	uint64_t tag;
	change_status_t status;
} changed_mail_t;

/* Compiles the manifest in force, if it has changed. */
static void take_manifest(site_t *s)
{
	const doc_t *doc = decided_doc_by_name(s->tables, STR(DOC_MANIFEST));
	AUTO_BUF buf_t error = {0};
	manifest_t *m;

	if (!doc || (s->manifest && s->manifest->version >= doc->version))
		return;
	m = dialect_manifest(doc->body, &error);
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
	take_manifest(s);
	dispatch_set_tables(s->dispatch, s->manifest, s->tables);
	dispatch_set_tables(s->alone, s->manifest, s->tables);
	site_arm_dispatch(s);
	m->drop(m);
}

static void on_tables(void *ctx, decided_t *t)
{
	site_t *s = ctx;

	loop_post(s->loop, &tables_mail_new(tables_run, t)->mail);
}

/* Tells all where this host is, once it may speak. */
static void tell_host(site_t *s)
{
	AUTO_BUF buf_t name = {0};
	const doc_t *doc;

	if (s->host_told ||
	    s->lease_status.tables_fresh_until_us <= site_now(s))
		return;
	buf_printf(&name, "%s%.*s", DOC_HOST_PREFIX, STR_ARG(s->set.ip));
	doc = decided_doc_by_name(s->tables, buf_str(&name));
	s->host_told = true;
	if (doc && str_eq(doc->body, s->set.zone))
		return;
	site_put_doc(s, buf_str(&name), doc ? doc->version + 1 : 1,
		     s->set.zone);
}

static bool is_live(const lease_status_t *st, host_id_t host)
{
	for (size_t i = 0; i < st->n_live; i++)
		if (st->live[i] == host)
			return true;
	return false;
}

/* Messages between entries and the dispatcher. */

static bool is_for_entry(const Dispatch__Msg *msg)
{
	return msg->body_case == DISPATCH__MSG__BODY_GRANT ||
	       msg->body_case == DISPATCH__MSG__BODY_REFUSAL ||
	       msg->body_case == DISPATCH__MSG__BODY_WAITING;
}

dispatch_t *site_dispatch(site_t *s)
{
	if (dispatch_active(s->dispatch))
		return s->dispatch;
	return dispatch_active(s->alone) ? s->alone : NULL;
}

/* The dispatcher answers again: places that are used are told to it. */
static void end_alone(site_t *s)
{
	if (!dispatch_active(s->alone))
		return;
	log_event(LOG_INFO, "dispatch_alone_ended",
		  kv_u("leader", s->lease_status.leader));
	dispatch_end(s->alone);
	timer_svc_cancel(s->timers, &s->ping_timer);
	gateway_resync_dispatcher(s->gateway);
}

static void send_message(site_t *s, host_id_t to, const Dispatch__Msg *msg);

static void on_ping_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;
	Dispatch__Ping pb = DISPATCH__PING__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.sent_us = now;
	msg.body_case = DISPATCH__MSG__BODY_PING;
	msg.ping = &pb;
	if (s->lease_status.leader)
		send_message(s, s->lease_status.leader, &msg);
	timer_svc_arm(s->timers, &s->ping_timer, now + PING_EVERY_US);
}

/* Goes on alone until a dispatcher answers. */
static void begin_alone(void *ctx)
{
	site_t *s = ctx;
	int64_t now = site_now(s);

	if (site_dispatch(s))
		return;
	dispatch_begin_isolated(s->alone, s->lease_status.n_live, now);
	dispatch_set_tables(s->alone, s->manifest, s->tables);
	if (!s->list_reading)
		timer_svc_arm(s->timers, &s->list_timer, now);
	timer_svc_arm(s->timers, &s->ping_timer, now + PING_EVERY_US);
}

/*
 * A host that leaves gives its session back and goes on with what runs there;
 * it is lost once its link is, too.
 */
static void consider_lost(site_t *s, host_id_t host)
{
	if (host == s->self || is_live(&s->lease_status, host) ||
	    g_hash_table_contains(s->links_up, GUINT_TO_POINTER(host)))
		return;
	dispatch_host_lost(s->dispatch, host, site_now(s));
}

/* The dispatcher is the leader of the log. */
static void follow_leader(site_t *s, const lease_status_t *old)
{
	const lease_status_t *now = &s->lease_status;
	bool first = s->set.founding && !s->manifest;

	if (now->is_leader &&
	    (!dispatch_active(s->dispatch) || now->term != old->term)) {
		dispatch_begin(s->dispatch, now->term, first, site_now(s));
		end_alone(s);
		if (!s->list_reading)
			timer_svc_arm(s->timers, &s->list_timer, site_now(s));
	} else if (!now->is_leader && dispatch_active(s->dispatch)) {
		dispatch_end(s->dispatch);
	}
	dispatch_set_lease(s->dispatch, now->lease_until_us);
	for (size_t i = 0; i < old->n_live; i++)
		consider_lost(s, old->live[i]);
	if (now->leader &&
	    (now->leader != old->leader || now->term != old->term)) {
		log_event(LOG_NOTICE, "leader", kv_u("host", now->leader),
			  kv_u("term", now->term));
		gateway_resync_dispatcher(s->gateway);
	}
}

static void lease_status_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;
	lease_status_mail_t *sm = (lease_status_mail_t *)m;
	lease_status_t old = s->lease_status;
	size_t n = sm->lease_status.n_live * sizeof(host_id_t);
	host_id_t *live = xmalloc(n + 1);

	if (n)
		memcpy(live, sm->live, n);
	s->lease_status = sm->lease_status;
	s->lease_status.live = live;
	follow_leader(s, &old);
	free((void *)(uintptr_t)old.live);
	tell_host(s);
	site_ports_lease_status_changed(s);
	site_arm_dispatch(s);
	free(m);
}

static void on_lease_status(void *ctx, const lease_status_t *st)
{
	site_t *s = ctx;

	loop_post(s->loop, &lease_status_mail_new(lease_status_run, st)->mail);
}

static void changed_run(void *ctx, mail_t *m)
{
	changed_mail_t *cm = (changed_mail_t *)m;

	site_ports_changed(ctx, cm->tag, cm->status);
	free(m);
}

static void on_changed(void *ctx, uint64_t tag, const change_outcome_t *out)
{
	site_t *s = ctx;
	changed_mail_t *m = xcalloc(1, sizeof(*m));

	m->mail.run = changed_run;
	m->mail.drop = mail_free;
	m->tag = tag;
	m->status = out->status;
	loop_post(s->loop, &m->mail);
}

static void take_message(site_t *s, host_id_t from, const uint8_t *p, size_t n)
{
	Dispatch__Msg *msg = dispatch__msg__unpack(NULL, n, p);

	if (!msg) {
		log_event(LOG_WARNING, "dispatch_message_malformed",
			  kv_u("peer", from), kv_u("bytes", n));
		return;
	}
	if (msg->body_case == DISPATCH__MSG__BODY_PONG) {
		if (site_now(s) - msg->pong->sent_us <= PONG_MAX_US)
			end_alone(s);
	} else if (is_for_entry(msg)) {
		gateway_recv(s->gateway, msg);
	} else if (from == s->self && dispatch_active(s->alone)) {
		dispatch_recv(s->alone, from, msg, site_now(s));
		site_arm_dispatch(s);
	} else {
		dispatch_recv(s->dispatch, from, msg, site_now(s));
		site_arm_dispatch(s);
	}
	dispatch__msg__free_unpacked(msg, NULL);
}

static void frame_run(void *ctx, mail_t *m)
{
	frame_mail_t *fm = (frame_mail_t *)m;

	take_message(ctx, fm->from, fm->bytes, fm->n);
	free(m);
}

/* Runs at the end of the turn, so that no core is called back from within. */
static void run_local(void *ctx)
{
	site_t *s = ctx;

	while (!cds_list_empty(&s->local)) {
		mail_t *m = cds_list_first_entry(&s->local, mail_t, node);

		cds_list_del(&m->node);
		m->run(s, m);
	}
}

static void send_message(site_t *s, host_id_t to, const Dispatch__Msg *msg)
{
	size_t n = dispatch__msg__get_packed_size(msg);
	AUTO_FREE uint8_t *bytes = xmalloc(n + 1);

	dispatch__msg__pack(msg, bytes);
	if (to != s->self) {
		links_send(s->links, to, LINK_DISPATCH, bytes, n);
		return;
	}
	cds_list_add_tail(
		&frame_mail_new(frame_run, s->self, bytes, n)->mail.node,
		&s->local);
	loop_later(s->loop, &s->local_task);
}

static void to_dispatcher(void *ctx, const Dispatch__Msg *msg)
{
	site_t *s = ctx;

	bool ends = msg->body_case == DISPATCH__MSG__BODY_DONE ||
		    msg->body_case == DISPATCH__MSG__BODY_STARTED;

	if (dispatch_active(s->alone))
		send_message(s, s->self, msg);
	/* Places of the dispatcher end there also while this host is alone. */
	if (s->lease_status.leader && (ends || !dispatch_active(s->alone)))
		send_message(s, s->lease_status.leader, msg);
}

static void to_entry(void *ctx, host_id_t to, const Dispatch__Msg *msg)
{
	send_message(ctx, to, msg);
}

static void on_dispatch_timer(void *ctx, int64_t now)
{
	(void)now;
	site_arm_dispatch(ctx);
}

/* Ticks take at most a part of the loop, however long one takes. */
static int64_t tick_dispatch(site_t *s, int64_t now)
{
	int64_t due;

	if (!site_dispatch(s))
		return INT64_MAX;
	if (now < s->tick_after_us)
		return s->tick_after_us;
	due = dispatch_tick(site_dispatch(s), now);
	s->tick_after_us = now + DISPATCH_TICK_US +
			   (site_now(s) - now) * DISPATCH_TICK_PART;
	return due > s->tick_after_us ? due : s->tick_after_us;
}

void site_arm_dispatch(site_t *s)
{
	int64_t due = tick_dispatch(s, site_now(s));

	if (due == INT64_MAX)
		timer_svc_cancel(s->timers, &s->dispatch_timer);
	else
		timer_svc_arm(s->timers, &s->dispatch_timer, due);
}

/* The state core, on its mailbox. */

static void recv_run(void *ctx, mail_t *m)
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
			  &frame_mail_new(frame_run, from, p, n)->mail);
	else if (ch == LINK_STATE)
		mailbox_send(s->to_state,
			     &frame_mail_new(recv_run, from, p, n)->mail);
}

typedef struct updown_mail {
	mail_t mail;
	host_id_t peer;
	bool up;
} updown_mail_t;

/* Messages to the dispatcher may have been lost with the link. */
static void updown_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;
	updown_mail_t *um = (updown_mail_t *)m;

	if (um->up) {
		g_hash_table_add(s->links_up, GUINT_TO_POINTER(um->peer));
	} else {
		g_hash_table_remove(s->links_up, GUINT_TO_POINTER(um->peer));
		consider_lost(s, um->peer);
	}
	if (um->up && um->peer == s->lease_status.leader &&
	    !dispatch_active(s->alone))
		gateway_resync_dispatcher(s->gateway);
	free(m);
}

static void on_updown(void *ctx, host_id_t peer, bool up)
{
	site_t *s = ctx;
	updown_mail_t *m = xcalloc(1, sizeof(*m));

	log_event(LOG_INFO, up ? "peer_up" : "peer_down", kv_u("peer", peer));
	m->mail.run = updown_run;
	m->mail.drop = mail_free;
	m->peer = peer;
	m->up = up;
	loop_post(s->loop, &m->mail);
}

/* Links have the same port everywhere. */
static bool addr_of(void *ctx, host_id_t peer, buf_t *addr)
{
	const site_t *s = ctx;

	site_host_ip(peer, addr);
	buf_printf(addr, ":%u", s->set.peer_port);
	return true;
}

/* What the gateway asks. */

bool site_is_ready(const site_t *s)
{
	return !s->leaving && s->manifest &&
	       s->lease_status.tables_fresh_until_us > site_now(s);
}

static reason_t refusal(void *ctx)
{
	const site_t *s = ctx;

	if (!s->manifest)
		return REASON_NO_MANIFEST;
	/* Callers keep addresses for a while after this host has left. */
	if (s->leaving)
		return REASON_NONE;
	if (s->lease_status.tables_fresh_until_us > site_now(s))
		return REASON_NONE;
	/* An outage of the log must not end service at once. */
	if (dispatch_active(s->alone) &&
	    site_now(s) - s->lease_status.tables_confirmed_us <
		    SERVE_UNCONFIRMED_US)
		return REASON_NONE;
	return REASON_STALE;
}

static bool is_starting(void *ctx)
{
	const site_t *s = ctx;

	return !s->leaving && site_now(s) - s->started_us < START_US;
}

static bool is_leaving(void *ctx)
{
	return ((const site_t *)ctx)->leaving;
}

/* Construction. */

static void on_slow_turn(void *ctx, int64_t us, int events)
{
	(void)ctx;
	log_event(LOG_NOTICE, "loop_slow", kv_i("turn_ms", us / USEC_PER_MSEC),
		  kv_i("events", events));
}

static int make_loop(site_t *s)
{
	s->timers = timer_svc_new_polled();
	s->state_timers = timer_svc_new_real();
	s->loop = loop_new(s->timers, s);
	s->to_state = mailbox_new(s);
	s->tables = decided_new();
	s->links_up = g_hash_table_new(NULL, NULL);
	CDS_INIT_LIST_HEAD(&s->local);
	s->local_task.fn = run_local;
	s->local_task.ctx = s;
	timer_sub_init(&s->dispatch_timer, on_dispatch_timer, s);
	if (!s->loop)
		return -1;
	loop_watch_turns(s->loop, SLOW_TURN_US, on_slow_turn);
	return 0;
}

static int make_links(site_t *s)
{
	static const link_ops_t ops = {on_frame, on_updown, addr_of};
	AUTO_BUF buf_t listen = {0};
	link_cfg_t cfg = {
		.self = s->self,
		.cluster = STR(SITE_CLUSTER),
		.secret = STR(SITE_SECRET),
		.frame_max = FRAME_MAX,
		.queue_max = LINK_QUEUE_MAX,
		.heartbeat_us = LINK_HEARTBEAT_US,
		.silent_us = LINK_HEARTBEAT_US * LINK_SILENT_HEARTBEATS,
	};

	buf_printf(&listen, "%.*s:%u", STR_ARG(s->set.ip), s->set.peer_port);
	cfg.listen = buf_str(&listen);
	s->links = links_new(&cfg, &ops, s, s->state_timers);
	return s->links ? 0 : -1;
}

static int make_serving(site_t *s)
{
	static const gateway_ops_t gateway_ops = {
		to_dispatcher, begin_alone, refusal, is_starting, is_leaving};
	static const dispatch_ops_t dispatch_ops = {to_entry, site_order,
						    site_probe};
	const dispatch_cfg_t cfg = {
		.holder = s->set.host,
		.takeover_wait_us = s->set.fences ? ORDER_WAIT_FENCED_US
						  : s->set.order_lease_us,
		.retry_ratio = s->set.retry_ratio,
		.retry_slack = s->set.retry_slack,
		.retry_window_us = s->set.retry_window_us,
	};

	s->up = upstream_new(s->loop);
	s->gateway = gateway_new(s->loop, s->up, s->set.zone, random_seed(),
				 &gateway_ops, s);
	s->dispatch = dispatch_new(&cfg, &dispatch_ops, s);
	s->alone = dispatch_new(&cfg, &dispatch_ops, s);
	timer_sub_init(&s->ping_timer, on_ping_timer, s);
	return 0;
}

static int make_state(site_t *s)
{
	static const site_told_t told = {
		.tables = on_tables,
		.lease_status = on_lease_status,
		.changed = on_changed,
	};

	return site_make_state(s, &told);
}

static int start_io(site_t *s)
{
	struct sockaddr_in addr;

	s->started_us = site_now(s);
	if (timer_svc_start(s->state_timers) || mailbox_start(s->to_state)) {
		log_event(LOG_ERR, "thread_start_failed",
			  KV_C("error", strerror(errno)));
		return -1;
	}
	if (links_start(s->links) < 0 || site_ports_start(s) < 0)
		return -1;
	if (http1_parse_addr(s->set.callers_addr, &addr) < 0 ||
	    gateway_listen(s->gateway, &addr) < 0) {
		log_event(LOG_ERR, "listen_failed",
			  kv_s("addr", s->set.callers_addr));
		return -1;
	}
	site_runners_start(s);
	return 0;
}

/* Settings that may change while the daemon runs. */

static int64_t settings_mtime_ns(const site_t *s)
{
	struct stat st;

	if (stat(s->path, &st) < 0)
		return s->settings_mtime_ns;
	return st.st_mtim.tv_sec * 1000000000LL + st.st_mtim.tv_nsec;
}

static void reload(site_t *s)
{
	AUTO_BUF buf_t errors = {0};
	site_settings_t fresh;

	s->settings_mtime_ns = settings_mtime_ns(s);
	if (dialect_settings(&fresh, s->path, &errors) < 0) {
		log_event(LOG_ERR, "settings_refused",
			  kv_s("errors", buf_str(&errors)));
		site_settings_free(&fresh);
		return;
	}
	log_event(LOG_NOTICE, "settings_reloaded",
		  kv_u("seeds", fresh.n_seeds));
	/* Addresses and folders hold for the life of the process. */
	site_settings_free(&s->set);
	s->set = fresh;
	site_tell_seeds(s);
}

static void on_settings_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;

	if (settings_mtime_ns(s) != s->settings_mtime_ns)
		reload(s);
	timer_svc_arm(s->timers, &s->settings_timer, now + SETTINGS_EVERY_US);
}

/* The end. */

static void on_leave_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;
	int64_t since = now - s->leave_us;

	if (since >= LEAVE_LISTEN_US)
		gateway_drain(s->gateway);
	if ((since >= LEAVE_LISTEN_US &&
	     !gateway_active_requests(s->gateway)) ||
	    since >= s->set.grace_us - LEAVE_MARGIN_US) {
		log_event(LOG_NOTICE, "stopped",
			  kv_u("requests_cut",
			       gateway_active_requests(s->gateway)));
		loop_stop(s->loop);
		return;
	}
	timer_svc_arm(s->timers, &s->leave_timer, now + LEAVE_TICK_US);
}

static void leave_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;

	state_leave(s->state);
	free(m);
}

static void leave(site_t *s)
{
	mail_t *m;

	if (s->leaving)
		return;
	s->leaving = true;
	s->leave_us = site_now(s);
	log_event(LOG_NOTICE, "leaving",
		  kv_u("requests", gateway_active_requests(s->gateway)));
	m = xcalloc(1, sizeof(*m));
	m->run = leave_run;
	m->drop = mail_free;
	mailbox_send(s->to_state, m);
	timer_svc_arm(s->timers, &s->leave_timer, s->leave_us + LEAVE_TICK_US);
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
		reload(ctx);
	else
		leave(ctx);
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

static int start_signals(site_t *s)
{
	pthread_t thread;

	errno = pthread_create(&thread, NULL, signal_thread, s);
	if (errno)
		return -1;
	/* It sleeps in the kernel until the process ends. */
	pthread_detach(thread);
	timer_sub_init(&s->leave_timer, on_leave_timer, s);
	timer_sub_init(&s->settings_timer, on_settings_timer, s);
	s->settings_mtime_ns = settings_mtime_ns(s);
	timer_svc_arm(s->timers, &s->settings_timer,
		      site_now(s) + SETTINGS_EVERY_US);
	return 0;
}

/* In order; each may use what those before it made. */
static int site_start(site_t *s)
{
	static int (*const steps[])(site_t *) = {
		make_loop,  site_open_disk, make_links,	   make_serving,
		make_state, start_io,	    start_signals,
	};

	for (size_t i = 0; i < ARRAY_SIZE(steps); i++)
		if (steps[i](s) < 0)
			return -1;
	log_event(LOG_NOTICE, "started", kv_s("host", s->set.host),
		  kv_s("zone", s->set.zone), kv_s("ip", s->set.ip),
		  kv_u("disk", s->wal != NULL),
		  kv_u("founding", s->set.founding));
	return 0;
}

/* Threads first; the process ends next, and its memory with it. */
static void site_stop(site_t *s)
{
	if (s->to_state)
		mailbox_stop(s->to_state);
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

	mallopt(M_ARENA_MAX, ARENAS_MAX);
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
			fprintf(stderr, "damasklug site: neither --settings "
					"nor " SITE_SETTINGS_VARIABLE
					" names a file\n");
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

	s.path = parse_options(argc, argv);
	if (!s.path)
		return 2;
	if (dialect_settings(&s.set, s.path, &errors) < 0) {
		fputs(errors.p, stderr);
		g_free(s.path);
		return 2;
	}
	s.self = site_host_id(s.set.ip);
	log_to_stdout(s.set.host);
	limit_memory();
	block_signals(&set);
	if (sodium_init() >= 0 && site_start(&s) == 0) {
		loop_run(s.loop);
		rc = 0;
	}
	site_stop(&s);
	g_free(s.path);
	return rc;
}
