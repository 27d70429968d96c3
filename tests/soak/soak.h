/*
 * soak.h - a soak of real daemons. This process plays all that surrounds them:
 * the platform's runner list, the runners, callers and an operator; it starts,
 * stops, kills and freezes the daemons by a plan that follows from a seed, and
 * checks what runners and callers see. All of it runs on one event loop.
 */
#ifndef SOAK_H
#define SOAK_H

#include <string.h>

#include <glib.h>

#include "loop.h"
#include "upstream.h"
#include "util.h"

#define HOSTS_MAX 128u
#define RUNNERS_MAX 16u
/* Failure domains; host N is in zone N % ZONES. */
#define ZONES 3u
/* Bounds of the daemons' settings that the checks rest on. */
#define DRAIN_US (3 * USEC_PER_SEC)
#define GRACE_US (8 * USEC_PER_SEC)
#define CONFIG_US (2 * USEC_PER_SEC)
/* A host is in touch if nothing has disturbed it for so long. */
#define CONTACT_US (3 * USEC_PER_SEC)
/* Longest response of a daemon to a call of the soak, in bytes. */
#define RESPONSE_MAX (1u << 20)

typedef struct soak_cfg {
	const char *daemon; /* path of the program */
	const char *dir;    /* for settings, data and logs */
	uint64_t seed;
	unsigned int n_hosts;
	unsigned int n_voters; /* hosts with a disk */
	unsigned int n_callers;
	int64_t duration_us;
	bool power_losses; /* the only faults: all daemons end at once */
	/* Hosts with a disk are replaced for good; no other fault meets one. */
	bool replacements;
	/* Ports of the daemons, which have an address each, and of the rest. */
	uint16_t front, ready, control, directory, peer, list, runner;
} soak_cfg_t;

typedef struct record record_t;
typedef struct platform platform_t;
typedef struct hosts hosts_t;
typedef struct callers callers_t;
typedef struct operator_calls operator_calls_t;
typedef struct crashes crashes_t;
typedef struct limits limits_t;
typedef struct cuts cuts_t;
typedef struct strain strain_t;
typedef struct disks disks_t;
typedef struct leavers leavers_t;

typedef struct soak {
	soak_cfg_t cfg;
	loop_t *loop;
	timer_svc_t *timers;
	upstream_t *upstream;
	int64_t began_us;
	record_t *record;
	platform_t *platform;
	hosts_t *hosts;
	callers_t *callers;
	operator_calls_t *operator_calls;
	crashes_t *crashes;
	limits_t *limits;
	cuts_t *cuts;
	strain_t *strain;
	disks_t *disks;
	leavers_t *leavers;
} soak_t;

static inline int64_t soak_now(const soak_t *s)
{
	return timer_svc_now(s->timers);
}

/* A generator of its own for each part, so that the plan depends on no other. */
static inline GRand *soak_rand(const soak_t *s, const char *part)
{
	return g_rand_new_with_seed(
		(guint32)hash_bytes(part, strlen(part), s->cfg.seed));
}

static inline bool chance(GRand *rng, double p)
{
	return g_rand_double(rng) < p;
}

/* record.c: what was sent, run and answered, and the rules it must follow. */

/* X(NAME, "name", "meaning") */
#define SOAK_RULES(X)                                                         \
	X(RAN_TWICE, "ran_twice", "what must run once ran again")             \
	X(REFUSED_RAN, "refused_ran", "ran, and was refused as not run")      \
	X(UNKNOWN_RUN, "unknown_run", "ran what no caller sent, or changed")  \
	X(TOO_MANY_RUNS, "too_many_runs", "more runs than the route allows")  \
	X(WRONG_ANSWER, "wrong_answer", "an answer that no run gave")         \
	X(STREAM_ORDER, "stream_order", "events are missing, doubled, mixed") \
	X(STREAM_BUILDS, "stream_builds",                                     \
	  "a stream holds events of two software versions")                   \
	X(STREAMS_DROPPED, "streams_dropped",                                 \
	  "streams taken up go on half as often as new ones begin")           \
	X(SENT_TO_LEAVING, "sent_to_leaving",                                 \
	  "sent to a runner long after it said that it leaves")               \
	X(SENT_IN_PAUSE, "sent_in_pause",                                     \
	  "what came in a runner's pause was sent to it")                     \
	X(JUNK_READ, "junk_read", "bytes that are no answer were read on")    \
	X(SOUND_DROPPED, "sound_dropped",                                     \
	  "streams that crash nothing begin half as often as before")         \
	X(TWO_HOLDERS, "two_holders", "orders of two hosts with one fence")   \
	X(MANIFEST_OLDER, "manifest_older", "a read gave an older manifest")  \
	X(MANIFEST_OTHER, "manifest_other",                                   \
	  "a read gave what was never decided under that version")            \
	X(MANIFEST_REFUSED, "manifest_refused",                               \
	  "an acknowledged manifest that came again was refused")             \
	X(MANIFEST_INVALID, "manifest_invalid",                               \
	  "an invalid manifest was acknowledged")                             \
	X(MANIFEST_LOST, "manifest_lost", "an acknowledged manifest is gone") \
	X(PROCESS_ENDED, "process_ended", "a daemon ended by itself, or badly")

