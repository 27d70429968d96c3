/*
 * gateway.h - HTTP proxy between callers and targets. For each request it
 * selects a route, asks the dispatcher for a place at a target, sends the
 * request there and relays the response without changing its body. It retries
 * where that is safe, and cancels what no caller waits for any more. All
 * functions are called on the loop's thread.
 */
#ifndef DK_GATEWAY_H
#define DK_GATEWAY_H

#include "dispatch.h"
#include "http1.h"
#include "manifest.h"
#include "reason.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct gateway gateway_t;

typedef struct gateway_ops {
	/* Sends to the dispatcher; the message is lost where there is none. */
	void (*send)(void *ctx, const Dispatch__Msg *msg);
	/*
	 * Sends to the daemons that keep copies for this one, if there are any:
	 * hosts with a disk, if the message is for their journals.
	 */
	void (*send_backup)(void *ctx, const Dispatch__Msg *msg);
	/* The dispatcher did not reply in time. */
	void (*dispatcher_unresponsive)(void *ctx);
	/* Why new requests are refused; REASON_NONE: they are accepted. */
	reason_t (*refusal_reason)(void *ctx);
	/*
	 * Whether this host has just started and will soon know the decided
	 * state: until then new connections are accepted but not read.
	 */
	bool (*is_starting)(void *ctx);
	/*
	 * Whether this daemon shuts down: responses then tell callers to close
	 * their connections.
	 */
	bool (*is_draining)(void *ctx);
	/* Any other live host; 0: there is none. */
	host_id_t (*pick_peer)(void *ctx);
	/* Called again and again while this host reaches no target itself. */
	void (*no_path)(void *ctx);
	/*
	 * How soon new streams of the service are to be sent to hosts that keep
	 * them on disk, in microseconds; 0: they are not kept. May be NULL.
	 */
	int64_t (*journal_delay_us)(void *ctx, str_t service);
} gateway_ops_t;

typedef struct gateway_cfg {
	str_t zone; /* failure domain of this host */
	struct in_addr
		ip;    /* of this host; connections to targets come from it */
	uint64_t seed; /* of ids and choices */
	uint16_t tunnel_port; /* where all hosts take tunnels; 0: they don't */
	str_t secret; /* that opens tunnels; has to outlive the gateway */
} gateway_cfg_t;

gateway_t *gateway_new(loop_t *l, const gateway_cfg_t *cfg,
		       const gateway_ops_t *ops, void *ctx);
/* Ends all requests without a response. */
void gateway_free(gateway_t *g);
/* 0, or -1 with errno set. */
int gateway_listen(gateway_t *g, const struct sockaddr_in *addr);
/* As http1_drain(); requests go on. */
bool gateway_drain(gateway_t *g);
/*
 * The process ends at end_us. From last_send_us on, what might last longer is sent to no
 * target any more, but refused as not run.
 */
void gateway_leave(gateway_t *g, int64_t last_send_us, int64_t end_us);
/* Refuses requests that wait to be sent and would come too late for that. */
void gateway_refuse_late(gateway_t *g);
/*
 * Ends all requests, as the process is about to: with a refusal, as not run where nothing
 * was sent; by a reset where a response has begun.
 */
void gateway_end_requests(gateway_t *g);
/* Sets the manifest for new requests; those under way keep theirs. */
void gateway_set_manifest(gateway_t *g, manifest_t *m);
/* Handles a message of the dispatcher. */
void gateway_recv(gateway_t *g, const Dispatch__Msg *msg);
/* Keeps copies of streams that another daemon has relayed. */
void gateway_keep_streams(gateway_t *g, const Dispatch__Streams *m);
/*
 * Takes in the streams that this host's journal held at the start, and has the
 * dispatcher told; their times count from 0.
 */
void gateway_journal_read(gateway_t *g, const stream_builds_t *found);
/*
 * Sends all streams that are known here to the hosts with a disk: another software
 * version was decided, so that it matters which one began them.
 */
void gateway_journal_streams(gateway_t *g);
/* Tells the dispatcher of all streams that are known here. */
void gateway_tell_streams(gateway_t *g);
/* Tells a dispatcher that begins what this daemon has learnt of the targets. */
void gateway_brief_dispatcher(gateway_t *g);
/*
 * To be called when the dispatcher has changed or messages may have been lost:
 * asks again for each request that awaits a grant, and reports the places in
 * use.
 */
void gateway_resync_dispatcher(gateway_t *g);
/*
 * Limits what is buffered for callers that read slowly, and of responses that are not
 * whole: as it comes near this many bytes in all, the part of each request shrinks.
 * Heads of responses have as much again. 0: each has its own limit alone.
 */
void gateway_limit_unsent(gateway_t *g, size_t bytes);
/*
 * Limits the bodies of all requests under way together; beyond it, requests are
 * refused as not run. A request alone is always taken. 0: no limit.
 */
void gateway_limit_bodies(gateway_t *g, size_t bytes);
/* Bytes of these bodies now. */
size_t gateway_body_bytes(const gateway_t *g);
/* Bytes buffered for callers now, those of responses that are not whole included. */
size_t gateway_unsent_bytes(const gateway_t *g);
/* Number of requests under way. */
size_t gateway_active_requests(const gateway_t *g);

#ifdef __cplusplus
}
#endif
#endif
