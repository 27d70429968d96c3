/*
 * tunnel.h - connections to targets by way of another daemon. One that has no path to a
 * target asks another daemon to connect to it, which from then on only moves bytes, both
 * ways, and ends one side as the other ends. What the target sends comes in frames (see
 * http1_dial_t), so that an end of the other daemon is no orderly end of a response.
 *
 * All functions are called on the loop's thread.
 */
#ifndef DK_TUNNEL_H
#define DK_TUNNEL_H

#include <netinet/in.h>
#include <sys/types.h>

#include "loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The daemon that moves the bytes. */
typedef struct tunnels tunnels_t;

typedef struct tunnels_cfg {
	struct sockaddr_in listen;
	struct in_addr from; /* its own address of connections to targets */
	str_t secret;	     /* that the daemons share; has to outlive it */
} tunnels_cfg_t;

/* NULL with errno set where it cannot listen. */
tunnels_t *tunnels_new(loop_t *l, const tunnels_cfg_t *cfg);
/* No new ones; those that are open go on. */
void tunnels_drain(tunnels_t *t);
/* Ends all; t may be NULL. */
void tunnels_free(tunnels_t *t);
/*
 * Limits what waits to be written in all of them: as it comes near this many bytes, the
 * part of each shrinks. 0: each has its own limit alone.
 */
void tunnels_limit_unsent(tunnels_t *t, size_t bytes);
/* Bytes that wait now. */
size_t tunnels_unsent_bytes(const tunnels_t *t);
/* How many are open. */
size_t tunnels_count(const tunnels_t *t);

/*
 * The daemon that asks: appends what it sends first on a connection to the other's
 * tunnels; the target is to be connected within timeout_us.
 */
void tunnel_write_open(buf_t *out, str_t secret, str_t target,
		       int64_t timeout_us);
/* Reads the reply, as http1_dial_t.opened. */
ssize_t tunnel_read_opened(str_t in);

#ifdef __cplusplus
}
#endif
#endif
