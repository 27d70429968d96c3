/*
 * link.c - links to peers on one epoll thread.
 *
 * Both ends prove that they know the shared secret without sending it: the
 * dialer sends a hello with its nonce, the acceptor a hello with its own nonce
 * and a keyed hash of both nonces and host ids, and the dialer a proof, which
 * is its keyed hash of the same. Connections are dialed when there is something
 * to send, so that only hosts that talk hold one. Only the epoll thread reads,
 * opens and closes connections; links_send() appends to the output buffer and
 * writes what the socket takes.
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
#define FRAME_HEADER_BYTES 4u
#define HANDSHAKE_FRAME_MAX 1024u /* longest frame before the handshake ends */
#define HANDSHAKES_MAX 256u	  /* accepted connections in the handshake */
#define READ_BYTES 65536u
#define KEEP_BYTES 262144u /* empty buffers of a larger capacity are freed */
#define EPOLL_BATCH 64
#define LISTEN_BACKLOG 512
#define REDIAL_MIN_US (50 * USEC_PER_MSEC)
#define REDIAL_MAX_US (1 * USEC_PER_SEC)
#define REDIAL_SHIFT_MAX 6u /* most doublings of the delay before a redial */
/*
 * A connect() without an answer for so long is begun anew: the kernel repeats a
 * lost SYN only after a second, and the first one may have met a host that was
 * just starting. Each failure doubles the time, for peers that are far away.
 */
#define CONNECT_TIMEOUT_MIN_US (150 * USEC_PER_MSEC)
/* The dialer closes a connection without data in either direction for so long. */
#define IDLE_TIMEOUT_US (120 * USEC_PER_SEC)
#define ADDR_TEXT_MAX 64

#define NONCE_BYTES 32u
#define MAC_BYTES crypto_generichash_BYTES

typedef enum conn_state {
	CONN_DIALING,	  /* connect() in progress */
	CONN_AWAIT_HELLO, /* waits for the hello of the other end */
	CONN_AWAIT_PROOF, /* accepted; waits for the proof of the dialer */
	CONN_UP,	  /* both ends have proven the secret */
} conn_state_t;

/*
 * X(NAME, counter, "text") - why a connection is closed. The counter counts
 * the closes for that reason; CTR_COUNT: none, and the log line is at debug
 * level.
 */
#define CLOSE_REASONS(X)                                                 \
	X(PEER_CLOSED, CTR_COUNT, "the peer closed the connection")      \
	X(CONNECT_FAILED, CTR_COUNT, "the peer could not be reached")    \
	X(CONNECT_TIMEOUT, CTR_COUNT, "no answer to the connection yet") \
	X(REPLACED, CTR_COUNT, "a newer connection replaces it")         \
	X(IDLE, CTR_COUNT, "nothing to send for a long time")            \
	X(STOPPED, CTR_COUNT, "this daemon stops")                       \
	X(TOO_MANY_HANDSHAKES, CTR_COUNT,                                \
	  "too many unauthenticated connections")                        \
	X(WRONG_SECRET, CTR_LINK_CUT_SECRET, "wrong secret")             \
	X(OTHER_CLUSTER, CTR_LINK_CUT_CLUSTER, "other cluster id")       \
	X(UNKNOWN_HOST, CTR_LINK_CUT_UNKNOWN, "not a known host")        \
	X(OTHER_VERSION, CTR_LINK_CUT_VERSION, "other protocol version") \
	X(OVERSIZE, CTR_LINK_CUT_OVERSIZE, "frame too large")            \
	X(MALFORMED, CTR_LINK_CUT_MALFORMED, "malformed frame")          \
	X(SLOW_READER, CTR_LINK_CUT_SLOW, "the peer reads too slowly")   \
	X(SILENT, CTR_LINK_CUT_SILENT, "nothing received in time")

typedef enum close_reason {
	CLOSE_NONE,
#define X(name, counter, text) CLOSE_##name,
	CLOSE_REASONS(X)
#undef X
} close_reason_t;

