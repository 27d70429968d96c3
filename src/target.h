/*
 * target.h - the daemon's engine port (engine.h): HTTP to the targets over
 * libcurl's multi interface, streaming.
 */
#ifndef DK_TARGET_H
#define DK_TARGET_H

#include "engine.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct target_client_cfg {
	uint32_t threads;    /* orders of one target stay on one thread */
	int64_t connect_us;  /* longest wait for a connection */
	int64_t progress_us; /* default of engine_order_t.progress_us */
	int64_t load_us;     /* the same for loads and unloads */
	int64_t idle_us;     /* connections idle for longer are not reused */
	size_t json_max;     /* largest answer that is checked as a whole */
} target_client_cfg_t;

void target_client_cfg_default(target_client_cfg_t *cfg);

typedef struct target_client target_client_t;

/* On a thread of the port, without its locks; may give new orders. */
typedef void (*target_event_fn_t)(void *ctx, const engine_event_t *ev);

target_client_t *target_client_new(const target_client_cfg_t *cfg,
				   target_event_fn_t fn, void *ctx);
/* Starts the threads; 0, or -1 with a log line. */
int target_client_start(target_client_t *p);
/*
 * Queues one order; never blocks, never calls back. A cancelled run ends with
 * EVENT_FAILED, REASON_CANCELLED.
 */
void target_client_submit(target_client_t *p, const engine_order_t *order);
/*
 * Stops. Orders still running end with EVENT_FAILED, REASON_SHUTDOWN before
 * it returns. Orders given later are dropped.
 */
void target_client_stop(target_client_t *p);
void target_client_free(target_client_t *p);

#ifdef __cplusplus
}
#endif
#endif
