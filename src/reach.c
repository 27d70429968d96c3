/*
 * reach.c - whether this host reaches targets itself, by its attempts. One that has lost
 * several targets without hearing from any is cut off: its attempts go by way of another
 * daemon, while it tries every now and then whether one of them answers it.
 */
#include "gateway_int.h"

#include "log.h"

/* Pause between such tries, and how long one may take. */
#define PROBE_PAUSE_US (300 * USEC_PER_MSEC)
#define PROBE_TIMEOUT_US (300 * USEC_PER_MSEC)

static void arm_probe(gateway_t *g, int64_t in_us)
{
	timer_svc_arm(loop_timers(g->loop), &g->reach.timer,
		      gateway_now(g) + in_us);
}

static void end_probe(gateway_t *g)
{
	if (g->reach.probe)
		http1_close(g->reach.probe);
	g->reach.probe = NULL;
}

/* A connection alone proves little: it may have been made by what lies between. */
static void on_probe_connected(void *ctx)
{
	gateway_t *g = ctx;
	AUTO_BUF buf_t out = {0};

	buf_puts(&out, "GET ");
	dialect_write_report_target(&out);
	buf_printf(&out, " HTTP/1.1\r\nHost: %.*s\r\n\r\n",
		   STR_ARG(g->reach.addr));
	http1_send(g->reach.probe, out.p, out.n);
}

static void on_probe_head(void *ctx, const http1_head_t *h)
{
	(void)h;
	reach_note_heard(ctx);
}

static void on_probe_closed(void *ctx, http1_close_reason_t why)
{
	gateway_t *g = ctx;

	(void)why;
	g->reach.probe = NULL;
	arm_probe(g, PROBE_PAUSE_US);
}

static const http1_ops_t probe_ops = {.connected = on_probe_connected,
				      .head = on_probe_head,
				      .closed = on_probe_closed};

/* Ends the try under way, and begins the next one. */
static void on_probe_timer(void *ctx, int64_t now)
{
	gateway_t *g = ctx;
	http1_dial_t dial = {.from = g->ip, .timeout_us = PROBE_TIMEOUT_US};

	(void)now;
	if (!g->reach.cut_off)
		return;
	end_probe(g);
	g->ops.no_path(g->ctx);
	if (http1_parse_addr(g->reach.addr, &dial.to) == 0)
		g->reach.probe = http1_connect(g->loop, &dial, &probe_ops, g);
	arm_probe(g, PROBE_TIMEOUT_US + PROBE_PAUSE_US);
}

void reach_init(gateway_t *g)
{
	timer_sub_init(&g->reach.timer, on_probe_timer, g);
}

void reach_free(gateway_t *g)
{
	timer_svc_cancel(loop_timers(g->loop), &g->reach.timer);
	end_probe(g);
	str_free(&g->reach.addr);
}

void reach_note_heard(gateway_t *g)
{
	g->reach.n_lost = 0;
	if (!g->reach.cut_off)
		return;
	g->reach.cut_off = false;
	end_probe(g);
	log_event(LOG_NOTICE, "runners_reached",
		  kv_i("after_ms",
		       (gateway_now(g) - g->reach.since_us) / USEC_PER_MSEC));
}

void reach_note_bytes(gateway_t *g)
{
	g->reach.heard_us = gateway_now(g);
}

bool reach_heard_since(const gateway_t *g, int64_t since_us)
{
	return g->reach.heard_us > since_us;
}

void reach_note_peer(gateway_t *g, host_id_t peer)
{
	g->reach.good_peer = peer;
}

void reach_note_peer_failed(gateway_t *g, host_id_t peer)
{
	if (g->reach.good_peer == peer)
		g->reach.good_peer = 0;
}

host_id_t reach_pick_peer(const gateway_t *g)
{
	return g->reach.good_peer ? g->reach.good_peer
				  : g->ops.pick_peer(g->ctx);
}

static bool is_lost_already(const reach_t *reach, uint64_t key)
{
	for (uint32_t i = 0; i < reach->n_lost; i++)
		if (reach->lost[i] == key)
			return true;
	return false;
}

void reach_note_lost(gateway_t *g, str_t runner)
{
	uint64_t key = hash_bytes(runner.p, runner.n, 0);
	reach_t *reach = &g->reach;

	if (reach->cut_off || is_lost_already(reach, key))
		return;
	reach->lost[reach->n_lost++] = key;
	if (reach->n_lost < LOST_TARGETS_MIN)
		return;
	reach->cut_off = true;
	reach->since_us = gateway_now(g);
	log_event(LOG_NOTICE, "runners_unreachable", kv_s("runner", runner));
	arm_probe(g, PROBE_PAUSE_US);
}

void reach_note_attempt(gateway_t *g, str_t addr)
{
	if (str_eq(g->reach.addr, addr))
		return;
	str_free(&g->reach.addr);
	g->reach.addr = str_copy(addr);
}
