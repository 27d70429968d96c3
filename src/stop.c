/*
 * stop.c - ends runs that nobody waits for any more, where the close of their connection
 * may not reach the target. The close ends a run only as long as it has a path to the
 * target; without one, another daemon carries an order to stop the run.
 */
#include "gateway_int.h"

#include <stdlib.h>

#include "counter.h"
#include "log.h"

/*
 * A host that reaches targets hears one of them within this time, as the events of its
 * other streams come in. A run has to end half a second after its caller has left.
 */
#define LISTEN_US (120 * USEC_PER_MSEC)
/* What is heard before was on its way already, maybe as the path was lost. */
#define HEARD_MIN_US (LISTEN_US / 2)
/* Longest wait for another daemon to connect to the target, and for each answer. */
#define CONNECT_TIMEOUT_US (80 * USEC_PER_MSEC)
#define ANSWER_TIMEOUT_US (150 * USEC_PER_MSEC)
/* Daemons that are tried for one run. */
#define TRIES_MAX 5u
/* Runs at a time; further ones go on to their end. */
#define STOPS_MAX 512u
/* Of an answer, in bytes. */
#define ANSWER_MAX 4096u

typedef enum stop_state {
	STOP_LISTENING, /* whether this host hears a target */
	STOP_ORDERING,	/* another daemon carries the order */
	STOP_RELEASING, /* the same for the run's memory at its target */
} stop_state_t;

struct stop {
	struct cds_list_head node; /* of gateway.stops */
	gateway_t *gw;
	stop_state_t state;
	str_t request; /* owned: id */
	str_t runner;  /* owned: id */
	str_t addr;    /* owned: its address */
	str_t service; /* owned: name */
	host_id_t via; /* that carries the order; 0: none yet */
	unsigned int tries;
	int64_t begun_us;
	bool in_doubt;	    /* whatever else this host hears */
	http1_conn_t *conn; /* NULL: none */
	int status;	    /* of the answer to the order; 0: none */
	buf_t answer;	    /* its body */
	timer_sub_t timer;
};

static void stop_free(stop_t *s)
{
	timer_svc_cancel(loop_timers(s->gw->loop), &s->timer);
	if (s->conn)
		http1_close(s->conn);
	cds_list_del(&s->node);
	s->gw->n_stops--;
	str_free(&s->request);
	str_free(&s->runner);
	str_free(&s->addr);
	str_free(&s->service);
	buf_free(&s->answer);
	free(s);
}

static void arm(stop_t *s, int64_t in_us)
{
	timer_svc_arm(loop_timers(s->gw->loop), &s->timer,
		      gateway_now(s->gw) + in_us);
}

/* The order was answered, or nobody could carry it. */
static void stop_end(stop_t *s)
{
	counter_add(s->status ? CTR_RUNS_STOPPED : CTR_RUNS_NOT_STOPPED, 1);
	log_event(LOG_INFO, "run_stopped", kv_s("id", s->request),
		  kv_s("runner", s->runner), kv_u("via", s->via),
		  kv_u("tries", s->tries), kv_i("status", s->status),
		  kv_i("after_ms",
		       (gateway_now(s->gw) - s->begun_us) / USEC_PER_MSEC));
	stop_free(s);
}

static void write_call(const stop_t *s, buf_t *out, const char *method,
		       const buf_t *target, const buf_t *body)
{
	const target_fields_t f = {.runner = s->runner, .left_us = -1};

	buf_printf(out, "%s %.*s HTTP/1.1\r\nHost: %.*s\r\n", method,
		   STR_ARG(buf_str(target)), STR_ARG(s->addr));
	dialect_write_target_fields(out, &f);
	buf_printf(out,
		   "Content-Type: application/json\r\n"
		   "Content-Length: %zu\r\n\r\n",
		   body->n);
	buf_put(out, body->p, body->n);
}

static void send_call(stop_t *s, const char *method, const buf_t *target,
		      const buf_t *body)
{
	AUTO_BUF buf_t out = {0};

	write_call(s, &out, method, target, body);
	arm(s, ANSWER_TIMEOUT_US);
	http1_send(s->conn, out.p, out.n);
}

/* Address of another target of the service; any one's, where none is known. */
static str_t find_other_target(const stop_t *s)
{
	const stop_room_t *rooms = s->gw->stop_rooms;
	str_t any = s->addr;

	for (size_t i = 0; i < STOP_ROOMS_MAX; i++) {
		/* Another one at each try: the last one had no room, maybe. */
		const stop_room_t *room =
			&rooms[(i + s->tries) % STOP_ROOMS_MAX];

		if (!room->addr.n || str_eq(room->addr, s->addr))
			continue;
		if (str_eq(room->service, s->service))
			return room->addr;
		any = room->addr;
	}
	return any;
}

static void room_free(stop_room_t *room)
{
	str_free(&room->service);
	str_free(&room->addr);
}

void stop_note_target(gateway_t *g, str_t service, str_t addr)
{
	stop_room_t *room;

	for (size_t i = 0; i < STOP_ROOMS_MAX; i++)
		if (str_eq(g->stop_rooms[i].addr, addr) &&
		    str_eq(g->stop_rooms[i].service, service))
			return;
	room = &g->stop_rooms[g->next_stop_room++ % STOP_ROOMS_MAX];
	room_free(room);
	room->service = str_copy(service);
	room->addr = str_copy(addr);
}

