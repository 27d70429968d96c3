/* cli_change.c - commands of the client that change something. */
#include "cli_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "change_json.h"
#include "template_file.h"

#define WAIT_ROUND_MS 5000
#define CHANGE_ID_BYTES 12u
#define TOKEN_BYTES 24u

static void random_hex(size_t bytes, char *out)
{
	unsigned char raw[64];

	randombytes_buf(raw, bytes);
	sodium_bin2hex(out, 2 * bytes + 1, raw, bytes);
}

static void print_differences(const json_t *list)
{
	const json_t *d;
	size_t i;

	json_array_foreach(list, i, d)
	{
		const char *field;
		json_t *pair;

		printf("%s %s %s\n", cli_text_of(d, "table"),
		       cli_text_of(d, "name"), cli_text_of(d, "kind"));
		json_object_foreach(json_object_get(d, "fields"), field, pair)
		{
			AUTO_BUF buf_t before = {0};
			AUTO_BUF buf_t after = {0};

			cli_cell_text(json_array_get(pair, 0), &before);
			cli_cell_text(json_array_get(pair, 1), &after);
			printf("  %-16s %s -> %s\n", field, before.p, after.p);
		}
	}
}

/* Revision that a change starts from; an exit code. */
static int read_base(cli_t *cli, json_int_t *base)
{
	json_t *j;
	int rc;

	*base = cli_opt.base;
	if (cli_opt.base >= 0)
		return CLI_OK;
	rc = cli_get(cli, "changes?limit=1", &j);
	if (rc)
		return rc;
	*base = json_integer_value(json_object_get(j, "revision"));
	json_decref(j);
	return CLI_OK;
}

static void print_not_in_force(const json_t *reply)
{
	AUTO_BUF buf_t lacking = {0};

	cli_cell_text(json_object_get(reply, "lacking"), &lacking);
	fprintf(stderr, "damasklug: not in force on: %s\n",
		lacking.n ? lacking.p : "(the leader cannot be reached)");
}

static void print_in_force(const json_t *reply)
{
	AUTO_BUF buf_t absent = {0};

	cli_cell_text(json_object_get(reply, "absent"), &absent);
	printf("in force on %zu live hosts%s%s\n",
	       json_array_size(json_object_get(reply, "hosts")),
	       absent.n ? "; absent: " : "", absent.p);
}

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* One question to the leader, found by way of any server. */
static json_t *ask_leader(cli_t *cli, const char *path, char **leader)
{
	json_t *reply = NULL;
	const char *addr;

	if (*leader &&
	    client_get_at(&cli->http, *leader, path, &reply) == CLIENT_OK &&
	    cli->http.http_status == 200)
		return reply;
	json_decref(reply);
	reply = NULL;
	if (client_get(&cli->http, path, &reply) == CLIENT_OK &&
	    cli->http.http_status == 200)
		return reply;
	addr = cli_text_of(json_object_get(reply, "error"), "leader");
	free(*leader);
	*leader = addr[0] ? str_dup(str_c(addr)) : NULL;
	json_decref(reply);
	return NULL;
}

static int wait_in_force(cli_t *cli, json_int_t revision)
{
	const struct timespec pause = {0, 50 * 1000000L};
	int64_t end = now_ms() + cli_opt.wait_s * 1000LL;
	AUTO_FREE char *leader = NULL;
	json_t *last = NULL;

	for (;;) {
		int64_t left = end - now_ms();
		AUTO_BUF buf_t path = {0};
		json_t *reply;

		buf_printf(&path,
			   CLI_ROOT "revisions?revision=%lld&wait_ms=%lld",
			   (long long)revision,
			   (long long)(left < 0		      ? 0
				       : left < WAIT_ROUND_MS ? left
							      : WAIT_ROUND_MS));
		reply = ask_leader(cli, path.p, &leader);
		if (reply) {
			json_decref(last);
			last = reply;
		}
		if (reply && json_is_true(json_object_get(reply, "in_force")))
			break;
		if (left <= 0) {
			print_not_in_force(last);
			json_decref(last);
			return CLI_NOT_IN_FORCE;
		}
		if (!reply)
			nanosleep(&pause, NULL);
	}
	if (!cli_opt.json)
		print_in_force(last);
	json_decref(last);
	return CLI_OK;
}

