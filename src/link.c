/*
 * link.c - links to peers on one epoll thread.
 *
 * Both ends prove the shared secret without sending it: hello (nonce), hello
 * (nonce, keyed hash over both nonces and ids), proof (the same of the other
 * end). Connections are dialed when there is something to send, so that only
 * hosts that talk hold one. Only the thread reads, opens and closes
 * connections; links_send() appends, and writes what the socket takes.
 */
#include "link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <sodium.h>
#include <urcu/list.h>

#include "counter.h"
#include "link.pb-c.h"
#include "log.h"

#define LINK_VERSION 1u
#define LENGTH_BYTES 4u
#define HELLO_FRAME_MAX 1024u /* frames before the secret is proven */
#define UNPROVEN_MAX 256u     /* accepted connections without proof */
#define READ_PIECE 65536u
#define KEEP_CAP 262144u /* larger empty buffers are freed */
#define EPOLL_BATCH 64
#define BACKLOG 512
#define REDIAL_MIN_US (50 * USEC_PER_MSEC)
#define REDIAL_MAX_US (1 * USEC_PER_SEC)
#define REDIAL_SHIFT_MAX 6u
#define IDLE_US (120 * USEC_PER_SEC) /* without data: closed by its dialer */
#define ADDR_TEXT_MAX 64

#define NONCE_BYTES 32u
#define MAC_BYTES crypto_generichash_BYTES

typedef enum conn_state {
	CONN_DIALING, /* connect() in progress */
	CONN_HELLO,   /* waits for the hello of the other end */
	CONN_PROOF,   /* accepted; waits for the proof */
	CONN_UP,
} conn_state_t;

/* X(NAME, counter, "text") - why a connection is cut. */
#define CUTS(X)                                                    \
	X(CLOSED, CTR_COUNT, "the peer closed the connection")     \
	X(REFUSED, CTR_COUNT, "the peer could not be reached")     \
	X(REPLACED, CTR_COUNT, "a newer connection replaces it")   \
	X(IDLE, CTR_COUNT, "nothing to send for a long time")      \
	X(STOPPED, CTR_COUNT, "this daemon stops")                 \
	X(CROWDED, CTR_COUNT, "too many unproven connections")     \
	X(SECRET, CTR_LINK_CUT_SECRET, "wrong secret")             \
	X(CLUSTER, CTR_LINK_CUT_CLUSTER, "other cluster id")       \
	X(UNKNOWN, CTR_LINK_CUT_UNKNOWN, "not a known host")       \
	X(VERSION, CTR_LINK_CUT_VERSION, "other protocol version") \
	X(OVERSIZE, CTR_LINK_CUT_OVERSIZE, "frame too large")      \
	X(MALFORMED, CTR_LINK_CUT_MALFORMED, "malformed frame")    \
	X(SLOW, CTR_LINK_CUT_SLOW, "the peer reads too slowly")    \
	X(SILENT, CTR_LINK_CUT_SILENT, "nothing heard in time")

typedef enum cut {
	CUT_NONE,
#define X(name, counter, text) CUT_##name,
	CUTS(X)
#undef X
} cut_t;

static const struct {
	counter_t counter;
	const char *text;
} cuts[] = {{CTR_COUNT, ""},
#define X(name, counter, text) {counter, text},
	    CUTS(X)
#undef X
};

typedef struct peer peer_t;

/* One connection. Fields marked (s) are shared, under the lock of links_t. */
typedef struct conn {
	struct cds_list_head node;
	int fd;
	conn_state_t state; /* (s) */
	bool dialed;
	peer_t *peer;	   /* (s) NULL until the hello names it */
	host_id_t claimed; /* id of an accepted hello, before the proof */
	unsigned char own_nonce[NONCE_BYTES];
	unsigned char peer_nonce[NONCE_BYTES];
	buf_t in;
	buf_t out;	/* (s) bytes not yet taken by the socket */
	bool wants_out; /* (s) registered for EPOLLOUT */
	cut_t cut;	/* (s) set once; closed by the thread */
	int64_t started_us;
	int64_t last_in_us;
	int64_t last_out_us;  /* (s) last progress in writing */
	int64_t last_data_us; /* (s) */
} conn_t;

struct peer {
	struct cds_list_head node; /* in waiting of links_t */
	bool waits;
	host_id_t id;
	buf_t addr;
	buf_t queue;  /* frames that wait for a connection */
	conn_t *conn; /* the one in use; NULL while down */
	bool dialing;
	bool up; /* as last told by updown() */
	uint32_t failures;
	int64_t next_dial_us;
};

