/*
 * gateway.h - requests of callers on their way to targets and back: route,
 * ask the dispatcher for a place, send, relay the answer byte for byte, retry
 * what may be repeated, cancel what nobody waits for. On the loop's thread.
 */
#ifndef DK_GATEWAY_H
#define DK_GATEWAY_H

#include "dispatch.h"
#include "http1.h"
#include "manifest.h"
#include "reason.h"
#include "upstream.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct gateway gateway_t;

typedef struct gateway_ops {
	/* To the dispatcher; lost where there is none. */
	void (*send)(void *ctx, const Dispatch__Msg *msg);
	/* The dispatcher has not answered in time. */
	void (*silent)(void *ctx);
	/* Why new requests are not taken; REASON_NONE: they are. */
	reason_t (*refusal)(void *ctx);
	/*
	 * Whether this host has just started and is about to learn what is
	 * decided: connections that come before wait for it, unread.
	 */
	bool (*starting)(void *ctx);
	/* Whether callers are told to use this connection no more. */
	bool (*leaving)(void *ctx);
} gateway_ops_t;

gateway_t *gateway_new(loop_t *l, upstream_t *u, str_t zone, uint64_t seed,
		       const gateway_ops_t *ops, void *ctx);
/* Ends all requests without an answer. */
void gateway_free(gateway_t *g);
/* 0, or -1 with errno set. */
int gateway_listen(gateway_t *g, const struct sockaddr_in *addr);
/* New connections are refused, idle ones closed. */
void gateway_drain(gateway_t *g);
/* The manifest in force; requests keep the one they began with. */
void gateway_set_manifest(gateway_t *g, manifest_t *m);
/* From the dispatcher. */
void gateway_recv(gateway_t *g, const Dispatch__Msg *msg);
/*
 * Another dispatcher, or messages may have been lost: asks again, and tells
 * which places are used.
 */
void gateway_resync_dispatcher(gateway_t *g);
size_t gateway_active_requests(const gateway_t *g);

#ifdef __cplusplus
}
#endif
#endif
