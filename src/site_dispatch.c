/*
 * site_dispatch.c - the dispatchers of the daemon on a platform, and the messages between
 * them and the gateways. The leader of the log dispatches for all hosts; a daemon that
 * reaches no dispatcher, for its own requests. The daemon whose gateway accepted a request
 * is called the entry of that request.
 */
#include "site_int.h"

#include <stdlib.h>

#include "log.h"
#include "state_mail.h"

/*
 * Delay of the first order after a takeover where runners refuse orders with
 * an older fence: the new holder need only learn what the runners hold.
 */
#define FENCED_TAKEOVER_WAIT_US (100 * USEC_PER_MSEC)
/* While isolated, how often the leader is asked whether it dispatches. */
#define PING_PERIOD_US (150 * USEC_PER_MSEC)
/* A dispatcher that answers a ping later than this is not used again yet. */
#define PING_ROUND_TRIP_MAX_US (50 * USEC_PER_MSEC)
/*
 * Least time between the starts of two ticks of the dispatcher:
 * DISPATCH_TICK_MIN_US plus DISPATCH_TICK_PAUSE_FACTOR times the duration of
 * the first.
 */
#define DISPATCH_TICK_MIN_US (2 * USEC_PER_MSEC)
#define DISPATCH_TICK_PAUSE_FACTOR 4

dispatch_t *site_active_dispatch(site_t *s)
{
	if (dispatch_active(s->dispatch))
		return s->dispatch;
	return dispatch_active(s->isolated_dispatch) ? s->isolated_dispatch
						     : NULL;
}

/* The dispatcher answers again: reports the places in use to it. */
static void end_isolated(site_t *s)
{
	if (!dispatch_active(s->isolated_dispatch))
		return;
	log_event(LOG_INFO, "isolated_dispatch_ended",
		  kv_u("leader", s->lease_status.leader));
	dispatch_end(s->isolated_dispatch);
	timer_svc_cancel(s->timers, &s->ping_timer);
	gateway_resync_dispatcher(s->gateway);
}

static void on_ping_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;
	Dispatch__Ping pb = DISPATCH__PING__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.sent_us = now;
	msg.body_case = DISPATCH__MSG__BODY_PING;
	msg.ping = &pb;
	if (s->lease_status.leader)
		site_send_message(s, s->lease_status.leader, &msg);
	timer_svc_arm(s->timers, &s->ping_timer, now + PING_PERIOD_US);
}

void site_begin_isolated(void *ctx)
{
	site_t *s = ctx;
	int64_t now = site_now(s);

	if (site_active_dispatch(s))
		return;
	dispatch_begin_isolated(s->isolated_dispatch, s->lease_status.n_live,
				now);
	dispatch_set_tables(s->isolated_dispatch, s->manifest, s->tables);
	gateway_brief_dispatcher(s->gateway);
	if (!s->list_read_pending)
		timer_svc_arm(s->timers, &s->list_timer, now);
	timer_svc_arm(s->timers, &s->ping_timer, now + PING_PERIOD_US);
}

/*
 * Tells the dispatcher that a host is gone, if it has neither a session nor a
 * link. A host that shuts down gives up its session first and completes the
 * requests that run there; it is gone only when its link is down, too.
 */
static void report_if_lost(site_t *s, host_id_t host)
{
	if (host == s->self || site_is_live_host(s, host) ||
	    g_hash_table_contains(s->links_up, GUINT_TO_POINTER(host)))
		return;
	dispatch_host_lost(s->dispatch, host, site_now(s));
}