/* A change of a link to be told without the lock. */
typedef struct notice {
	host_id_t peer;
	bool up;
} notice_t;

struct links {
	link_cfg_t cfg; /* strings are owned */
	link_ops_t ops;
	void *ctx;
	timer_svc_t *timers;
	unsigned char key[crypto_generichash_KEYBYTES];
	int listen_fd;
	int epoll_fd;
	int wake_fd;
	pthread_t thread;
	bool started;
	pthread_mutex_t lock; /* guards what follows */
	bool stop;
	bool woken;
	GHashTable *peers; /* host id -> peer_t */
	struct cds_list_head conns;
	struct cds_list_head waiting; /* peers with a queue to be sent */
	notice_t *notices;
	size_t n_notices;
	size_t cap_notices;
};

static void wake(links_t *l)
{
	uint64_t one = 1;
	ssize_t n;

	if (l->woken)
		return;
	l->woken = true;
	n = write(l->wake_fd, &one, sizeof(one));
	(void)n;
}

static void notice(links_t *l, peer_t *p, bool up)
{
	if (l->n_notices == l->cap_notices) {
		l->cap_notices = l->cap_notices ? l->cap_notices * 2 : 8;
		l->notices = xrealloc(l->notices,
				      l->cap_notices * sizeof(*l->notices));
	}
	l->notices[l->n_notices].peer = p->id;
	l->notices[l->n_notices++].up = up;
}

/* Calls updown() for what has changed; takes and drops the lock. */
static void tell_notices(links_t *l)
{
	for (;;) {
		notice_t *notices;
		size_t n;

		pthread_mutex_lock(&l->lock);
		notices = l->notices;
		n = l->n_notices;
		l->notices = NULL;
		l->n_notices = 0;
		l->cap_notices = 0;
		pthread_mutex_unlock(&l->lock);
		for (size_t i = 0; i < n; i++)
			l->ops.updown(l->ctx, notices[i].peer, notices[i].up);
		free(notices);
		if (!n)
			return;
	}
}

static void put_frame(buf_t *out, const Dk__LinkFrame *frame)
{
	size_t n = dk__link_frame__get_packed_size(frame);
	uint32_t length = htonl((uint32_t)n);
	char *at;

	buf_put(out, &length, sizeof(length));
	at = buf_room(out, n);
	dk__link_frame__pack(frame, (uint8_t *)at);
	out->n += n;
}

static void want_out(links_t *l, conn_t *c, bool on)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = c};

	if (c->wants_out == on)
		return;
	c->wants_out = on;
	if (on)
		ev.events |= EPOLLOUT;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, c->fd, &ev);
}

static void set_cut(links_t *l, conn_t *c, cut_t cut)
{
	if (c->cut == CUT_NONE)
		c->cut = cut;
	wake(l);
}

