/*
 * dialect.h - reads and writes the platform's formats: its settings file,
 * manifests, runner lists, orders, HTTP paths and header fields. The functions
 * are implemented in platform/, the only folder that knows names on the
 * platform's wire; it only decodes and encodes, and makes no decision.
 */
#ifndef DK_DIALECT_H
#define DK_DIALECT_H

#include "host_share.h"
#include "http1.h"
#include "manifest.h"
#include "org_quota.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SITE_SEEDS_MAX 8u

/* Settings of one daemon, from the platform. Strings are owned. */
typedef struct site_settings {
	str_t host; /* name of this machine; also the holder of its orders */
	str_t zone;
	str_t region;
	str_t ip;
	str_t callers_addr; /* "ip:port", as the next three */
	str_t ready_addr;
	str_t control_addr;
	str_t directory_addr;
	uint16_t peer_port; /* for links between daemons; same on all hosts */
	str_t seed_ips[SITE_SEEDS_MAX];
	size_t n_seeds;
	bool bootstrap; /* the whole system starts for the first time */
	str_t data_dir; /* empty: this host keeps nothing on disk */
	/* How many hosts with a disk may fail at the same time. */
	uint32_t tolerated_failures;
	/* Such a host counts as failed until it has been back for so long. */
	int64_t catch_up_us;
	/* Bounds hold for a host that has been undisturbed for so long. */
	int64_t contact_us;
	str_t runner_list_addr; /* where the platform serves the runner list */
	double runner_list_reads_per_s; /* limit for all daemons together */
	int64_t runner_list_lag_us; /* the list may be this much out of date */
	/* A runner that leaves is sent nothing after this time. */
	int64_t drain_us;
	int64_t grace_us; /* between SIGTERM and SIGKILL */
	/* Longest time from confirming a manifest until it is in force. */
	int64_t manifest_deadline_us;
	int64_t version_deadline_us; /* the same for an adapter version */
	int64_t order_lease_us;	  /* the holder of orders changes no sooner */
	int64_t address_ttl_us;	  /* longest validity of an address response */
	bool runners_check_fence; /* they refuse orders with an older fence */
	/*
	 * Retries allowed in each retry_window_us: retry_ratio for each
	 * request, and retry_slack more.
	 */
	double retry_ratio;
	double retry_slack;
	int64_t retry_window_us;
	quota_tolerance_t quota_tolerance;
	/* Loads begun within load_window_s are bounded by load_factor. */
	double load_window_s;
	double load_factor;
	host_capacity_t capacity; /* of this host */
} site_settings_t;

/*
 * Reads a settings file. 0; or -1 with one line for each fault appended to
 * errors. Free *s in both cases.
 */
int dialect_load_settings(site_settings_t *s, const char *path, buf_t *errors);
void site_settings_free(site_settings_t *s);

/* Returns NULL, with the fault appended to error, for an invalid manifest. */
manifest_t *dialect_parse_manifest(str_t bytes, buf_t *error);
/*
 * Checks the types of all members that are known, as an operator's manifest has to have
 * them; 0, or -1 with the first fault appended to error. dialect_parse_manifest() takes
 * a default for a member of another type: manifests that are stored hold what they held.
 */
int dialect_check_manifest(str_t bytes, buf_t *error);

/* A version of an adapter, as an operator names it. Strings are owned. */
typedef struct adapter_version {
	str_t model;
	str_t adapter; /* empty: the model itself */
	uint64_t version;
} adapter_version_t;

/* 0; or -1 with the fault appended to error. Free *out in both cases. */
int dialect_parse_adapter_version(str_t bytes, adapter_version_t *out,
				  buf_t *error);
void adapter_version_free(adapter_version_t *v);

/* Calls that this daemon's own ports answer. */
typedef enum site_call {
	CALL_UNKNOWN,
	CALL_READY,
	CALL_ADDRESSES,
	CALL_PUT_MANIFEST,
	CALL_GET_MANIFEST,
	CALL_PUT_ADAPTER_VERSION,
} site_call_t;

/* The call that a method and a request target name, or CALL_UNKNOWN. */
site_call_t dialect_match_call(str_t method, str_t target);
/* The path of a call, without a query; NULL: no such call. */
const char *dialect_call_path(site_call_t call);
/* The caller's failure domain, from the target of CALL_ADDRESSES; or empty. */
str_t dialect_caller_zone(str_t target);
/* Appends the body of a response to CALL_ADDRESSES; addrs are "ip:port". */
void dialect_write_addresses(buf_t *out, const str_t *addrs, size_t n,
			     int64_t ttl_us);

/* Requests of callers, and the responses of targets. */

/* Parts of a prompt that are read; further ones are not. */
#define PROMPT_PARTS_MAX 32u

/* A part of a prompt that other prompts may share. */
typedef struct prompt_part {
	uint64_t id; /* on the wire a number; a hash of it where it is none */
	uint32_t tokens;
} prompt_part_t;

/* What the head of a request tells. Strings are views into that head. */
typedef struct request_info {
	str_t id;
	str_t host;
	str_t key; /* of an organisation; empty: none */
	uint64_t
		caller; /* digest of what tells who asks; alike where nothing does */
	str_t model;	    /* empty: the request is for no model */
	str_t adapter;	    /* empty: the model itself */
	int64_t left_us;    /* how long the caller still waits; -1: not given */
	uint32_t tokens_in; /* most in the prompt */
	uint32_t tokens_out;	  /* most that may be generated */
	uint32_t tokens_out_hint; /* caller's estimate of these; 0: none */
	/* In the order of the prompt. */
	prompt_part_t parts[PROMPT_PARTS_MAX];
	size_t n_parts;
	bool resumes; /* continues a stream after the event resume_after */
	uint64_t resume_after;
	/* Id of the request that brought that stream's first event; or empty. */
	str_t resumed_stream;
} request_info_t;

