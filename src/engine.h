/*
 * engine.h - the port between serving and the targets: orders out, events in.
 * The daemon's port is HTTP (target.c); the bench and the property tests put
 * fakes here.
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
	ORDER_RUN,    /* completion, or a plain service call */
	ORDER_RESUME, /* go on with a stream at an offset */
	ORDER_CANCEL, /* cancel the run of cancel_order_id; no event of its own */
	ORDER_STATE, /* read boot id, resident adapters, runs */
} order_kind_t;

/*
 * One order to one target. Strings are valid during the call only; the port
 * copies what it keeps. Each order but CANCEL ends with exactly one final
 * event (engine_event_t.final), also when the target is lost or silent.
 */
typedef struct engine_order {
	uint64_t id; /* unique in this daemon's life; matches events */
	order_kind_t kind;
	target_id_t target;
	str_t url; /* of the target */
	uint64_t fence;
	str_t adapter; /* "name@version"; empty for the plain base model */
	str_t base;    /* RUN at an engine: its base model */
	str_t run_id;  /* stable over retries and resumption of one run */
	str_t path;    /* "/v1/completions", or the service's path */
	/*
	 * JSON. Sent as it is to a service; for an engine it names no model, and
	 * the port puts adapter or base there.
	 */
	str_t body;
	str_t idempotency_key;
	bool idempotent; /* false: fresh connection only, never re-sent */
	uint64_t resume_offset;	  /* RESUME: answer bytes had so far */
	uint64_t cancel_order_id; /* CANCEL: order id of the run */
	int32_t priority;
	int64_t deadline_us;	     /* of the request; 0: none */
	int64_t progress_timeout_us; /* longest wait without a byte; 0: default */
} engine_order_t;

typedef enum engine_event_kind {
	EVENT_HEAD,   /* the target answers: status, served adapter */
	EVENT_CHUNK,  /* answer bytes */
	EVENT_DONE,   /* final: whole answer, or order carried out */
	EVENT_FAILED, /* final: reason says why; sent says what may have run */
	EVENT_STATE,  /* final answer to ORDER_STATE */
} engine_event_kind_t;

typedef struct engine_resident {
	str_t adapter; /* "name@version" */
	bool loading;
	uint32_t running;
} engine_resident_t;

/* Strings and arrays are valid during the call only. */
typedef struct engine_event {
	uint64_t order_id;
	target_id_t target;
	engine_event_kind_t kind;
	int http_status; /* HEAD, FAILED where the target answered */
	str_t served_by; /* HEAD: the adapter the target says it ran */
	str_t data;	 /* CHUNK */
	uint64_t offset; /* CHUNK: answer bytes before it */
	uint32_t tokens; /* CHUNK: tokens in it, as far as known */
	reason_t reason; /* FAILED */
	bool sent;	 /* FAILED: a byte of the request may have arrived */
	bool old_fence;	 /* FAILED: refused, the fencing number is old */
	bool target_leaving; /* the target said so itself */
	uint64_t boot_id;    /* STATE, HEAD: changes when the target restarts */
	const engine_resident_t *resident; /* STATE */
	size_t n_resident;
	uint32_t n_running;
} engine_event_t;

static inline bool engine_event_is_final(const engine_event_t *ev)
{
	return ev->kind >= EVENT_DONE;
}

#ifdef __cplusplus
}
#endif
#endif