/* Writes what the socket takes; needs the lock. */
static void flush(links_t *l, conn_t *c)
{
	size_t done = 0;

	if (c->state == CONN_DIALING || c->cut != CUT_NONE)
		return;
	while (done < c->out.n) {
		ssize_t n = send(c->fd, c->out.p + done, c->out.n - done,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN)
			set_cut(l, c, CUT_CLOSED);
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	if (done) {
		counter_add(CTR_LINK_BYTES_OUT, done);
		c->last_out_us = timer_svc_now(l->timers);
	}
	buf_eat(&c->out, done);
	if (!c->out.n && c->out.cap > KEEP_CAP)
		buf_free(&c->out);
	want_out(l, c, c->out.n > 0);
}

static void send_frame(links_t *l, conn_t *c, const Dk__LinkFrame *frame)
{
	put_frame(&c->out, frame);
	flush(l, c);
}

static void hash_part(crypto_generichash_state *st, const void *p, size_t n)
{
	uint32_t length = htonl((uint32_t)n);

	crypto_generichash_update(st, (const unsigned char *)&length,
				  sizeof(length));
	crypto_generichash_update(st, p, n);
}

/* What one end proves: role 'A' accepted, 'D' dialed. */
static void make_mac(const links_t *l, const conn_t *c, char role,
		     host_id_t peer, unsigned char mac[MAC_BYTES])
{
	const unsigned char *dialer = c->dialed ? c->own_nonce : c->peer_nonce;
	const unsigned char *other = c->dialed ? c->peer_nonce : c->own_nonce;
	uint32_t ids[2] = {htonl(c->dialed ? l->cfg.self : peer),
			   htonl(c->dialed ? peer : l->cfg.self)};
	crypto_generichash_state st;

	crypto_generichash_init(&st, l->key, sizeof(l->key), MAC_BYTES);
	hash_part(&st, &role, 1);
	hash_part(&st, l->cfg.cluster.p, l->cfg.cluster.n);
	hash_part(&st, ids, sizeof(ids));
	hash_part(&st, dialer, NONCE_BYTES);
	hash_part(&st, other, NONCE_BYTES);
	crypto_generichash_final(&st, mac, MAC_BYTES);
}

static bool mac_ok(const links_t *l, const conn_t *c, char role, host_id_t peer,
		   const ProtobufCBinaryData *mac)
{
	unsigned char expected[MAC_BYTES];

	make_mac(l, c, role, peer, expected);
	return mac->len == MAC_BYTES &&
	       sodium_memcmp(mac->data, expected, MAC_BYTES) == 0;
}

static void send_hello(links_t *l, conn_t *c, host_id_t to, bool with_mac)
{
	unsigned char mac[MAC_BYTES];
	AUTO_FREE char *cluster = str_dup(l->cfg.cluster);
	Dk__LinkHello hello = DK__LINK_HELLO__INIT;
	Dk__LinkFrame frame = DK__LINK_FRAME__INIT;

	hello.version = LINK_VERSION;
	hello.cluster = cluster;
	hello.from = l->cfg.self;
	hello.to = to;
	hello.nonce.data = c->own_nonce;
	hello.nonce.len = NONCE_BYTES;
	if (with_mac) {
		make_mac(l, c, 'A', to, mac);
		hello.mac.data = mac;
		hello.mac.len = MAC_BYTES;
	}
	frame.kind_case = DK__LINK_FRAME__KIND_HELLO;
	frame.hello = &hello;
	send_frame(l, c, &frame);
}

static void send_proof(links_t *l, conn_t *c)
{
	unsigned char mac[MAC_BYTES];
	Dk__LinkProof proof = DK__LINK_PROOF__INIT;
	Dk__LinkFrame frame = DK__LINK_FRAME__INIT;

	make_mac(l, c, 'D', c->peer->id, mac);
	proof.mac.data = mac;
	proof.mac.len = MAC_BYTES;
	frame.kind_case = DK__LINK_FRAME__KIND_PROOF;
	frame.proof = &proof;
	send_frame(l, c, &frame);
}

static peer_t *find_peer(links_t *l, host_id_t id)
{
	return g_hash_table_lookup(l->peers, GUINT_TO_POINTER(id));
}

static peer_t *add_peer(links_t *l, host_id_t id)
{
	peer_t *p = xcalloc(1, sizeof(*p));

	p->id = id;
	g_hash_table_insert(l->peers, GUINT_TO_POINTER(id), p);
	return p;
}

/* As find_peer(), but for hosts whose address follows from their id too. */
static peer_t *reach_peer(links_t *l, host_id_t id)
{
	peer_t *p = find_peer(l, id);
	AUTO_BUF buf_t addr = {0};

	if (p || !l->ops.addr_of || !id || id == l->cfg.self ||
	    !l->ops.addr_of(l->ctx, id, &addr))
		return p;
	p = add_peer(l, id);
	buf_put(&p->addr, addr.p, addr.n);
	return p;
}

static void drop_queue(peer_t *p)
{
	buf_free(&p->queue);
}

/* A proven connection takes over the peer. */
static void conn_up(links_t *l, conn_t *c)
{
	peer_t *p = c->peer;
	conn_t *o;

	c->state = CONN_UP;
	c->last_data_us = timer_svc_now(l->timers);
	/* A second one of the same direction shows that the first is dead. */
	cds_list_for_each_entry (o, &l->conns, node)
		if (o != c && o->peer == p && o->state == CONN_UP &&
		    o->dialed == c->dialed)
			set_cut(l, o, CUT_REPLACED);
	p->conn = c;
	p->dialing = false;
	p->failures = 0;
	buf_put(&c->out, p->queue.p, p->queue.n);
	drop_queue(p);
	flush(l, c);
	if (!p->up) {
		p->up = true;
		notice(l, p, true);
	}
}

static cut_t hello_fits(const links_t *l, const Dk__LinkHello *h)
{
	if (h->version != LINK_VERSION)
		return CUT_VERSION;
	if (!str_eq(str_c(h->cluster), l->cfg.cluster))
		return CUT_CLUSTER;
	if (h->to != l->cfg.self || h->from == l->cfg.self)
		return CUT_UNKNOWN;
	if (h->nonce.len != NONCE_BYTES)
		return CUT_MALFORMED;
	return CUT_NONE;
}

/* First frame of an accepted connection. */
static cut_t accept_hello(links_t *l, conn_t *c, const Dk__LinkHello *h)
{
	cut_t cut = hello_fits(l, h);

	if (cut != CUT_NONE)
		return cut;
	if (!reach_peer(l, h->from))
		return CUT_UNKNOWN;
	memcpy(c->peer_nonce, h->nonce.data, NONCE_BYTES);
	c->claimed = h->from;
	c->state = CONN_PROOF;
	send_hello(l, c, h->from, true);
	return CUT_NONE;
}

/* Answer to our own hello. */
static cut_t dialed_hello(links_t *l, conn_t *c, const Dk__LinkHello *h)
{
	cut_t cut = hello_fits(l, h);

	if (cut != CUT_NONE)
		return cut;
	if (h->from != c->peer->id)
		return CUT_UNKNOWN;
	memcpy(c->peer_nonce, h->nonce.data, NONCE_BYTES);
	if (!mac_ok(l, c, 'A', h->from, &h->mac))
		return CUT_SECRET;
	send_proof(l, c);
	conn_up(l, c);
	return CUT_NONE;
}

static cut_t accept_proof(links_t *l, conn_t *c, const Dk__LinkProof *p)
{
	peer_t *peer = find_peer(l, c->claimed);

	if (!mac_ok(l, c, 'D', c->claimed, &p->mac))
		return CUT_SECRET;
	if (!peer)
		return CUT_UNKNOWN;
	c->peer = peer;
	conn_up(l, c);
	return CUT_NONE;
}

static cut_t take_data(links_t *l, conn_t *c, const Dk__LinkData *d)
{
	host_id_t from;

	if (d->channel != LINK_STATE && d->channel != LINK_SERVE &&
	    d->channel != LINK_DISPATCH)
		return CUT_MALFORMED;
	pthread_mutex_lock(&l->lock);
	c->last_data_us = c->last_in_us;
	from = c->peer ? c->peer->id : 0;
	pthread_mutex_unlock(&l->lock);
	if (from)
		l->ops.recv(l->ctx, from, (link_channel_t)d->channel,
			    d->payload.data, d->payload.len);
	return CUT_NONE;
}

static cut_t take_handshake(links_t *l, conn_t *c, const Dk__LinkFrame *f)
{
	cut_t cut = CUT_MALFORMED;

	pthread_mutex_lock(&l->lock);
	if (c->cut != CUT_NONE)
		cut = c->cut;
	else if (c->state == CONN_HELLO &&
		 f->kind_case == DK__LINK_FRAME__KIND_HELLO)
		cut = c->dialed ? dialed_hello(l, c, f->hello)
				: accept_hello(l, c, f->hello);
	else if (c->state == CONN_PROOF &&
		 f->kind_case == DK__LINK_FRAME__KIND_PROOF)
		cut = accept_proof(l, c, f->proof);
	pthread_mutex_unlock(&l->lock);
	tell_notices(l);
	return cut;
}

static cut_t take_frame(links_t *l, conn_t *c, const uint8_t *p, size_t n)
{
	Dk__LinkFrame *f = dk__link_frame__unpack(NULL, n, p);
	cut_t cut = CUT_MALFORMED;

	if (!f)
		return CUT_MALFORMED;
	/* Only this thread changes the state. */
	if (c->state != CONN_UP)
		cut = take_handshake(l, c, f);
	else if (f->kind_case == DK__LINK_FRAME__KIND_DATA)
		cut = take_data(l, c, f->data);
	else if (f->kind_case == DK__LINK_FRAME__KIND_BEAT)
		cut = CUT_NONE;
	dk__link_frame__free_unpacked(f, NULL);
	return cut;
}

/* Takes whole frames out of what was read. */
static cut_t take_frames(links_t *l, conn_t *c)
{
	size_t at = 0;
	cut_t cut = CUT_NONE;

	while (cut == CUT_NONE && c->in.n - at >= LENGTH_BYTES) {
		uint32_t max = c->state == CONN_UP ? l->cfg.frame_max
						   : HELLO_FRAME_MAX;
		uint32_t n;

		memcpy(&n, c->in.p + at, sizeof(n));
		n = ntohl(n);
		if (n > max)
			cut = CUT_OVERSIZE;
		else if (n == 0)
			cut = CUT_MALFORMED;
		else if (c->in.n - at - LENGTH_BYTES < n)
			break;
		else
			cut = take_frame(l, c,
					 (uint8_t *)c->in.p + at + LENGTH_BYTES,
					 n);
		at += LENGTH_BYTES + n;
	}
	if (cut == CUT_NONE)
		buf_eat(&c->in, at);
	if (!c->in.n && c->in.cap > KEEP_CAP)
		buf_free(&c->in);
	return cut;
}

static void on_readable(links_t *l, conn_t *c)
{
	cut_t cut = CUT_NONE;
	ssize_t n = recv(c->fd, buf_room(&c->in, READ_PIECE), READ_PIECE,
			 MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		cut = CUT_CLOSED;
	} else {
		c->in.n += (size_t)n;
		c->last_in_us = timer_svc_now(l->timers);
		counter_add(CTR_LINK_BYTES_IN, (uint64_t)n);
		cut = take_frames(l, c);
	}
	if (cut == CUT_NONE)
		return;
	pthread_mutex_lock(&l->lock);
	set_cut(l, c, cut);
	pthread_mutex_unlock(&l->lock);
}

static conn_t *conn_new(links_t *l, int fd, bool dialed)
{
	struct epoll_event ev = {.events = EPOLLIN};
	conn_t *c = xcalloc(1, sizeof(*c));
	int one = 1;

	c->fd = fd;
	c->dialed = dialed;
	c->state = dialed ? CONN_DIALING : CONN_HELLO;
	c->started_us = timer_svc_now(l->timers);
	c->last_in_us = c->started_us;
	c->last_out_us = c->started_us;
	randombytes_buf(c->own_nonce, sizeof(c->own_nonce));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	cds_list_add(&c->node, &l->conns);
	ev.data.ptr = c;
	if (dialed) {
		ev.events |= EPOLLOUT;
		c->wants_out = true;
	}
	epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
	return c;
}

static int parse_addr(str_t addr, struct sockaddr_in *out)
{
	char ip[ADDR_TEXT_MAX];
	uint64_t port;
	str_t head;
	str_t tail;

	memset(out, 0, sizeof(*out));
	if (!str_split(addr, ':', &head, &tail) || head.n >= sizeof(ip) ||
	    str_to_u64(tail, &port) < 0 || port > UINT16_MAX)
		return -1;
	memcpy(ip, head.p, head.n);
	ip[head.n] = '\0';
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -1;
}

static void back_off(links_t *l, peer_t *p)
{
	uint32_t shift =
		p->failures < REDIAL_SHIFT_MAX ? p->failures : REDIAL_SHIFT_MAX;
	int64_t wait_us = REDIAL_MIN_US << shift;

	if (wait_us > REDIAL_MAX_US)
		wait_us = REDIAL_MAX_US;
	wait_us = wait_us / 2 + randombytes_uniform((uint32_t)wait_us / 2);
	p->failures++;
	p->dialing = false;
	p->next_dial_us = timer_svc_now(l->timers) + wait_us;
	drop_queue(p);
}

static void dial_failed(links_t *l, peer_t *p)
{
	back_off(l, p);
	p->up = false;
	notice(l, p, false);
}

static void dial(links_t *l, peer_t *p)
{
	struct sockaddr_in addr;
	conn_t *c;
	int fd;

	counter_add(CTR_LINK_DIALS, 1);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0 || parse_addr(buf_str(&p->addr), &addr) < 0 ||
	    (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0 &&
	     errno != EINPROGRESS)) {
		if (fd >= 0)
			close(fd);
		dial_failed(l, p);
		return;
	}
	p->dialing = true;
	c = conn_new(l, fd, true);
	c->peer = p;
}