static const struct {
	counter_t counter;
	const char *text;
} close_reasons[] = {{CTR_COUNT, ""},
#define X(name, counter, text) {counter, text},
		     CLOSE_REASONS(X)
#undef X
};

typedef struct peer peer_t;

/*
 * One connection. Fields marked (s) are shared between threads and guarded by
 * the lock of links_t; the others belong to the epoll thread.
 */
typedef struct conn {
	struct cds_list_head node;
	int fd;
	conn_state_t state; /* (s) */
	bool dialed;
	peer_t *peer; /* (s) NULL on an accepted connection until it is up */
	host_id_t claimed_id; /* sender of the accepted hello, not proven yet */
	unsigned char own_nonce[NONCE_BYTES];
	unsigned char peer_nonce[NONCE_BYTES];
	buf_t in;
	buf_t out;	  /* (s) bytes not yet taken by the socket */
	bool epollout_on; /* (s) registered for EPOLLOUT */
	/* (s) set once; the thread then closes the connection */
	close_reason_t close_reason;
	int64_t started_us;
	int64_t last_in_us;
	int64_t last_out_us;  /* (s) when the socket last took bytes */
	int64_t last_data_us; /* (s) last data frame sent or received */
} conn_t;

struct peer {
	struct cds_list_head node; /* in dial_queue of links_t */
	bool in_dial_queue;
	host_id_t id;
	buf_t addr;
	buf_t queue;  /* data frames that wait for a connection */
	conn_t *conn; /* messages are sent on this one; NULL: none is up */
	bool dialing;
	bool up;	   /* as last reported by link_changed() */
	uint32_t failures; /* failed dials in a row */
	int64_t next_dial_us;
};

/* A link that went up or down, to be reported once the lock is released. */
typedef struct link_change {
	host_id_t peer;
	bool up;
} link_change_t;

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
	bool wake_pending; /* wake_fd is written and not read yet */
	GHashTable *peers; /* host id -> peer_t */
	struct cds_list_head conns;
	struct cds_list_head dial_queue; /* peers with queued frames */
	link_change_t *link_changes;
	size_t n_link_changes;
	size_t cap_link_changes;
};

static void wake(links_t *l)
{
	uint64_t one = 1;
	ssize_t n;

	if (l->wake_pending)
		return;
	l->wake_pending = true;
	n = write(l->wake_fd, &one, sizeof(one));
	(void)n;
}

static void record_link_change(links_t *l, peer_t *p, bool up)
{
	if (l->n_link_changes == l->cap_link_changes) {
		l->cap_link_changes =
			l->cap_link_changes ? l->cap_link_changes * 2 : 8;
		l->link_changes = xrealloc(l->link_changes,
					   l->cap_link_changes *
						   sizeof(*l->link_changes));
	}
	l->link_changes[l->n_link_changes].peer = p->id;
	l->link_changes[l->n_link_changes++].up = up;
}

/* Calls link_changed() for each recorded change; the lock must not be held. */
static void report_link_changes(links_t *l)
{
	for (;;) {
		link_change_t *link_changes;
		size_t n;

		pthread_mutex_lock(&l->lock);
		link_changes = l->link_changes;
		n = l->n_link_changes;
		l->link_changes = NULL;
		l->n_link_changes = 0;
		l->cap_link_changes = 0;
		pthread_mutex_unlock(&l->lock);
		for (size_t i = 0; i < n; i++)
			l->ops.link_changed(l->ctx, link_changes[i].peer,
					    link_changes[i].up);
		free(link_changes);
		if (!n)
			return;
	}
}

static void append_frame(buf_t *out, const Dk__LinkFrame *frame)
{
	size_t n = dk__link_frame__get_packed_size(frame);
	uint32_t length = htonl((uint32_t)n);
	char *at;

	buf_put(out, &length, sizeof(length));
	at = buf_reserve(out, n);
	dk__link_frame__pack(frame, (uint8_t *)at);
	out->n += n;
}