static int report(cli_t *cli, const json_t *reply, const char *change_id)
{
	json_int_t revision =
		json_integer_value(json_object_get(reply, "revision"));

	if (cli_opt.json)
		cli_print_json(reply);
	if (cli->http.http_status != 200)
		return cli_refused(cli, reply);
	if (cli_opt.dry_run) {
		if (!cli_opt.json)
			print_differences(
				json_object_get(reply, "differences"));
		return CLI_OK;
	}
	if (!cli_opt.json)
		printf("accepted%s: revision %lld, change %s\n",
		       json_is_true(json_object_get(reply, "resent"))
			       ? " before"
			       : "",
		       (long long)revision, change_id);
	return cli_opt.wait_s > 0 ? wait_in_force(cli, revision) : CLI_OK;
}

static int post(cli_t *cli, const json_t *body, const char *change_id)
{
	AUTO_FREE char *text = json_dumps(body, JSON_COMPACT);
	json_t *reply = NULL;
	int rc;

	switch (client_post(&cli->http, CLI_ROOT "change", text, CLI_RESEND_MS,
			    &reply)) {
	case CLIENT_UNREACHABLE:
		return cli_unreachable(cli);
	case CLIENT_LOST:
		fprintf(stderr,
			"damasklug: the reply was lost (%s); run again with "
			"--change-id %s\n",
			cli->http.error, change_id);
		json_decref(reply);
		return CLI_UNKNOWN;
	case CLIENT_OK:
		break;
	}
	rc = report(cli, reply, change_id);
	json_decref(reply);
	return rc;
}

/* Sends operations as one change; takes the reference to ops. */
static int submit(cli_t *cli, json_t *ops)
{
	char random_id[2 * CHANGE_ID_BYTES + 1];
	const char *author =
		cli_opt.author ? cli_opt.author : g_get_user_name();
	const char *id = cli_opt.change_id ? cli_opt.change_id : random_id;
	json_int_t base;
	json_t *body;
	int rc = read_base(cli, &base);

	if (rc) {
		json_decref(ops);
		return rc;
	}
	random_hex(CHANGE_ID_BYTES, random_id);
	body = json_pack("{s:s, s:I, s:s, s:b, s:o}", "change_id", id,
			 "base_revision", base, "author", author, "dry_run",
			 cli_opt.dry_run, "ops", ops);
	rc = post(cli, body, id);
	json_decref(body);
	return rc;
}

/* Appends {name: value}; takes the reference to value. */
static void add_op(json_t *ops, const char *name, json_t *value)
{
	json_array_append_new(ops, json_pack("{s:o}", name, value));
}

/* One operation NOUN_VERB for each name. */
int cli_cmd_named(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t name = {0};
	json_t *ops;

	if (!argc)
		return cli_usage(cli, "a name is needed");
	buf_printf(&name, "%s_%s", cli->cmd->noun, cli->cmd->verb);
	ops = json_array();
	for (int i = 0; i < argc; i++)
		add_op(ops, name.p, json_string_lossy(str_c(argv[i])));
	return submit(cli, ops);
}

int cli_cmd_template_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops = json_array();

	for (int i = 0; i < argc; i++) {
		AUTO_BUF buf_t errors = {0};
		json_t *t = template_file_load(argv[i], &errors);

		if (!t) {
			fputs(errors.p, stderr);
			json_decref(ops);
			return CLI_USAGE;
		}
		add_op(ops, "template_put", t);
	}
	if (argc)
		return submit(cli, ops);
	json_decref(ops);
	return cli_usage(cli, "a file is needed");
}

static void set_int(json_t *j, const char *key, gint v)
{
	if (v != CLI_NOT_SET)
		json_object_set_new(j, key, json_integer(v));
}

static void set_text(json_t *j, const char *key, const gchar *v)
{
	if (v)
		json_object_set_new(j, key, json_string_lossy(str_c(v)));
}

static void set_flag(json_t *j, const char *key, gboolean v)
{
	if (v)
		json_object_set_new(j, key, json_true());
}

/* --set PARAM=VALUE; -1 on one without '='. */
static int add_params(json_t *params)
{
	for (gchar **s = cli_opt.set; s && *s; s++) {
		str_t key, value;
		AUTO_FREE char *name = NULL;

		if (!str_split(str_c(*s), '=', &key, &value))
			return -1;
		name = str_dup(key);
		json_object_set_new(params, name, json_string_lossy(value));
	}
	return 0;
}