/* X(NAME, "name", "meaning") - depend on time; counted, not judged in CI. */
#define SOAK_LATE(X)                                                         \
	X(CRASHES_GO_ON, "crashes_go_on",                                    \
	  "what crashes runners was sent on long after it had")              \
	X(SOUND_BLAMED, "sound_blamed",                                      \
	  "refused for crashes that it had not caused")                      \
	X(LIMIT_EXCEEDED, "limit_exceeded",                                  \
	  "a runner got far more than the limit it had named")               \
	X(CUT_OFF_UNSERVED, "cut_off_unserved",                              \
	  "hosts without a path to runners served far worse than others")    \
	X(BRITTLE_FALLS, "brittle_falls",                                    \
	  "brittle runners fell over, as too much was sent to them")         \
	X(SILENCE_PUNISHED, "silence_punished",                              \
	  "what ran at a runner that was silent for a second was ended")     \
	X(OUTLIVED_CALLER, "outlived_caller",                                \
	  "runs went on half a second after their callers had left")         \
	X(UNANSWERED, "unanswered", "no answer a second after the deadline") \
	X(OUTLIVED_GRACE, "outlived_grace", "still running after its grace") \
	X(ARRIVED_IN_PAUSE, "arrived_in_pause",                              \
	  "reached a runner in the pause that it asked for")                 \
	X(NOT_RECOVERED, "not_recovered", "nothing served long after a fault")

typedef enum rule {
#define X(name, text, meaning) RULE_##name,
	SOAK_RULES(X)
	SOAK_LATE(X)
#undef X
		RULE_COUNT,
} rule_t;

/* A kind of request, and the route that serves it. */
typedef struct req_class {
	const char *name;    /* also the path prefix */
	const char *kind;    /* of the route */
	const char *service; /* of the route */
	bool is_stream;
	bool repeatable;
	uint32_t attempts; /* of the route */
	int64_t deadline_ms;
	double share;
} req_class_t;

#define CLASS_COUNT 4u
extern const req_class_t req_classes[CLASS_COUNT];

/* What a request has in common with others. */
typedef struct request_traits {
	/* Of its prompt, crashes a runner that begins to answer it; 0: none. */
	unsigned int crash_part;
	/* It is alike to all others with this number, but for its id; 0: to none. */
	unsigned int alike;
	/* What crashes a runner that begins to run it; 0: nothing does. */
	unsigned int crash_cause;
} request_traits_t;

typedef struct run {
	uint64_t serial;
	char runner[24];
	unsigned int build; /* version of the runner's software */
	int status;	    /* that the runner gave; 0: none yet */
} run_t;

/* One attempt of a caller; kept to the end, as it may run late. */
typedef struct attempt {
	char id[20];
	const req_class_t *cls;
	uint32_t request; /* number of the request that it is an attempt of */
	unsigned int host;
	uint32_t n_events; /* of the stream */
	/* The attempt that brought the first event of the stream; or itself. */
	struct attempt *origin;
	uint32_t resume_after; /* events that earlier attempts brought */
	unsigned int
		first_build; /* that made the stream's first event; 0: none */
	/* Counts for STREAMS_DROPPED; set when it is sent. */
	bool is_judged;
	bool host_was_in_touch; /* when it was sent */
	request_traits_t traits;
	bool is_first; /* of its request */
	/* Counts for CUT_OFF_UNSERVED, by whether the host was cut off; 0: not. */
	int cut_group;
	int64_t sent_us;
	GArray *runs; /* run_t */
	bool answered;
	bool given_up; /* by its caller */
	bool promised; /* the answer said that it did not run */
	int status;
} attempt_t;

