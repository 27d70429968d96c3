/*
 * link.h - links to peers: length-framed protobuf-c over TCP with hello,
 * shared secret, heartbeat, redial, bounded queues. Carries opaque messages
 * of the cores.
 */
#ifndef DK_LINK_H
#define DK_LINK_H

#include "decided.h"
#include "timer.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum link_channel {
	LINK_STATE = 1,
	LINK_SERVE = 2,
	LINK_DISPATCH = 3,
} link_channel_t;

typedef struct link_cfg {
	host_id_t self;
	str_t cluster;
	str_t secret;
	str_t listen;	    /* "ip:port" */
	uint32_t frame_max; /* bytes */
	uint32_t queue_max; /* bytes waiting for one peer */
	int64_t heartbeat_us;
	int64_t silence_timeout_us; /* without a byte: cut and dial again */
} link_cfg_t;

typedef struct link_ops {
	/* On a link thread; p is valid during the call only. */
	void (*recv)(void *ctx, host_id_t from, link_channel_t ch,
		     const void *p, size_t n);
	void (*link_changed)(void *ctx, host_id_t peer, bool up);
	/*
	 * Address of a host that was never set as a peer; false where it is
	 * none. NULL: only peers that were set are known. Takes no lock.
	 */
	bool (*addr_of)(void *ctx, host_id_t peer, buf_t *addr);
} link_ops_t;

typedef struct links links_t;

links_t *links_new(const link_cfg_t *cfg, const link_ops_t *ops, void *ctx,
		   timer_svc_t *timers);
/* Listens and starts threads; 0, or -1 with a log line. */
int links_start(links_t *l);
/* Ends the threads: no callback follows. Sends are still allowed, and lost. */
void links_stop(links_t *l);
void links_free(links_t *l);
/* Adds a peer, or changes its address; "" removes it. */
void links_set_peer(links_t *l, host_id_t id, str_t addr);
/* Queues one message; dials if needed. False: dropped, queue full or no peer. */
bool links_send(links_t *l, host_id_t to, link_channel_t ch, const void *p,
		size_t n);
void links_status(links_t *l, buf_t *json);

#ifdef __cplusplus
}
#endif
#endif