static void add_token(json_t *org, const char *token)
{
	uint8_t hash[TOKEN_HASH_BYTES];
	char hex[2 * TOKEN_HASH_BYTES + 1];

	token_hash(str_c(token), hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	json_object_set_new(org, "token_hash", json_string(hex));
}

/* The organisation as the options give it; NULL on a bad --set. */
static json_t *org_json(const char *name)
{
	json_t *params = json_object();
	json_t *settings = json_pack("{s:o}", "params", params);
	json_t *org =
		json_pack("{s:s, s:o}", "name", name, "settings", settings);

	set_text(org, "template", cli_opt.template_name);
	set_int(settings, "priority", cli_opt.priority);
	set_int(settings, "rate_per_s", cli_opt.rate);
	set_int(settings, "burst", cli_opt.burst);
	set_int(settings, "concurrency", cli_opt.concurrency);
	set_int(settings, "retry_percent", cli_opt.retry_percent);
	if (cli_opt.unset)
		json_object_set_new(org, "unset", json_array());
	for (gchar **s = cli_opt.unset; s && *s; s++)
		json_array_append_new(json_object_get(org, "unset"),
				      json_string_lossy(str_c(*s)));
	if (add_params(params) == 0)
		return org;
	json_decref(org);
	return NULL;
}

int cli_cmd_org_put(cli_t *cli, int argc, char **argv)
{
	bool create = strcmp(cli->cmd->verb, "create") == 0;
	char token[2 * TOKEN_BYTES + 1] = "";
	json_t *ops, *org;
	int rc;

	if (argc != 1)
		return cli_usage(cli, "one name is needed");
	org = org_json(argv[0]);
	if (!org)
		return cli_usage(cli, "--set needs PARAM=VALUE");
	if (cli_opt.org_token)
		add_token(org, cli_opt.org_token);
	if (cli_opt.new_token) {
		random_hex(TOKEN_BYTES, token);
		add_token(org, token);
	}
	ops = json_array();
	add_op(ops, create ? "org_create" : "org_set", org);
	rc = submit(cli, ops);
	/* Also after an unknown outcome: the token may be in use. */
	if (token[0] && !cli_opt.dry_run &&
	    (rc == CLI_OK || rc == CLI_UNKNOWN || rc == CLI_NOT_IN_FORCE))
		printf("token: %s\n", token);
	return rc;
}

/* The publish operation that the options give, without names. */
static json_t *publish_json(uint64_t version)
{
	json_t *p = json_pack("{s:[]}", "names");

	set_text(p, "base", cli_opt.base_model);
	set_text(p, "org", cli_opt.org);
	set_int(p, "load_ms", cli_opt.load_ms);
	set_flag(p, "keep_current", cli_opt.keep_current);
	if (version)
		json_object_set_new(p, "version",
				    json_integer((json_int_t)version));
	return p;
}

/* Adds NAME[@VERSION], to the last operation where that has its version. */
static int add_publish(json_t *ops, str_t spec)
{
	json_t *last = json_array_get(ops, json_array_size(ops) - 1);
	json_t *p = json_object_get(last, "adapter_publish");
	uint64_t version = 0;
	str_t name, tail;

	if (str_split(spec, '@', &name, &tail) &&
	    (str_to_u64(tail, &version) || !version || version > UINT32_MAX))
		return -1;
	if (!p || (uint64_t)json_integer_value(json_object_get(p, "version")) !=
			  version) {
		p = publish_json(version);
		add_op(ops, "adapter_publish", p);
	}
	json_array_append_new(json_object_get(p, "names"),
			      json_string_lossy(name));
	return 0;
}

static int add_publish_file(json_t *ops, const char *path)
{
	gchar *data = NULL;
	gsize n = 0;
	str_t rest, line;
	int rc = 0;

	if (!g_file_get_contents(path, &data, &n, NULL)) {
		fprintf(stderr, "damasklug: %s cannot be read\n", path);
		return -1;
	}
	rest = str_n(data, n);
	for (unsigned int at = 1; rest.n && !rc; at++) {
		str_split(rest, '\n', &line, &rest);
		if (line.n && add_publish(ops, line)) {
			fprintf(stderr, "%s:%u: expected NAME[@VERSION]\n",
				path, at);
			rc = -1;
		}
	}
	g_free(data);
	return rc;
}

static int add_publish_prefix(cli_t *cli, json_t *ops, const char *prefix)
{
	json_t *rows = NULL;
	const json_t *row;
	size_t i;
	int rc = cli_get_rows(cli, "adapters", prefix, SIZE_MAX, &rows);

	json_array_foreach(rows, i, row)
		add_publish(ops, str_c(cli_text_of(row, "name")));
	json_decref(rows);
	return rc;
}

int cli_cmd_publish(cli_t *cli, int argc, char **argv)
{
	json_t *ops = json_array();
	int rc = CLI_OK;

	for (int i = 0; i < argc && !rc; i++)
		if (add_publish(ops, str_c(argv[i])))
			rc = cli_usage(cli, "expected NAME[@VERSION]");
	if (!rc && cli_opt.from && add_publish_file(ops, cli_opt.from))
		rc = CLI_USAGE;
	if (!rc && cli_opt.prefix)
		rc = add_publish_prefix(cli, ops, cli_opt.prefix);
	if (!rc && !json_array_size(ops))
		rc = cli_usage(cli, "an adapter is needed");
	if (!rc)
		return submit(cli, ops);
	json_decref(ops);
	return rc;
}

/* adapter retire|pin NAME@VERSION... */
int cli_cmd_version(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t op = {0};
	json_t *ops = json_array();

	buf_printf(&op, "adapter_%s", cli->cmd->verb);
	for (int i = 0; i < argc; i++) {
		str_t name, tail;
		uint64_t version;

		if (!str_split(str_c(argv[i]), '@', &name, &tail) ||
		    str_to_u64(tail, &version) || version > UINT32_MAX) {
			json_decref(ops);
			return cli_usage(cli, "expected NAME@VERSION");
		}
		add_op(ops, op.p,
		       json_pack("{s:o, s:I}", "name", json_string_lossy(name),
				 "version", (json_int_t)version));
	}
	if (argc)
		return submit(cli, ops);
	json_decref(ops);
	return cli_usage(cli, "an adapter is needed");
}

int cli_cmd_target_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops, *t;

	if (argc != 1)
		return cli_usage(cli, "one name is needed");
	t = json_pack("{s:s}", "name", argv[0]);
	set_text(t, "url", cli_opt.url);
	set_text(t, "zone", cli_opt.zone);
	set_text(t, "base", cli_opt.base_model);
	set_int(t, "slots", cli_opt.slots);
	set_int(t, "max_batch", cli_opt.max_batch);
	set_flag(t, "service", cli_opt.service);
	set_flag(t, "checks_fence", cli_opt.checks_fence);
	set_flag(t, "repeatable", cli_opt.repeatable);
	ops = json_array();
	add_op(ops, "target_put", t);
	return submit(cli, ops);
}