static void set_epollout(links_t *l, conn_t *c, bool on)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = c};

	if (c->epollout_on == on)
		return;
	c->epollout_on = on;
	if (on)
		ev.events |= EPOLLOUT;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, c->fd, &ev);
}

static void mark_for_close(links_t *l, conn_t *c, close_reason_t close_reason)
{
	if (c->close_reason == CLOSE_NONE)
		c->close_reason = close_reason;
	wake(l);
}

/* Writes what the socket takes; the caller holds the lock. */
static void flush(links_t *l, conn_t *c)
{
	size_t done = 0;

	if (c->state == CONN_DIALING || c->close_reason != CLOSE_NONE)
		return;
	while (done < c->out.n) {
		ssize_t n = send(c->fd, c->out.p + done, c->out.n - done,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN)
			mark_for_close(l, c, CLOSE_PEER_CLOSED);
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	if (done) {
		counter_add(CTR_LINK_BYTES_OUT, done);
		c->last_out_us = timer_svc_now(l->timers);
	}
	buf_consume(&c->out, done);
	if (!c->out.n && c->out.cap > KEEP_BYTES)
		buf_free(&c->out);
	set_epollout(l, c, c->out.n > 0);
}

static void send_frame(links_t *l, conn_t *c, const Dk__LinkFrame *frame)
{
	append_frame(&c->out, frame);
	flush(l, c);
}

static void hash_with_length(crypto_generichash_state *st, const void *p,
			     size_t n)
{
	uint32_t length = htonl((uint32_t)n);

	crypto_generichash_update(st, (const unsigned char *)&length,
				  sizeof(length));
	crypto_generichash_update(st, p, n);
}

/*
 * Keyed hash by which one end proves the secret; role is 'A' for the end that
 * accepted the connection, 'D' for the one that dialed it.
 */
static void compute_mac(const links_t *l, const conn_t *c, char role,
			host_id_t peer, unsigned char mac[MAC_BYTES])
{
	const unsigned char *dialer = c->dialed ? c->own_nonce : c->peer_nonce;
	const unsigned char *acceptor =
		c->dialed ? c->peer_nonce : c->own_nonce;
	uint32_t ids[2] = {htonl(c->dialed ? l->cfg.self : peer),
			   htonl(c->dialed ? peer : l->cfg.self)};
	crypto_generichash_state st;

	crypto_generichash_init(&st, l->key, sizeof(l->key), MAC_BYTES);
	hash_with_length(&st, &role, 1);
	hash_with_length(&st, l->cfg.cluster.p, l->cfg.cluster.n);
	hash_with_length(&st, ids, sizeof(ids));
	hash_with_length(&st, dialer, NONCE_BYTES);
	hash_with_length(&st, acceptor, NONCE_BYTES);
	crypto_generichash_final(&st, mac, MAC_BYTES);
}

static bool mac_matches(const links_t *l, const conn_t *c, char role,
			host_id_t peer, const ProtobufCBinaryData *mac)
{
	unsigned char expected[MAC_BYTES];

	compute_mac(l, c, role, peer, expected);
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
		compute_mac(l, c, 'A', to, mac);
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

	compute_mac(l, c, 'D', c->peer->id, mac);
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

/* As find_peer(), but adds a host that has an address by link_ops.addr_of. */
static peer_t *find_or_add_peer(links_t *l, host_id_t id)
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

/* Ends the handshake: messages to the peer of c are sent on c from now on. */
static void set_conn_up(links_t *l, conn_t *c)
{
	peer_t *p = c->peer;
	conn_t *o;

	c->state = CONN_UP;
	c->last_data_us = timer_svc_now(l->timers);
	/* A second connection dialed by the same end shows the first is dead. */
	cds_list_for_each_entry (o, &l->conns, node)
		if (o != c && o->peer == p && o->state == CONN_UP &&
		    o->dialed == c->dialed)
			mark_for_close(l, o, CLOSE_REPLACED);
	p->conn = c;
	p->dialing = false;
	p->failures = 0;
	buf_put(&c->out, p->queue.p, p->queue.n);
	drop_queue(p);
	flush(l, c);
	if (!p->up) {
		p->up = true;
		record_link_change(l, p, true);
	}
}

static close_reason_t check_hello(const links_t *l, const Dk__LinkHello *h)
{
	if (h->version != LINK_VERSION)
		return CLOSE_OTHER_VERSION;
	if (!str_eq(str_c(h->cluster), l->cfg.cluster))
		return CLOSE_OTHER_CLUSTER;
	if (h->to != l->cfg.self || h->from == l->cfg.self)
		return CLOSE_UNKNOWN_HOST;
	if (h->nonce.len != NONCE_BYTES)
		return CLOSE_MALFORMED;
	return CLOSE_NONE;
}

/* Handles the first frame of an accepted connection. */
static close_reason_t handle_accepted_hello(links_t *l, conn_t *c,
					    const Dk__LinkHello *h)
{
	close_reason_t close_reason = check_hello(l, h);

	if (close_reason != CLOSE_NONE)
		return close_reason;
	if (!find_or_add_peer(l, h->from))
		return CLOSE_UNKNOWN_HOST;
	memcpy(c->peer_nonce, h->nonce.data, NONCE_BYTES);
	c->claimed_id = h->from;
	c->state = CONN_AWAIT_PROOF;
	send_hello(l, c, h->from, true);
	return CLOSE_NONE;
}

/* Handles the acceptor's reply to the hello sent by this host. */
static close_reason_t handle_dialed_hello(links_t *l, conn_t *c,
					  const Dk__LinkHello *h)
{
	close_reason_t close_reason = check_hello(l, h);

	if (close_reason != CLOSE_NONE)
		return close_reason;
	if (h->from != c->peer->id)
		return CLOSE_UNKNOWN_HOST;
	memcpy(c->peer_nonce, h->nonce.data, NONCE_BYTES);
	if (!mac_matches(l, c, 'A', h->from, &h->mac))
		return CLOSE_WRONG_SECRET;
	send_proof(l, c);
	set_conn_up(l, c);
	return CLOSE_NONE;
}

static close_reason_t handle_proof(links_t *l, conn_t *c,
				   const Dk__LinkProof *p)
{
	peer_t *peer = find_peer(l, c->claimed_id);

	if (!mac_matches(l, c, 'D', c->claimed_id, &p->mac))
		return CLOSE_WRONG_SECRET;
	if (!peer)
		return CLOSE_UNKNOWN_HOST;
	c->peer = peer;
	set_conn_up(l, c);
	return CLOSE_NONE;
}

static close_reason_t handle_data(links_t *l, conn_t *c, const Dk__LinkData *d)
{
	host_id_t from;

	if (d->channel != LINK_STATE && d->channel != LINK_SERVE &&
	    d->channel != LINK_DISPATCH)
		return CLOSE_MALFORMED;
	pthread_mutex_lock(&l->lock);
	c->last_data_us = c->last_in_us;
	from = c->peer ? c->peer->id : 0;
	pthread_mutex_unlock(&l->lock);
	if (from)
		l->ops.recv(l->ctx, from, (link_channel_t)d->channel,
			    d->payload.data, d->payload.len);
	return CLOSE_NONE;
}

static close_reason_t handle_handshake_frame(links_t *l, conn_t *c,
					     const Dk__LinkFrame *f)
{
	close_reason_t close_reason = CLOSE_MALFORMED;

	pthread_mutex_lock(&l->lock);
	if (c->close_reason != CLOSE_NONE)
		close_reason = c->close_reason;
	else if (c->state == CONN_AWAIT_HELLO &&
		 f->kind_case == DK__LINK_FRAME__KIND_HELLO)
		close_reason = c->dialed
				       ? handle_dialed_hello(l, c, f->hello)
				       : handle_accepted_hello(l, c, f->hello);
	else if (c->state == CONN_AWAIT_PROOF &&
		 f->kind_case == DK__LINK_FRAME__KIND_PROOF)
		close_reason = handle_proof(l, c, f->proof);
	pthread_mutex_unlock(&l->lock);
	report_link_changes(l);
	return close_reason;
}

static close_reason_t handle_frame(links_t *l, conn_t *c, const uint8_t *p,
				   size_t n)
{
	Dk__LinkFrame *f = dk__link_frame__unpack(NULL, n, p);
	close_reason_t close_reason = CLOSE_MALFORMED;

	if (!f)
		return CLOSE_MALFORMED;
	/* The state is read without the lock: only this thread changes it. */
	if (c->state != CONN_UP)
		close_reason = handle_handshake_frame(l, c, f);
	else if (f->kind_case == DK__LINK_FRAME__KIND_DATA)
		close_reason = handle_data(l, c, f->data);
	else if (f->kind_case == DK__LINK_FRAME__KIND_BEAT)
		close_reason = CLOSE_NONE;
	dk__link_frame__free_unpacked(f, NULL);
	return close_reason;
}

/* Handles the complete frames in the input buffer and removes them. */
static close_reason_t handle_frames(links_t *l, conn_t *c)
{
	size_t at = 0;
	close_reason_t close_reason = CLOSE_NONE;

	while (close_reason == CLOSE_NONE &&
	       c->in.n - at >= FRAME_HEADER_BYTES) {
		uint32_t max = c->state == CONN_UP ? l->cfg.frame_max
						   : HANDSHAKE_FRAME_MAX;
		uint32_t n;

		memcpy(&n, c->in.p + at, sizeof(n));
		n = ntohl(n);
		if (n > max)
			close_reason = CLOSE_OVERSIZE;
		else if (n == 0)
			close_reason = CLOSE_MALFORMED;
		else if (c->in.n - at - FRAME_HEADER_BYTES < n)
			break;
		else
			close_reason = handle_frame(l, c,
						    (uint8_t *)c->in.p + at +
							    FRAME_HEADER_BYTES,
						    n);
		at += FRAME_HEADER_BYTES + n;
	}
	if (close_reason == CLOSE_NONE)
		buf_consume(&c->in, at);
	if (!c->in.n && c->in.cap > KEEP_BYTES)
		buf_free(&c->in);
	return close_reason;
}

static void on_readable(links_t *l, conn_t *c)
{
	close_reason_t close_reason = CLOSE_NONE;
	ssize_t n = recv(c->fd, buf_reserve(&c->in, READ_BYTES), READ_BYTES,
			 MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_reason = CLOSE_PEER_CLOSED;
	} else {
		c->in.n += (size_t)n;
		c->last_in_us = timer_svc_now(l->timers);
		counter_add(CTR_LINK_BYTES_IN, (uint64_t)n);
		close_reason = handle_frames(l, c);
	}
	if (close_reason == CLOSE_NONE)
		return;
	pthread_mutex_lock(&l->lock);
	mark_for_close(l, c, close_reason);
	pthread_mutex_unlock(&l->lock);
}

static conn_t *conn_new(links_t *l, int fd, bool dialed)
{
	struct epoll_event ev = {.events = EPOLLIN};
	conn_t *c = xcalloc(1, sizeof(*c));
	int one = 1;

	c->fd = fd;
	c->dialed = dialed;
	c->state = dialed ? CONN_DIALING : CONN_AWAIT_HELLO;
	c->started_us = timer_svc_now(l->timers);
	c->last_in_us = c->started_us;
	c->last_out_us = c->started_us;
	randombytes_buf(c->own_nonce, sizeof(c->own_nonce));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	cds_list_add(&c->node, &l->conns);
	ev.data.ptr = c;
	if (dialed) {
		ev.events |= EPOLLOUT;
		c->epollout_on = true;
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

/* A time that doubles with each failed dial in a row, up to max_us. */
static int64_t backoff_us(const peer_t *p, int64_t min_us, int64_t max_us)
{
	uint32_t shift =
		p->failures < REDIAL_SHIFT_MAX ? p->failures : REDIAL_SHIFT_MAX;
	int64_t us = min_us << shift;

	return us < max_us ? us : max_us;
}

static void schedule_redial(links_t *l, peer_t *p)
{
	int64_t wait_us = backoff_us(p, REDIAL_MIN_US, REDIAL_MAX_US);

	wait_us = wait_us / 2 + randombytes_uniform((uint32_t)wait_us / 2);
	p->failures++;
	p->dialing = false;
	p->next_dial_us = timer_svc_now(l->timers) + wait_us;
	drop_queue(p);
}

static void dial_failed(links_t *l, peer_t *p)
{
	schedule_redial(l, p);
	p->up = false;
	record_link_change(l, p, false);
}

/* How long a connect() to the peer may go unanswered. */
static int64_t connect_timeout_us(const links_t *l, const peer_t *p)
{
	return backoff_us(p, CONNECT_TIMEOUT_MIN_US, l->cfg.silence_timeout_us);
}

/* Begins a connection anew and keeps the frames that wait for it. */
static void redial_at_once(peer_t *p)
{
	p->failures++;
	p->dialing = false;
	p->next_dial_us = 0;
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
		mark_for_close(l, c, CLOSE_CONNECT_FAILED);
		return;
	}
	c->state = CONN_AWAIT_HELLO;
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

/* Another connection to the same peer that is up, or NULL. */
static conn_t *find_other_conn(links_t *l, const conn_t *c)
{
	conn_t *o;

	cds_list_for_each_entry (o, &l->conns, node)
		if (o != c && o->peer == c->peer && o->state == CONN_UP &&
		    o->close_reason == CLOSE_NONE)
			return o;
	return NULL;
}

static void peer_lost_conn(links_t *l, conn_t *c)
{
	peer_t *p = c->peer;

	if (!p)
		return;
	if (c->close_reason == CLOSE_CONNECT_TIMEOUT) {
		redial_at_once(p);
		return;
	}
	if (c->state != CONN_UP) {
		if (p->dialing)
			schedule_redial(l, p);
		if (!p->conn) {
			p->up = false;
			record_link_change(l, p, false);
		}
		return;
	}
	if (p->conn != c)
		return;
	p->conn = find_other_conn(l, c);
	if (!p->conn && p->up) {
		p->up = false;
		record_link_change(l, p, false);
	}
}

static void log_close(const conn_t *c)
{
	host_id_t peer = c->peer ? c->peer->id : c->claimed_id;
	bool quiet = close_reasons[c->close_reason].counter == CTR_COUNT;

	if (!quiet)
		counter_add(close_reasons[c->close_reason].counter, 1);
	log_event(quiet ? LOG_DEBUG : LOG_NOTICE, "peer_connection_closed",
		  kv_u("peer", peer), kv_u("dialed", c->dialed),
		  KV_C("reason", close_reasons[c->close_reason].text));
}

static void conn_close(links_t *l, conn_t *c)
{
	log_close(c);
	cds_list_del(&c->node);
	peer_lost_conn(l, c);
	close(c->fd);
	buf_free(&c->in);
	buf_free(&c->out);
	free(c);
}

static void close_marked_conns(links_t *l)
{
	conn_t *c;
	conn_t *next;

	cds_list_for_each_entry_safe (c, next, &l->conns, node)
		if (c->close_reason != CLOSE_NONE)
			conn_close(l, c);
}

static void send_heartbeat(links_t *l, conn_t *c)
{
	Dk__LinkBeat beat = DK__LINK_BEAT__INIT;
	Dk__LinkFrame frame = DK__LINK_FRAME__INIT;

	frame.kind_case = DK__LINK_FRAME__KIND_BEAT;
	frame.beat = &beat;
	send_frame(l, c, &frame);
}

static void check_handshake(links_t *l, conn_t *c, int64_t now)
{
	bool dialing = c->state == CONN_DIALING;
	int64_t age_us = now - c->started_us;

	if (age_us >= l->cfg.silence_timeout_us)
		mark_for_close(l, c,
			       dialing ? CLOSE_CONNECT_FAILED : CLOSE_SILENT);
	else if (dialing && c->peer && age_us >= connect_timeout_us(l, c->peer))
		mark_for_close(l, c, CLOSE_CONNECT_TIMEOUT);
}

static void check_conn(links_t *l, conn_t *c, int64_t now)
{
	if (c->state != CONN_UP) {
		check_handshake(l, c, now);
		return;
	}
	if (now - c->last_in_us >= l->cfg.silence_timeout_us)
		mark_for_close(l, c, CLOSE_SILENT);
	else if (c->out.n &&
		 now - c->last_out_us >= 2 * l->cfg.silence_timeout_us)
		mark_for_close(l, c, CLOSE_SLOW_READER);
	else if (c->dialed && now - c->last_data_us >= IDLE_TIMEOUT_US)
		mark_for_close(l, c, CLOSE_IDLE);
	else if (!c->out.n && now - c->last_out_us >= l->cfg.heartbeat_us)
		send_heartbeat(l, c);
}

static void check_conns(links_t *l, int64_t now)
{
	uint32_t n_handshakes = 0;
	conn_t *c;

	cds_list_for_each_entry (c, &l->conns, node) {
		check_conn(l, c, now);
		if (!c->dialed && c->state != CONN_UP &&
		    ++n_handshakes > HANDSHAKES_MAX)
			mark_for_close(l, c, CLOSE_TOO_MANY_HANDSHAKES);
	}
}

static void leave_dial_queue(peer_t *p)
{
	if (p->in_dial_queue)
		cds_list_del(&p->node);
	p->in_dial_queue = false;
}

static void dial_queued_peers(links_t *l, int64_t now)
{
	peer_t *p;
	peer_t *next;

	cds_list_for_each_entry_safe (p, next, &l->dial_queue, node) {
		if (!p->queue.n || p->conn)
			leave_dial_queue(p);
		else if (!p->dialing && now >= p->next_dial_us)
			dial(l, p);
	}
}

static void handle_io(links_t *l, const struct epoll_event *ev)
{
	conn_t *c = ev->data.ptr;
	uint64_t count;
	ssize_t n;
	close_reason_t close_reason;

	if (ev->data.ptr == &l->listen_fd) {
		accept_all(l);
		return;
	}
	if (ev->data.ptr == &l->wake_fd) {
		n = read(l->wake_fd, &count, sizeof(count));
		(void)n;
		pthread_mutex_lock(&l->lock);
		l->wake_pending = false;
		pthread_mutex_unlock(&l->lock);
		return;
	}
	pthread_mutex_lock(&l->lock);
	if (c->state == CONN_DIALING)
		on_connected(l, c);
	else if (ev->events & EPOLLOUT)
		flush(l, c);
	close_reason = c->close_reason;
	pthread_mutex_unlock(&l->lock);
	if (ev->events & (EPOLLIN | EPOLLERR | EPOLLHUP) &&
	    close_reason == CLOSE_NONE)
		on_readable(l, c);
}

static void *links_thread(void *arg)
{
	links_t *l = arg;
	struct epoll_event events[EPOLL_BATCH];
	int tick_ms = (int)(l->cfg.heartbeat_us / 4 / USEC_PER_MSEC) + 1;
	int64_t last_check_us = 0;
	bool stop = false;

	while (!stop) {
		int n = epoll_wait(l->epoll_fd, events, EPOLL_BATCH, tick_ms);
		int64_t now = timer_svc_now(l->timers);

		for (int i = 0; i < n; i++)
			handle_io(l, &events[i]);
		pthread_mutex_lock(&l->lock);
		if (now - last_check_us >= tick_ms * USEC_PER_MSEC) {
			last_check_us = now;
			check_conns(l, now);
		}
		close_marked_conns(l);
		dial_queued_peers(l, now);
		stop = l->stop;
		pthread_mutex_unlock(&l->lock);
		report_link_changes(l);
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
	/* Created here, as messages may be queued before links_start(). */
	l->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	crypto_generichash(l->key, sizeof(l->key),
			   (const unsigned char *)cfg->secret.p, cfg->secret.n,
			   NULL, 0);
	pthread_mutex_init(&l->lock, NULL);
	l->peers = g_hash_table_new_full(NULL, NULL, NULL, peer_free);
	CDS_INIT_LIST_HEAD(&l->conns);
	CDS_INIT_LIST_HEAD(&l->dial_queue);
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
	return listen(l->listen_fd, LISTEN_BACKLOG);
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

static void close_if_open(int fd)
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
		c->close_reason = CLOSE_STOPPED;
		conn_close(l, c);
	}
	close_if_open(l->listen_fd);
	close_if_open(l->epoll_fd);
	close_if_open(l->wake_fd);
	g_hash_table_destroy(l->peers);
	free(l->link_changes);
	str_free(&l->cfg.cluster);
	str_free(&l->cfg.listen);
	sodium_memzero(l->key, sizeof(l->key));
	pthread_mutex_destroy(&l->lock);
	free(l);
}

/* Closes all connections of a peer and removes their references to it. */
static void detach_conns(links_t *l, peer_t *p)
{
	conn_t *c;

	cds_list_for_each_entry (c, &l->conns, node) {
		if (c->peer != p)
			continue;
		c->peer = NULL;
		c->claimed_id = p->id;
		mark_for_close(l, c, CLOSE_REPLACED);
	}
	p->conn = NULL;
	p->dialing = false;
	if (p->up) {
		p->up = false;
		record_link_change(l, p, false);
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
		detach_conns(l, p);
	if (!addr.n) {
		if (p)
			leave_dial_queue(p);
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

static void append_data_frame(buf_t *out, link_channel_t ch, const void *p,
			      size_t n)
{
	Dk__LinkData data = DK__LINK_DATA__INIT;
	Dk__LinkFrame frame = DK__LINK_FRAME__INIT;

	data.channel = ch;
	data.payload.data = (uint8_t *)p;
	data.payload.len = n;
	frame.kind_case = DK__LINK_FRAME__KIND_DATA;
	frame.data = &data;
	append_frame(out, &frame);
}

static bool send_on_conn(links_t *l, conn_t *c, link_channel_t ch,
			 const void *p, size_t n)
{
	if (c->close_reason != CLOSE_NONE)
		return false;
	if (c->out.n + n > l->cfg.queue_max) {
		mark_for_close(l, c, CLOSE_SLOW_READER);
		return false;
	}
	append_data_frame(&c->out, ch, p, n);
	c->last_data_us = timer_svc_now(l->timers);
	if (!c->epollout_on)
		flush(l, c);
	return true;
}

static bool queue_until_up(links_t *l, peer_t *p, link_channel_t ch,
			   const void *data, size_t n)
{
	if (!p->dialing && timer_svc_now(l->timers) < p->next_dial_us)
		return false;
	if (p->queue.n + n > l->cfg.queue_max)
		return false;
	append_data_frame(&p->queue, ch, data, n);
	if (!p->in_dial_queue) {
		p->in_dial_queue = true;
		cds_list_add_tail(&p->node, &l->dial_queue);
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
	/* HANDSHAKE_FRAME_MAX is ample for the frame's fields but the payload. */
	peer = n + HANDSHAKE_FRAME_MAX <= l->cfg.frame_max
		       ? find_or_add_peer(l, to)
		       : NULL;
	if (peer && peer->conn)
		sent = send_on_conn(l, peer->conn, ch, p, n);
	else if (peer)
		sent = queue_until_up(l, peer, ch, p, n);
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
