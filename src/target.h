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

typedef struct target_port_cfg {
	uint32_t threads;   /* orders of one target stay on one thread */
	int64_t connect_us; /* longest wait for a connection */
	int64_t progress_timeout_us; /* default of engine_order_t.progress_timeout_us */
	int64_t load_us;	     /* the same for loads and unloads */
	int64_t idle_us; /* connections idle for longer are not reused */
	size_t json_max; /* largest answer that is checked as a whole */
} target_port_cfg_t;

void target_port_cfg_default(target_port_cfg_t *cfg);

typedef struct target_port target_port_t;

/* On a thread of the port, without its locks; may give new orders. */
typedef void (*target_event_fn_t)(void *ctx, const engine_event_t *ev);

target_port_t *target_port_new(const target_port_cfg_t *cfg,
			       target_event_fn_t fn, void *ctx);
/* Starts the threads; 0, or -1 with a log line. */
int target_port_start(target_port_t *p);
/*
 * Queues one order; never blocks, never calls back. A cancelled run ends with
 * EVENT_FAILED, REASON_CANCELLED.
 */
void target_port_order(target_port_t *p, const engine_order_t *order);
/*
 * Stops. Orders still running end with EVENT_FAILED, REASON_SHUTDOWN before
 * it returns. Orders given later are dropped.
 */
void target_port_stop(target_port_t *p);
void target_port_free(target_port_t *p);

#ifdef __cplusplus
}
#endif
#endif
