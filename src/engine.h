/*
 * engine.h - the interface between the serving core and the targets: the core
 * gives orders to targets and gets events from them. In the daemon it is
 * implemented over HTTP (target.c), in the bench and the property tests by
 * simulated targets.
 */
#ifndef DK_ENGINE_H
#define DK_ENGINE_H

#include "decided.h"
#include "reason.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum order_kind {
	ORDER_LOAD,   /* load adapter@version into a slot */
	ORDER_UNLOAD, /* evict adapter@version */
	ORDER_RUN,    /* a completion at an engine, or a call of a service */
	ORDER_RESUME, /* resume the stream of a run at resume_offset */
	ORDER_CANCEL, /* cancel the run of cancel_order_id; no event of its own */
	ORDER_STATE, /* read the boot id, resident adapters and runs */
} order_kind_t;

/*
 * One order to one target. Strings are valid during the call only; the
 * implementation copies what it keeps. Each order but ORDER_CANCEL ends with
 * exactly one final event (engine_event_is_final()), also when the target is
 * lost or silent.
 */
typedef struct engine_order {
	uint64_t id; /* unique while this daemon runs; repeated in its events */
	order_kind_t kind;
	target_id_t target;
	str_t url;	/* of the target */
	uint64_t fence; /* fencing number; a target may refuse an old one */
	str_t adapter;	/* "name@version"; empty for the plain base model */
	str_t base;	/* RUN at an engine: its base model */
	str_t run_id;	/* the same in retries and resumptions of one run */
	str_t path;	/* "/v1/completions", or the service's path */
	/*
	 * JSON. Sent as it is to a service. For an engine it names no model, and
	 * the implementation adds the adapter or base model.
	 */
	str_t body;
	str_t idempotency_key;
	bool idempotent; /* false: on a new connection only, never re-sent */
	uint64_t resume_offset;	  /* RESUME: answer bytes received so far */
	uint64_t cancel_order_id; /* CANCEL: order id of the run */
	int32_t priority;
	int64_t deadline_us;	     /* of the request; 0: none */
	int64_t progress_timeout_us; /* longest wait for a byte; 0: default */
} engine_order_t;

typedef enum engine_event_kind {
	EVENT_HEAD,  /* the response has begun: status, adapter that ran */
	EVENT_CHUNK, /* answer bytes */
	EVENT_DONE, /* final: the answer is complete, or the order carried out */
	EVENT_FAILED, /* final: reason tells why; sent, whether it may have run */
	EVENT_STATE, /* final event of ORDER_STATE */
} engine_event_kind_t;

/* An adapter that a target holds. */
typedef struct engine_resident {
	str_t adapter; /* "name@version" */
	bool loading;
	uint32_t running; /* runs that use it */
} engine_resident_t;

/* Strings and arrays are valid during the call only. */
typedef struct engine_event {
	uint64_t order_id;
	target_id_t target;
	engine_event_kind_t kind;
	int http_status;     /* HEAD; FAILED if the target answered */
	str_t served_by;     /* HEAD: the adapter that the target reports */
	str_t data;	     /* CHUNK */
	uint64_t offset;     /* CHUNK: answer bytes before data */
	uint32_t tokens;     /* CHUNK: tokens in data, as far as known */
	reason_t reason;     /* FAILED */
	bool sent;	     /* FAILED: a byte may have reached the target */
	bool old_fence;	     /* FAILED: refused as the fencing number is old */
	bool target_leaving; /* the target itself reports that it leaves */
	uint64_t boot_id;    /* STATE, HEAD: changes when the target restarts */
	const engine_resident_t *resident; /* STATE */
	size_t n_resident;
	uint32_t n_running; /* STATE: runs in progress at the target */
} engine_event_t;

static inline bool engine_event_is_final(const engine_event_t *ev)
{
	return ev->kind >= EVENT_DONE;
}

#ifdef __cplusplus
}
#endif
#endif