static void on_connected(links_t *l, conn_t *c)
{
	int error = 0;
	socklen_t n = sizeof(error);

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &n);
	if (error || !c->peer) {
		set_cut(l, c, CUT_REFUSED);
		return;
	}
	c->state = CONN_HELLO;
	send_hello(l, c, c->peer->id, false);
}

static void accept_all(links_t *l)
{
	for (;;) {
		int fd = accept4(l->listen_fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		pthread_mutex_lock(&l->lock);
		conn_new(l, fd, false);
		pthread_mutex_unlock(&l->lock);
	}
}

/* Another connection that is up, where there is one. */
static conn_t *other_conn(links_t *l, const conn_t *c)
{
	conn_t *o;

	cds_list_for_each_entry (o, &l->conns, node)
		if (o != c && o->peer == c->peer && o->state == CONN_UP &&
		    o->cut == CUT_NONE)
			return o;
	return NULL;
}

static void peer_lost_conn(links_t *l, conn_t *c)
{
	peer_t *p = c->peer;

	if (!p)
		return;
	if (c->state != CONN_UP) {
		if (p->dialing)
			back_off(l, p);
		if (!p->conn) {
			p->up = false;
			notice(l, p, false);
		}
		return;
	}
	if (p->conn != c)
		return;
	p->conn = other_conn(l, c);
	if (!p->conn && p->up) {
		p->up = false;
		notice(l, p, false);
	}
}

static void log_cut(const conn_t *c)
{
	host_id_t peer = c->peer ? c->peer->id : c->claimed;
	bool quiet = cuts[c->cut].counter == CTR_COUNT;

	if (!quiet)
		counter_add(cuts[c->cut].counter, 1);
	log_event(quiet ? LOG_DEBUG : LOG_NOTICE, "peer_connection_closed",
		  kv_u("peer", peer), kv_u("dialed", c->dialed),
		  KV_C("reason", cuts[c->cut].text));
}

static void conn_close(links_t *l, conn_t *c)
{
	log_cut(c);
	cds_list_del(&c->node);
	peer_lost_conn(l, c);
	close(c->fd);
	buf_free(&c->in);
	buf_free(&c->out);
	free(c);
}

static void close_cut(links_t *l)
{
	conn_t *c;
	conn_t *next;

	cds_list_for_each_entry_safe (c, next, &l->conns, node)
		if (c->cut != CUT_NONE)
			conn_close(l, c);
}

static void send_beat(links_t *l, conn_t *c)
{
	Dk__LinkBeat beat = DK__LINK_BEAT__INIT;
	Dk__LinkFrame frame = DK__LINK_FRAME__INIT;

	frame.kind_case = DK__LINK_FRAME__KIND_BEAT;
	frame.beat = &beat;
	send_frame(l, c, &frame);
}

static void check_conn(links_t *l, conn_t *c, int64_t now)
{
	if (c->state != CONN_UP) {
		if (now - c->started_us >= l->cfg.silent_us)
			set_cut(l, c,
				c->state == CONN_DIALING ? CUT_REFUSED
							 : CUT_SILENT);
		return;
	}
	if (now - c->last_in_us >= l->cfg.silent_us)
		set_cut(l, c, CUT_SILENT);
	else if (c->out.n && now - c->last_out_us >= 2 * l->cfg.silent_us)
		set_cut(l, c, CUT_SLOW);
	else if (c->dialed && now - c->last_data_us >= IDLE_US)
		set_cut(l, c, CUT_IDLE);
	else if (!c->out.n && now - c->last_out_us >= l->cfg.heartbeat_us)
		send_beat(l, c);
}

static void check_conns(links_t *l, int64_t now)
{
	uint32_t unproven = 0;
	conn_t *c;

	cds_list_for_each_entry (c, &l->conns, node) {
		check_conn(l, c, now);
		if (!c->dialed && c->state != CONN_UP &&
		    ++unproven > UNPROVEN_MAX)
			set_cut(l, c, CUT_CROWDED);
	}
}

static void stop_waiting(peer_t *p)
{
	if (p->waits)
		cds_list_del(&p->node);
	p->waits = false;
}

static void dial_wanted(links_t *l, int64_t now)
{
	peer_t *p;
	peer_t *next;

	cds_list_for_each_entry_safe (p, next, &l->waiting, node) {
		if (!p->queue.n || p->conn)
			stop_waiting(p);
		else if (!p->dialing && now >= p->next_dial_us)
			dial(l, p);
	}
}

static void handle_io(links_t *l, const struct epoll_event *ev)
{
	conn_t *c = ev->data.ptr;
	uint64_t count;
	ssize_t n;
	cut_t cut;

	if (ev->data.ptr == &l->listen_fd) {
		accept_all(l);
		return;
	}
	if (ev->data.ptr == &l->wake_fd) {
		n = read(l->wake_fd, &count, sizeof(count));
		(void)n;
		pthread_mutex_lock(&l->lock);
		l->woken = false;
		pthread_mutex_unlock(&l->lock);
		return;
	}
	pthread_mutex_lock(&l->lock);
	if (c->state == CONN_DIALING)
		on_connected(l, c);
	else if (ev->events & EPOLLOUT)
		flush(l, c);
	cut = c->cut;
	pthread_mutex_unlock(&l->lock);
	if (ev->events & (EPOLLIN | EPOLLERR | EPOLLHUP) && cut == CUT_NONE)
		on_readable(l, c);
}

static void *links_thread(void *arg)
{
	links_t *l = arg;
	struct epoll_event events[EPOLL_BATCH];
	int tick_ms = (int)(l->cfg.heartbeat_us / 4 / USEC_PER_MSEC) + 1;
	int64_t checked_us = 0;
	bool stop = false;

	while (!stop) {
		int n = epoll_wait(l->epoll_fd, events, EPOLL_BATCH, tick_ms);
		int64_t now = timer_svc_now(l->timers);

		for (int i = 0; i < n; i++)
			handle_io(l, &events[i]);
		pthread_mutex_lock(&l->lock);
		if (now - checked_us >= tick_ms * USEC_PER_MSEC) {
			checked_us = now;
			check_conns(l, now);
		}
		close_cut(l);
		dial_wanted(l, now);
		stop = l->stop;
		pthread_mutex_unlock(&l->lock);
		tell_notices(l);
	}
	return NULL;
}

static void peer_free(gpointer p)
{
	peer_t *peer = p;

	buf_free(&peer->addr);
	buf_free(&peer->queue);
	free(peer);
}

links_t *links_new(const link_cfg_t *cfg, const link_ops_t *ops, void *ctx,
		   timer_svc_t *timers)
{
	links_t *l = xcalloc(1, sizeof(*l));

	l->cfg = *cfg;
	l->cfg.cluster = str_copy(cfg->cluster);
	l->cfg.listen = str_copy(cfg->listen);
	l->cfg.secret = str_n(NULL, 0); /* only its hash is kept */
	l->ops = *ops;
	l->ctx = ctx;
	l->timers = timers;
	l->listen_fd = -1;
	l->epoll_fd = -1;
	/* Here, for messages may be queued before the start. */
	l->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	crypto_generichash(l->key, sizeof(l->key),
			   (const unsigned char *)cfg->secret.p, cfg->secret.n,
			   NULL, 0);
	pthread_mutex_init(&l->lock, NULL);
	l->peers = g_hash_table_new_full(NULL, NULL, NULL, peer_free);
	CDS_INIT_LIST_HEAD(&l->conns);
	CDS_INIT_LIST_HEAD(&l->waiting);
	return l;
}

static int open_listener(links_t *l)
{
	struct sockaddr_in addr;
	int one = 1;

	if (parse_addr(l->cfg.listen, &addr) < 0)
		return -1;
	l->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (l->listen_fd < 0)
		return -1;
	setsockopt(l->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(l->listen_fd, (struct sockaddr *)&addr, sizeof(addr)) < 0)
		return -1;
	return listen(l->listen_fd, BACKLOG);
}

static int open_epoll(links_t *l)
{
	struct epoll_event ev = {.events = EPOLLIN};

	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (l->epoll_fd < 0 || l->wake_fd < 0)
		return -1;
	ev.data.ptr = &l->listen_fd;
	if (epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, l->listen_fd, &ev) < 0)
		return -1;
	ev.data.ptr = &l->wake_fd;
	return epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, l->wake_fd, &ev);
}

