/*
 * link.h - links to the other hosts of the cluster. A link carries opaque
 * messages in length-prefixed protobuf frames over TCP. Both ends prove a
 * shared secret, send heartbeats, redial lost connections and bound the bytes
 * queued for a peer.
 */
#ifndef DK_LINK_H
#define DK_LINK_H

#include "decided.h"
#include "timer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Which part of the program a message is for; sent with each message. */
typedef enum link_channel {
	LINK_STATE = 1,
	LINK_SERVE = 2,
	LINK_DISPATCH = 3,
} link_channel_t;

typedef struct link_cfg {
	host_id_t self;
	str_t cluster;
	str_t secret;
	str_t listen;	      /* "ip:port" */
	uint32_t frame_max;   /* bytes of a frame without its length prefix */
	uint32_t queue_max;   /* unsent bytes for one peer */
	int64_t heartbeat_us; /* a heartbeat is sent when idle for so long */
	/*
	 * A connection is closed after so long without a received byte. With
	 * bytes to send that the peer does not take, it is closed after twice
	 * as long.
	 */
	int64_t silence_timeout_us;
} link_cfg_t;

typedef struct link_ops {
	/* Called on the link thread; p is valid during the call only. */
	void (*recv)(void *ctx, host_id_t from, link_channel_t ch,
		     const void *p, size_t n);
	/*
	 * Called on the link thread: the link to a peer went up or down, or an
	 * attempt to connect failed (up is false then, also when it was down).
	 */
	void (*link_changed)(void *ctx, host_id_t peer, bool up);
	/*
	 * Appends the address of a host that was not set by links_set_peer();
	 * false where the id names no host. NULL: only hosts that were set are
	 * peers. Called with the lock of the links held: it must take no lock.
	 */
	bool (*addr_of)(void *ctx, host_id_t peer, buf_t *addr);
} link_ops_t;

typedef struct links links_t;

links_t *links_new(const link_cfg_t *cfg, const link_ops_t *ops, void *ctx,
		   timer_svc_t *timers);
/* Listens and starts the thread; 0, or -1 after logging the error. */
int links_start(links_t *l);
/* Ends the thread: no callback follows. Messages sent later are lost. */
void links_stop(links_t *l);
void links_free(links_t *l);
/* Adds a peer, or changes its address; an empty address removes the peer. */
void links_set_peer(links_t *l, host_id_t id, str_t addr);
/*
 * Queues one message, and dials the peer if no connection is up. False: the
 * message is dropped, as the peer is unknown, its queue is full, the message
 * does not fit a frame, or the delay after a failed connection has not passed.
 */
bool links_send(links_t *l, host_id_t to, link_channel_t ch, const void *p,
		size_t n);
/* Appends a JSON array with the address and state of each peer. */
void links_status(links_t *l, buf_t *json);

#ifdef __cplusplus
}
#endif
#endif