void site_dispatch_lease_status_changed(site_t *s, const lease_status_t *old)
{
	const lease_status_t *status = &s->lease_status;
	bool first = s->settings.bootstrap && !s->manifest;
	int64_t lease_until_us =
		s->leaving ? INT64_MIN : status->lease_until_us;

	if (status->is_leader &&
	    (!dispatch_active(s->dispatch) || status->term != old->term)) {
		s->dispatch_began_us = site_now(s);
		dispatch_begin(s->dispatch, status->term,
			       first || status->predecessor_idle, site_now(s));
		end_isolated(s);
		if (!s->list_read_pending)
			timer_svc_arm(s->timers, &s->list_timer, site_now(s));
	} else if (!status->is_leader && dispatch_active(s->dispatch)) {
		dispatch_end(s->dispatch);
	}
	dispatch_set_lease(s->dispatch, lease_until_us);
	dispatch_set_live_hosts(s->dispatch, status->n_live, site_now(s));
	for (size_t i = 0; i < old->n_live; i++)
		report_if_lost(s, old->live[i]);
	if (status->leader &&
	    (status->leader != old->leader || status->term != old->term)) {
		log_event(LOG_NOTICE, "leader_changed",
			  kv_u("host", status->leader),
			  kv_u("term", status->term));
		gateway_resync_dispatcher(s->gateway);
	}
}

/* With the link, messages to the dispatcher may have been lost. */
void site_dispatch_link_changed(site_t *s, host_id_t peer, bool up)
{
	if (up) {
		g_hash_table_add(s->links_up, GUINT_TO_POINTER(peer));
	} else {
		g_hash_table_remove(s->links_up, GUINT_TO_POINTER(peer));
		report_if_lost(s, peer);
	}
	if (up && peer == s->lease_status.leader &&
	    !dispatch_active(s->isolated_dispatch))
		gateway_resync_dispatcher(s->gateway);
}

static bool is_for_gateway(const Dispatch__Msg *msg)
{
	return msg->body_case == DISPATCH__MSG__BODY_GRANT ||
	       msg->body_case == DISPATCH__MSG__BODY_REFUSAL ||
	       msg->body_case == DISPATCH__MSG__BODY_WAITING;
}

static void handle_message(site_t *s, host_id_t from, const uint8_t *p,
			   size_t n)
{
	Dispatch__Msg *msg = dispatch__msg__unpack(NULL, n, p);

	if (!msg) {
		log_event(LOG_WARNING, "dispatch_message_malformed",
			  kv_u("peer", from), kv_u("bytes", n));
		return;
	}
	if (msg->body_case == DISPATCH__MSG__BODY_PONG) {
		if (site_now(s) - msg->pong->sent_us <= PING_ROUND_TRIP_MAX_US)
			end_isolated(s);
	} else if (msg->body_case == DISPATCH__MSG__BODY_STREAMS &&
		   msg->streams->backup) {
		site_keep_streams(s, msg->streams);
	} else if (msg->body_case == DISPATCH__MSG__BODY_JOURNAL &&
		   !msg->journal->told) {
		gateway_tell_streams(s->gateway);
	} else if (msg->body_case == DISPATCH__MSG__BODY_HOST_LOADS) {
		site_hosts_recv(s, from, msg->host_loads);
	} else if (is_for_gateway(msg)) {
		gateway_recv(s->gateway, msg);
	} else if (from == s->self && dispatch_active(s->isolated_dispatch)) {
		dispatch_recv(s->isolated_dispatch, from, msg, site_now(s));
		site_run_dispatch(s);
	} else {
		dispatch_recv(s->dispatch, from, msg, site_now(s));
		site_run_dispatch(s);
	}
	dispatch__msg__free_unpacked(msg, NULL);
}

void site_dispatch_frame_run(void *ctx, mail_t *m)
{
	frame_mail_t *fm = (frame_mail_t *)m;

	handle_message(ctx, fm->from, fm->bytes, fm->n);
	free(m);
}

/*
 * Runs at the end of the loop's turn, so that neither gateway nor dispatcher is
 * called from within its own callbacks.
 */
static void deliver_local_mail(void *ctx)
{
	site_t *s = ctx;

	while (!cds_list_empty(&s->local_mail)) {
		mail_t *m = cds_list_first_entry(&s->local_mail, mail_t, node);

		cds_list_del(&m->node);
		m->run(s, m);
	}
}