int links_start(links_t *l)
{
	if (sodium_init() < 0 || open_listener(l) < 0 || open_epoll(l) < 0)
		goto fail;
	errno = pthread_create(&l->thread, NULL, links_thread, l);
	if (errno)
		goto fail;
	l->started = true;
	return 0;
fail:
	log_event(LOG_ERR, "link_listen_failed", kv_s("addr", l->cfg.listen),
		  KV_C("error", strerror(errno)));
	return -1;
}

void links_stop(links_t *l)
{
	if (!l->started)
		return;
	pthread_mutex_lock(&l->lock);
	l->stop = true;
	wake(l);
	pthread_mutex_unlock(&l->lock);
	pthread_join(l->thread, NULL);
	l->started = false;
}

static void close_fd(int fd)
{
	if (fd >= 0)
		close(fd);
}

void links_free(links_t *l)
{
	conn_t *c;
	conn_t *next;

	if (!l)
		return;
	links_stop(l);
	cds_list_for_each_entry_safe (c, next, &l->conns, node) {
		c->cut = CUT_STOPPED;
		conn_close(l, c);
	}
	close_fd(l->listen_fd);
	close_fd(l->epoll_fd);
	close_fd(l->wake_fd);
	g_hash_table_destroy(l->peers);
	free(l->notices);
	str_free(&l->cfg.cluster);
	str_free(&l->cfg.listen);
	sodium_memzero(l->key, sizeof(l->key));
	pthread_mutex_destroy(&l->lock);
	free(l);
}