/* What a caller has got. */
typedef struct answer {
	int status;
	bool complete;
	str_t signature;
	str_t body;
	bool leaving;
	str_t runner; /* that made it; empty: the daemon */
} answer_t;

record_t *record_new(soak_t *s);
void record_free(record_t *r);
void record_broken(record_t *r, rule_t rule, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/* origin: whose stream it takes up behind event resume_after; NULL: none. */
attempt_t *record_sent(record_t *r, const req_class_t *cls, uint32_t request,
		       unsigned int host, attempt_t *origin,
		       uint32_t resume_after);
/* Complete events at the start of a body. */
uint32_t count_events(str_t body);
/* All attempts have ended: judges what only the whole run shows. */
void record_end(record_t *r);
attempt_t *record_find(record_t *r, str_t id);
/* A runner begins to work on it; the serial number of the run. */
uint64_t record_run(record_t *r, attempt_t *a, const char *runner,
		    unsigned int build);
void record_run_status(attempt_t *a, uint64_t serial, int status);
void record_answer(record_t *r, attempt_t *a, const answer_t *ans);
/* A request of this attempt has come to a runner, whether it runs or not. */
void record_arrival(record_t *r, const attempt_t *a, const char *runner);
/* The runner asked the host for a pause; for_us. */
void record_pause(record_t *r, unsigned int host, const char *runner,
		  int64_t for_us);
/* The host was stopped, started or frozen: what it had been told is excused. */
void record_host_disturbed(record_t *r, unsigned int host);
/* Requests served since the last call. */
uint32_t record_take_served(record_t *r);
void record_print(const record_t *r, FILE *out);
/* Number of broken rules: all, or without those that depend on time. */
uint32_t record_n_broken(const record_t *r, bool with_late);
/* The last part of the path, the body of a request, and what a run of it answers. */
void write_request_name(buf_t *out, const attempt_t *a);
void write_request_body(buf_t *out, const attempt_t *a);
void write_answer(buf_t *out, const attempt_t *a, uint64_t serial);
void write_event(buf_t *out, const attempt_t *a, uint64_t serial, uint32_t n);

/* crashes.c: parts of prompts, and requests, that crash runners. */

crashes_t *crashes_new(soak_t *s);
void crashes_free(crashes_t *c);
/* The callers begin. */
void crashes_start(crashes_t *c);
/* What a new request of this kind has in common with others. */
request_traits_t crashes_draw(crashes_t *c, const req_class_t *cls);
/* A runner has crashed by the cause. */
void crashes_note_crash(crashes_t *c, unsigned int cause);
/* A request with a cause of crashes has come to a runner. */
void crashes_note_arrival(crashes_t *c, const attempt_t *a, const char *runner);
/* A stream without a cause of crashes has ended; began: it brought an event. */
void crashes_note_sound(crashes_t *c, const attempt_t *a, bool began);
/* Such a request was refused as one that crashes runners. */
void crashes_note_refused(crashes_t *c, const attempt_t *a);
/* Judges what only the whole run shows. */
void crashes_end(crashes_t *c);
void crashes_print(const crashes_t *c, FILE *out);

/* limits.c: runners that name how many requests they take. */

limits_t *limits_new(soak_t *s);
void limits_free(limits_t *l);
/* The callers begin. */
void limits_start(limits_t *l);
/*
 * The limit that the runner names in an answer to the host, in requests a second;
 * < 0: none.
 */
double limits_name(limits_t *l, unsigned int runner, unsigned int host);
/* A request of this attempt has come to the runner. */
void limits_note_arrival(limits_t *l, const attempt_t *a, unsigned int runner);
/* The host was stopped, started or frozen: what it had been told is excused. */
void limits_host_disturbed(limits_t *l, unsigned int host);
/* The runner's process has ended, and its limit with it. */
void limits_runner_ended(limits_t *l, unsigned int runner);
void limits_print(const limits_t *l, FILE *out);

/* cuts.c: hosts that lose their paths to all runners. */

/* X(NAME, "name") - what becomes of connections while a host is cut off. */
#define CUT_WAYS(X)                                                         \
	X(RESET, "reset")     /* all are reset, new ones too */             \
	X(HANG, "hang")	      /* none moves any more; reset when it ends */ \
	X(LIVE_ON, "live_on") /* those under way go on, new ones are reset */

typedef enum cut_way {
	CUT_NONE,
#define X(name, text) CUT_##name,
	CUT_WAYS(X)
#undef X
} cut_way_t;

cuts_t *cuts_new(soak_t *s);
void cuts_free(cuts_t *c);
/* The callers begin. */
void cuts_start(cuts_t *c);
/* What becomes of connections between the host and any runner now. */
cut_way_t cuts_way(const cuts_t *c, unsigned int host);
/* Whether the attempt, which is sent now, counts, and for which hosts. */
int cuts_group(const cuts_t *c, const attempt_t *a);
/* The attempt has ended, with a complete answer of a runner or not. */
void cuts_note_end(cuts_t *c, const attempt_t *a, bool served);
/* Judges what only the whole run shows. */
void cuts_end(cuts_t *c);
void cuts_print(const cuts_t *c, FILE *out);

/* strain.c: brittle runners, and runners that fall silent. */

strain_t *strain_new(soak_t *s);
void strain_free(strain_t *t);
/* The callers begin. */
void strain_start(strain_t *t);
/* The number that runners of this kind name in their answers; 0: none. */
uint32_t strain_named(const strain_t *t, bool is_model);
/* Requests that one of them runs at once. */
uint32_t strain_slots(const strain_t *t, bool is_model, uint32_t usual);
/* It rejects a request of the host for want of room: whether it falls over. */
bool strain_falls(strain_t *t, bool is_model, unsigned int runner,
		  unsigned int host);
/* How long it is down then. */
int64_t strain_down_us(void);
/* A daemon has ended a run at a runner that is silent. */
void strain_note_cut(strain_t *t, const attempt_t *a);
/* Judges what only the whole run shows. */
void strain_end(strain_t *t);
void strain_print(const strain_t *t, FILE *out);

/* disks.c: disks of daemons that are full for a while. */

disks_t *disks_new(soak_t *s);
void disks_free(disks_t *d);
/* The callers begin. */
void disks_start(disks_t *d);
/* The callers end: no disk is full from now on. */
void disks_stop(disks_t *d);
void disks_print(const disks_t *d, FILE *out);

/* leavers.c: callers that leave before they have their answer. */

leavers_t *leavers_new(soak_t *s);
void leavers_free(leavers_t *l);
/* The caller of the attempt leaves now. */
void leavers_note(leavers_t *l, attempt_t *a);
/* Judges what only the whole run shows. */
void leavers_end(leavers_t *l);
void leavers_print(const leavers_t *l, FILE *out);

/* platform.c: the runner list and the runners. */

/* Whether a runner works on the attempt. */
bool platform_runs(const platform_t *p, const attempt_t *a);
/* How long its run would last on; 0: none, or not known. */
int64_t platform_run_left_us(const platform_t *p, const attempt_t *a);

/* It reads and sends nothing for for_us, and then goes on. */
void platform_silence(platform_t *p, unsigned int runner, int64_t for_us);
/* Runners that serve models, or the others. */
unsigned int platform_n_of_kind(const platform_t *p, bool is_model);
/* The host's paths to all runners begin or cease to be cut off. */
void platform_cut(platform_t *p, unsigned int host, cut_way_t way);
void platform_heal(platform_t *p, unsigned int host);

/* X(NAME, "name") - what a runner does wrong with a part of its requests. */
#define RUNNER_FAULTS(X)                                                       \
	X(REJECT, "reject") /* refuses, and says that nothing ran */           \
	X(REJECT_TWICE, "reject_twice") /* says so again, late */              \
	X(REJECT_EARLY, "reject_early") /* before the body has come */         \
	X(REJECT_PAUSE, "reject_pause") /* and wants a pause */                \
	X(RAN_503, "ran_503")		/* runs it and answers 503 */          \
	X(RAN_429, "ran_429")                                                  \
	X(RAN_408, "ran_408")                                                  \
	X(RAN_500, "ran_500")                                                  \
	X(LOST, "lost")			/* runs it; the connection is reset */ \
	X(MUTE, "mute")			/* runs it and never answers */        \
	X(SECOND, "second")		/* answers a second time, late */      \
	X(STRAY_REJECT, "stray_reject") /* a rejection after its answer */     \
	X(BREAK, "break")		/* the answer is cut midway */         \
	X(CUT, "cut")			/* as BREAK, by a close in order */    \
	X(JUNK_HEAD, "junk_head")	/* runs it; a head without end */      \
	X(JUNK_UNPROVEN, "junk_unproven") /* no proof, a body without end */   \
	X(JUNK_DENIAL, "junk_denial")	  /* as RAN_503, without end */        \
	X(JUNK_REJECT, "junk_reject")	  /* as REJECT, without end */         \
	X(SLOW, "slow")			  /* a byte at a time */

typedef enum runner_fault {
	FAULT_NONE,
#define X(name, text) FAULT_##name,
	RUNNER_FAULTS(X)
#undef X
	FAULT_COUNT,
} runner_fault_t;

const char *runner_fault_name(runner_fault_t f);

/* NULL with a message on standard error where it cannot listen. */
platform_t *platform_new(soak_t *s);
void platform_free(platform_t *p);
unsigned int platform_n_runners(const platform_t *p);
/* Model runners of this software version that serve and do not leave. */
unsigned int platform_n_serving(const platform_t *p, unsigned int build);
/* Number of requests that a fault of a runner met, by kind. */
void platform_print_faults(const platform_t *p, FILE *out);
/* For for_us the runner does this to a share of its requests. */
void platform_set_fault(platform_t *p, unsigned int runner, runner_fault_t f,
			double share, int64_t for_us);
/* Its process ends, another one starts at its address for_us later. */
void platform_crash(platform_t *p, unsigned int runner, int64_t for_us);
/* It says that it leaves, serves on, ends and is replaced. */
void platform_leave(platform_t *p, unsigned int runner);

/* hosts.c: the daemons' processes. */

hosts_t *hosts_new(soak_t *s);
/* Kills what still runs. */
void hosts_free(hosts_t *h);
/* 0, or -1 with a message where a process cannot be started. */
int hosts_start_all(hosts_t *h);
bool host_is_running(const hosts_t *h, unsigned int host);
/* Whether it runs, and met no fault since since_us. */
bool host_calm_since(const hosts_t *h, unsigned int host, int64_t since_us);
/* Whether it and all voters met no fault for long enough to be in touch. */
bool host_in_touch(const hosts_t *h, unsigned int host);
/* "ip:port" of a daemon. */
void host_addr(const soak_t *s, buf_t *out, unsigned int host, uint16_t port);
/* SIGKILL; it starts again after down_us. */
void host_kill(hosts_t *h, unsigned int host, int64_t down_us);
/* As host_kill(), with an empty disk, if the others can spare this one now. */
void host_wipe(hosts_t *h, unsigned int host, int64_t down_us);
/*
 * Ends a host for good, told by SIGTERM or not; one with another address and an empty disk
 * starts as it ends. Nothing happens where another host with a disk counts as lost.
 */
void host_replace(hosts_t *h, unsigned int host, bool told);
/* SIGTERM, sent times in a row; it starts again after it has ended. */
void host_terminate(hosts_t *h, unsigned int host, unsigned int times,
		    int64_t down_us);
void host_freeze(hosts_t *h, unsigned int host, int64_t for_us);
/* Its files take no more bytes, or take them again; false: it does not run. */
bool host_set_disk_full(hosts_t *h, unsigned int host, bool full);
/* Writes its settings anew, in another order, with or without SIGHUP. */
void host_reload(hosts_t *h, unsigned int host, bool signal);
/* Ends all for good; done is called when they have ended. */
void hosts_stop_all(hosts_t *h, void (*done)(void *ctx), void *ctx);
/* Highest memory and descriptors of any daemon so far. */
void hosts_print_use(const hosts_t *h, FILE *out);

/* caller.c */

callers_t *callers_new(soak_t *s);
void callers_free(callers_t *c);
void callers_start(callers_t *c);
/* All that wait for an answer of the host leave soon. */
void callers_leave(callers_t *c, unsigned int host);
/* No new requests. */
void callers_stop(callers_t *c);
unsigned int callers_busy(const callers_t *c);
bool answer_promises_not_run(int status);

/* operator.c */

operator_calls_t *operator_new(soak_t *s);
void operator_free(operator_calls_t *o);
/* Names the first manifest, and others from time to time. */
void operator_start(operator_calls_t *o);
bool operator_has_first_ack(const operator_calls_t *o);
/* Reads the manifest until it is told; done is called once it is, or not. */
void operator_check_end(operator_calls_t *o, void (*done)(void *ctx),
			void *ctx);

/* plan.c: the faults of a seed. */

typedef struct plan plan_t;

plan_t *plan_new(soak_t *s);
void plan_free(plan_t *p);
void plan_print(const plan_t *p, FILE *out);
/* Number of faults injected so far, by kind. */
void plan_print_injected(const plan_t *p, FILE *out);
/* Injects its faults from now on. */
void plan_start(plan_t *p);

#endif
