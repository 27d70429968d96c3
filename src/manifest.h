/*
 * manifest.h - a manifest: routes, services and limits of one version. The
 * platform's decoder fills it and compiles it once; from then on it is
 * immutable and shared by reference count.
 */
#ifndef DK_MANIFEST_H
#define DK_MANIFEST_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * X(NAME, "name") - whether a request may be sent to a target again: an
 * idempotent one may, a non-idempotent one may not, and a streaming one only
 * where its route is resumable.
 */
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

/* One of the services that share the requests of a route. */
typedef struct route_share {
	str_t service;	 /* owned */
	uint32_t weight; /* share of the requests, out of total_weight */
	uint32_t index;	 /* in manifest_t.services; set on compilation */
} route_share_t;

typedef struct route {
	str_t name;   /* owned */
	str_t host;   /* owned; without port */
	str_t prefix; /* owned; of the paths that the route matches */
	route_kind_t kind;
	int64_t timeout_us; /* longest time that a caller waits */
	int64_t target_us;  /* latency objective for the first event */
	/* Longest pause between two events that counts as on time. */
	int64_t event_gap_us;
	uint32_t priority; /* 0 is the most urgent */
	uint32_t attempts; /* most targets that may run one request */
	bool resumable;	   /* another target may continue a stream */
	bool is_public;	   /* no organisation's key is needed */
	route_share_t *shares;
	size_t n_shares;
	uint64_t total_weight; /* set by manifest_compile() */
} route_t;

/* A model of a service of model runners. */
typedef struct model_spec {
	str_t name; /* owned */
	double weights_mb;
	double adapter_mb;	/* size of one of its adapters */
	int64_t load_us;	/* load time from the weight store */
	int64_t memory_load_us; /* load time from the runner's memory */
	int64_t disk_load_us;	/* load time from the runner's disk */
} model_spec_t;

typedef struct service {
	str_t name;	   /* owned */
	str_t health_path; /* owned; where a target reports its own health */
	uint32_t max_conns;
	/* The targets are model runners; only then the rest applies. */
	bool engine;
	bool stops_runs;	/* a runner ends a run on order */
	uint32_t slots;		/* requests that a runner runs at once */
	uint64_t kv_tokens;	/* capacity of a runner's KV cache */
	uint32_t adapter_slots; /* most adapters that a runner holds */
	double weights_mb;	/* a runner's memory for models and adapters */
	double loads_per_s;	/* rate of loads from the weight store */
	model_spec_t *models;
	size_t n_models;
} service_t;

/* In which unit the quota of an organisation counts a request. */
typedef enum quota_unit {
	QUOTA_REQUESTS,
	QUOTA_TOKENS, /* of the prompt and, at most, of the output */
} quota_unit_t;

/* An organisation whose callers prove themselves by a key. */
typedef struct organisation {
	str_t name;	   /* owned */
	uint32_t priority; /* goes before that of the route; 0: most urgent */
	quota_unit_t quota_unit;
	uint32_t plain_tokens; /* of a request that names no tokens */
	double quota_per_s;    /* over all daemons; 0: no quota */
	double quota_burst;    /* in addition, at once */
} organisation_t;

#define KEY_DIGEST_BYTES 16u

/* A key of an organisation. The key itself is not kept. */
typedef struct org_key {
	uint8_t digest[KEY_DIGEST_BYTES];
	uint32_t org; /* index in manifest_t.orgs */
} org_key_t;

typedef struct manifest_limits {
	size_t head_max; /* largest request head, in bytes */
	size_t body_max; /* largest request body, in bytes */
	int64_t head_timeout_us;
	int64_t idle_timeout_us;
} manifest_limits_t;

typedef struct manifest {
	uint32_t refs;
	uint64_t version;
	route_t *routes; /* by host, longest prefix first */
	size_t n_routes;
	service_t *services;
	size_t n_services;
	manifest_limits_t limits;
	/* None: requests need no key. */
	organisation_t *orgs;
	size_t n_orgs;
	org_key_t *keys; /* sorted on compilation */
	size_t n_keys;
} manifest_t;

manifest_t *manifest_new(void);
manifest_t *manifest_ref(manifest_t *m);
void manifest_unref(manifest_t *m); /* NULL is fine */

/* Each adds a zeroed row at the end; valid until the next one is added. */
route_t *manifest_add_route(manifest_t *m);
service_t *manifest_add_service(manifest_t *m);
route_share_t *route_add_share(route_t *r);
model_spec_t *service_add_model(service_t *s);
organisation_t *manifest_add_org(manifest_t *m);
/* Adds a key of the organisation that was added last. */
void manifest_add_key(manifest_t *m, str_t key);

/*
 * Checks the manifest and sorts its routes for manifest_find_route(). 0; or -1
 * with the first fault appended to error. Nothing may be added afterwards.
 */
int manifest_compile(manifest_t *m, buf_t *error);

/* The route of a request, or NULL; host may include a port. */
const route_t *manifest_find_route(const manifest_t *m, str_t host, str_t path);
/* The organisation that holds the key, or NULL. */
const organisation_t *manifest_find_org(const manifest_t *m, str_t key);
const organisation_t *manifest_find_org_by_name(const manifest_t *m,
						str_t name);
const service_t *manifest_find_service(const manifest_t *m, str_t name);
const model_spec_t *service_find_model(const service_t *s, str_t name);
/*
 * Selects a service of a route by weight; number is uniformly distributed over
 * all 64-bit values.
 */
const route_share_t *route_pick_share(const route_t *r, uint64_t number);

#ifdef __cplusplus
}
#endif
#endif
