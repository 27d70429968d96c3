/*
 * manifest.h - the manifest in force: routes, services and limits as one
 * immutable, reference-counted table that is compiled once for each version.
 * Filled by the platform's decoder, checked and searched here.
 */
#ifndef DK_MANIFEST_H
#define DK_MANIFEST_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* X(NAME, "name") - what may be repeated. */
#define ROUTE_KINDS(X)                      \
	X(IDEMPOTENT, "idempotent")         \
	X(NON_IDEMPOTENT, "non_idempotent") \
	X(STREAMING, "streaming")

typedef enum route_kind {
#define X(name, text) ROUTE_##name,
	ROUTE_KINDS(X)
#undef X
} route_kind_t;

const char *route_kind_name(route_kind_t k);

/* One service that a route may go to. */
typedef struct route_share {
	str_t service; /* owned */
	uint32_t weight;
	uint32_t index; /* of the service; set by manifest_compile() */
} route_share_t;

typedef struct route {
	str_t name;   /* owned, as host and prefix */
	str_t host;   /* without port */
	str_t prefix; /* of the path */
	route_kind_t kind;
	int64_t timeout_us; /* longest that a caller is kept waiting */
	int64_t target_us;  /* latency objective, to the first event */
	int64_t gap_us;	    /* longest pause between events that is on time */
	uint32_t priority;  /* 0 is the most urgent */
	uint32_t attempts;  /* most targets that may run one request */
	bool resumable;	    /* a stream may go on at another target */
	route_share_t *shares;
	size_t n_shares;
	uint64_t total_weight; /* set by manifest_compile() */
} route_t;

typedef struct model_spec {
	str_t name; /* owned */
	double weights_mb;
	double adapter_mb;
	int64_t load_us;	/* from the weight store */
	int64_t memory_load_us; /* from the runner's memory */
	int64_t disk_load_us;	/* from the runner's disk */
} model_spec_t;

typedef struct service {
	str_t name;	   /* owned, as health_path */
	str_t health_path; /* of a target's own health answer */
	uint32_t max_conns;
	bool engine; /* model runners, with what follows */
	uint32_t slots;
	uint64_t kv_tokens;
	uint32_t adapter_slots;
	double weights_mb; /* for models and adapters together */
	double loads_per_s;
	model_spec_t *models;
	size_t n_models;
} service_t;

typedef struct manifest_limits {
	size_t head_max; /* bytes */
	size_t body_max; /* bytes */
	int64_t head_timeout_us;
	int64_t idle_timeout_us;
} manifest_limits_t;

typedef struct manifest {
	uint32_t refs;
	uint64_t version;
	route_t *routes; /* by host, then longest prefix first */
	size_t n_routes;
	service_t *services;
	size_t n_services;
	manifest_limits_t limits;
} manifest_t;

manifest_t *manifest_new(void);
manifest_t *manifest_ref(manifest_t *m);
void manifest_unref(manifest_t *m); /* NULL is fine */

/* Zeroed rows at the end; valid until the next is added. */
route_t *manifest_add_route(manifest_t *m);
service_t *manifest_add_service(manifest_t *m);
route_share_t *route_add_share(route_t *r);
model_spec_t *service_add_model(service_t *s);

/*
 * Checks the whole and prepares the search. 0; or -1 with the first fault
 * appended to error. Nothing can be added afterwards.
 */
int manifest_compile(manifest_t *m, buf_t *error);

/* The route of a request; NULL where there is none. host may hold a port. */
const route_t *manifest_find_route(const manifest_t *m, str_t host, str_t path);
const service_t *manifest_find_service(const manifest_t *m, str_t name);
const model_spec_t *service_find_model(const service_t *s, str_t name);
/* Share of a route for a number spread evenly over all 64-bit values. */
const route_share_t *route_pick_share(const route_t *r, uint64_t number);

#ifdef __cplusplus
}
#endif
#endif
