/*
 * deployment.c - prints a deployment file as shell assignments, which dev/demo
 * evaluates: deployment FILE
 */
#include "lib_deploy.h"

#include <stdio.h>

static void print_array(const char *name, char *const *v, size_t n)
{
	printf("%s=(", name);
	for (size_t i = 0; i < n; i++)
		printf("%s'%s'", i ? " " : "", v[i]);
	printf(")\n");
}

int main(int argc, char **argv)
{
	deploy_t d;

	if (argc != 2) {
		fprintf(stderr, "usage: deployment FILE\n");
		return 2;
	}
	if (deploy_load(&d, argv[1]))
		return 2;
	printf("name='%s'\nbase_model='%s'\nregion='%s'\ntemplate='%s'\n",
	       d.name, d.base_model, d.region, d.template_name);
	printf("n_hosts=%ld\nn_voters=%ld\n", (long)d.hosts, (long)d.voters);
	printf("runner='%s'\nn_runners=%ld\nslots=%ld\nmax_batch=%ld\n",
	       d.runner_name, (long)d.runners, (long)d.slots,
	       (long)d.max_batch);
	printf("step_us=%ld\nstep_growth=%g\n", (long)d.step_us, d.step_growth);
	printf("service='%s'\nn_services=%ld\ndelay_ms=%ld\n", d.service_name,
	       (long)d.services, (long)d.service_delay_ms);
	printf("load_ms=%ld\nstore_concurrency=%ld\n", (long)d.load_ms,
	       (long)d.store_concurrency);
	printf("stall_weight=%g\nbatch_weight=%g\naddress_ttl_ms=%ld\n",
	       d.stall_weight, d.batch_weight, (long)d.address_ttl_ms);
	printf("adapters_each=%ld\n", (long)d.adapters_each);
	print_array("zones", d.zones, d.n_zones);
	print_array("orgs", d.orgs, d.n_orgs);
	deploy_free(&d);
	return 0;
}
