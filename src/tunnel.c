/* tunnel.c - tunnels that this daemon serves, and messages that open them. */
#include "tunnel.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "buffer_share.h"
#include "counter.h"
#include "http1.h"
#include "pb.h"
#include "socket.h"
#include "tunnel.pb-c.h"

#define LENGTH_BYTES 4u
#define MESSAGE_MAX 256u
#define MAC_BYTES crypto_generichash_BYTES_MIN
#define READ_BYTES 16384u
/* An end is not read while so much waits to be written to the other. */
#define UNSENT_MAX 65536u
/* The same where what waits in all tunnels is at its limit. */
#define UNSENT_MIN 4096u
/* Tunnels at a time; a daemon has descriptors for its own callers, too. */
#define TUNNELS_MAX 1000u
/* The opening message has to come within this time. */
#define OPEN_TIMEOUT_US (1 * USEC_PER_SEC)
/* Longest wait for a target, whatever the opener asks for. */
#define CONNECT_TIMEOUT_MAX_US (1 * USEC_PER_SEC)

typedef enum tunnel_state {
	TUNNEL_OPENING,	   /* the message is awaited */
	TUNNEL_CONNECTING, /* to the target */
	TUNNEL_OPEN,
	TUNNEL_CLOSED, /* freed at the end of the loop's iteration */
} tunnel_state_t;

typedef struct tunnel tunnel_t;

/* One end: the daemon that asked, or the target. */
typedef struct tunnel_end {
	loop_watch_t watch;
	tunnel_t *tunnel;
	buf_t out;	/* to be written to it */
	size_t counted; /* of out, in tunnels_t.unsent */
	bool ended;	/* it has closed in order */
} tunnel_end_t;

struct tunnel {
	loop_deferred_free_t deferred_free;
	struct cds_list_head node;
	tunnels_t *all;
	tunnel_state_t state;
	tunnel_end_t opener, target;
	buf_t in; /* the opening message */
	timer_sub_t timer;
};

struct tunnels {
	loop_t *loop;
	tunnels_cfg_t cfg;
	loop_watch_t watch;
	struct cds_list_head all;
	size_t n;
	size_t unsent;	   /* waits to be written, in all of them */
	size_t unsent_max; /* 0: no limit for all */
};

/* Messages. */

static void write_message(buf_t *out, const ProtobufCMessage *m)
{
	size_t n = protobuf_c_message_get_packed_size(m);
	uint32_t length = htonl((uint32_t)n);

	buf_put(out, &length, sizeof(length));
	protobuf_c_message_pack(m, (uint8_t *)buf_reserve(out, n));
	out->n += n;
}

/* The message at the start of in: 1, or 0 if more is to come, -1 if it is none. */
static int find_message(str_t in, str_t *body)
{
	uint32_t length;

	if (in.n < LENGTH_BYTES)
		return 0;
	memcpy(&length, in.p, sizeof(length));
	length = ntohl(length);
	if (length > MESSAGE_MAX)
		return -1;
	if (in.n < LENGTH_BYTES + length)
		return 0;
	*body = str_n(in.p + LENGTH_BYTES, length);
	return 1;
}

static void compute_mac(unsigned char *mac, str_t secret, str_t target,
			uint64_t nonce)
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, (const unsigned char *)secret.p, secret.n,
				MAC_BYTES);
	crypto_generichash_update(&st, (const unsigned char *)&nonce,
				  sizeof(nonce));
	crypto_generichash_update(&st, (const unsigned char *)target.p,
				  target.n);
	crypto_generichash_final(&st, mac, MAC_BYTES);
}

void tunnel_write_open(buf_t *out, str_t secret, str_t target,
		       int64_t timeout_us)
{
	Tunnel__Open m = TUNNEL__OPEN__INIT;
	unsigned char mac[MAC_BYTES];

	m.nonce = random_seed();
	compute_mac(mac, secret, target, m.nonce);
	m.addr = pb_bytes(target);
	m.timeout_us = timeout_us;
	m.mac.data = mac;
	m.mac.len = sizeof(mac);
	write_message(out, &m.base);
}