int cli_cmd_host_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops, *h;

	if (argc != 1)
		return cli_usage(cli, "one name is needed");
	if (cli_opt.voter && cli_opt.learner)
		return cli_usage(cli,
				 "--voter and --learner exclude each other");
	h = json_pack("{s:s}", "name", argv[0]);
	set_int(h, "id", cli_opt.id);
	set_text(h, "zone", cli_opt.zone);
	set_text(h, "region", cli_opt.region);
	set_text(h, "caller_addr", cli_opt.caller_addr);
	set_text(h, "peer_addr", cli_opt.peer_addr);
	if (cli_opt.voter || cli_opt.learner)
		json_object_set_new(h, "voter", json_boolean(cli_opt.voter));
	ops = json_array();
	add_op(ops, "host_put", h);
	return submit(cli, ops);
}

int cli_cmd_change_apply(cli_t *cli, int argc, char **argv)
{
	json_error_t where;
	json_t *j, *ops;

	if (argc != 1)
		return cli_usage(cli, "one file is needed");
	j = json_load_file(argv[0], JSON_REJECT_DUPLICATES, &where);
	ops = json_is_array(j) ? j : json_object_get(j, "ops");
	if (!json_is_array(ops)) {
		fprintf(stderr, "%s:%d: %s\n", argv[0], j ? 1 : where.line,
			j ? "expected an array of operations" : where.text);
		json_decref(j);
		return CLI_USAGE;
	}
	json_incref(ops);
	json_decref(j);
	return submit(cli, ops);
}

/* Without a host: the daemon that is asked drains and ends. */
int cli_cmd_drain(cli_t *cli, int argc, char **argv)
{
	json_t *reply, *ops;
	int rc;

	if (argc > 1)
		return cli_usage(cli, "too many arguments");
	if (argc == 1) {
		ops = json_array();
		add_op(ops, "host_drain", json_string_lossy(str_c(argv[0])));
		return submit(cli, ops);
	}
	if (cli->http.n_servers != 1)
		return cli_usage(cli, "exactly one --server is needed");
	if (client_post(&cli->http, CLI_ROOT "drain", "{}", CLI_RESEND_MS,
			&reply) != CLIENT_OK)
		return cli_unreachable(cli);
	rc = cli->http.http_status == 202 ? CLI_OK : cli_refused(cli, reply);
	if (rc == CLI_OK)
		printf("draining\n");
	json_decref(reply);
	return rc;
}