/* Cuts all connections of a peer, which keeps no reference to it. */
static void forget_conns(links_t *l, peer_t *p)
{
	conn_t *c;

	cds_list_for_each_entry (c, &l->conns, node) {
		if (c->peer != p)
			continue;
		c->peer = NULL;
		c->claimed = p->id;
		set_cut(l, c, CUT_REPLACED);
	}
	p->conn = NULL;
	p->dialing = false;
	if (p->up) {
		p->up = false;
		notice(l, p, false);
	}
}

void links_set_peer(links_t *l, host_id_t id, str_t addr)
{
	peer_t *p;

	if (id == l->cfg.self || !id)
		return;
	pthread_mutex_lock(&l->lock);
	p = find_peer(l, id);
	if (p && !str_eq(buf_str(&p->addr), addr))
		forget_conns(l, p);
	if (!addr.n) {
		if (p)
			stop_waiting(p);
		g_hash_table_remove(l->peers, GUINT_TO_POINTER(id));
		pthread_mutex_unlock(&l->lock);
		return;
	}
	if (!p)
		p = add_peer(l, id);
	if (!str_eq(buf_str(&p->addr), addr)) {
		buf_reset(&p->addr);
		buf_put(&p->addr, addr.p, addr.n);
		p->failures = 0;
		p->next_dial_us = 0;
	}
	pthread_mutex_unlock(&l->lock);
}

