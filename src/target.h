/*
 * target.h - carries out the serving core's orders (engine.h) as streaming
 * HTTP requests to the targets, over libcurl's multi interface.
 */
#ifndef DK_TARGET_H
#define DK_TARGET_H

#include "engine.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct target_client_cfg {
	/* Number of threads; all orders to one target run on the same one. */
	uint32_t threads;
	int64_t connect_us;	     /* timeout of a connection attempt */
	int64_t progress_timeout_us; /* default of engine_order_t.progress_timeout_us */
	int64_t load_us;	     /* the same for loads and unloads */
	int64_t idle_us; /* connections idle for longer are not reused */
	size_t json_max; /* largest response that is buffered, in bytes */
} target_client_cfg_t;

void target_client_cfg_default(target_client_cfg_t *cfg);

typedef struct target_client target_client_t;

/*
 * Called on a thread of the client that holds no lock of it, so that the
 * callback may submit new orders.
 */
typedef void (*target_event_fn_t)(void *ctx, const engine_event_t *ev);

target_client_t *target_client_new(const target_client_cfg_t *cfg,
				   target_event_fn_t on_event, void *ctx);
/* Starts the threads; returns 0, or -1 after logging why. */
int target_client_start(target_client_t *c);
/*
 * Queues one order; never blocks, and never calls on_event itself. A run that
 * an ORDER_CANCEL ends reports EVENT_FAILED with REASON_CANCELLED.
 */
void target_client_submit(target_client_t *c, const engine_order_t *order);
/*
 * Stops the threads. Orders still running end with EVENT_FAILED and
 * REASON_SHUTDOWN before this function returns; later ones are dropped.
 */
void target_client_stop(target_client_t *c);
void target_client_free(target_client_t *c);

#ifdef __cplusplus
}
#endif
#endif
