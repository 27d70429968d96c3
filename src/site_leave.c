/*
 * site_leave.c - the daemon gives up its work: at its shutdown, and as the
 * leader if its host is too slow to dispatch, or reaches no runner.
 */
#include "site_int.h"

#include <stdlib.h>

#include "log.h"
#include "state_mail.h"

/* After SIGTERM new connections are accepted for this long; then it drains. */
#define LEAVE_LISTEN_US (1200 * USEC_PER_MSEC)
#define LEAVE_TICK_US (50 * USEC_PER_MSEC)
/* A leader that shuts down waits so long for the answers to its orders. */
#define LEAVE_ORDERS_MAX_US (300 * USEC_PER_MSEC)
/* The process exits at the latest this long before SIGKILL. */
#define LEAVE_MARGIN_US (400 * USEC_PER_MSEC)
/* Time for the answers to requests that are ended, before it exits. */
#define LEAVE_ANSWERS_US (200 * USEC_PER_MSEC)
/* What may outlast the process is sent to targets for so long, or half of the grace. */
#define LEAVE_SEND_MAX_US (3 * USEC_PER_SEC)
/*
 * A leader hands over for slowness only after it has led for so long: at first
 * all hosts report to it at once. So a system that is slow everywhere does not
 * change its leader more often.
 */
#define RESIGN_LED_MIN_US (3 * USEC_PER_SEC)
/* A host that handed over leads without another attempt for so long. */
#define RESIGN_INTERVAL_US (10 * USEC_PER_SEC)

/* Slowness. */

static void state_resign_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;

	state_resign(s->state);
	free(m);
}

/*
 * Has another voter lead. Orders go on until it does, so it has to wait for
 * them as after a loss.
 */
static void resign(site_t *s, const char *event, int64_t now)
{
	mail_t *m;

	if (!dispatch_active(s->dispatch) || s->leaving ||
	    now - s->dispatch_began_us < RESIGN_LED_MIN_US ||
	    (s->resigned_us && now - s->resigned_us < RESIGN_INTERVAL_US))
		return;
	s->resigned_us = now;
	log_event(LOG_NOTICE, event, kv_u("term", s->lease_status.term));
	m = xcalloc(1, sizeof(*m));
	m->run = state_resign_run;
	m->drop = mail_free;
	mailbox_send(s->state_mailbox, m);
}

void site_on_slow_turn(void *ctx, int64_t us, int events)
{
	site_t *s = ctx;
	int64_t now = site_now(s);

	log_event(LOG_NOTICE, "loop_slow", kv_i("turn_ms", us / USEC_PER_MSEC),
		  kv_i("events", events));
	site_hosts_slow_turn(s, us);
	if (overload_record_turn(&s->overload, now, us))
		resign(s, "leader_overloaded", now);
}

void site_on_no_path(void *ctx)
{
	site_t *s = ctx;

	/* Orders cannot go by way of other hosts: their holder is one host. */
	resign(s, "leader_cut_off", site_now(s));
}

/* Shutdown. */

typedef struct leave_mail {
	mail_t mail;
	uint64_t idle_term; /* as in state_leave() */
} leave_mail_t;

static void state_leave_run(void *ctx, mail_t *m)
{
	site_t *s = ctx;

	state_leave(s->state, ((leave_mail_t *)m)->idle_term);
	free(m);
}

/*
 * Ends the session of this daemon. A dispatcher first waits for the answers to
 * its orders, so that its successor can send its own at once.
 */
static void end_session(site_t *s, int64_t now)
{
	bool dispatches = dispatch_active(s->dispatch);
	bool settled = dispatches && dispatch_orders_settled(s->dispatch, now);
	leave_mail_t *m;

	if (s->session_ended)
		return;
	if (dispatches && !settled &&
	    now - s->leave_began_us < LEAVE_ORDERS_MAX_US)
		return;
	s->session_ended = true;
	m = xcalloc(1, sizeof(*m));
	m->mail.run = state_leave_run;
	m->mail.drop = mail_free;
	m->idle_term = settled ? s->lease_status.term : 0;
	mailbox_send(s->state_mailbox, &m->mail);
}

/* When the process exits, whatever is under way. */
static int64_t exit_us(const site_t *s)
{
	return s->leave_began_us + s->settings.grace_us - LEAVE_MARGIN_US;
}

/* When the requests under way are ended. */
static int64_t end_us(const site_t *s)
{
	return exit_us(s) - LEAVE_ANSWERS_US;
}

static void end_requests(site_t *s)
{
	s->requests_aborted += gateway_active_requests(s->gateway);
	gateway_end_requests(s->gateway);
}

void site_on_leave_timer(void *ctx, int64_t now)
{
	site_t *s = ctx;
	int64_t elapsed_us = now - s->leave_began_us;
	bool drained = false;

	end_session(s, now);
	gateway_refuse_late(s->gateway);
	if (now >= end_us(s))
		end_requests(s);
	if (elapsed_us >= LEAVE_LISTEN_US)
		drained = gateway_drain(s->gateway);
	/* A connection that is left has a request to read, or an answer to send. */
	if ((drained && !gateway_active_requests(s->gateway) &&
	     !tunnels_count(s->tunnels)) ||
	    now >= exit_us(s)) {
		log_event(LOG_NOTICE, "stopped",
			  kv_u("requests_aborted", s->requests_aborted));
		loop_stop(s->loop);
		return;
	}
	timer_svc_arm(s->timers, &s->leave_timer, now + LEAVE_TICK_US);
}

void site_begin_leaving(site_t *s)
{
	if (s->leaving)
		return;
	s->leaving = true;
	s->leave_began_us = site_now(s);
	log_event(LOG_NOTICE, "leaving",
		  kv_u("requests", gateway_active_requests(s->gateway)));
	dispatch_set_lease(s->dispatch, INT64_MIN);
	tunnels_drain(s->tunnels);
	gateway_leave(s->gateway,
		      s->leave_began_us +
			      MIN(LEAVE_SEND_MAX_US, s->settings.grace_us / 2),
		      end_us(s));
	end_session(s, s->leave_began_us);
	timer_svc_arm(s->timers, &s->leave_timer,
		      s->leave_began_us + LEAVE_TICK_US);
}