ssize_t tunnel_read_opened(str_t in)
{
	Tunnel__Opened *m;
	bool connected;
	str_t body;
	int found = find_message(in, &body);

	if (found <= 0)
		return found;
	m = tunnel__opened__unpack(NULL, body.n, (const uint8_t *)body.p);
	connected = m && m->connected;
	if (m)
		tunnel__opened__free_unpacked(m, NULL);
	return connected ? (ssize_t)(LENGTH_BYTES + body.n) : -1;
}

/* Ends of tunnels. */

static void tunnel_free(loop_deferred_free_t *g)
{
	tunnel_t *t = (tunnel_t *)g;

	buf_free(&t->in);
	buf_free(&t->opener.out);
	buf_free(&t->target.out);
	free(t);
}

/* What waits for this end has changed. */
static void count_unsent(tunnel_end_t *e)
{
	e->tunnel->all->unsent += e->out.n - e->counted;
	e->counted = e->out.n;
}

static void close_end(tunnel_t *t, tunnel_end_t *e, bool reset)
{
	const struct linger abort_on_close = {1, 0};
	int fd = e->watch.fd;

	buf_free(&e->out);
	count_unsent(e);
	if (fd < 0)
		return;
	loop_unwatch(t->all->loop, &e->watch);
	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
			   sizeof(abort_on_close));
	close(fd);
}

/* reset: what is left of a response must not look complete. */
static void tunnel_end(tunnel_t *t, bool reset)
{
	if (t->state == TUNNEL_CLOSED)
		return;
	t->state = TUNNEL_CLOSED;
	timer_svc_cancel(loop_timers(t->all->loop), &t->timer);
	close_end(t, &t->opener, reset);
	close_end(t, &t->target, false);
	cds_list_del(&t->node);
	t->all->n--;
	loop_defer_free(t->all->loop, &t->deferred_free);
}

static tunnel_end_t *other_end(tunnel_end_t *e)
{
	return e == &e->tunnel->opener ? &e->tunnel->target
				       : &e->tunnel->opener;
}

static size_t unsent_max(const tunnels_t *all)
{
	return buffer_share(all->unsent, all->unsent_max, UNSENT_MAX,
			    UNSENT_MIN);
}

static void update_events(tunnel_end_t *e)
{
	uint32_t events = 0;

	if (e->watch.fd < 0)
		return;
	if (!e->ended && other_end(e)->out.n < unsent_max(e->tunnel->all))
		events |= EPOLLIN;
	if (e->out.n || e->tunnel->state == TUNNEL_CONNECTING)
		events |= EPOLLOUT;
	loop_set_events(e->tunnel->all->loop, &e->watch, events);
}

/* Writes what waits; false: the tunnel has ended. */
static bool flush_end(tunnel_end_t *e)
{
	tunnel_t *t = e->tunnel;
	ssize_t n = 1;

	while (e->out.n && n > 0) {
		n = send(e->watch.fd, e->out.p, e->out.n,
			 MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0)
			buf_consume(&e->out, (size_t)n);
	}
	count_unsent(e);
	if (n < 0 && errno != EAGAIN && errno != EINTR) {
		tunnel_end(t, true);
		return false;
	}
	buf_trim(&e->out, READ_BYTES);
	if (!e->out.n && other_end(e)->ended) {
		tunnel_end(t, false);
		return false;
	}
	update_events(e);
	update_events(other_end(e));
	return true;
}

/* The opener tells the target's orderly close from an end of this daemon by frames. */
static void put_frame(buf_t *out, const char *p, size_t n)
{
	uint32_t length = htonl((uint32_t)n);

	buf_put(out, &length, sizeof(length));
	buf_put(out, p, n);
}

/*
 * The opener never closes just one side: it is done with the target. What the target
 * has sent before it closed is still to be written to the opener.
 */