static void put_data(buf_t *out, link_channel_t ch, const void *p, size_t n)
{
	Dk__LinkData data = DK__LINK_DATA__INIT;
	Dk__LinkFrame frame = DK__LINK_FRAME__INIT;

	data.channel = ch;
	data.payload.data = (uint8_t *)p;
	data.payload.len = n;
	frame.kind_case = DK__LINK_FRAME__KIND_DATA;
	frame.data = &data;
	put_frame(out, &frame);
}

static bool send_up(links_t *l, conn_t *c, link_channel_t ch, const void *p,
		    size_t n)
{
	if (c->cut != CUT_NONE)
		return false;
	if (c->out.n + n > l->cfg.queue_max) {
		set_cut(l, c, CUT_SLOW);
		return false;
	}
	put_data(&c->out, ch, p, n);
	c->last_data_us = timer_svc_now(l->timers);
	if (!c->wants_out)
		flush(l, c);
	return true;
}

static bool send_queued(links_t *l, peer_t *p, link_channel_t ch,
			const void *data, size_t n)
{
	if (!p->dialing && timer_svc_now(l->timers) < p->next_dial_us)
		return false;
	if (p->queue.n + n > l->cfg.queue_max)
		return false;
	put_data(&p->queue, ch, data, n);
	if (!p->waits) {
		p->waits = true;
		cds_list_add_tail(&p->node, &l->waiting);
		wake(l);
	}
	return true;
}

