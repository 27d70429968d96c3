/*
 * dialect.h - what the platform says, in the product's own types. The platform
 * folder implements these functions; it decodes and encodes, and decides
 * nothing. No other file knows a name on the platform's wire.
 */
#ifndef DK_DIALECT_H
#define DK_DIALECT_H

#include "http1.h"
#include "manifest.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SITE_SEEDS_MAX 8u

/* Settings of one daemon, as the platform hands them out. Strings are owned. */
typedef struct site_settings {
	str_t host; /* name of this machine, as holder of orders too */
	str_t zone;
	str_t region;
	str_t ip;
	str_t callers_addr; /* "ip:port", as the next three */
	str_t ready_addr;
	str_t control_addr;
	str_t directory_addr;
	uint16_t peer_port; /* of links, the same on all hosts */
	str_t seed_ips[SITE_SEEDS_MAX];
	size_t n_seeds;
	bool founding;		/* the whole system starts for the first time */
	str_t data_dir;		/* empty: no disk */
	uint32_t tolerate;	/* hosts with a disk that may be lost at once */
	str_t list_addr;	/* of the platform's list of runners */
	double list_per_s;	/* reads a second of all daemons together */
	int64_t list_lag_us;	/* the list shows what was so long ago */
	int64_t drain_us;	/* a leaving runner gets nothing after this */
	int64_t grace_us;	/* between SIGTERM and SIGKILL */
	int64_t manifest_us;	/* a confirmed manifest is in force by then */
	int64_t version_us;	/* as manifest_us, for adapter versions */
	int64_t order_lease_us; /* holders of orders do not change sooner */
	int64_t address_ttl_us; /* longest that an address answer counts */
	bool fences;		/* runners refuse orders with older fences */
	double retry_ratio;	/* repeats for each request, with retry_slack */
	double retry_slack;	/* more in each window */
	int64_t retry_window_us;
	double load_window_s; /* loads begun in it are bounded by load_factor */
	double load_factor;
} site_settings_t;

/* 0; or -1 with each fault as one line appended to errors. */
int dialect_load_settings(site_settings_t *s, const char *path, buf_t *errors);
void site_settings_free(site_settings_t *s);

/* NULL with a fault appended to error where the bytes are no manifest. */
manifest_t *dialect_parse_manifest(str_t bytes, buf_t *error);

/* A named version of an adapter. Strings are owned. */
typedef struct adapter_version {
	str_t model;
	str_t adapter; /* empty: the model itself */
	uint64_t version;
} adapter_version_t;

int dialect_parse_adapter_version(str_t bytes, adapter_version_t *out,
				  buf_t *error);
void adapter_version_free(adapter_version_t *v);

/* X(NAME): calls on this daemon's own ports */
typedef enum site_call {
	CALL_UNKNOWN,
	CALL_READY,
	CALL_ADDRESSES,
	CALL_PUT_MANIFEST,
	CALL_GET_MANIFEST,
	CALL_PUT_ADAPTER_VERSION,
} site_call_t;

site_call_t dialect_match_call(str_t method, str_t target);
/* Failure domain of the caller that asks for addresses; may be empty. */
str_t dialect_caller_zone(str_t target);
void dialect_write_addresses(buf_t *out, const str_t *addrs, size_t n,
			     int64_t ttl_us);

/* Requests of callers. */

#define PROMPT_PARTS_MAX 8u

typedef struct prompt_part {
	uint64_t id;
	uint32_t tokens;
} prompt_part_t;

/* What a request says of itself. Texts are views into its head. */
typedef struct request_info {
	str_t id;
	str_t host;
	str_t model;	 /* empty: not for a model */
	str_t adapter;	 /* empty: the model itself */
	int64_t left_us; /* how long the caller waits; -1: not said */
	uint32_t tokens_in;
	uint32_t tokens_out;		       /* most that may be generated */
	prompt_part_t parts[PROMPT_PARTS_MAX]; /* of the prompt, in order */
	size_t n_parts;
	bool resumes; /* goes on after the event resume_after */
	uint64_t resume_after;
} request_info_t;

void dialect_read_request_head(const http1_head_t *h, request_info_t *out);
/* Whether a caller's field is not passed on. */
bool dialect_drops_field(str_t name);

/* What this daemon adds to a request it passes on. */
typedef struct target_fields {
	str_t runner; /* the only one that may run it */
	int64_t left_us;
	uint64_t adapter_version; /* 0: any */
	int priority;		  /* of the batch, 0 first; -1: not said */
	bool resumes;
	uint64_t resume_after;
} target_fields_t;

void dialect_write_target_fields(buf_t *out, const target_fields_t *f);
/* Field that names the request an answer of ours belongs to. */
void dialect_write_request_id(buf_t *out, str_t id);

/* What an answer of a target says of itself. */
typedef struct response_info {
	str_t id;	/* of the request it answers */
	bool not_run;	/* the target did not run it, and never will */
	bool has_proof; /* bears the target's proof */
	str_t runner;	/* that answered; may be empty */
} response_info_t;

void dialect_read_response_head(const http1_head_t *h, response_info_t *out);

/* The platform's list of runners, and what a runner says of itself. */

typedef struct runner_adapter {
	str_t model;
	str_t adapter;
	uint64_t version;
	bool loading; /* being loaded */
} runner_adapter_t;

typedef struct runner_model {
	str_t name;
	uint64_t version;
} runner_model_t;

/* Weights that a runner keeps beside what it holds. */
typedef struct local_weights {
	str_t model;
	bool in_memory; /* else on its disk */
} local_weights_t;

/* One runner. Strings are owned. */
typedef struct runner_info {
	str_t id;
	str_t service;
	str_t addr;
	str_t zone;
	uint64_t start_time_ms; /* start of the runner; 0: not said */
	bool draining;
	int64_t leaves_in_us; /* -1: not said */
	uint32_t slots;
	uint64_t seq; /* orders accepted since its start */
	bool seq_known;
	uint32_t running;
	uint32_t waiting;
	bool models_known;
	runner_model_t *models;
	size_t n_models;
	runner_adapter_t *adapters;
	size_t n_adapters;
	local_weights_t
		*local_weights; /* models that need not come from the store */
	size_t n_local_weights;
} runner_info_t;

typedef struct runner_list {
	runner_info_t *rows;
	size_t n;
	buf_t next; /* token of the next page; empty: the last one */
} runner_list_t;

/* Rows that cannot be read are left out. 0, or -1 where it is no list. */
int dialect_parse_runner_list(str_t bytes, runner_list_t *out);
void runner_list_free(runner_list_t *l);
int dialect_parse_runner_report(str_t bytes, runner_info_t *out);
void runner_info_free(runner_info_t *r);

/* Requests of ours: target of the request line. */
void dialect_write_list_target(buf_t *out, str_t page);
void dialect_write_report_target(buf_t *out);
void dialect_write_order_target(buf_t *out);

/* An order to a runner: to load or unload a model or an adapter. */
typedef struct runner_order {
	bool load; /* else unload */
	str_t model;
	str_t adapter;	  /* empty: the model */
	uint64_t version; /* 0: the newest */
	str_t holder;
	uint64_t fence;
	uint64_t expected_seq; /* orders accepted before this one */
} runner_order_t;

void dialect_write_order(buf_t *out, const runner_order_t *o);

#ifdef __cplusplus
}
#endif
#endif