static void on_end_of(tunnel_end_t *e)
{
	tunnel_t *t = e->tunnel;

	if (e == &t->opener) {
		tunnel_end(t, false);
		return;
	}
	e->ended = true;
	put_frame(&t->opener.out, "", 0);
	flush_end(&t->opener);
}

static void read_end(tunnel_end_t *e)
{
	tunnel_end_t *to = other_end(e);
	char piece[READ_BYTES];
	ssize_t n = recv(e->watch.fd, piece, sizeof(piece), MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		tunnel_end(e->tunnel, true);
		return;
	}
	if (n == 0) {
		on_end_of(e);
		return;
	}
	if (to == &e->tunnel->opener)
		put_frame(&to->out, piece, (size_t)n);
	else
		buf_put(&to->out, piece, (size_t)n);
	counter_add(CTR_TUNNEL_BYTES, (uint64_t)n);
	flush_end(to);
}

static void on_end_event(void *ctx, uint32_t events)
{
	tunnel_end_t *e = ctx;

	if (e->tunnel->state == TUNNEL_CLOSED)
		return;
	if ((events & EPOLLOUT) && e->out.n && !flush_end(e))
		return;
	if (events & EPOLLIN)
		read_end(e);
	else if (events & (EPOLLERR | EPOLLHUP))
		tunnel_end(e->tunnel, true);
}

/* Opening. */

static void reply(tunnel_t *t, bool connected)
{
	Tunnel__Opened m = TUNNEL__OPENED__INIT;

	m.connected = connected;
	write_message(&t->opener.out, &m.base);
}

static void refuse(tunnel_t *t)
{
	reply(t, false);
	if (flush_end(&t->opener))
		tunnel_end(t, false);
}

static void on_target_event(void *ctx, uint32_t events)
{
	tunnel_end_t *e = ctx;
	tunnel_t *t = e->tunnel;
	int error = 0;
	socklen_t n = sizeof(error);

	if (t->state != TUNNEL_CONNECTING) {
		on_end_event(ctx, events);
		return;
	}
	getsockopt(e->watch.fd, SOL_SOCKET, SO_ERROR, &error, &n);
	/* What a target sends before a request is no answer to it. */
	if (error || (events & EPOLLIN)) {
		refuse(t);
		return;
	}
	timer_svc_cancel(loop_timers(t->all->loop), &t->timer);
	t->state = TUNNEL_OPEN;
	counter_add(CTR_TUNNELS_OPENED, 1);
	reply(t, true);
	flush_end(&t->opener);
}

static void arm(tunnel_t *t, int64_t in_us)
{
	timer_svc_t *timers = loop_timers(t->all->loop);

	timer_svc_arm(timers, &t->timer, timer_svc_now(timers) + in_us);
}

/* 0, or -1 where it cannot be tried. */
static int connect_target(tunnel_t *t, str_t target, int64_t timeout_us)
{
	struct sockaddr_in to;
	int fd;

	if (http1_parse_addr(target, &to) < 0)
		return -1;
	fd = socket_connect(&to, t->all->cfg.from);
	if (fd < 0)
		return -1;
	socket_set_options(fd);
	if (loop_watch(t->all->loop, &t->target.watch, fd, EPOLLOUT) < 0) {
		close(fd);
		return -1;
	}
	t->state = TUNNEL_CONNECTING;
	arm(t, CLAMP(timeout_us, 0, CONNECT_TIMEOUT_MAX_US));
	return 0;
}

static bool proves_secret(const tunnel_t *t, const Tunnel__Open *m)
{
	unsigned char mac[MAC_BYTES];

	compute_mac(mac, t->all->cfg.secret, pb_str(m->addr), m->nonce);
	return m->mac.len == sizeof(mac) &&
	       sodium_memcmp(m->mac.data, mac, sizeof(mac)) == 0;
}