bool links_send(links_t *l, host_id_t to, link_channel_t ch, const void *p,
		size_t n)
{
	bool sent = false;
	peer_t *peer;

	pthread_mutex_lock(&l->lock);
	/* Room for the fields around the payload. */
	peer = n + HELLO_FRAME_MAX <= l->cfg.frame_max ? reach_peer(l, to)
						       : NULL;
	if (peer && peer->conn)
		sent = send_up(l, peer->conn, ch, p, n);
	else if (peer)
		sent = send_queued(l, peer, ch, p, n);
	pthread_mutex_unlock(&l->lock);
	if (!sent)
		counter_add(CTR_LINK_DROPPED, 1);
	return sent;
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	guint x = GPOINTER_TO_UINT(a);
	guint y = GPOINTER_TO_UINT(b);

	return (x > y) - (x < y);
}

void links_status(links_t *l, buf_t *json)
{
	GList *ids;

	pthread_mutex_lock(&l->lock);
	ids = g_list_sort(g_hash_table_get_keys(l->peers), compare_ids);
	buf_puts(json, "[");
	for (GList *i = ids; i; i = i->next) {
		peer_t *p = g_hash_table_lookup(l->peers, i->data);
		size_t queued = p->conn ? p->conn->out.n : p->queue.n;

		buf_printf(json,
			   "%s{\"peer\":%u,\"addr\":\"%.*s\",\"up\":%s,"
			   "\"queued_bytes\":%zu,\"failures\":%u}",
			   i == ids ? "" : ",", p->id,
			   STR_ARG(buf_str(&p->addr)), p->up ? "true" : "false",
			   queued, p->failures);
	}
	buf_puts(json, "]");
	pthread_mutex_unlock(&l->lock);
	g_list_free(ids);
}