void site_send_message(site_t *s, host_id_t to, const Dispatch__Msg *msg)
{
	size_t n = dispatch__msg__get_packed_size(msg);
	AUTO_FREE uint8_t *bytes = xmalloc(n + 1);

	dispatch__msg__pack(msg, bytes);
	if (to != s->self) {
		links_send(s->links, to, LINK_DISPATCH, bytes, n);
		return;
	}
	cds_list_add_tail(&frame_mail_new(site_dispatch_frame_run, s->self,
					  bytes, n)
				   ->mail.node,
			  &s->local_mail);
	loop_defer(s->loop, &s->local_mail_task);
}

void site_send_to_dispatcher(void *ctx, const Dispatch__Msg *msg)
{
	site_t *s = ctx;
	bool about_place = msg->body_case == DISPATCH__MSG__BODY_DONE ||
			   msg->body_case == DISPATCH__MSG__BODY_STARTED ||
			   msg->body_case == DISPATCH__MSG__BODY_CRASH ||
			   msg->body_case == DISPATCH__MSG__BODY_LIMIT;

	if (dispatch_active(s->isolated_dispatch))
		site_send_message(s, s->self, msg);
	/* While isolated, the leader still learns of places that it granted. */
	if (s->lease_status.leader &&
	    (about_place || !dispatch_active(s->isolated_dispatch)))
		site_send_message(s, s->lease_status.leader, msg);
}

static void propose_doc(void *ctx, str_t name, str_t body)
{
	site_t *s = ctx;
	const doc_t *doc = decided_doc_by_name(s->tables, name);

	site_propose_doc(s, name, doc ? doc->version + 1 : 1, body);
}

static void send_to_entry(void *ctx, host_id_t to, const Dispatch__Msg *msg)
{
	site_send_message(ctx, to, msg);
}

static void on_dispatch_timer(void *ctx, int64_t now)
{
	(void)now;
	site_run_dispatch(ctx);
}

/*
 * Runs a tick of the active dispatcher, unless the last one was too recent, and
 * returns when the next is due. The pause grows with the duration of a tick, so
 * that ticks take at most a fixed part of the loop's time.
 */
static int64_t tick_dispatch(site_t *s, int64_t now)
{
	int64_t due;

	if (!site_active_dispatch(s))
		return INT64_MAX;
	if (now < s->next_tick_us)
		return s->next_tick_us;
	due = dispatch_tick(site_active_dispatch(s), now);
	s->next_tick_us = now + DISPATCH_TICK_MIN_US +
			  (site_now(s) - now) * DISPATCH_TICK_PAUSE_FACTOR;
	return due > s->next_tick_us ? due : s->next_tick_us;
}

void site_run_dispatch(site_t *s)
{
	int64_t due = tick_dispatch(s, site_now(s));

	if (due == INT64_MAX)
		timer_svc_cancel(s->timers, &s->dispatch_timer);
	else
		timer_svc_arm(s->timers, &s->dispatch_timer, due);
}

void site_create_dispatch(site_t *s)
{
	static const dispatch_ops_t ops = {send_to_entry, site_send_order,
					   site_request_report, propose_doc};
	const dispatch_cfg_t cfg = {
		.self = s->self,
		.holder = s->settings.host,
		.takeover_wait_us = s->settings.runners_check_fence
					    ? FENCED_TAKEOVER_WAIT_US
					    : s->settings.order_lease_us,
		.retry_ratio = s->settings.retry_ratio,
		.retry_slack = s->settings.retry_slack,
		.retry_window_us = s->settings.retry_window_us,
		.quota_tolerance = s->settings.quota_tolerance,
	};

	s->links_up = g_hash_table_new(NULL, NULL);
	CDS_INIT_LIST_HEAD(&s->local_mail);
	s->local_mail_task.fn = deliver_local_mail;
	s->local_mail_task.ctx = s;
	timer_sub_init(&s->dispatch_timer, on_dispatch_timer, s);
	timer_sub_init(&s->ping_timer, on_ping_timer, s);
	s->dispatch = dispatch_new(&cfg, &ops, s);
	s->isolated_dispatch = dispatch_new(&cfg, &ops, s);
}