static void open_tunnel(tunnel_t *t, str_t body)
{
	Tunnel__Open *m =
		tunnel__open__unpack(NULL, body.n, (const uint8_t *)body.p);

	if (!m || !proves_secret(t, m))
		tunnel_end(t, true);
	else if (connect_target(t, pb_str(m->addr), m->timeout_us) < 0)
		refuse(t);
	if (m)
		tunnel__open__free_unpacked(m, NULL);
}

/* Until the tunnel is open, the opener sends nothing but its message. */
static void read_opening(tunnel_t *t)
{
	ssize_t n = recv(t->opener.watch.fd, buf_reserve(&t->in, MESSAGE_MAX),
			 MESSAGE_MAX, MSG_DONTWAIT);
	str_t body;
	int found;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || t->state == TUNNEL_CONNECTING) {
		tunnel_end(t, true);
		return;
	}
	t->in.n += (size_t)n;
	found = find_message(buf_str(&t->in), &body);
	if (found < 0)
		tunnel_end(t, true);
	else if (found)
		open_tunnel(t, body);
}

static void on_opener_event(void *ctx, uint32_t events)
{
	tunnel_end_t *e = ctx;

	if (e->tunnel->state == TUNNEL_OPENING ||
	    e->tunnel->state == TUNNEL_CONNECTING)
		read_opening(e->tunnel);
	else
		on_end_event(ctx, events);
}

static void on_timer(void *ctx, int64_t now)
{
	tunnel_t *t = ctx;

	(void)now;
	if (t->state == TUNNEL_CONNECTING)
		refuse(t);
	else
		tunnel_end(t, true);
}

static void accept_one(tunnels_t *all, int fd)
{
	tunnel_t *t = xcalloc(1, sizeof(*t));

	t->deferred_free.free_fn = tunnel_free;
	t->all = all;
	t->opener = (tunnel_end_t){
		.watch = {-1, 0, on_opener_event, &t->opener}, .tunnel = t};
	t->target = (tunnel_end_t){
		.watch = {-1, 0, on_target_event, &t->target}, .tunnel = t};
	timer_sub_init(&t->timer, on_timer, t);
	socket_set_options(fd);
	if (loop_watch(all->loop, &t->opener.watch, fd, EPOLLIN) < 0) {
		close(fd);
		free(t);
		return;
	}
	cds_list_add(&t->node, &all->all);
	all->n++;
	arm(t, OPEN_TIMEOUT_US);
}

static void on_acceptable(void *ctx, uint32_t events)
{
	tunnels_t *all = ctx;
	int fd;

	(void)events;
	while ((fd = accept4(all->watch.fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (all->n >= TUNNELS_MAX)
			close(fd);
		else
			accept_one(all, fd);
	}
}

tunnels_t *tunnels_new(loop_t *l, const tunnels_cfg_t *cfg)
{
	tunnels_t *t = xcalloc(1, sizeof(*t));
	int fd = socket_listen(&cfg->listen);

	t->loop = l;
	t->cfg = *cfg;
	t->watch = (loop_watch_t){-1, 0, on_acceptable, t};
	CDS_INIT_LIST_HEAD(&t->all);
	if (fd >= 0 && loop_watch(l, &t->watch, fd, EPOLLIN) == 0)
		return t;
	if (fd >= 0)
		close(fd);
	free(t);
	return NULL;
}

void tunnels_drain(tunnels_t *t)
{
	int fd = t->watch.fd;

	loop_unwatch(t->loop, &t->watch);
	if (fd >= 0)
		close(fd);
}

void tunnels_free(tunnels_t *t)
{
	tunnel_t *one, *tmp;

	if (!t)
		return;
	tunnels_drain(t);
	cds_list_for_each_entry_safe (one, tmp, &t->all, node)
		tunnel_end(one, true);
	free(t);
}

void tunnels_limit_unsent(tunnels_t *t, size_t bytes)
{
	t->unsent_max = bytes;
}

size_t tunnels_unsent_bytes(const tunnels_t *t)
{
	return t->unsent;
}

size_t tunnels_count(const tunnels_t *t)
{
	return t->n;
}