static void on_connected(void *ctx)
{
	stop_t *s = ctx;
	AUTO_BUF buf_t target = {0};
	AUTO_BUF buf_t body = {0};

	dialect_write_stop_target(&target);
	dialect_write_stop(&body, s->request, find_other_target(s));
	send_call(s, "POST", &target, &body);
}

static void on_head(void *ctx, const http1_head_t *h)
{
	stop_t *s = ctx;

	reach_note_peer(s->gw, s->via);
	if (s->state == STOP_ORDERING)
		s->status = h->status;
}

static void on_body(void *ctx, str_t piece)
{
	stop_t *s = ctx;

	if (s->answer.n + piece.n <= ANSWER_MAX)
		buf_put(&s->answer, piece.p, piece.n);
}

static void try_next(stop_t *s);

/* The target keeps the memory of a run that it has stopped until it is told. */
static void on_answer(void *ctx)
{
	stop_t *s = ctx;
	AUTO_BUF buf_t target = {0};
	AUTO_BUF buf_t none = {0};
	int rc = dialect_write_release_target(&target, buf_str(&s->answer));

	if (s->state == STOP_ORDERING && rc == 0) {
		s->state = STOP_RELEASING;
		send_call(s, "DELETE", &target, &none);
	} else if (s->state == STOP_ORDERING && s->status == 503) {
		try_next(s); /* it goes on, as the memory had no room there */
	} else {
		stop_end(s);
	}
}

static void on_closed(void *ctx, http1_close_reason_t why)
{
	stop_t *s = ctx;

	(void)why;
	s->conn = NULL;
	reach_note_peer_failed(s->gw, s->via);
	try_next(s);
}

static const http1_ops_t stop_ops = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.message_end = on_answer,
	.closed = on_closed,
};

/* By one daemon after the other, until the target has answered. */
static void try_next(stop_t *s)
{
	gateway_t *g = s->gw;

	if (s->conn)
		http1_close(s->conn);
	s->conn = NULL;
	if (s->state == STOP_RELEASING || s->tries >= TRIES_MAX) {
		stop_end(s);
		return;
	}
	s->state = STOP_ORDERING;
	s->tries++;
	s->status = 0;
	s->via = reach_pick_peer(g);
	buf_reset(&s->answer);
	if (s->via)
		s->conn = gateway_connect_by_peer(
			g, s->via, s->addr, CONNECT_TIMEOUT_US, &stop_ops, s);
	arm(s, CONNECT_TIMEOUT_US);
}

static void on_timer(void *ctx, int64_t now)
{
	stop_t *s = ctx;
	bool is_listening = s->state == STOP_LISTENING;

	(void)now;
	if (is_listening && !s->in_doubt &&
	    reach_heard_since(s->gw, s->begun_us + HEARD_MIN_US)) {
		stop_free(s);
		return;
	}
	if (!is_listening)
		reach_note_peer_failed(s->gw, s->via);
	try_next(s);
}

/* The target may be at work, and would stop on order. */
static bool may_need_order(const request_t *r)
{
	return r->conn && attempt_silent_us(r) >= 0 && r->service->stops_runs &&
	       r->gw->tunnel_port;
}

/*
 * A stream that has been silent for longer than it may, or a run by way of another daemon
 * whose answer has not begun: the other streams of this host tell nothing of its path.
 */
static bool path_is_in_doubt(const request_t *r)
{
	int64_t silent_us = attempt_silent_us(r);

	if (r->state == REQUEST_RELAYING)
		return r->route->event_gap_us &&
		       silent_us > r->route->event_gap_us;
	return r->by_peer && silent_us > LISTEN_US;
}

void stop_begin(const request_t *r)
{
	gateway_t *g = r->gw;
	bool in_doubt = path_is_in_doubt(r);
	stop_t *s;

	if (!may_need_order(r) || (r->by_peer && !in_doubt))
		return;
	if (g->n_stops >= STOPS_MAX) {
		counter_add(CTR_RUNS_NOT_STOPPED, 1);
		return;
	}
	s = xcalloc(1, sizeof(*s));
	s->gw = g;
	s->state = STOP_LISTENING;
	s->request = str_copy(r->info.id);
	s->runner = str_copy(r->runner);
	s->addr = str_copy(r->addr);
	s->service = str_copy(r->service->name);
	s->begun_us = gateway_now(g);
	s->in_doubt = in_doubt;
	timer_sub_init(&s->timer, on_timer, s);
	cds_list_add(&s->node, &g->stops);
	g->n_stops++;
	arm(s, in_doubt ? 0 : LISTEN_US);
}

void stops_free(gateway_t *g)
{
	stop_t *s, *tmp;

	cds_list_for_each_entry_safe (s, tmp, &g->stops, node)
		stop_free(s);
	for (size_t i = 0; i < STOP_ROOMS_MAX; i++)
		room_free(&g->stop_rooms[i]);
}