void dialect_read_request_head(const http1_head_t *h, request_info_t *out);
/* Whether a header field of a caller's request is not sent to the target. */
bool dialect_drops_field(str_t name);
/* The same where the manifest has organisations: no key is sent to a target. */
bool dialect_drops_field_of_org(str_t name);

/* Header fields that this daemon adds to a request to a target. */
typedef struct target_fields {
	str_t runner;	 /* the only runner that may run it; may be empty */
	int64_t left_us; /* how long the caller still waits; -1: not sent */
	uint64_t adapter_version; /* 0: any */
	bool resumes;
	uint64_t resume_after;
	str_t org; /* name of the caller's organisation; may be empty */
} target_fields_t;

void dialect_write_target_fields(buf_t *out, const target_fields_t *f);
/* Appends the response field that names the request; nothing without id. */
void dialect_write_request_id(buf_t *out, str_t id);

/* What the head of a target's response tells. Strings are views into it. */
typedef struct response_info {
	str_t id;     /* of the request that it answers */
	bool not_run; /* the target did not run it, and never will */
	/* Its status alone would tell a caller that the request did not run. */
	bool denies_run;
	bool has_proof; /* it bears the target's signature as proof */
	bool leaving;	/* the runner that answered shuts down */
	/* The runner wants no request from this host for so long; 0: no limit. */
	int64_t hold_off_us;
	/*
	 * Requests a second that the runner takes from all hosts together, as
	 * long as its answers say so; LIMIT_NONE: this one does not.
	 */
	double limit_per_s;
	/*
	 * Rejections a second for want of room, beyond which the runner ends; 0: it
	 * named none.
	 */
	uint32_t rejections_max;
	str_t runner; /* the runner that answered; may be empty */
} response_info_t;

#define LIMIT_NONE (-1.0)

void dialect_read_response_head(const http1_head_t *h, response_info_t *out);

/* The platform's runner list, and the reports of runners. */

/* An adapter that a runner holds or loads. Strings are owned. */
typedef struct runner_adapter {
	str_t model;
	str_t adapter;
	uint64_t version; /* 0: not given */
	bool loading;	  /* not ready for use yet */
} runner_adapter_t;

/* A model that a runner holds. */
typedef struct runner_model {
	str_t name; /* owned */
	uint64_t version;
} runner_model_t;

/*
 * A model that a runner can load without the weight store, as it keeps the
 * weights in its own memory or on its own disk.
 */
typedef struct local_weights {
	str_t model;	/* owned */
	bool in_memory; /* else on disk */
} local_weights_t;

/* One runner, from a row of the list or from its report. Strings are owned. */
typedef struct runner_info {
	str_t id; /* empty in a report, as the next three */
	str_t service;
	str_t addr; /* "ip:port" */
	str_t zone;
	uint64_t start_time_ms; /* when its process started; 0: not given */
	/* Version of its software, not of what it holds; empty: not given. */
	str_t build;
	bool draining;
	int64_t leaves_in_us; /* time until it leaves; -1: not given */
	uint32_t slots;	      /* requests that it runs at once */
	uint64_t seq;	      /* orders accepted since its start */
	bool seq_known;
	uint32_t running;  /* requests that it runs now */
	uint32_t waiting;  /* requests in its queue */
	bool models_known; /* it tells which models it holds */
	runner_model_t *models;
	size_t n_models;
	runner_adapter_t *adapters;
	size_t n_adapters;
	local_weights_t *local_weights;
	size_t n_local_weights;
} runner_info_t;

typedef struct runner_list {
	runner_info_t *rows;
	size_t n;
	buf_t next_page; /* token of the next page; empty: there is none */
	/* Rows that name no runner, as a part of them can't be read or used. */
	size_t n_invalid;
	const char *fault; /* of the last of them: the field, or what it is */
	buf_t invalid_id;  /* of the last of them, as far as it can be read */
} runner_list_t;

/* Leaves out rows that name no runner. 0, or -1 where the bytes are no list. */
int dialect_parse_runner_list(str_t bytes, runner_list_t *out);
void runner_list_free(runner_list_t *l);
/* 0, or -1 where the bytes are no report. */
int dialect_parse_runner_report(str_t bytes, runner_info_t *out);
void runner_info_free(runner_info_t *r);

/*
 * Each appends the request target of a call that this daemon makes. page is the
 * token of a page of the runner list; empty for the first one.
 */
void dialect_write_list_target(buf_t *out, str_t page);
void dialect_write_report_target(buf_t *out);
void dialect_write_order_target(buf_t *out);

/* An order to a runner to load or unload a model or an adapter. */
typedef struct runner_order {
	bool load; /* else unload */
	str_t model;
	str_t adapter;	  /* empty: the model */
	uint64_t version; /* 0: the newest */
	str_t holder;	  /* name of the host that sends the order */
	uint64_t fence;	  /* fencing number: the sender's term */
	/* The runner refuses the order if it has not accepted so many before. */
	uint64_t expected_seq;
} runner_order_t;

void dialect_write_order(buf_t *out, const runner_order_t *o);

/*
 * A call that stops a run, where the service's runners do: its target, and its body with
 * the id of the run's request and the address of another runner, which has to have room
 * for the run's memory.
 */
void dialect_write_stop_target(buf_t *out);
void dialect_write_stop(buf_t *out, str_t request, str_t other);
/*
 * The target of the call that frees this memory at both, from the body of the answer;
 * -1: it holds none.
 */
int dialect_write_release_target(buf_t *out, str_t stopped);

#ifdef __cplusplus
}
#endif
#endif
